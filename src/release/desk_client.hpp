// The client of a release desk (docs/release/protocol.md). It reads the snapshot, follows the stream of
// updates from the snapshot's revision, and sends opinions on a connection of its own. When a connection ends
// it reconnects with exponential, jittered back-off; the plan keeps its state in the meantime.
#pragma once

#include "net/http/connection.hpp"
#include "net/http/line_stream.hpp"
#include "release/plan.hpp"

#include <deque>
#include <functional>
#include <random>

namespace pineridge::release {

namespace asio = boost::asio;

class DeskClient {
  public:
    // `on_update` is called each time after the plan has been changed. The plan, the limits and the log must
    // outlive the client.
    DeskClient(asio::io_context &io, const Address &address, const Limits &limits, const Log &log,
               std::string router, std::uint64_t seed, Plan &plan, std::function<void()> on_update);

    void start();
    // Queues an opinion. Beyond the bound the oldest one is dropped: the plan gives it again later.
    void send_opinion(const Opinion &opinion);

  private:
    asio::awaitable<void> run();
    asio::awaitable<bool> fetch_snapshot();
    asio::awaitable<bool> follow_stream(); // true: at least one line was received
    asio::awaitable<void> send_queued();
    bool handle_line(std::string_view line); // false: the plan needs the snapshot

    asio::io_context &io_;
    const Address address_;
    const Limits &limits_;
    const Log &log_;
    const std::string router_;
    Plan &plan_;
    std::function<void()> on_update_;
    std::minstd_rand random_;
    http::Connection snapshot_link_, opinion_link_;
    http::LineStream stream_;
    const http::LineStream::LineHandler line_handler_;
    asio::steady_timer retry_timer_;
    std::deque<std::string> queue_;
    bool sending_ = false;
};

} // namespace pineridge::release
