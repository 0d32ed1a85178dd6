#include "membership/registration.hpp"

#include <sstream>

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

Registration::Registration(asio::io_context &io, std::vector<Address> endpoints, etcd::LeasedKey own,
                           std::string token, tls::EngineFactory *tls, const Limits &limits, const Log &log,
                           std::uint64_t seed, Pump::Clock clock)
    : io_(io), endpoints_(std::move(endpoints)), own_(std::move(own)), token_(std::move(token)), log_(log),
      clock_(std::move(clock)), ends_(endpoints_.size(), {}, seed ^ 0x9e3779b97f4a7c15ULL),
      pump_(io, limits, clock_, tls, "h2"), timer_(io), last_(io) {}

void Registration::begin() { asio::co_spawn(io_, run(), asio::detached); }

void Registration::leave(std::function<void()> done) {
    if (std::exchange(leaving_, true)) return;
    done_ = std::move(done);
    if (registrar_) registrar_->deregister();
    pump_.kick();
    timer_.cancel();
    last_.expires_after(std::chrono::microseconds(own_.answer_timeout * 100));
    last_.async_wait([this](boost::system::error_code failed) {
        if (failed || !done_) return;
        // The lease takes the key away when it runs out.
        log_.event(Level::warning, "registry.own", {{"key", own_.key}, {"left", "unknown"}});
        finish();
    });
}

void Registration::finish() {
    stopped_ = true;
    pump_.stop();
    last_.cancel();
    timer_.cancel();
    if (const auto done = std::exchange(done_, nullptr)) done();
}

asio::awaitable<void> Registration::run() {
    while (!stopped_) {
        const int at = ends_.next(clock_());
        if (at < 0) {
            timer_.expires_after(
                std::chrono::microseconds(std::max<Ticks>(1, ends_.wake() - clock_()) * 100));
            co_await timer_.async_wait(as_tuple(use_awaitable));
            continue;
        }
        std::ostringstream address;
        address << endpoints_[at];
        registrar_ = std::make_shared<etcd::Registrar>(lease_, own_, address.str(), token_, leaving_);
        const std::string why = co_await pump_.run(endpoints_[at], registrar_, [this, at] {
            if (!lease_.key_written) return;
            ends_.good(at);
            if (!std::exchange(said_, true))
                log_.event(Level::info, "registry.own", {{"key", own_.key}, {"placed", "yes"}});
        });
        if (stopped_) co_return;
        if (registrar_->over()) {
            log_.event(Level::info, "registry.own", {{"key", own_.key}, {"left", "yes"}});
            co_return finish();
        }
        ends_.bad(at, clock_());
        said_ = false;
        log_.event(Level::info, "registry.own",
                   {{"key", own_.key}, {"endpoint", address.str()}, {"why", why}});
    }
}

} // namespace pineridge::membership
