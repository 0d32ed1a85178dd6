#include "net/http/line_stream.hpp"

#include "net/http/connection.hpp"

namespace pineridge::http {

using asio::as_tuple;
using asio::use_awaitable;

void LineStream::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<bool> LineStream::follow(const Address &address, const std::string &path,
                                         const LineHandler &handler) {
    socket_ = asio::ip::tcp::socket(io_);
    SocketDeadline socket_deadline(io_.get_executor());
    socket_deadline.set(socket_, limits_.platform_connect_timeout);
    const auto [connect_error] = co_await socket_.async_connect(address, as_tuple(use_awaitable));
    if (connect_error || socket_deadline.expired()) co_return false;
    socket_deadline.set(socket_, limits_.stream_silence_timeout);
    if (!co_await write_request(socket_, address, "GET", path, "")) co_return false;
    Response response(limits_.max_http_head_bytes, limits_.max_list_body_bytes);
    std::string unread;
    std::vector<char> buffer(limits_.read_chunk_bytes);
    bool received = false;
    while (!response.is_complete() && !response.is_malformed()) {
        const auto [read_error, size] =
            co_await socket_.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (read_error) break;
        socket_deadline.set(socket_, limits_.stream_silence_timeout);
        response.feed({buffer.data(), size});
        if (!response.has_status()) continue;
        if (response.status() != 200) {
            log_(Level::warning, name_, ": status ", response.status());
            break;
        }
        received = true;
        unread += response.take_body();
        if (!handle_lines(unread, handler) || unread.size() > limits_.max_stream_line_bytes) break;
    }
    co_return received;
}

bool LineStream::handle_lines(std::string &unread, const LineHandler &handler) {
    std::size_t line_start = 0;
    bool accepted = true;
    for (std::size_t end; accepted && (end = unread.find('\n', line_start)) != std::string::npos;
         line_start = end + 1) {
        const std::string_view line = std::string_view(unread).substr(line_start, end - line_start);
        if (line.empty() || line == "\r") continue;
        try {
            accepted = handler(line);
        } catch (const std::exception &error) {
            log_(Level::warning, name_, ": ", error.what());
            return false;
        }
    }
    unread.erase(0, line_start);
    return accepted;
}

} // namespace pineridge::http
