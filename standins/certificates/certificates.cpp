#include "standins/certificates/certificates.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>

namespace pineridge::standins {

namespace {

template <auto Free> struct Release {
    template <class Held> void operator()(Held *held) const { Free(held); }
};
using Key = std::unique_ptr<EVP_PKEY, Release<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Release<X509_free>>;
using Memory = std::unique_ptr<BIO, Release<BIO_free_all>>;

std::string text_of(BIO *memory) {
    char *bytes = nullptr;
    const long size = BIO_get_mem_data(memory, &bytes);
    return {bytes, static_cast<std::size_t>(size)};
}

Papers pem(X509 *certificate, EVP_PKEY *key) {
    const Memory one(BIO_new(BIO_s_mem())), two(BIO_new(BIO_s_mem()));
    PEM_write_bio_X509(one.get(), certificate);
    PEM_write_bio_PrivateKey(two.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
    return {text_of(one.get()), text_of(two.get())};
}

void extend(X509 *certificate, X509 *issuer, int kind, const std::string &value) {
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    if (!extension) throw std::runtime_error("certificate: " + value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

Certificate make(const std::string &name, int days, EVP_PKEY *key) {
    static long serial = 0;
    Certificate made(X509_new());
    X509_set_version(made.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -10L * 86400);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), days * 86400L);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_pubkey(made.get(), key);
    return made;
}

} // namespace

struct Authority::State {
    Key key{EVP_EC_gen("P-256")};
    Certificate certificate;
};

Authority::Authority(const std::string &name) : state_(std::make_unique<State>()) {
    state_->certificate = make(name, 10, state_->key.get());
    X509 *own = state_->certificate.get();
    X509_set_issuer_name(own, X509_get_subject_name(own));
    extend(own, own, NID_basic_constraints, "critical,CA:TRUE");
    extend(own, own, NID_subject_key_identifier, "hash");
    X509_sign(own, state_->key.get(), EVP_sha256());
    own_ = pem(own, state_->key.get());
}

Authority::~Authority() = default;

Papers Authority::issue(const std::string &name, int days) const {
    const Key key(EVP_EC_gen("P-256"));
    const Certificate made = make(name, days, key.get());
    X509 *issuer = state_->certificate.get();
    X509_set_issuer_name(made.get(), X509_get_subject_name(issuer));
    const bool address = name.find_first_not_of("0123456789.") == std::string::npos;
    extend(made.get(), issuer, NID_subject_alt_name, (address ? "IP:" : "DNS:") + name);
    extend(made.get(), issuer, NID_authority_key_identifier, "keyid");
    X509_sign(made.get(), state_->key.get(), EVP_sha256());
    return pem(made.get(), key.get());
}

} // namespace pineridge::standins
