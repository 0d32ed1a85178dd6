// Registers the router itself in a registry: connects to one of the endpoints, keeps the router's own key
// there under a lease, and deletes it at shutdown.
#pragma once

#include "base/log.hpp"
#include "membership/connection_driver.hpp"
#include "membership/endpoints.hpp"
#include "membership/etcd/registrar.hpp"

namespace pineridge::membership {

class Registration {
  public:
    // What is passed by reference must outlive the registration. `tls` may be null. Single-threaded.
    Registration(asio::io_context &io, std::vector<Address> endpoints, etcd::LeasedKey own, std::string token,
                 tls::EngineFactory *tls, const Limits &limits, const Log &log, std::uint64_t seed,
                 ConnectionDriver::Clock clock);

    void begin();
    // Deletes the key. `done` is called once: when the registry has answered, or after the answer timeout.
    void unregister(std::function<void()> done);
    bool registered() const { return lease_.key_written; }

  private:
    asio::awaitable<void> run();
    void finish();

    asio::io_context &io_;
    const std::vector<Address> endpoints_;
    const etcd::LeasedKey own_;
    const std::string token_;
    const Log &log_;
    const ConnectionDriver::Clock clock_;
    EndpointSelector endpoint_selector_;
    ConnectionDriver connection_;
    asio::steady_timer timer_, unregister_timer_;
    etcd::Registrar::LeaseState lease_;
    std::shared_ptr<etcd::Registrar> registrar_;
    std::function<void()> done_;
    bool unregistering_ = false, stopped_ = false, registration_logged_ = false;
};

} // namespace pineridge::membership
