// Client of the platform's stream of rollout messages. It connects again whenever the stream ends or is
// silent for too long. Runs on the thread of the io_context; no function blocks.
#pragma once

#include "net/http/line_stream.hpp"
#include "router/rollout/messages.hpp"

#include <functional>
#include <random>

namespace pineridge::router::rollout {

namespace asio = boost::asio;

class StreamClient {
  public:
    StreamClient(asio::io_context &io, const RouterConfig &config, const Log &log,
                 std::function<void(const StreamLine &)> on_line)
        : io_(io), config_(config), log_(log), on_line_(std::move(on_line)), random_(config.seed),
          address_(config.platform), lines_(io, config.limits, log, "stream"), pause_timer_(io) {}

    void start() { asio::co_spawn(io_, run(), asio::detached); }
    void set_address(const Address &address); // connects to the new address at once

  private:
    asio::awaitable<void> run();

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    std::function<void(const StreamLine &)> on_line_;
    std::minstd_rand random_;
    Address address_;
    http::LineStream lines_;
    asio::steady_timer pause_timer_; // before the next connection
    bool address_changed_ = false; // since the last connection was opened
};

} // namespace pineridge::router::rollout
