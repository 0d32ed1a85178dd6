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

constexpr std::size_t kMostUnsent = 1 << 20; // in the clear, before the handshake is done

std::string last_error(const char *otherwise) {
    const unsigned long code = ERR_peek_last_error();
    const char *text = code ? ERR_reason_error_string(code) : nullptr;
    ERR_clear_error();
    return text ? text : otherwise;
}

struct FreeContext {
    void operator()(SSL_CTX *one) const { SSL_CTX_free(one); }
};
struct FreeSession {
    void operator()(SSL *one) const { SSL_free(one); }
};
using Context = std::unique_ptr<SSL_CTX, FreeContext>;

// OpenSSL's memory BIOs are its way of being fed bytes.
class Session final : public Engine {
  public:
    Session(SSL_CTX *context, const std::string &name, const std::string &protocol)
        : session_(SSL_new(context)), in_(BIO_new(BIO_s_mem())), out_(BIO_new(BIO_s_mem())) {
        BIO_set_mem_eof_return(in_, -1);
        SSL_set_bio(session_.get(), in_, out_);
        SSL_set_connect_state(session_.get());
        X509_VERIFY_PARAM *rules = SSL_get0_param(session_.get());
        if (X509_VERIFY_PARAM_set1_ip_asc(rules, name.c_str()) != 1) {
            X509_VERIFY_PARAM_set1_host(rules, name.c_str(), name.size());
            SSL_set_tlsext_host_name(session_.get(), name.c_str());
        }
        const std::string list = static_cast<char>(protocol.size()) + protocol;
        SSL_set_alpn_protos(session_.get(), reinterpret_cast<const unsigned char *>(list.data()),
                            static_cast<unsigned>(list.size()));
        go_on();
    }

    bool feed(std::string_view cipher) override {
        BIO_write(in_, cipher.data(), static_cast<int>(cipher.size()));
        go_on();
        return fault_.empty();
    }
    std::string take() override { return std::exchange(heard_, {}); }
    void send(std::string_view clear) override {
        if (unsent_.size() + clear.size() > kMostUnsent) {
            fault_ = "a handshake that does not end";
            return;
        }
        unsent_ += clear;
        go_on();
    }
    std::string output() override {
        std::string bytes(static_cast<std::size_t>(BIO_ctrl_pending(out_)), '\0');
        if (!bytes.empty()) BIO_read(out_, bytes.data(), static_cast<int>(bytes.size()));
        return bytes;
    }
    bool ended() const override { return ended_; }
    const std::string &fault() const override { return fault_; }

  private:
    void go_on() {
        if (!fault_.empty() || ended_) return;
        if (!SSL_is_init_finished(session_.get())) {
            ERR_clear_error();
            if (!went(SSL_do_handshake(session_.get()))) return;
        }
        while (!unsent_.empty()) {
            const int wrote = SSL_write(session_.get(), unsent_.data(), static_cast<int>(unsent_.size()));
            if (!went(wrote)) return;
            unsent_.erase(0, static_cast<std::size_t>(wrote));
        }
        std::array<char, 16384> room;
        for (int size; went(size = SSL_read(session_.get(), room.data(), room.size()));)
            heard_.append(room.data(), static_cast<std::size_t>(size));
    }
    bool went(int result) {
        if (result > 0) return true;
        const int why = SSL_get_error(session_.get(), result);
        if (why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE) return false;
        if (why == SSL_ERROR_ZERO_RETURN) {
            ended_ = true;
            return false;
        }
        const long verdict = SSL_get_verify_result(session_.get());
        fault_ = verdict != X509_V_OK
                     ? std::string("its certificate: ") + X509_verify_cert_error_string(verdict)
                     : last_error("the handshake broke off");
        return false;
    }

    std::unique_ptr<SSL, FreeSession> session_;
    BIO *in_, *out_; // the session's
    std::string heard_, unsent_, fault_;
    bool ended_ = false;
};

class FromFiles final : public Maker {
  public:
    explicit FromFiles(Files files) : files_(std::move(files)) {
        stamp_ = stamp();
        context_ = read();
    }

    std::unique_ptr<Engine> make(const std::string &address, const std::string &protocol) override {
        if (const std::string now = stamp(); now != stamp_) {
            try {
                context_ = read();
                complaint_.clear();
            } catch (const BadInput &bad) {
                complaint_ = bad.what();
            }
            stamp_ = now;
        }
        return std::make_unique<Session>(context_.get(), files_.name.empty() ? address : files_.name,
                                         protocol);
    }
    std::string complaint() override { return std::exchange(complaint_, {}); }

  private:
    // A file replaced by another differs in its inode, one written over in its time or size.
    std::string stamp() const {
        std::string all;
        for (const std::string *path : {&files_.authorities, &files_.certificate, &files_.key}) {
            struct stat found {};
            if (path->empty() || ::stat(path->c_str(), &found) != 0) {
                all += "-;";
                continue;
            }
            for (const auto part : {static_cast<long>(found.st_ino), static_cast<long>(found.st_size),
                                    static_cast<long>(found.st_mtim.tv_sec), found.st_mtim.tv_nsec})
                all += std::to_string(part) + ",";
            all += ";";
        }
        return all;
    }

    Context read() const {
        const auto wrong = [&](const std::string &path, const char *otherwise) {
            throw BadInput(path + ": " + last_error(otherwise));
        };
        for (const std::string *path : {&files_.authorities, &files_.certificate, &files_.key})
            if (!path->empty() && ::access(path->c_str(), R_OK) != 0)
                throw BadInput(*path + ": " + std::strerror(errno));
        ERR_clear_error();
        Context context(SSL_CTX_new(TLS_client_method()));
        SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
        SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
        SSL_CTX_set_mode(context.get(), SSL_MODE_ENABLE_PARTIAL_WRITE | SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
        if (SSL_CTX_load_verify_locations(context.get(), files_.authorities.c_str(), nullptr) != 1)
            wrong(files_.authorities, "no certificates");
        if (files_.certificate.empty()) return context;
        if (SSL_CTX_use_certificate_chain_file(context.get(), files_.certificate.c_str()) != 1)
            wrong(files_.certificate, "no certificate");
        if (SSL_CTX_use_PrivateKey_file(context.get(), files_.key.c_str(), SSL_FILETYPE_PEM) != 1)
            wrong(files_.key, "no key");
        if (SSL_CTX_check_private_key(context.get()) != 1) wrong(files_.key, "not the certificate's key");
        return context;
    }

    const Files files_;
    std::string stamp_, complaint_;
    Context context_;
};

} // namespace

std::unique_ptr<Maker> make(const Files &files) { return std::make_unique<FromFiles>(files); }

} // namespace pineridge::tls
