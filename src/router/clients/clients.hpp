// Accepts client connections, reads commands from them and writes the replies. RPCs are passed to a
// RequestHandler. All of it runs on the thread of the io_context.
#pragma once

#include "admission/connection_limiter.hpp"
#include "admission/descriptor_budget.hpp"
#include "admission/eviction_queue.hpp"
#include "router/clients/request.hpp"
#include "router/clients/session.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace pineridge::router::clients {

namespace asio = boost::asio;

class Connection;

// The connection and the reply slot that the reply to one command belongs to.
struct ReplyTarget {
    std::shared_ptr<Connection> connection;
    std::uint64_t slot = 0;
};

// Receives the RPCs of all clients. Each one is answered by Clients::answer, unless its client leaves before.
struct RequestHandler {
    virtual ~RequestHandler() = default;
    // `lateness`: how long the command had been waiting in the kernel before it was read.
    virtual void handle_rpc(ReplyTarget target, std::shared_ptr<const OwnedRequest> request,
                            Milliseconds lateness) = 0;
    // The connection of the RPC with this id has been closed, by its client or by the router.
    virtual void handle_client_left(const std::string &id) = 0;
    // No descriptor was free for a new connection. The handler should close idle connections of its own.
    virtual void handle_descriptors_exhausted() = 0;
};

// Serves the connections of all clients, and closes those that are idle, stalled or hold too much memory.
class Clients {
  public:
    // Holds references to all of the arguments, which have to outlive it.
    Clients(asio::io_context &io, const RouterConfig &config, const Log &log,
            admission::DescriptorBudget &descriptor_budget, RequestHandler &handler);

    // Starts accepting. Throws boost::system::system_error where the address cannot be used.
    void listen();
    static void answer(const ReplyTarget &target, std::string bytes);

    // Starts the graceful shutdown: goes on accepting while RPCs arrive, closes each connection between
    // commands, and calls `done` once all are closed.
    void shut_down(std::function<void()> done);
    std::size_t open_connections() const { return connections_.size(); }

    // Replaces the admission rules. Null means no rules: connections are accepted while descriptors are
    // available.
    void set_admission_rules(std::shared_ptr<const AdmissionSettings> rules);
    // Null while there are no rules.
    const admission::ConnectionLimiter *connection_limiter() const {
        return connection_limiter_ ? &*connection_limiter_ : nullptr;
    }

  private:
    friend class Connection;
    asio::awaitable<void> accept();
    asio::awaitable<void> run_shutdown(std::function<void()> done);
    void close_idle(std::chrono::milliseconds max_unused);
    void close_idle_beyond(std::size_t max_open, std::size_t max_examined);
    // Whether new connections are judged by the limiter, which then evicts for them as well.
    bool enforces_limits() const { return connection_limiter_ && !admission_rules_->observe; }
    bool is_full() const;
    void make_room();
    void evict(const std::vector<admission::EvictionQueue::Entry *> &candidates, std::size_t max_open);
    std::vector<admission::EvictionQueue::Entry *> eviction_candidates(std::size_t max_count) const;
    void schedule_expiry_check();
    void close_expired();
    bool accept_one(boost::system::error_code &failed); // false: no connection could be accepted
    Milliseconds lateness(int socket, std::chrono::steady_clock::time_point now);
    void log_full();
    void start_connection(asio::ip::tcp::socket socket, const asio::ip::address &from);
    void register_connection(const std::shared_ptr<Connection> &connection);
    bool survive_accept_error(const boost::system::error_code &failed);
    bool is_trusted_proxy(const asio::ip::address &from) const;
    std::string rejection_reply(const std::vector<std::string_view> &arguments, Ticks retry_after) const;
    void close_largest_buffers();
    // Buffers of clients may hold a quarter of the memory.
    bool is_short_of_memory() const { return total_buffered_bytes_ > config_.limits.memory_bytes / 4; }
    static Ticks now_ticks();

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    admission::DescriptorBudget &descriptor_budget_;
    RequestHandler &handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const AdmissionSettings> admission_rules_; // null: no rules
    std::optional<admission::ConnectionLimiter> connection_limiter_; // refers to admission_rules_
    std::vector<char> read_buffer_; // shared by all connections: it is emptied within each read
    std::size_t total_buffered_bytes_ = 0; // of all connections
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    admission::EvictionQueue eviction_queue_; // holds all of connections_
    std::chrono::steady_clock::time_point last_rpc_at_{};
    asio::steady_timer accept_timer_; // cancelled when a connection closes
    asio::steady_timer expiry_timer_; // runs while a connection is in a state with a deadline
    bool expiry_check_scheduled_ = false;
    std::chrono::steady_clock::time_point
        lateness_checks_until_{}; // until then the lateness of each read is determined
    std::chrono::steady_clock::time_point last_full_log_{};
    std::uint64_t read_count_ = 0;
    std::uint64_t abandoned_ = 0; // connections that their clients had closed before they were accepted
    bool shutting_down_ = false;
};

} // namespace pineridge::router::clients
