#include "standins/http/server.hpp"

#include <charconv>
#include <cstdio>

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

void HttpConnection::send(std::string bytes) {
    if (!socket_.is_open()) return;
    unsent_.push_back(std::move(bytes));
    if (!std::exchange(writing_, true)) asio::co_spawn(socket_.get_executor(), write(), asio::detached);
}

asio::awaitable<void> HttpConnection::write() {
    const auto self = shared_from_this();
    while (!unsent_.empty() && socket_.is_open()) {
        const auto [failed, size] =
            co_await asio::async_write(socket_, asio::buffer(unsent_.front()), as_tuple(use_awaitable));
        if (failed) break;
        unsent_.pop_front();
    }
    writing_ = false;
}

void HttpConnection::answer(int status, const std::string &body) {
    send("HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body);
}

void HttpConnection::begin_stream() { send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }

void HttpConnection::send_line(const std::string &text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
    send(size + text + "\n\r\n");
}

void HttpConnection::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void HttpConnection::reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

Server::Server(asio::io_context &io, Handler handler, unsigned short port)
    : io_(io), handler_(std::move(handler)), reserved_port_(io, port) {
    start();
}

void Server::start() {
    using asio::ip::tcp;
    acceptor_ = std::make_shared<tcp::acceptor>(io_, reserved_port_.endpoint());
    asio::co_spawn(io_, accept(), asio::detached);
}

void Server::stop() {
    acceptor_->close();
    for (const auto &connection : connections_)
        if (const auto open = connection.lock()) open->reset();
    connections_.clear();
}

asio::awaitable<void> Server::accept() {
    const auto acceptor = acceptor_;
    for (;;) {
        auto [failed, socket] = co_await acceptor->async_accept(as_tuple(use_awaitable));
        if (failed) co_return;
        ++accepted_;
        auto connection = std::make_shared<HttpConnection>(std::move(socket));
        std::erase_if(connections_, [](const auto &weak) { return weak.expired(); });
        connections_.push_back(connection);
        asio::co_spawn(io_, serve(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> Server::serve(std::shared_ptr<HttpConnection> connection) {
    std::string received, buffer(16384, '\0');
    while (connection->open()) {
        const auto [failed, size] =
            co_await connection->socket_.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (failed) break;
        received.append(buffer, 0, size);
        for (std::size_t end; (end = received.find("\r\n\r\n")) != std::string::npos;) {
            std::size_t length = 0;
            const std::string head = received.substr(0, end + 2);
            if (const std::size_t at = head.find("\r\nContent-Length: "); at != std::string::npos)
                std::from_chars(head.data() + at + 18, head.data() + head.size(), length);
            if (received.size() < end + 4 + length) break;
            const std::size_t method_end = head.find(' '), path_end = head.find(' ', method_end + 1);
            const HttpRequest request{head.substr(0, method_end),
                                      head.substr(method_end + 1, path_end - method_end - 1),
                                      received.substr(end + 4, length)};
            received.erase(0, end + 4 + length);
            handler_(request, connection);
        }
    }
    connection->close();
}

} // namespace pineridge::standins
