// The client side of TLS 1.2 and later. An engine is given bytes and does no I/O; the factory holds the
// certificate authorities, the certificate and the key, read from files. OpenSSL is linked into a shared
// library of its own, which is loaded only where the settings ask for TLS: a router that speaks plaintext
// does not carry it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace pineridge::tls {

struct Files { // paths of PEM files
    std::string ca_file; // the authorities that the server's certificate must be issued by
    std::string certificate_file, key_file; // of this client; empty where the server requires none
    std::string server_name; // that the server's certificate must bear; empty: the address connected to
};

// The TLS state of one connection.
class Engine {
  public:
    virtual ~Engine() = default;
    virtual bool feed(std::string_view ciphertext) = 0; // false: the connection has failed; see `error`
    virtual std::string take_plaintext() = 0; // the plaintext received since the last call
    virtual void send(std::string_view plaintext) = 0; // queued until the handshake is complete
    virtual std::string take_output() = 0; // the bytes to be written to the socket now
    virtual bool ended() const = 0; // the server sent close_notify: what was received is complete
    virtual const std::string &error() const = 0; // empty while the connection is usable
};

class EngineFactory {
  public:
    virtual ~EngineFactory() = default;
    // Creates the engine of a connection to this address; `protocol` is offered by ALPN. Files that have
    // changed are read again first; if they cannot be used, those read before stay in use, and
    // `take_reload_error` says why.
    virtual std::unique_ptr<Engine> make_engine(const std::string &address, const std::string &protocol) = 0;
    virtual std::string take_reload_error() = 0; // returns each error once
};

// Throws BadInput, which names the file. Messages never contain any part of a key.
std::unique_ptr<EngineFactory> make_engine_factory(const Files &files);

// Does the same by means of the shared library beside the executable. Throws std::runtime_error if that
// cannot be loaded.
std::unique_ptr<EngineFactory> load_engine_factory(const Files &files);

} // namespace pineridge::tls
