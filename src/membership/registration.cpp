#include "membership/registration.hpp"

#include <sstream>

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

Registration::Registration(asio::io_context &io, std::vector<Address> endpoints, etcd::LeasedKey own,
                           std::string token, tls::EngineFactory *tls, const Limits &limits, const Log &log,
                           std::uint64_t seed, ConnectionDriver::Clock clock)
    : io_(io), endpoints_(std::move(endpoints)), own_(std::move(own)), token_(std::move(token)), log_(log),
      clock_(std::move(clock)), endpoint_selector_(endpoints_.size(), {}, seed ^ 0x9e3779b97f4a7c15ULL),
      connection_(io, limits, clock_, tls, "h2"), timer_(io), unregister_timer_(io) {}

void Registration::begin() { asio::co_spawn(io_, run(), asio::detached); }

void Registration::unregister(std::function<void()> done) {
    if (std::exchange(unregistering_, true)) return;
    done_ = std::move(done);
    if (registrar_) registrar_->deregister();
    connection_.flush_output();
    timer_.cancel();
    unregister_timer_.expires_after(std::chrono::microseconds(own_.answer_timeout * 100));
    unregister_timer_.async_wait([this](boost::system::error_code cancelled) {
        if (cancelled || !done_) return;
        // The registry deletes the key when its lease expires.
        log_.event(Level::warning, "registry.own", {{"key", own_.key}, {"left", "unknown"}});
        finish();
    });
}

void Registration::finish() {
    stopped_ = true;
    connection_.stop();
    unregister_timer_.cancel();
    timer_.cancel();
    if (const auto done = std::exchange(done_, nullptr)) done();
}

asio::awaitable<void> Registration::run() {
    while (!stopped_) {
        const int at = endpoint_selector_.next(clock_());
        if (at < 0) {
            timer_.expires_after(std::chrono::microseconds(
                std::max<Ticks>(1, endpoint_selector_.next_available_at() - clock_()) * 100));
            co_await timer_.async_wait(as_tuple(use_awaitable));
            continue;
        }
        std::ostringstream address;
        address << endpoints_[at];
        registrar_ = std::make_shared<etcd::Registrar>(lease_, own_, address.str(), token_, unregistering_);
        const std::string why = co_await connection_.run(endpoints_[at], registrar_, [this, at] {
            if (!lease_.key_written) return;
            endpoint_selector_.record_success(at);
            if (!std::exchange(registration_logged_, true))
                log_.event(Level::info, "registry.own", {{"key", own_.key}, {"placed", "yes"}});
        });
        if (stopped_) co_return;
        if (registrar_->finished()) {
            log_.event(Level::info, "registry.own", {{"key", own_.key}, {"left", "yes"}});
            co_return finish();
        }
        endpoint_selector_.record_failure(at, clock_());
        registration_logged_ = false;
        log_.event(Level::info, "registry.own",
                   {{"key", own_.key}, {"endpoint", address.str()}, {"why", why}});
    }
}

} // namespace pineridge::membership
