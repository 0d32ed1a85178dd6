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

    // Asks the connection limiter to admit this connection, and evicts the connection that it selects in
    // return. Returns 0 where the connection may stay, as it always may in observe mode; else it is refused
    // and the client may retry after the returned time.
    Ticks request_admission(const asio::ip::address &from);
    // Refuses the connection. The commands that have arrived are pushed back, and the connection is closed if
    // nothing else has arrived. Otherwise it stays open: its first command is pushed back once it is
    // complete.
    void reject(Ticks retry_after);
    asio::awaitable<void> serve();
    void answer(std::uint64_t slot, std::string bytes, admission::MemoryReservation memory);
    // Enters the connection's present state in the eviction queue. Has to be called after every change of
    // what the state depends on.
    void update_state();

    // Closes the connection unless a command is incomplete or unanswered on it. It is read once more right
    // before the close, so that bytes which have arrived by then are handled and answered. The client of a
    // command that arrives later sees the close without a reply, and sends the command again elsewhere.
    void close_if_idle();
    // Closes the connection to make room for others. Like each close of a connection that may carry a
    // command, it reads first what has arrived: a connection on which a command is then unanswered stays
    // open.
    void evict();
    // Closes the connection if it has not left its state by its deadline, even with the bytes that have
    // arrived by now.
    void close_if_expired(Clock::time_point now);
    void close();
    void withdraw_from_limiter();

    bool is_closed() const { return closed_; }
    bool is_admitted() const { return admitted_; } // by the connection limiter, which may evict it
    bool has_sent_command() const { return has_sent_command_; }
    Clock::time_point last_activity() const { return last_activity_; }
    bool holds_memory() const { return command_memory_.bytes() > 0; } // for a command that is not whole

    bool holds_descriptor = false; // from the descriptor budget

  private:
    enum class ReadResult { none, some, closed, no_memory };

    admission::ConnectionState state() const;
    Clock::time_point deadline(admission::ConnectionState state) const; // of the present stay in the state
    bool awaits_command() const; // and no reply is pending
    bool may_read() const;
    ReadResult read_available();
    bool reserve_command_memory();
    admission::MemoryReservation reserve_rpc_memory();
    void push_back_unread_command();
    asio::awaitable<bool> pause(Milliseconds duration);
    void read_until_command();
    std::string reply_to_arrived_commands(boost::system::error_code &failed);
    void handle_bytes(std::string_view bytes);
    bool read_proxy_header(std::string_view bytes);
    void handle_commands();
    void handle_deferred_commands();
    bool client_has_left();
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
    const Clock::time_point accepted_at_;
    Clock::time_point last_activity_;
    Milliseconds lateness_{0}; // how long the bytes read last had been waiting in the kernel
    Clock::time_point partial_command_since_{}; // when the incomplete command started
    admission::ClientConnection limiter_entry_;
    admission::EvictionQueue::Entry eviction_entry_;
    std::vector<bool> unwritten_outcomes_; // of answered RPCs whose replies are not all written: served?
    std::string proxy_header_bytes_; // received so far
    admission::MemoryReservation
        command_memory_; // for the command that is being received, unless it is small
    std::optional<Clock::time_point> waits_for_memory_since_;
    Ticks rejected_retry_after_ = 0; // above 0: closed once its first command has been pushed back
    bool client_presence_checked_ = false; // for the commands that are being handled
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
