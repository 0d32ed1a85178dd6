#include "router/rollout/stream.hpp"

#include <algorithm>

namespace pineridge::router::rollout {

using asio::as_tuple;
using asio::use_awaitable;

asio::awaitable<void> Stream::run() {
    const Limits &limits = start_.limits;
    Span pause = limits.retry_least;
    for (;;) {
        bool told = false;
        const auto began = std::chrono::steady_clock::now();
        try {
            told = co_await follow();
        } catch (const std::exception &failed) {
            log_(Level::warning, "stream: ", failed.what());
        }
        if (std::exchange(moved_, false)) continue;
        // One that has told something is followed at once, unless it is the next in a row to end early.
        const bool lasted = std::chrono::steady_clock::now() - began > limits.retry_least;
        pause = told && lasted ? Span(0) : std::clamp(pause * 2, limits.retry_least, limits.retry_most);
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
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

asio::awaitable<bool> Stream::follow() {
    const Limits &limits = start_.limits;
    socket_ = asio::ip::tcp::socket(io_);
    Fuse fuse(io_.get_executor());
    fuse.light(socket_, limits.platform_connect);
    const auto [refused] = co_await socket_.async_connect(address_, as_tuple(use_awaitable));
    if (refused || fuse.blown()) co_return false;
    fuse.light(socket_, limits.stream_silence);
    if (!co_await http::write_call(socket_, address_, "GET", "/apis/fleet/stream", "")) co_return false;
    http::Answer answer(limits.head, limits.list_body);
    std::string unread;
    std::vector<char> room(limits.read_step);
    bool told = false;
    while (!answer.done() && !answer.bad()) {
        const auto [failed, size] =
            co_await socket_.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) break;
        fuse.light(socket_, limits.stream_silence);
        answer.feed({room.data(), size});
        if (!answer.headed()) continue;
        if (answer.status() != 200) {
            log_(Level::warning, "stream: status ", answer.status());
            break;
        }
        told = true;
        unread += answer.take_body();
        // After a line that cannot be read nothing more of this connection is believed.
        if (!take_lines(unread) || unread.size() > limits.news_line) break;
    }
    co_return told;
}

bool Stream::take_lines(std::string &unread) {
    std::size_t at = 0;
    for (std::size_t end; (end = unread.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string_view line = std::string_view(unread).substr(at, end - at);
        if (line.empty() || line == "\r") continue;
        try {
            told_(read_line(line, start_.names));
        } catch (const std::exception &bad) {
            log_(Level::warning, "stream: ", bad.what());
            return false;
        }
    }
    unread.erase(0, at);
    return true;
}

} // namespace pineridge::router::rollout
