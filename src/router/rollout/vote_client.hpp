// Sends votes to the platform, one call at a time on a connection of its own. Of the votes that wait for a
// call to end only the latest is sent. Runs on the thread of the io_context; no function blocks.
#pragma once

#include "net/http/connection.hpp"
#include "router/rollout/messages.hpp"

#include <functional>
#include <optional>

namespace pineridge::router::rollout {

namespace asio = boost::asio;

class VoteClient {
  public:
    VoteClient(asio::io_context &io, const RouterConfig &config, const Log &log,
               std::function<void(const RolloutUpdate &)> on_answer)
        : io_(io), config_(config), log_(log), link_(io, config.platform, config.limits),
          on_answer_(std::move(on_answer)) {}

    // `on_answer` is called with the answer; its `valid` is false if the vote was not counted or there is
    // none.
    void cast(int build, int stage, Verdict verdict);
    void set_address(const Address &address) { link_.set_address(address); }

  private:
    asio::awaitable<void> run();

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    http::Connection link_;
    std::function<void(const RolloutUpdate &)> on_answer_;
    std::optional<std::string> pending_; // the encoded vote to send next
    bool running_ = false;
};

} // namespace pineridge::router::rollout
