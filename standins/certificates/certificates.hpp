// Certificate authorities, certificates and keys for tests on loopback, as PEM texts. Each run creates new
// ones.
#pragma once

#include <memory>
#include <string>

namespace pineridge::standins {

struct CertifiedKey {
    std::string certificate, key;
};

class Authority {
  public:
    explicit Authority(const std::string &name);
    ~Authority();

    const std::string &certificate() const { return own_key_pair_.certificate; }
    // Issues a certificate for an IP address or a host name, valid for `days` from now. It has already
    // expired where `days` is negative.
    CertifiedKey issue(const std::string &name, int days = 1) const;

    struct State;

  private:
    std::unique_ptr<State> state_;
    CertifiedKey own_key_pair_;
};

} // namespace pineridge::standins
