#include "membership/pump.hpp"

#include "net/socket_deadline.hpp"

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

struct Pump::Line {
    Line(asio::io_context &io, std::shared_ptr<Peer> its_peer, std::function<void()> its_moved)
        : socket(io), timer(io), peer(std::move(its_peer)), moved(std::move(its_moved)) {}

    bool dead() const { return over || peer->dead() || peer->over(); }
    void end() {
        over = true;
        boost::system::error_code ignored;
        socket.close(ignored);
        timer.cancel();
    }
    // Bytes from the network; false: of no further use.
    bool take(std::string_view bytes, Ticks now) {
        if (!engine) return peer->feed(bytes, now);
        const bool sound = engine->feed(bytes);
        const std::string clear = engine->take_plaintext();
        if (!clear.empty() && !peer->feed(clear, now)) return false;
        if (!sound) why = "TLS: " + engine->error();
        return sound && !engine->ended();
    }
    std::string output() {
        std::string clear = peer->output();
        if (!engine) return clear;
        if (!clear.empty()) engine->send(clear);
        if (why.empty() && !engine->error().empty()) why = "TLS: " + engine->error();
        return engine->take_output();
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    const std::shared_ptr<Peer> peer;
    const std::function<void()> moved;
    std::unique_ptr<tls::Engine> engine;
    std::string why;
    bool writing = false, over = false;
};

void Pump::stop() {
    if (line_) line_->end();
}

void Pump::kick() {
    if (line_ && !line_->over) kick(line_);
}

asio::awaitable<std::string> Pump::run(const Address &address, std::shared_ptr<Peer> peer,
                                       std::function<void()> moved) {
    const auto line = line_ = std::make_shared<Line>(io_, std::move(peer), std::move(moved));
    SocketDeadline socket_deadline(io_.get_executor());
    socket_deadline.set(line->socket, limits_.platform_connect_timeout);
    const auto [refused] = co_await line->socket.async_connect(address, as_tuple(use_awaitable));
    if (refused || socket_deadline.expired()) {
        line->end();
        co_return "no connection";
    }
    socket_deadline.cancel();
    boost::system::error_code ignored;
    line->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (tls_) line->engine = tls_->make_engine(address.address().to_string(), protocol_);
    line->peer->begin(clock_());
    kick(line);
    asio::co_spawn(io_, beat(line), asio::detached);
    std::string room(limits_.read_chunk_bytes, '\0');
    while (!line->dead()) {
        const auto [failed, size] =
            co_await line->socket.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        heard_ += size;
        if (failed || !line->take({room.data(), size}, clock_())) break;
        kick(line);
        line->moved();
    }
    if (!line->over && line->why.empty() && !line->peer->dead()) line->peer->ended();
    line->end();
    const std::string why = !line->why.empty()   ? line->why
                            : line->peer->dead() ? line->peer->why()
                            : line->peer->over() ? "done"
                                                 : "left";
    line->moved();
    co_return why;
}

// Time goes on for the peer while nothing comes: its bounds end the connection.
asio::awaitable<void> Pump::beat(std::shared_ptr<Line> line) {
    for (;;) {
        line->timer.expires_after(std::chrono::milliseconds(20));
        co_await line->timer.async_wait(as_tuple(use_awaitable));
        if (line->over) co_return;
        line->peer->clock(clock_());
        kick(line);
        line->moved();
        if (line->dead()) co_return line->end();
    }
}

void Pump::kick(const std::shared_ptr<Line> &line) {
    if (!std::exchange(line->writing, true)) asio::co_spawn(io_, write(line), asio::detached);
}

// A write that waits is a peer that does not read: what piles up behind it is bounded by the conversation.
asio::awaitable<void> Pump::write(std::shared_ptr<Line> line) {
    for (std::string bytes; !line->over && !(bytes = line->output()).empty();) {
        const auto [failed, size] =
            co_await asio::async_write(line->socket, asio::buffer(bytes), as_tuple(use_awaitable));
        if (failed) line->end();
    }
    if (!line->why.empty()) line->end();
    line->writing = false;
}

} // namespace pineridge::membership
