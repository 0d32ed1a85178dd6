#include "membership/connection_driver.hpp"

#include "net/socket_deadline.hpp"

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

struct ConnectionDriver::Connection {
    Connection(asio::io_context &io, std::shared_ptr<Protocol> new_protocol,
               std::function<void()> progress_handler)
        : socket(io), timer(io), protocol(std::move(new_protocol)), on_progress(std::move(progress_handler)) {
    }

    bool is_done() const { return closed || protocol->has_failed() || protocol->finished(); }
    void end() {
        closed = true;
        boost::system::error_code ignored;
        socket.close(ignored);
        timer.cancel();
    }
    // Takes bytes from the network. Returns false if the connection is to be closed.
    bool receive(std::string_view bytes, Ticks now) {
        if (!engine) return protocol->feed(bytes, now);
        const bool valid = engine->feed(bytes);
        const std::string plaintext = engine->take_plaintext();
        if (!plaintext.empty() && !protocol->feed(plaintext, now)) return false;
        if (!valid) reason = "TLS: " + engine->error();
        return valid && !engine->ended();
    }
    std::string output() {
        std::string plaintext = protocol->output();
        if (!engine) return plaintext;
        if (!plaintext.empty()) engine->send(plaintext);
        if (reason.empty() && !engine->error().empty()) reason = "TLS: " + engine->error();
        return engine->take_output();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    const std::shared_ptr<Protocol> protocol;
    const std::function<void()> on_progress;
    std::unique_ptr<tls::Engine> engine;
    std::string reason;
    bool writing = false, closed = false;
};

void ConnectionDriver::stop() {
    if (connection_) connection_->end();
}

void ConnectionDriver::flush_output() {
    if (connection_ && !connection_->closed) flush_output(connection_);
}

asio::awaitable<std::string> ConnectionDriver::run(const Address &address, std::shared_ptr<Protocol> protocol,
                                                   std::function<void()> on_progress) {
    const auto connection = connection_ =
        std::make_shared<Connection>(io_, std::move(protocol), std::move(on_progress));
    SocketDeadline socket_deadline(io_.get_executor());
    socket_deadline.set(connection->socket, limits_.platform_connect_timeout);
    const auto [connect_error] = co_await connection->socket.async_connect(address, as_tuple(use_awaitable));
    if (connect_error || socket_deadline.expired()) {
        connection->end();
        co_return "connect failed or timed out";
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
    if (!connection->closed && connection->reason.empty() && !connection->protocol->has_failed())
        connection->protocol->connection_closed();
    connection->end();
    const std::string reason = !connection->reason.empty()          ? connection->reason
                               : connection->protocol->has_failed() ? connection->protocol->failure()
                               : connection->protocol->finished()   ? "done"
                                                                    : "left";
    connection->on_progress();
    co_return reason;
}

// Sets the protocol's time while nothing is received, so that its timeouts can end the connection.
asio::awaitable<void> ConnectionDriver::run_timer(std::shared_ptr<Connection> connection) {
    for (;;) {
        connection->timer.expires_after(std::chrono::milliseconds(20));
        co_await connection->timer.async_wait(as_tuple(use_awaitable));
        if (connection->closed) co_return;
        connection->protocol->set_time(clock_());
        flush_output(connection);
        connection->on_progress();
        if (connection->is_done()) co_return connection->end();
    }
}

void ConnectionDriver::flush_output(const std::shared_ptr<Connection> &connection) {
    if (!std::exchange(connection->writing, true)) asio::co_spawn(io_, write(connection), asio::detached);
}

// While a write waits, the other side is not reading. The protocol bounds the output that accumulates
// meanwhile.
asio::awaitable<void> ConnectionDriver::write(std::shared_ptr<Connection> connection) {
    for (std::string bytes; !connection->closed && !(bytes = connection->output()).empty();) {
        const auto [failed, size] =
            co_await asio::async_write(connection->socket, asio::buffer(bytes), as_tuple(use_awaitable));
        if (failed) connection->end();
    }
    if (!connection->reason.empty()) connection->end();
    connection->writing = false;
}

} // namespace pineridge::membership
