// One client connection: its socket, its session and its place in the limits that Clients enforces. Runs on
// the thread of the io_context; no member function blocks.
#pragma once

#include "router/clients/clients.hpp"

namespace pineridge::router::clients {

// What the kernel reports of a connection.
struct SocketState {
    bool peer_closed = false; // also true where the kernel reports nothing
    Milliseconds since_last_receive{0};
};
SocketState socket_state(int socket);

// Owns its socket and its session. It lives as long as Clients, a coroutine, a callback or a reply target
// refers to it.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    using Clock = std::chrono::steady_clock;

    Connection(Clients &clients, asio::ip::tcp::socket socket, bool behind_proxy);

    // Asks the connection limiter to admit this connection, and closes the connection that it evicts in
    // return. Returns 0 where the connection may stay, as it always may in observe mode; else it is refused
    // and the client may retry after the returned time.
    Ticks request_admission(const asio::ip::address &from);
    // Pushes back each command that has already arrived, then closes the connection. This path handles floods
    // of connections, so it costs one read, one write and one close.
    void reject(Ticks retry_after);
    asio::awaitable<void> serve();
    void answer(std::uint64_t slot, std::string bytes);

    // Closes the connection unless a command is incomplete or unanswered on it. It is read once more right
    // before the close, so that bytes which have arrived by then are handled and answered. The client of a
    // command that arrives later sees the close without a reply, and sends the command again elsewhere.
    void close_if_idle();
    // Closes a stalled connection, unless bytes that have arrived meanwhile let it make progress.
    void close_if_stalled(Clock::time_point now);
    void close();
    void withdraw_from_limiter();

    // True where the client has been inactive for too long: it does not read its replies, does not
    // complete a command or its PROXY header, or has not sent a first byte.
    bool is_stalled(Clock::time_point now) const;
    bool has_sent_command() const { return has_sent_command_; }
    Clock::time_point last_activity() const { return last_activity_; }
    std::size_t buffered_bytes() const { return buffered_bytes_; }
    bool has_pending_replies() const { return session_.has_pending_replies(); }

    bool holds_descriptor = false; // from the descriptor budget
    std::optional<std::list<Connection *>::iterator> idle_position; // set while in idle_connections_

  private:
    enum class ReadResult { none, some, closed };

    bool may_read() const;
    ReadResult read_available();
    void handle_bytes(std::string_view bytes);
    bool read_proxy_header(std::string_view bytes);
    void update_buffered_bytes();
    void handle_commands();
    void handle_deferred_commands();
    void handle_command(const std::vector<std::string_view> &arguments);
    void write();
    void start_lingering_close();
    void report_written_replies();
    // Ends the RPCs of a client that has closed its side. A half-closed connection cannot be told from one
    // whose client has gone.
    void handle_disconnect() { close(); }

    Clients &clients_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer resume_timer_, linger_timer_;
    Session session_;
    std::vector<std::pair<std::uint64_t, std::string>> unanswered_rpcs_; // reply slots and ids
    Clock::time_point last_activity_;
    Milliseconds lateness_{0}; // how long the bytes read last had been waiting in the kernel
    Clock::time_point partial_command_since_{}; // when the incomplete command started
    admission::ClientConnection limiter_entry_;
    std::vector<bool> unwritten_outcomes_; // of answered RPCs whose replies are not all written: served?
    std::string proxy_header_bytes_; // received so far
    std::size_t buffered_bytes_ = 0; // its part of Clients::total_buffered_bytes_
    Ticks rejected_retry_after_ = 0; // above 0: closed once its first command is pushed back
    bool writing_ = false;
    bool closed_ = false;
    bool discards_input_ = false; // after malformed input or a rejection
    bool has_sent_command_ = false;
    bool awaits_proxy_header_;
    bool admitted_ = false;
    bool lingering_ = false;
    std::size_t discarded_bytes_ = 0; // since discards_input_ was set
};

} // namespace pineridge::router::clients
