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

} // namespace

Clients::Clients(asio::io_context &io, const RouterConfig &config, const Log &log,
                 admission::DescriptorBudget &descriptor_budget, RequestHandler &handler)
    : io_(io), config_(config), log_(log), descriptor_budget_(descriptor_budget), handler_(handler),
      acceptor_(io), read_buffer_(config.limits.read_chunk_bytes), accept_timer_(io) {
    set_admission_rules(config.admission);
}

Ticks Clients::now_ticks() {
    return std::chrono::floor<TickDuration>(Clock::now().time_since_epoch()).count();
}

// Connections that were accepted while there was no limiter stay unknown to it: only close_idle_beyond evicts
// them.
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

// Where memory is short, closes connections without pending replies, those with the largest buffers first.
// Connections with pending replies are kept, and are not read from meanwhile (Connection::serve).
void Clients::close_largest_buffers() {
    if (!is_short_of_memory()) return;
    std::vector<std::shared_ptr<Connection>> large;
    for (const auto &connection : connections_)
        if (!connection->has_pending_replies()) large.push_back(connection);
    std::sort(large.begin(), large.end(),
              [](const auto &a, const auto &b) { return a->buffered_bytes() > b->buffered_bytes(); });
    std::size_t closed = 0;
    for (; closed < large.size() && is_short_of_memory(); ++closed) large[closed]->close();
    log_(Level::warning, "admission: client buffers over the memory limit, connections closed ", closed,
         ", held KiB ", total_buffered_bytes_ / 1024);
}

void Clients::listen() {
    if (shutting_down_) return;
    if (acceptor_.is_open()) acceptor_.close();
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    // A connection takes a descriptor only once its first bytes have arrived, so that clients which connect
    // and send nothing do not use up the descriptors.
    acceptor_.set_option(DeferAccept(static_cast<int>(config_.limits.command_timeout.count() / 1000)));
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
                const auto now = Clock::now();
                const std::vector<std::shared_ptr<Connection>> open(connections_.begin(), connections_.end());
                for (const auto &connection : open) connection->close_if_stalled(now);
                if (!connection_limiter_)
                    close_idle_beyond(config_.limits.idle_eviction_threshold, connections_.size());
                close_largest_buffers();
            }
        },
        detached);
}

void Clients::answer(const ReplyTarget &target, std::string bytes) {
    target.connection->answer(target.slot, std::move(bytes));
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
    connections_.insert(connection);
    // During shutdown every connection is accepted to be answered, so the budget may be used up here.
    connection->holds_descriptor = descriptor_budget_.acquire(admission::Purpose::clients);
    if (!connection_limiter_)
        close_idle_beyond(config_.limits.idle_eviction_threshold, config_.limits.eviction_candidates);
    asio::co_spawn(io_, connection->serve(), detached);
}

// Accepts connections in batches, up to the clients' share of the descriptors; the rest wait in the listen
// queue. Otherwise a storm of connections would take the descriptors needed to reach hosts, nothing would be
// answered, and clients would retry forever.
asio::awaitable<void> Clients::accept() {
    const Limits &limits = config_.limits;
    boost::system::error_code failed;
    acceptor_.non_blocking(true, failed);
    while (acceptor_.is_open()) {
        if (!connection_limiter_ && connections_.size() >= limits.client_connections)
            close_idle_beyond(limits.client_connections - limits.accepts_per_turn,
                              2 * limits.accepts_per_turn);
        // The limiter has to see every new connection: it evicts one for each that it admits beyond its
        // capacity.
        const std::size_t reserved = connection_limiter_ ? 0 : limits.proxy_header_connections;
        const auto full = [&] {
            return descriptor_budget_.available(admission::Purpose::clients) <= reserved;
        };
        if (full()) {
            log_full();
            accept_timer_.expires_after(limits.accept_pause);
            co_await accept_timer_.async_wait(as_tuple(use_awaitable));
            continue;
        }
        std::tie(failed) = co_await acceptor_.async_wait(acceptor_.wait_read, as_tuple(use_awaitable));
        if (failed == asio::error::operation_aborted) break;
        bool none = false;
        for (std::size_t i = 0; i < limits.accepts_per_turn && !full() && !none; ++i)
            none = !accept_one(failed);
        if (failed && failed != asio::error::would_block && failed != asio::error::connection_aborted) {
            log_(Level::warning, "accept: ", failed.message(), ", clients ", connections_.size());
            handler_.handle_descriptors_exhausted();
            close_idle_beyond(limits.client_connections, limits.eviction_candidates);
            accept_timer_.expires_after(limits.accept_pause);
            co_await accept_timer_.async_wait(as_tuple(use_awaitable));
        }
        if (!none) co_await asio::post(io_, use_awaitable); // lets handlers run between batches
    }
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

void Clients::add_idle(Connection &connection) {
    if (!connection.idle_position)
        connection.idle_position = idle_connections_.insert(idle_connections_.end(), &connection);
}

void Clients::remove_idle(Connection &connection) {
    if (connection.idle_position)
        idle_connections_.erase(*std::exchange(connection.idle_position, std::nullopt));
}

// Closes the connections that have been idle longest, until `max_open` are left. Otherwise idle connections
// of clients that send one command and stay connected would use up the descriptors, so that new connections
// could not be accepted and hosts not be reached. A connection that has not sent its first command is kept,
// as the command may be on its way.
void Clients::close_idle_beyond(std::size_t max_open, std::size_t max_examined) {
    const auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> candidates; // a copy: close_if_idle changes the list
    for (auto next = idle_connections_.begin(); next != idle_connections_.end() && max_examined-- > 0;
         ++next) {
        Connection &connection = **next;
        if (now - connection.last_activity() < config_.limits.min_idle_before_eviction)
            break; // may be about to be used
        if (connection.has_sent_command()) candidates.push_back(connection.shared_from_this());
    }
    for (const auto &connection : candidates) {
        if (connections_.size() <= max_open) return;
        connection->close_if_idle();
    }
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
        if (!failed || failed == asio::error::connection_aborted) continue;
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
