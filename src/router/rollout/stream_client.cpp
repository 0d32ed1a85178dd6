#include "router/rollout/stream_client.hpp"

#include <algorithm>

namespace pineridge::router::rollout {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

const std::string kPath = "/apis/fleet/stream";

} // namespace

asio::awaitable<void> StreamClient::run() {
    const Limits &limits = config_.limits;
    Milliseconds pause = limits.min_retry_pause;
    const http::LineStream::LineHandler handle_line = [this](std::string_view line) {
        on_line_(read_stream_line(line, config_.names));
        return true;
    };
    for (;;) {
        bool received_line = false;
        const auto started = std::chrono::steady_clock::now();
        try {
            received_line = co_await lines_.follow(address_, kPath, handle_line);
        } catch (const std::exception &error) {
            log_(Level::warning, "stream: ", error.what());
        }
        if (std::exchange(address_changed_, false)) continue;
        // A stream that has lasted and has sent a line is opened again at once; after others the pause
        // doubles.
        const bool lasted = std::chrono::steady_clock::now() - started > limits.min_retry_pause;
        pause = received_line && lasted
                    ? Milliseconds(0)
                    : std::clamp(pause * 2, limits.min_retry_pause, limits.max_retry_pause);
        log_(Level::info, "stream ended, next connection in about ", pause.count(), " ms");
        pause_timer_.expires_after(pause * std::uniform_int_distribution(75, 125)(random_) / 100);
        co_await pause_timer_.async_wait(as_tuple(use_awaitable));
        address_changed_ = false;
    }
}

void StreamClient::set_address(const Address &address) {
    if (address == address_) return;
    log_(Level::info, "stream: the platform is at ", address, " now");
    address_ = address;
    address_changed_ = true;
    lines_.close();
    pause_timer_.cancel();
}

} // namespace pineridge::router::rollout
