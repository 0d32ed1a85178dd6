#include "standins/certificates/certificates.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>

namespace pineridge::standins {

namespace {

template <auto Free> struct Deleter {
    template <class Object> void operator()(Object *object) const { Free(object); }
};
using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Deleter<X509_free>>;
using Memory = std::unique_ptr<BIO, Deleter<BIO_free_all>>;

std::string contents(BIO *memory) {
    char *bytes = nullptr;
    const long size = BIO_get_mem_data(memory, &bytes);
    return {bytes, static_cast<std::size_t>(size)};
}

CertifiedKey to_pem(X509 *certificate, EVP_PKEY *key) {
    const Memory certificate_text(BIO_new(BIO_s_mem())), key_text(BIO_new(BIO_s_mem()));
    PEM_write_bio_X509(certificate_text.get(), certificate);
    PEM_write_bio_PrivateKey(key_text.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
    return {contents(certificate_text.get()), contents(key_text.get())};
}

void add_extension(X509 *certificate, X509 *issuer, int kind, const std::string &value) {
    X509V3_CTX context;
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, &context, kind, value.c_str());
    if (!extension) throw std::runtime_error("certificate: " + value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

Certificate create(const std::string &name, int days, EVP_PKEY *key) {
    static long serial = 0;
    Certificate issued(X509_new());
    X509_set_version(issued.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(issued.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(issued.get()), -10L * 86400);
    X509_gmtime_adj(X509_getm_notAfter(issued.get()), days * 86400L);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(issued.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_pubkey(issued.get(), key);
    return issued;
}

} // namespace

struct Authority::State {
    Key key{EVP_EC_gen("P-256")};
    Certificate certificate;
};

Authority::Authority(const std::string &name) : state_(std::make_unique<State>()) {
    state_->certificate = create(name, 10, state_->key.get());
    X509 *own = state_->certificate.get();
    X509_set_issuer_name(own, X509_get_subject_name(own));
    add_extension(own, own, NID_basic_constraints, "critical,CA:TRUE");
    add_extension(own, own, NID_subject_key_identifier, "hash");
    X509_sign(own, state_->key.get(), EVP_sha256());
    own_key_pair_ = to_pem(own, state_->key.get());
}

Authority::~Authority() = default;

CertifiedKey Authority::issue(const std::string &name, int days) const {
    const Key key(EVP_EC_gen("P-256"));
    const Certificate issued = create(name, days, key.get());
    X509 *issuer = state_->certificate.get();
    X509_set_issuer_name(issued.get(), X509_get_subject_name(issuer));
    const bool address = name.find_first_not_of("0123456789.") == std::string::npos;
    add_extension(issued.get(), issuer, NID_subject_alt_name, (address ? "IP:" : "DNS:") + name);
    add_extension(issued.get(), issuer, NID_authority_key_identifier, "keyid");
    X509_sign(issued.get(), state_->key.get(), EVP_sha256());
    return to_pem(issued.get(), key.get());
}

} // namespace pineridge::standins
