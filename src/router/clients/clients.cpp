#include "router/clients/clients.hpp"

#include "router/clients/connection.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pineridge::router::clients {

namespace {

using asio::as_tuple;
using asio::detached;
using asio::use_awaitable;
using Clock = std::chrono::steady_clock;
using DeferAccept = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_DEFER_ACCEPT>;
using admission::ConnectionState;
using admission::EvictionQueue;

// A refused or lingering connection is evicted at once: nothing but the delivery of a refusal or an error is
// owed on it.
EvictionQueue make_eviction_queue(const Limits &limits) {
    std::array<EvictionQueue::Duration, admission::kConnectionStateCount> min_ages{};
    for (const ConnectionState state :
         {ConnectionState::silent, ConnectionState::partial_command, ConnectionState::idle})
        min_ages[static_cast<std::size_t>(state)] = limits.min_idle_before_eviction;
    min_ages[static_cast<std::size_t>(ConnectionState::unread_replies)] = limits.min_unread_before_eviction;
    return EvictionQueue(min_ages);
}

// Whether an accept failed for want of a resource that closing connections releases.
bool is_out_of_resources(const boost::system::error_code &failed) {
    return failed == asio::error::no_descriptors ||
           failed == boost::system::errc::too_many_files_open_in_system ||
           failed == asio::error::no_buffer_space || failed == asio::error::no_memory;
}

// Whether an accept failed only for the connection at the front of the queue, or was interrupted: the next
// one may succeed at once. These are the errors that accept(2) lists as those of the new socket.
bool concerns_one_connection(const boost::system::error_code &failed) {
    constexpr std::array kErrors{ECONNABORTED, EINTR,       EPROTO,    ENETDOWN,
                                 ENOPROTOOPT,  EHOSTDOWN,   ENONET,    EHOSTUNREACH,
                                 EOPNOTSUPP,   ENETUNREACH, ETIMEDOUT, ECONNRESET};
    return failed.category() == boost::system::system_category() &&
           std::find(kErrors.begin(), kErrors.end(), failed.value()) != kErrors.end();
}

} // namespace

std::shared_ptr<admission::MemoryBudget> make_memory_budget(std::size_t total_bytes, const Limits &limits) {
    const auto kept_for_small =
        static_cast<std::size_t>(static_cast<double>(total_bytes) * limits.small_memory_share);
    return std::make_shared<admission::MemoryBudget>(
        total_bytes, resp::ReceiveBuffer::kSmallBytes + limits.rpc_overhead_bytes, kept_for_small);
}

Clients::Clients(asio::io_context &io, const RouterConfig &config, const Log &log,
                 admission::DescriptorBudget &descriptor_budget,
                 std::shared_ptr<admission::MemoryBudget> answer_memory, RequestHandler &handler)
    : io_(io), config_(config), log_(log), descriptor_budget_(descriptor_budget),
      request_memory_(make_memory_budget(config.limits.request_memory_bytes, config.limits)),
      answer_memory_(std::move(answer_memory)), handler_(handler), acceptor_(io),
      read_buffer_(config.limits.read_chunk_bytes), eviction_queue_(make_eviction_queue(config.limits)),
      accept_timer_(io), expiry_timer_(io) {
    set_admission_rules(config.admission);
    answer_memory_->on_shortage([this] { schedule_answer_memory_relief(); });
}

Clients::~Clients() { answer_memory_->on_shortage({}); }

Ticks Clients::now_ticks() {
    return std::chrono::floor<TickDuration>(Clock::now().time_since_epoch()).count();
}

// Connections that were accepted while there was no limiter stay unknown to it: only make_room evicts them.
void Clients::set_admission_rules(std::shared_ptr<const AdmissionSettings> rules) {
    // The previous rules have to live until the limiter no longer refers to them.
    const auto previous = std::exchange(admission_rules_, std::move(rules));
    if (!admission_rules_) {
        for (const auto &connection : connections_) connection->withdraw_from_limiter();
        connection_limiter_.reset();
    } else if (connection_limiter_) {
        connection_limiter_->set_rules(*admission_rules_);
    } else {
        connection_limiter_.emplace(*admission_rules_, config_.limits.client_connections, config_.seed);
    }
}

bool Clients::is_trusted_proxy(const asio::ip::address &from) const {
    if (!admission_rules_) return false;
    const AddressBits number = to_address_bits(from);
    return std::any_of(admission_rules_->trusted_proxies.begin(), admission_rules_->trusted_proxies.end(),
                       [&](const Network &proxy) { return proxy.contains(number); });
}

