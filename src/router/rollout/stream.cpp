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
        try {
            told = co_await follow();
        } catch (const std::exception &failed) {
            log_(Level::warning, "stream: ", failed.what());
        }
        if (std::exchange(moved_, false)) continue;
        pause = told ? limits.retry_least : std::min(pause * 2, limits.retry_most);
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
        take_lines(unread);
        if (unread.size() > limits.news_line) break;
    }
    co_return told;
}

void Stream::take_lines(std::string &unread) {
    std::size_t at = 0;
    for (std::size_t end; (end = unread.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string_view line = std::string_view(unread).substr(at, end - at);
        if (line.empty() || line == "\r") continue;
        try {
            told_(read_line(line, start_.names));
        } catch (const BadInput &bad) {
            log_(Level::warning, "stream: ", bad.what());
        }
    }
    unread.erase(0, at);
}

} // namespace pineridge::router::rollout
