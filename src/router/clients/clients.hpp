// The driver of clients' connections: accepts, reads, writes. What a command asks goes to the core.
#pragma once

#include "admission/connection_limiter.hpp"
#include "admission/descriptor_budget.hpp"
#include "router/clients/request.hpp"
#include "router/clients/session.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_set>

namespace pineridge::router::clients {

namespace asio = boost::asio;

class Connection; // one connection

// Where the answer to one command belongs.
struct ReplyTarget {
    std::shared_ptr<Connection> connection;
    std::uint64_t slot = 0;
};

// What clients ask for, taken by the core.
struct RequestHandler {
    virtual ~RequestHandler() = default;
    // `age`: how long it has lain unread.
    virtual void handle_rpc(ReplyTarget reply, std::shared_ptr<const OwnedRequest> held, Span age) = 0;
    virtual void handle_client_left(const std::string &id) = 0;
    virtual void handle_descriptors_exhausted() = 0; // no descriptor left: idle ones are to be freed
};

class Clients {
  public:
    // Descriptors are taken from the ledger, which outlives this.
    Clients(asio::io_context &io, const Start &start, const Log &log, admission::DescriptorBudget &ledger,
            RequestHandler &handler);

    void listen(); // throws system_error
    static void answer(const ReplyTarget &reply, std::string bytes);

    // Ends service: goes on accepting while connections come, closes each between commands; then calls done.
    void shut_down(std::function<void()> done);
    std::size_t open_connections() const { return open_.size(); }

    // Other rules from now on; those without any keep the door open as it is. Owned together with the caller.
    void set_admission_rules(std::shared_ptr<const Entrance> rules);
    const admission::ConnectionLimiter *door() const { return door_ ? &*door_ : nullptr; }

  private:
    friend class Connection;
    asio::awaitable<void> accept();
    asio::awaitable<void> watch_leave(std::function<void()> done);
    void close_idle(std::chrono::milliseconds unused_for);
    void make_room(std::size_t most, std::size_t looked_at);
    bool take_one(boost::system::error_code &failed); // false: nothing was there to take
    Span late(int socket, std::chrono::steady_clock::time_point now);
    void note_full();
    void rest(Connection &client);
    void busy(Connection &client);
    void begin(asio::ip::tcp::socket socket, const asio::ip::address &from);
    bool is_front(const asio::ip::address &from) const;
    std::string refusal(const std::vector<std::string_view> &arguments, Ticks back) const;
    void shed();
    bool crammed() const {
        return held_bytes_ > start_.limits.memory / 4;
    } // what buffers of clients may hold
    static Ticks now();

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    admission::DescriptorBudget &ledger_;
    RequestHandler &handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const Entrance> rules_; // none: whoever finds room comes in
    std::optional<admission::ConnectionLimiter> door_; // looks at the rules
    std::vector<char> room_to_read_; // for one read at a time, of whichever client
    std::size_t held_bytes_ = 0; // of all clients
    std::unordered_set<std::shared_ptr<Connection>> open_;
    std::list<Connection *> idle_; // of them, the one idle longest first
    std::chrono::steady_clock::time_point last_rpc_{}; // when it came
    asio::steady_timer room_; // ends early when a connection has closed
    std::chrono::steady_clock::time_point late_until_{}, full_said_{};
    std::uint64_t reads_ = 0, given_up_ = 0;
    bool leaving_ = false;
};

} // namespace pineridge::router::clients