// Returns the reply to a command on a rejected connection. A PING still succeeds: a full router is not down.
std::string Clients::rejection_reply(const std::vector<std::string_view> &arguments,
                                     Ticks retry_after) const {
    if (arguments[0] == "PING") return "+PONG\r\n";
    return clients::busy_reply(permitted_retry_after(config_.deployment, retry_after));
}

// Reserves memory for a command. Where there is too little, connections are evicted for it that hold memory
// for a command which has been incomplete for a while.
admission::MemoryReservation Clients::reserve_request_memory(std::size_t bytes, const Connection &asking) {
    admission::MemoryReservation memory = request_memory_->try_reserve(bytes);
    if (memory.bytes() > 0 || std::exchange(frees_request_memory_, true)) return memory;
    std::vector<std::shared_ptr<Connection>> holders;
    for (const EvictionQueue::Entry *const entry :
         eviction_queue_.candidates(ConnectionState::partial_command, Clock::now(), connections_.size())) {
        auto *const connection = static_cast<Connection *>(entry->owner);
        if (connection != &asking && connection->holds_memory())
            holders.push_back(connection->shared_from_this());
    }
    std::size_t evicted = 0;
    for (; evicted < holders.size() && memory.bytes() == 0; ++evicted) {
        if (!holders[evicted]->is_closed()) holders[evicted]->evict();
        memory = request_memory_->try_reserve(bytes);
    }
    frees_request_memory_ = false;
    if (evicted > 0) log_memory_shortage(evicted);
    return memory;
}

void Clients::log_memory_shortage(std::size_t evicted) {
    const auto now = Clock::now();
    memory_evictions_ += evicted;
    if (now < last_memory_log_ + config_.limits.sweep_interval) return;
    last_memory_log_ = now;
    log_(Level::warning, "admission: client buffers over the memory limit, connections closed ",
         std::exchange(memory_evictions_, 0), ", held KiB ", request_memory_->bytes_in_use() / 1024,
         " of commands, ", answer_memory_->bytes_in_use() / 1024, " of answers");
}

// Not at once: the shortage is noticed while an RPC is answered, and a close tells the module that clients
// have left.
void Clients::schedule_answer_memory_relief() {
    if (std::exchange(answer_memory_relief_scheduled_, true)) return;
    asio::post(io_, [this] {
        answer_memory_relief_scheduled_ = false;
        relieve_answer_memory();
    });
}

// Closes connections whose clients do not read their replies.
void Clients::relieve_answer_memory() {
    const auto unread =
        eviction_queue_.candidates(ConnectionState::unread_replies, Clock::now(), connections_.size());
    if (unread.empty()) return;
    evict(unread, 0);
    log_memory_shortage(unread.size());
}

std::string Clients::low_memory_reply() const {
    const Ticks retry_after =
        std::chrono::duration_cast<TickDuration>(config_.limits.low_memory_timeout).count();
    return clients::busy_reply(permitted_retry_after(config_.deployment, retry_after));
}

void Clients::listen() {
    if (shutting_down_) return;
    if (acceptor_.is_open()) acceptor_.close();
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    // For a while a connection takes a descriptor only once its first bytes have arrived. This slows clients
    // down that connect and send nothing; what bounds them are the deadlines of the eviction queue.
    acceptor_.set_option(DeferAccept(static_cast<int>(config_.limits.accept_deferral.count() / 1000)));
    acceptor_.bind(config_.listen);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(io_, accept(), detached);
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
            asio::steady_timer timer(io_);
            for (;;) {
                timer.expires_after(config_.limits.sweep_interval);
                co_await timer.async_wait(use_awaitable);
                if (!enforces_limits())
                    close_idle_beyond(config_.limits.idle_eviction_threshold, connections_.size());
            }
        },
        detached);
}

void Clients::answer(const ReplyTarget &target, std::string bytes, admission::MemoryReservation memory) {
    target.connection->answer(target.slot, std::move(bytes), std::move(memory));
}

void Clients::start_connection(asio::ip::tcp::socket socket, const asio::ip::address &from) {
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored); // read_available must not block
    const bool behind_proxy = is_trusted_proxy(from);
    const auto connection = std::make_shared<Connection>(*this, std::move(socket), behind_proxy);
    if (connection_limiter_ && !behind_proxy)
        if (const Ticks retry_after = connection->request_admission(from); retry_after > 0)
            return connection->reject(retry_after);
    register_connection(connection);
}

void Clients::register_connection(const std::shared_ptr<Connection> &connection) {
    connections_.insert(connection);
    // During shutdown every connection is accepted to be answered, so the budget may be used up here.
    connection->holds_descriptor = descriptor_budget_.acquire(admission::Purpose::clients);
    connection->update_state();
    if (!enforces_limits())
        close_idle_beyond(config_.limits.idle_eviction_threshold, config_.limits.eviction_candidates);
    asio::co_spawn(io_, connection->serve(), detached);
}

