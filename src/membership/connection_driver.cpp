#include "membership/connection_driver.hpp"

#include "net/socket_deadline.hpp"

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

struct ConnectionDriver::Connection {
    Connection(asio::io_context &io, std::shared_ptr<Protocol> its_protocol,
               std::function<void()> its_on_progress)
        : socket(io), timer(io), protocol(std::move(its_protocol)), on_progress(std::move(its_on_progress)) {}

    bool is_done() const { return over || protocol->has_failed() || protocol->finished(); }
    void end() {
        over = true;
        boost::system::error_code ignored;
        socket.close(ignored);
        timer.cancel();
    }
    // Bytes from the network; false: of no further use.
    bool receive(std::string_view bytes, Ticks now) {
        if (!engine) return protocol->feed(bytes, now);
        const bool sound = engine->feed(bytes);
        const std::string clear = engine->take_plaintext();
        if (!clear.empty() && !protocol->feed(clear, now)) return false;
        if (!sound) why = "TLS: " + engine->error();
        return sound && !engine->ended();
    }
    std::string output() {
        std::string clear = protocol->output();
        if (!engine) return clear;
        if (!clear.empty()) engine->send(clear);
        if (why.empty() && !engine->error().empty()) why = "TLS: " + engine->error();
        return engine->take_output();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    const std::shared_ptr<Protocol> protocol;
    const std::function<void()> on_progress;
    std::unique_ptr<tls::Engine> engine;
    std::string why;
    bool writing = false, over = false;
};

void ConnectionDriver::stop() {
    if (connection_) connection_->end();
}

void ConnectionDriver::flush_output() {
    if (connection_ && !connection_->over) flush_output(connection_);
}

asio::awaitable<std::string> ConnectionDriver::run(const Address &address, std::shared_ptr<Protocol> protocol,
                                                   std::function<void()> on_progress) {
    const auto connection = connection_ =
        std::make_shared<Connection>(io_, std::move(protocol), std::move(on_progress));
    SocketDeadline socket_deadline(io_.get_executor());
    socket_deadline.set(connection->socket, limits_.platform_connect_timeout);
    const auto [refused] = co_await connection->socket.async_connect(address, as_tuple(use_awaitable));
    if (refused || socket_deadline.expired()) {
        connection->end();
        co_return "no connection";
    }
    socket_deadline.cancel();
    boost::system::error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (tls_) connection->engine = tls_->make_engine(address.address().to_string(), protocol_);
    connection->protocol->begin(clock_());
    flush_output(connection);
    asio::co_spawn(io_, run_timer(connection), asio::detached);
    std::string buffer(limits_.read_chunk_bytes, '\0');
    while (!connection->is_done()) {
        const auto [failed, size] =
            co_await connection->socket.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        received_bytes_ += size;
        if (failed || !connection->receive({buffer.data(), size}, clock_())) break;
        flush_output(connection);
        connection->on_progress();
    }
    if (!connection->over && connection->why.empty() && !connection->protocol->has_failed())
        connection->protocol->connection_closed();
    connection->end();
    const std::string why = !connection->why.empty()             ? connection->why
                            : connection->protocol->has_failed() ? connection->protocol->failure()
                            : connection->protocol->finished()   ? "done"
                                                                 : "left";
    connection->on_progress();
    co_return why;
}

// Time goes on for the protocol while nothing comes: its bounds end the connection.
asio::awaitable<void> ConnectionDriver::run_timer(std::shared_ptr<Connection> connection) {
    for (;;) {
        connection->timer.expires_after(std::chrono::milliseconds(20));
        co_await connection->timer.async_wait(as_tuple(use_awaitable));
        if (connection->over) co_return;
        connection->protocol->set_time(clock_());
        flush_output(connection);
        connection->on_progress();
        if (connection->is_done()) co_return connection->end();
    }
}

void ConnectionDriver::flush_output(const std::shared_ptr<Connection> &connection) {
    if (!std::exchange(connection->writing, true)) asio::co_spawn(io_, write(connection), asio::detached);
}

// A write that waits is a protocol that does not read: what piles up behind it is bounded by the
// conversation.
asio::awaitable<void> ConnectionDriver::write(std::shared_ptr<Connection> connection) {
    for (std::string bytes; !connection->over && !(bytes = connection->output()).empty();) {
        const auto [failed, size] =
            co_await asio::async_write(connection->socket, asio::buffer(bytes), as_tuple(use_awaitable));
        if (failed) connection->end();
    }
    if (!connection->why.empty()) connection->end();
    connection->writing = false;
}

} // namespace pineridge::membership
