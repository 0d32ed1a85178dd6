// TLS 1.2 or later as a client, fed bytes; knows no socket. The maker holds authorities, certificate and key
// as read from files; it lies with OpenSSL in a library of its own, loaded where TLS is told: a router that
// speaks plaintext carries none of it.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace pineridge::tls {

struct Files { // PEM
    std::string authorities; // that the other side's certificate must come from
    std::string certificate, key; // ours; empty: the other side asks for none
    std::string name; // that the other side's certificate must bear; empty: the address that is dialled
};

class Engine {
  public:
    virtual ~Engine() = default;
    virtual bool feed(std::string_view cipher) = 0; // false: broken, and `fault` tells why
    virtual std::string take() = 0; // what was heard, in the clear
    virtual void send(std::string_view clear) = 0; // kept until the handshake is done
    virtual std::string output() = 0; // bytes to be written now
    virtual bool ended() const = 0; // the other side has said so: what was heard is whole
    virtual const std::string &fault() const = 0;
};

class Maker {
  public:
    virtual ~Maker() = default;
    // For one connection to this address. Files that have changed since are read again; where they cannot be
    // used those that were stay, and `complaint` says why.
    virtual std::unique_ptr<Engine> make(const std::string &address, const std::string &protocol) = 0;
    virtual std::string complaint() = 0; // once
};

// Throws BadInput naming the file. Never tells anything of a key.
std::unique_ptr<Maker> make(const Files &files);

// The same, by the library beside the program; throws std::runtime_error where it cannot be loaded.
std::unique_ptr<Maker> load(const Files &files);

} // namespace pineridge::tls
