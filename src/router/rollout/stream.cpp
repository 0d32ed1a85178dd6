#include "router/rollout/stream.hpp"

#include <algorithm>

namespace pineridge::router::rollout {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

const std::string kPath = "/apis/fleet/stream";

} // namespace

asio::awaitable<void> Stream::run() {
    const Limits &limits = start_.limits;
    Milliseconds pause = limits.min_retry_pause;
    const http::Lines::Take take = [this](std::string_view line) {
        told_(read_line(line, start_.names));
        return true;
    };
    for (;;) {
        bool told = false;
        const auto began = std::chrono::steady_clock::now();
        try {
            told = co_await lines_.follow(address_, kPath, take);
        } catch (const std::exception &failed) {
            log_(Level::warning, "stream: ", failed.what());
        }
        if (std::exchange(moved_, false)) continue;
        // One that has told something is followed at once, unless it is the next in a row to end early.
        const bool lasted = std::chrono::steady_clock::now() - began > limits.min_retry_pause;
        pause = told && lasted ? Milliseconds(0)
                               : std::clamp(pause * 2, limits.min_retry_pause, limits.max_retry_pause);
        log_(Level::info, "stream ended, again in about ", pause.count(), " ms");
        timer_.expires_after(pause * std::uniform_int_distribution(75, 125)(chance_) / 100);
        co_await timer_.async_wait(as_tuple(use_awaitable));
        moved_ = false;
    }
}

void Stream::move_to(const Address &address) {
    if (address == address_) return;
    log_(Level::info, "stream: from ", address, " now");
    address_ = address;
    moved_ = true;
    lines_.close();
    timer_.cancel();
}

} // namespace pineridge::router::rollout
