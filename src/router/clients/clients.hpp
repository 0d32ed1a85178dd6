// Accepts client connections, reads commands from them and writes the replies. RPCs are passed to a
// RequestHandler. All of it runs on the thread of the io_context.
#pragma once

#include "admission/connection_limiter.hpp"
#include "admission/descriptor_budget.hpp"
#include "admission/eviction_queue.hpp"
#include "admission/memory_budget.hpp"
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

// Returns a budget for commands or answers.
std::shared_ptr<admission::MemoryBudget> make_memory_budget(std::size_t total_bytes, const Limits &limits);

// Serves the connections of all clients, and closes those that are idle, stalled or hold too much memory.
class Clients {
  public:
    // Holds references to all of the arguments, which have to outlive it.
    Clients(asio::io_context &io, const RouterConfig &config, const Log &log,
            admission::DescriptorBudget &descriptor_budget,
            std::shared_ptr<admission::MemoryBudget> answer_memory, RequestHandler &handler);

    ~Clients();
    Clients(const Clients &) = delete;

    // Starts accepting. Throws boost::system::system_error where the address cannot be used.
    void listen();
    // `memory`: the reservation for the bytes; they are accounted for without one as well.
    static void answer(const ReplyTarget &target, std::string bytes,
                       admission::MemoryReservation memory = {});

    // Starts the graceful shutdown: goes on accepting while RPCs arrive, closes each connection between
    // commands, and calls `done` once all are closed.
    void shut_down(std::function<void()> done);
    std::size_t open_connections() const { return connections_.size(); }
    const admission::MemoryBudget &request_memory() const { return *request_memory_; }

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
    admission::MemoryReservation reserve_request_memory(std::size_t bytes, const Connection &asking);
    void schedule_answer_memory_relief();
    void relieve_answer_memory();
    void log_memory_shortage(std::size_t evicted);
    std::string low_memory_reply() const;
    static Ticks now_ticks();

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    admission::DescriptorBudget &descriptor_budget_;
    const std::shared_ptr<admission::MemoryBudget> request_memory_; // of commands and open RPCs
    const std::shared_ptr<admission::MemoryBudget> answer_memory_; // of answers that are not written
    RequestHandler &handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<const AdmissionSettings> admission_rules_; // null: no rules
    std::optional<admission::ConnectionLimiter> connection_limiter_; // refers to admission_rules_
    std::vector<char> read_buffer_; // shared by all connections: it is emptied within each read
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    admission::EvictionQueue eviction_queue_; // holds all of connections_
    std::chrono::steady_clock::time_point last_rpc_at_{};
    asio::steady_timer accept_timer_; // cancelled when a connection closes
    asio::steady_timer expiry_timer_; // runs while a connection is in a state with a deadline
    bool expiry_check_scheduled_ = false;
    bool frees_request_memory_ = false; // connections are being evicted for it
    bool answer_memory_relief_scheduled_ = false;
    std::chrono::steady_clock::time_point
        lateness_checks_until_{}; // until then the lateness of each read is determined
    std::chrono::steady_clock::time_point last_full_log_{}, last_memory_log_{};
    std::size_t memory_evictions_ = 0; // since the last line of the log about them
    std::uint64_t read_count_ = 0;
    std::uint64_t abandoned_ = 0; // connections that their clients had closed before they were accepted
    bool shutting_down_ = false;
};

} // namespace pineridge::router::clients