bool Clients::is_full() const {
    // The limiter has to see every new connection: it evicts one for each that it admits beyond its capacity.
    const std::size_t reserved = enforces_limits() ? 0 : config_.limits.proxy_header_connections;
    return descriptor_budget_.available(admission::Purpose::clients) <= reserved;
}

// Accepts connections in batches, up to the clients' share of the descriptors; the rest wait in the listen
// queue. Otherwise a storm of connections would take the descriptors needed to reach hosts, nothing would be
// answered, and clients would retry forever.
asio::awaitable<void> Clients::accept() {
    const Limits &limits = config_.limits;
    boost::system::error_code failed;
    acceptor_.non_blocking(true, failed);
    while (acceptor_.is_open()) {
        std::tie(failed) = co_await acceptor_.async_wait(acceptor_.wait_read, as_tuple(use_awaitable));
        if (failed == asio::error::operation_aborted) break;
        if (is_full()) make_room();
        if (is_full()) {
            log_full();
            accept_timer_.expires_after(limits.accept_pause);
            co_await accept_timer_.async_wait(as_tuple(use_awaitable));
            continue;
        }
        bool none = false;
        for (std::size_t i = 0; i < limits.accepts_per_turn && !is_full() && !none; ++i)
            none = !accept_one(failed);
        if (survive_accept_error(failed)) {
            accept_timer_.expires_after(limits.accept_pause);
            co_await accept_timer_.async_wait(as_tuple(use_awaitable));
        }
        if (!none) co_await asio::post(io_, use_awaitable); // lets handlers run between batches
    }
}

// Handles the result of an accept; closes connections after one that failed for want of a descriptor. Returns
// whether to wait before the next accept.
bool Clients::survive_accept_error(const boost::system::error_code &failed) {
    if (!failed || failed == asio::error::would_block || concerns_one_connection(failed)) return false;
    log_(Level::warning, "accept: ", failed.message(), ", clients ", connections_.size());
    if (is_out_of_resources(failed)) {
        handler_.handle_descriptors_exhausted();
        evict(eviction_candidates(config_.limits.eviction_candidates), 0);
    }
    return true;
}

