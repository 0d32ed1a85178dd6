#include "net/http/connection.hpp"
#include "net/idle_socket.hpp"

#include <sstream>

namespace pineridge::http {

using asio::as_tuple;
using asio::use_awaitable;

asio::awaitable<bool> write_request(asio::ip::tcp::socket &socket, const Address &to, std::string_view method,
                                    std::string_view path, std::string_view body) {
    std::ostringstream host;
    host << to;
    const std::string authority = host.str();
    const std::string size = std::to_string(body.size());
    std::vector<std::string_view> parts{method, " ", path, " HTTP/1.1\r\nHost: ", authority, "\r\n"};
    if (!body.empty())
        for (const std::string_view part :
             {std::string_view("Content-Type: application/json\r\nContent-Length: "), std::string_view(size),
              std::string_view("\r\n")})
            parts.push_back(part);
    parts.emplace_back("\r\n");
    parts.push_back(body);
    std::vector<asio::const_buffer> buffers;
    std::size_t total = 0;
    for (const std::string_view part : parts) {
        buffers.emplace_back(part.data(), part.size());
        total += part.size();
    }
    const auto [failed, written] = co_await asio::async_write(socket, buffers, as_tuple(use_awaitable));
    co_return written == total;
}

bool Connection::set_address(const Address &address) {
    if (address == address_) return false;
    address_ = address;
    ++address_changes_;
    close();
    return true;
}

void Connection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<CallResult> Connection::request(std::string_view method, std::string_view path,
                                                std::string_view body, Milliseconds timeout, bool resend,
                                                Response &response) {
    const bool reused = has_usable_connection();
    const unsigned address_changes = address_changes_;
    const CallResult result = co_await request_once(method, path, body, timeout, response);
    const bool send_again = reused && address_changes == address_changes_ && !socket_deadline_.expired() &&
                            !response.has_started() && (result == CallResult::not_sent || resend);
    if (result == CallResult::answered || !send_again) co_return result;
    co_return co_await request_once(method, path, body, timeout, response);
}

bool Connection::has_usable_connection() {
    if (socket_.is_open() && !is_open_and_idle(socket_)) close();
    return socket_.is_open();
}

asio::awaitable<ConnectResult> Connection::connect() {
    if (has_usable_connection()) co_return ConnectResult::connected;
    const ConnectResult result = co_await open(limits_.platform_connect_timeout);
    socket_deadline_.cancel();
    co_return result;
}

asio::awaitable<ConnectResult> Connection::open(Milliseconds timeout) {
    socket_ = asio::ip::tcp::socket(io_);
    socket_deadline_.set(socket_, std::min(timeout, limits_.platform_connect_timeout));
    const auto [failed] = co_await socket_.async_connect(address_, as_tuple(use_awaitable));
    if (failed || socket_deadline_.expired()) {
        close();
        co_return failed == asio::error::connection_refused ? ConnectResult::refused : ConnectResult::failed;
    }
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return ConnectResult::connected;
}

asio::awaitable<CallResult> Connection::request_once(std::string_view method, std::string_view path,
                                                     std::string_view body, Milliseconds timeout,
                                                     Response &response) {
    connect_result_ = ConnectResult::connected;
    if (!socket_.is_open()) connect_result_ = co_await open(timeout);
    if (connect_result_ != ConnectResult::connected) co_return CallResult::not_sent;
    socket_deadline_.set(socket_, timeout);
    if (!co_await write_request(socket_, address_, method, path, body)) {
        close();
        co_return CallResult::not_sent;
    }
    std::vector<char> buffer(limits_.read_chunk_bytes);
    while (!response.is_complete() && !response.is_malformed()) {
        const auto [failed, size] =
            co_await socket_.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (failed) {
            if (failed == asio::error::eof) response.end_of_stream();
            close();
            break;
        }
        // Once a response has begun, the rest must follow soon. Otherwise one that breaks off would be
        // awaited for as long as the server may hold a long poll.
        if (!response.has_started()) {
            socket_deadline_.set(socket_, std::min(timeout, limits_.answer_rest_timeout));
            if (first_byte_) first_byte_();
        }
        response.feed({buffer.data(), size});
    }
    socket_deadline_.cancel();
    if (!response.is_complete() || !response.keep_alive()) close();
    co_return response.is_complete() ? CallResult::answered : CallResult::unknown;
}

} // namespace pineridge::http
