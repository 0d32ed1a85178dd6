// The driver of votes: one call at a time on a connection of its own; of those waiting the newest counts.
#pragma once

#include "net/http/link.hpp"
#include "router/rollout/news.hpp"

#include <functional>
#include <optional>

namespace pineridge::router::rollout {

namespace asio = boost::asio;

class Votes {
  public:
    Votes(asio::io_context &io, const Start &start, const Log &log,
          std::function<void(const RolloutUpdate &)> answered)
        : io_(io), start_(start), log_(log), link_(io, start.platform, start.limits),
          answered_(std::move(answered)) {}

    void cast(int build, int stage, Verdict verdict);
    void move_to(const Address &address) { link_.move_to(address); }

  private:
    asio::awaitable<void> run();

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    http::Link link_;
    std::function<void(const RolloutUpdate &)> answered_;
    std::optional<std::string> waiting_;
    bool running_ = false;
};

} // namespace pineridge::router::rollout
