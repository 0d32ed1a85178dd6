#include "base/bad_input.hpp"
#include "net/tls/tls.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace pineridge::tls {

namespace {

constexpr std::size_t kMaxUnsentBytes = 1 << 20; // plaintext queued before the handshake is complete

std::string last_error(const char *fallback) {
    const unsigned long code = ERR_peek_last_error();
    const char *text = code ? ERR_reason_error_string(code) : nullptr;
    ERR_clear_error();
    return text ? text : fallback;
}

struct FreeContext {
    void operator()(SSL_CTX *context) const { SSL_CTX_free(context); }
};
struct FreeSession {
    void operator()(SSL *session) const { SSL_free(session); }
};
using Context = std::unique_ptr<SSL_CTX, FreeContext>;

// The memory BIOs let OpenSSL work on bytes that it is given, without a socket.
class Session final : public Engine {
  public:
    Session(SSL_CTX *context, const std::string &name, const std::string &protocol)
        : session_(SSL_new(context)), in_(BIO_new(BIO_s_mem())), out_(BIO_new(BIO_s_mem())) {
        BIO_set_mem_eof_return(in_, -1);
        SSL_set_bio(session_.get(), in_, out_);
        SSL_set_connect_state(session_.get());
        X509_VERIFY_PARAM *parameters = SSL_get0_param(session_.get());
        if (X509_VERIFY_PARAM_set1_ip_asc(parameters, name.c_str()) != 1) {
            X509_VERIFY_PARAM_set1_host(parameters, name.c_str(), name.size());
            SSL_set_tlsext_host_name(session_.get(), name.c_str());
        }
        const std::string alpn = static_cast<char>(protocol.size()) + protocol;
        SSL_set_alpn_protos(session_.get(), reinterpret_cast<const unsigned char *>(alpn.data()),
                            static_cast<unsigned>(alpn.size()));
        advance();
    }

    bool feed(std::string_view ciphertext) override {
        BIO_write(in_, ciphertext.data(), static_cast<int>(ciphertext.size()));
        advance();
        return error_.empty();
    }
    std::string take_plaintext() override { return std::exchange(received_, {}); }
    void send(std::string_view plaintext) override {
        if (unsent_.size() + plaintext.size() > kMaxUnsentBytes) {
            error_ = "over 1 MiB queued before the end of the handshake";
            return;
        }
        unsent_ += plaintext;
        advance();
    }
    std::string take_output() override {
        std::string bytes(static_cast<std::size_t>(BIO_ctrl_pending(out_)), '\0');
        if (!bytes.empty()) BIO_read(out_, bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    }
    bool ended() const override { return ended_; }
    const std::string &error() const override { return error_; }

  private:
    void advance() {
        if (!error_.empty() || ended_) return;
        if (!SSL_is_init_finished(session_.get())) {
            ERR_clear_error();
            if (!succeeded(SSL_do_handshake(session_.get()))) return;
        }
        while (!unsent_.empty()) {
            const int written = SSL_write(session_.get(), unsent_.data(), static_cast<int>(unsent_.size()));
            if (!succeeded(written)) return;
            unsent_.erase(0, static_cast<std::size_t>(written));
        }
        std::array<char, 16384> buffer;
        for (int size; succeeded(size = SSL_read(session_.get(), buffer.data(), buffer.size()));)
            received_.append(buffer.data(), static_cast<std::size_t>(size));
    }
    bool succeeded(int result) {
        if (result > 0) return true;
        const int reason = SSL_get_error(session_.get(), result);
        if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE) return false;
        if (reason == SSL_ERROR_ZERO_RETURN) {
            ended_ = true;
            return false;
        }
        const long verification = SSL_get_verify_result(session_.get());
        error_ = verification != X509_V_OK
                     ? std::string("server certificate: ") + X509_verify_cert_error_string(verification)
                     : last_error("the handshake failed");
        return false;
    }

    std::unique_ptr<SSL, FreeSession> session_;
    BIO *in_, *out_; // owned by the session
    std::string received_, unsent_, error_;
    bool ended_ = false;
};

class FileEngineFactory final : public EngineFactory {
  public:
    explicit FileEngineFactory(Files files) : files_(std::move(files)) {
        file_versions_ = read_file_versions();
        context_ = read_context();
    }

    std::unique_ptr<Engine> make_engine(const std::string &address, const std::string &protocol) override {
        if (const std::string versions = read_file_versions(); versions != file_versions_) {
            try {
                context_ = read_context();
                reload_error_.clear();
            } catch (const BadInput &error) {
                reload_error_ = error.what();
            }
            file_versions_ = versions;
        }
        return std::make_unique<Session>(context_.get(),
                                         files_.server_name.empty() ? address : files_.server_name, protocol);
    }
    std::string take_reload_error() override { return std::exchange(reload_error_, {}); }

  private:
    // Identifies the content of the files: one that was replaced has another inode, one that was overwritten
    // has another modification time or size.
    std::string read_file_versions() const {
        std::string versions;
        for (const std::string *path : {&files_.ca_file, &files_.certificate_file, &files_.key_file}) {
            struct stat status {};
            if (path->empty() || ::stat(path->c_str(), &status) != 0) {
                versions += "-;";
                continue;
            }
            for (const auto part : {static_cast<long>(status.st_ino), static_cast<long>(status.st_size),
                                    static_cast<long>(status.st_mtim.tv_sec), status.st_mtim.tv_nsec})
                versions += std::to_string(part) + ",";
            versions += ";";
        }
        return versions;
    }

    Context read_context() const {
        const auto fail = [&](const std::string &path, const char *fallback) {
            throw BadInput(path + ": " + last_error(fallback));
        };
        for (const std::string *path : {&files_.ca_file, &files_.certificate_file, &files_.key_file})
            if (!path->empty() && ::access(path->c_str(), R_OK) != 0)
                throw BadInput(*path + ": " + std::strerror(errno));
        ERR_clear_error();
        Context context(SSL_CTX_new(TLS_client_method()));
        SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
        SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
        SSL_CTX_set_mode(context.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
        if (SSL_CTX_load_verify_locations(context.get(), files_.ca_file.c_str(), nullptr) != 1)
            fail(files_.ca_file, "contains no certificates");
        if (files_.certificate_file.empty()) return context;
        if (SSL_CTX_use_certificate_chain_file(context.get(), files_.certificate_file.c_str()) != 1)
            fail(files_.certificate_file, "contains no certificate");
        if (SSL_CTX_use_PrivateKey_file(context.get(), files_.key_file.c_str(), SSL_FILETYPE_PEM) != 1)
            fail(files_.key_file, "contains no private key");
        if (SSL_CTX_check_private_key(context.get()) != 1)
            fail(files_.key_file, "does not match the certificate");
        return context;
    }

    const Files files_;
    std::string file_versions_, reload_error_;
    Context context_;
};

} // namespace

std::unique_ptr<EngineFactory> make_engine_factory(const Files &files) {
    return std::make_unique<FileEngineFactory>(files);
}

} // namespace pineridge::tls
