// The driver of the platform's stream: connects again whenever it ends or falls silent.
#pragma once

#include "net/http/lines.hpp"
#include "router/rollout/news.hpp"

#include <functional>
#include <random>

namespace pineridge::router::rollout {

namespace asio = boost::asio;

class Stream {
  public:
    Stream(asio::io_context &io, const Start &start, const Log &log, std::function<void(const Told &)> told)
        : io_(io), start_(start), log_(log), told_(std::move(told)), chance_(start.seed),
          address_(start.platform), lines_(io, start.limits, log, "stream"), timer_(io) {}

    void begin() { asio::co_spawn(io_, run(), asio::detached); }
    void move_to(const Address &address); // connects there at once

  private:
    asio::awaitable<void> run();

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    std::function<void(const Told &)> told_;
    std::minstd_rand chance_;
    Address address_;
    http::Lines lines_;
    asio::steady_timer timer_; // the pause before the next connection
    bool moved_ = false;
};

} // namespace pineridge::router::rollout
