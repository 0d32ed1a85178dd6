// Authorities, certificates and keys for tests on loopback, as PEM texts, made anew at each run.
#pragma once

#include <memory>
#include <string>

namespace pineridge::standins {

struct Papers {
    std::string certificate, key;
};

class Authority {
  public:
    explicit Authority(const std::string &name);
    ~Authority();

    const std::string &certificate() const { return own_.certificate; }
    // For an IP address or a host name; good for so many days from now, or no longer good where below 0.
    Papers issue(const std::string &name, int days = 1) const;

    struct State;

  private:
    std::unique_ptr<State> state_;
    Papers own_;
};

} // namespace pineridge::standins
