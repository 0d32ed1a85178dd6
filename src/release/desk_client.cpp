#include "release/desk_client.hpp"

#include "release/wire.hpp"

#include <algorithm>

namespace pineridge::release {

using asio::as_tuple;
using asio::use_awaitable;

DeskClient::DeskClient(asio::io_context &io, const Address &address, const Limits &limits, const Log &log,
                       std::string router, std::uint64_t seed, Plan &plan, std::function<void()> on_update)
    : io_(io), address_(address), limits_(limits), log_(log), router_(std::move(router)), plan_(plan),
      on_update_(std::move(on_update)),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      snapshot_link_(io, address, limits), opinion_link_(io, address, limits),
      stream_(io, limits, log, "desk"),
      line_handler_([this](std::string_view line) { return handle_line(line); }), retry_timer_(io) {}

void DeskClient::start() { asio::co_spawn(io_, run(), asio::detached); }

asio::awaitable<void> DeskClient::run() {
    Milliseconds pause = limits_.min_retry_pause;
    for (;;) {
        bool received = false;
        const auto started = std::chrono::steady_clock::now();
        if (plan_.needs_snapshot()) received = co_await fetch_snapshot();
        // The updates of a desk that is behind must not be applied: its snapshot is requested again after a
        // pause.
        const bool behind = plan_.needs_snapshot();
        if (!behind) received = co_await follow_stream();
        if (received && plan_.needs_snapshot() && !behind)
            continue; // an update was missing; the connection has not failed
        const bool lasted = std::chrono::steady_clock::now() - started > limits_.min_retry_pause;
        pause = received && lasted && !behind
                    ? limits_.min_retry_pause
                    : std::clamp(pause * 2, limits_.min_retry_pause, limits_.max_retry_pause);
        retry_timer_.expires_after(pause * std::uniform_int_distribution(75, 125)(random_) / 100);
        co_await retry_timer_.async_wait(as_tuple(use_awaitable));
    }
}

asio::awaitable<bool> DeskClient::fetch_snapshot() {
    http::Response answer(limits_.max_http_head_bytes, limits_.max_snapshot_bytes);
    const http::CallResult result = co_await snapshot_link_.request(
        "GET", "/release/v1/snapshot", "", limits_.desk_snapshot_timeout, true, answer);
    if (result != http::CallResult::answered || answer.status() != 200) co_return false;
    try {
        plan_.apply_snapshot(read_snapshot(answer.body(), plan_.scheme().released_stage()));
    } catch (const std::exception &error) {
        log_(Level::warning, "desk: snapshot: ", error.what());
        co_return false;
    }
    on_update_();
    co_return true;
}

asio::awaitable<bool> DeskClient::follow_stream() {
    const std::string path = "/release/v1/stream?from=" + std::to_string(plan_.revision());
    const bool received = co_await stream_.follow(address_, path, line_handler_);
    plan_.set_desk_connected(false);
    on_update_();
    co_return received;
}

bool DeskClient::handle_line(std::string_view line) {
    const StreamLine received = read_line(line, plan_.scheme().released_stage());
    if (received.resync) {
        plan_.request_snapshot();
    } else {
        plan_.set_desk_connected(true);
        if (received.update) plan_.apply_update(*received.update);
    }
    on_update_();
    return !plan_.needs_snapshot();
}

void DeskClient::send_opinion(const Opinion &opinion) {
    if (queue_.size() >= limits_.max_pending_opinions) queue_.pop_front();
    queue_.push_back(write_opinion(opinion, plan_.scheme(), router_));
    if (!std::exchange(sending_, true)) asio::co_spawn(io_, send_queued(), asio::detached);
}

asio::awaitable<void> DeskClient::send_queued() {
    while (!queue_.empty()) {
        const std::string opinion = std::move(queue_.front());
        queue_.pop_front();
        http::Response answer(limits_.max_http_head_bytes, limits_.max_stream_line_bytes);
        const http::CallResult result = co_await opinion_link_.request(
            "POST", "/release/v1/opinions", opinion, limits_.desk_answer_timeout, false, answer);
        // Without an answer it is unknown whether the desk counted the opinion. The desk's updates will show
        // it, and the plan may give the opinion again.
        if (result != http::CallResult::answered || answer.status() != 200)
            log_.event(result == http::CallResult::unknown ? Level::info : Level::debug, "desk.opinion",
                       {{"sent", opinion},
                        {"counted", result == http::CallResult::unknown ? "unknown" : "no"},
                        {"status", answer.status()}});
    }
    sending_ = false;
}

} // namespace pineridge::release
