#include "net/http/lines.hpp"

#include "net/http/link.hpp"

namespace pineridge::http {

using asio::as_tuple;
using asio::use_awaitable;

void Lines::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<bool> Lines::follow(const Address &address, const std::string &path, const Take &take) {
    socket_ = asio::ip::tcp::socket(io_);
    Fuse fuse(io_.get_executor());
    fuse.light(socket_, limits_.platform_connect_timeout);
    const auto [refused] = co_await socket_.async_connect(address, as_tuple(use_awaitable));
    if (refused || fuse.blown()) co_return false;
    fuse.light(socket_, limits_.stream_silence_timeout);
    if (!co_await write_call(socket_, address, "GET", path, "")) co_return false;
    Answer answer(limits_.max_http_head_bytes, limits_.max_list_body_bytes);
    std::string unread;
    std::vector<char> room(limits_.read_chunk_bytes);
    bool told = false;
    while (!answer.done() && !answer.bad()) {
        const auto [failed, size] =
            co_await socket_.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) break;
        fuse.light(socket_, limits_.stream_silence_timeout);
        answer.feed({room.data(), size});
        if (!answer.headed()) continue;
        if (answer.status() != 200) {
            log_(Level::warning, name_, ": status ", answer.status());
            break;
        }
        told = true;
        unread += answer.take_body();
        if (!take_lines(unread, take) || unread.size() > limits_.max_stream_line_bytes) break;
    }
    co_return told;
}

bool Lines::take_lines(std::string &unread, const Take &take) {
    std::size_t at = 0;
    bool good = true;
    for (std::size_t end; good && (end = unread.find('\n', at)) != std::string::npos; at = end + 1) {
        const std::string_view line = std::string_view(unread).substr(at, end - at);
        if (line.empty() || line == "\r") continue;
        try {
            good = take(line);
        } catch (const std::exception &bad) {
            log_(Level::warning, name_, ": ", bad.what());
            return false;
        }
    }
    unread.erase(0, at);
    return good;
}

} // namespace pineridge::http