// A connection whose client has already closed it is closed unread: it has to cost less than the client's
// next attempt, or the queue would only grow.
bool Clients::accept_one(boost::system::error_code &failed) {
    asio::ip::tcp::endpoint from;
    auto size = static_cast<socklen_t>(from.capacity());
    const int descriptor =
        ::accept4(acceptor_.native_handle(), from.data(), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    failed = descriptor < 0 ? boost::system::error_code(errno, boost::system::system_category())
                            : boost::system::error_code();
    if (descriptor < 0) return false;
    from.resize(size);
    const SocketState state = socket_state(descriptor);
    if (state.peer_closed) {
        ::close(descriptor);
        ++abandoned_;
        return true;
    }
    asio::ip::tcp::socket socket(io_);
    socket.assign(config_.listen.protocol(), descriptor, failed);
    if (failed)
        ::close(descriptor);
    else
        start_connection(std::move(socket), from.address());
    return true;
}

// Returns how long the bytes that were just read had been waiting in the kernel. Only one read in several is
// examined, but every read for a while after a late one: only lateness makes the time that a client has left
// differ from the timeout it sent.
Milliseconds Clients::lateness(int socket, Clock::time_point now) {
    if (now >= lateness_checks_until_ && ++read_count_ % config_.limits.lateness_sample_interval != 0)
        return Milliseconds(0);
    const Milliseconds lateness = socket_state(socket).since_last_receive;
    if (lateness < config_.limits.min_lateness) return Milliseconds(0);
    lateness_checks_until_ = now + config_.limits.lateness_watch_time;
    return lateness;
}

void Clients::log_full() {
    const auto now = Clock::now();
    if (now < last_full_log_ + config_.limits.sweep_interval) return;
    last_full_log_ = now;
    log_(Level::info, "admission: connection limit reached, clients ", connections_.size(),
         ", abandoned connections closed ", abandoned_);
}

// Closes the connections that have been idle longest, until `max_open` are left. Otherwise idle connections
// of clients that send one command and stay connected would use up the descriptors, so that new connections
// could not be accepted and hosts not be reached.
void Clients::close_idle_beyond(std::size_t max_open, std::size_t max_examined) {
    if (connections_.size() <= max_open) return;
    evict(eviction_queue_.candidates(ConnectionState::idle, Clock::now(), max_examined), max_open);
}

// Evicts connections for a batch of new ones. Where connection limits are enforced, those go first that the
// limiter does not know; it selects among those that it has admitted.
void Clients::make_room() {
    const Limits &limits = config_.limits;
    evict(eviction_candidates(2 * limits.accepts_per_turn),
          limits.client_connections - std::min(limits.client_connections, limits.accepts_per_turn));
    if (!enforces_limits() || !is_full()) return;
    const admission::ClientConnection *const selected =
        connection_limiter_->next_to_evict(now_ticks(), admission::ConnectionLimiter::kMinIdleBeforeEviction);
    if (selected) static_cast<Connection *>(selected->owner)->evict();
}

std::vector<EvictionQueue::Entry *> Clients::eviction_candidates(std::size_t max_count) const {
    const bool enforced = enforces_limits();
    return eviction_queue_.candidates(Clock::now(), max_count, [enforced](const EvictionQueue::Entry &entry) {
        return !enforced || !static_cast<const Connection *>(entry.owner)->is_admitted();
    });
}

// Evicts the candidates in their order until `max_open` connections are left.
void Clients::evict(const std::vector<EvictionQueue::Entry *> &candidates, std::size_t max_open) {
    std::vector<std::shared_ptr<Connection>> connections; // they have to outlive their eviction
    for (const EvictionQueue::Entry *const entry : candidates)
        connections.push_back(static_cast<Connection *>(entry->owner)->shared_from_this());
    for (const auto &connection : connections) {
        if (connections_.size() <= max_open) return;
        if (!connection->is_closed()) connection->evict();
    }
}

// Starts the checks of deadlines unless they are running. They end when no connection is in a state with a
// deadline.
void Clients::schedule_expiry_check() {
    if (std::exchange(expiry_check_scheduled_, true)) return;
    expiry_timer_.expires_after(config_.limits.expiry_check_interval);
    expiry_timer_.async_wait([this](boost::system::error_code failed) {
        if (failed) return;
        expiry_check_scheduled_ = false;
        close_expired();
        if (eviction_queue_.has_deadlines()) schedule_expiry_check();
    });
}

void Clients::close_expired() {
    const auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> connections; // they have to outlive their close
    for (const EvictionQueue::Entry *const entry : eviction_queue_.expired(now))
        connections.push_back(static_cast<Connection *>(entry->owner)->shared_from_this());
    for (const auto &connection : connections) connection->close_if_expired(now);
}

void Clients::close_idle(std::chrono::milliseconds max_unused) {
    const auto now = Clock::now();
    const std::vector<std::shared_ptr<Connection>> open(connections_.begin(), connections_.end());
    for (const auto &connection : open)
        if (connection->has_sent_command() || now - connection->last_activity() > max_unused)
            connection->close_if_idle();
}

void Clients::shut_down(std::function<void()> done) {
    if (std::exchange(shutting_down_, true)) return;
    // With deferred accepts, connections whose first bytes have not arrived would not be in the listen queue
    // when it is emptied for the last time.
    boost::system::error_code ignored;
    if (acceptor_.is_open()) acceptor_.set_option(DeferAccept(0), ignored);
    asio::co_spawn(io_, run_shutdown(std::move(done)), detached);
}

asio::awaitable<void> Clients::run_shutdown(std::function<void()> done) {
    const Limits &limits = config_.limits;
    const auto started = Clock::now();
    last_rpc_at_ = started;
    asio::steady_timer timer(io_);
    for (;;) {
        close_idle(limits.shutdown_unused_timeout);
        const auto now = Clock::now();
        if (now - started >= limits.min_shutdown_time && now - last_rpc_at_ >= limits.shutdown_quiet_time)
            break;
        if (now - started >= limits.shutdown_timeout) break; // further RPCs are pushed back
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    boost::system::error_code failed;
    while (accept_one(failed) || (failed != asio::error::would_block && acceptor_.is_open())) {
        if (!failed || concerns_one_connection(failed)) continue;
        // No descriptor is free. Closing the acceptor now would reset the connections in the listen queue, so
        // wait for descriptors to be released: by the shutdown deadline every accepted RPC has been answered.
        // The short grace period after it still ends before the process may be killed.
        if (Clock::now() - started >= limits.shutdown_timeout + limits.shutdown_grace) break;
        handler_.handle_descriptors_exhausted();
        close_idle(Milliseconds(0));
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    acceptor_.close(failed);
    while (!connections_.empty()) {
        close_idle(limits.shutdown_unused_timeout);
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    done();
}

} // namespace pineridge::router::clients
