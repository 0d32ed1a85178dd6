#include "router/clients/clients.hpp"

#include "net/proxy/proxy.hpp"

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

// What the kernel reports of a connection.
struct SocketState {
    bool peer_closed = false; // also true where the kernel reports nothing
    Milliseconds since_last_receive{0};
};
SocketState socket_state(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {true, Milliseconds(0)};
    return {info.tcpi_state != TCP_ESTABLISHED, Milliseconds(info.tcpi_last_data_recv)};
}

} // namespace

// One client connection: owns its socket and its session. It lives as long as Clients, a
// coroutine, a callback or a reply target refers to it. Its member functions do not block.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(Clients &clients, asio::ip::tcp::socket socket, bool behind_proxy)
        : clients_(clients), socket_(std::move(socket)), resume_timer_(socket_.get_executor()),
          linger_timer_(socket_.get_executor()), session_(clients.config_.limits),
          last_activity_(Clock::now()), awaits_proxy_header_(behind_proxy) {
        limiter_entry_.owner = this;
    }

    // Asks the connection limiter to admit this connection, and closes the connection that it evicts in
    // return. Returns 0 where the connection may stay, as it always may in observe mode; else it is refused
    // and the client may retry after the returned time.
    Ticks request_admission(const asio::ip::address &from) {
        const admission::ConnectionDecision decision = clients_.connection_limiter_->try_admit(
            limiter_entry_, to_address_bits(from), clients_.now_ticks());
        admitted_ = decision.admitted();
        if (decision.evicted) static_cast<Connection *>(decision.evicted->owner)->close();
        return clients_.admission_rules_->observe ? 0 : decision.retry_after;
    }

    asio::awaitable<void> serve() {
        const auto self = shared_from_this();
        const Limits &limits = clients_.config_.limits;
        while (!closed_) {
            const bool pause_for_memory = session_.has_pending_replies() && clients_.is_short_of_memory();
            if (pause_for_memory || !may_read()) {
                resume_timer_.expires_after(pause_for_memory ? limits.low_memory_pause
                                                             : limits.unread_check_interval);
                co_await resume_timer_.async_wait(as_tuple(use_awaitable));
                // A close by the client cannot be read while reading is paused. Without this check RPCs of a
                // client that has left would still be sent to hosts.
                if (!closed_ && socket_state(socket_.native_handle()).peer_closed) break;
                continue;
            }
            if (read_available() == ReadResult::closed) break;
            if (closed_) break;
            co_await socket_.async_wait(asio::socket_base::wait_read, as_tuple(use_awaitable));
        }
        handle_disconnect(); // ends the RPCs that are still unanswered
    }

    void answer(std::uint64_t slot, std::string bytes) {
        if (closed_) return;
        const bool served = bytes[0] == '$' || bytes[0] == '*';
        session_.set_reply(slot, std::move(bytes));
        if (std::erase_if(unanswered_rpcs_, [&](const auto &rpc) { return rpc.first == slot; }) > 0 &&
            admitted_)
            unwritten_outcomes_.push_back(served);
        write();
        update_buffered_bytes();
    }

    // Closes the connection unless a command is incomplete or unanswered on it. It is read once more right
    // before the close, so that bytes which have arrived by then are handled and answered. The client of a
    // command that arrives later sees the close without a reply, and sends the command again elsewhere.
    void close_if_idle() {
        if (!session_.is_idle() || writing_) return;
        if (read_available() != ReadResult::some) close();
    }
    // Closes a stalled connection, unless bytes that have arrived meanwhile let it make progress.
    void close_if_stalled(Clock::time_point now) {
        if (!is_stalled(now)) return;
        if (may_read() && read_available() == ReadResult::closed) return handle_disconnect();
        if (is_stalled(now)) close();
    }
    bool has_sent_command() const { return has_sent_command_; }
    void withdraw_from_limiter() {
        if (std::exchange(admitted_, false)) clients_.connection_limiter_->closed(limiter_entry_);
        unwritten_outcomes_.clear();
    }
    Clock::time_point last_activity() const { return last_activity_; }
    // Pushes back each command that has already arrived, then closes the connection. This path handles floods
    // of connections, so it costs one read, one write and one close.
    void reject(Ticks retry_after) {
        std::array<char, 4096> buffer;
        boost::system::error_code failed;
        const std::size_t size = socket_.read_some(asio::buffer(buffer), failed);
        if (!failed) {
            session_.feed({buffer.data(), size});
            std::string replies;
            while (session_.next() == Session::Next::command)
                replies += clients_.rejection_reply(session_.arguments(), retry_after);
            socket_.write_some(asio::buffer(replies), failed);
        }
        closed_ = true;
        socket_.close(failed);
    }
    // True where the client has been inactive for too long: it does not read its replies, does not
    // complete a command or its PROXY header, or has not sent a first byte.
    bool is_stalled(Clock::time_point now) const {
        const Limits &limits = clients_.config_.limits;
        const AdmissionSettings *const rules = clients_.admission_rules_.get();
        const auto configured_or = [&](Ticks AdmissionSettings::*duration, Milliseconds default_duration) {
            return rules ? Milliseconds(rules->*duration / 10) : default_duration;
        };
        const Milliseconds inactive_for = std::chrono::floor<Milliseconds>(now - last_activity_);
        if (writing_)
            return inactive_for >
                   configured_or(&AdmissionSettings::unread_timeout, limits.unread_answer_timeout);
        if (session_.has_pending_replies()) return false;
        if (session_.has_partial_command() || awaits_proxy_header_)
            return std::chrono::floor<Milliseconds>(now - (partial_command_since_ == Clock::time_point{}
                                                               ? last_activity_
                                                               : partial_command_since_)) >
                   configured_or(&AdmissionSettings::command_timeout, limits.command_timeout);
        return rules && !has_sent_command_ &&
               inactive_for > configured_or(&AdmissionSettings::first_byte_timeout, limits.command_timeout);
    }
    std::size_t buffered_bytes() const { return buffered_bytes_; }
    bool has_pending_replies() const { return session_.has_pending_replies(); }

    void close() {
        if (closed_) return;
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        resume_timer_.cancel();
        linger_timer_.cancel();
        for (const auto &[slot, id] : std::exchange(unanswered_rpcs_, {}))
            clients_.handler_.handle_client_left(id);
        if (std::exchange(admitted_, false)) clients_.connection_limiter_->closed(limiter_entry_);
        clients_.total_buffered_bytes_ -= std::exchange(buffered_bytes_, 0);
        clients_.remove_idle(*this);
        clients_.connections_.erase(shared_from_this());
        if (std::exchange(holds_descriptor, false))
            clients_.descriptor_budget_.release(admission::Purpose::clients);
        clients_.accept_timer_.cancel();
    }

    bool holds_descriptor = false; // from the descriptor budget
    std::optional<std::list<Connection *>::iterator> idle_position; // set while in idle_connections_

  private:
    enum class ReadResult { none, some, closed };

    bool may_read() const {
        return discards_input_ ? discarded_bytes_ <= clients_.config_.limits.max_discarded_bytes
                               : session_.accepts_input();
    }

    // Reads what the kernel has received, without blocking, and handles the commands in it. Bytes leave the
    // kernel only here and are in the session before anything else runs. An asynchronous read could complete,
    // and a close in the same turn of the event loop, before the read's handler has run, would find neither
    // unread bytes nor a command.
    ReadResult read_available() {
        boost::system::error_code failed;
        const std::size_t size = socket_.read_some(asio::buffer(clients_.read_buffer_), failed);
        if (failed == asio::error::would_block || failed == asio::error::interrupted) return ReadResult::none;
        if (failed) return ReadResult::closed;
        handle_bytes({clients_.read_buffer_.data(), size});
        return ReadResult::some;
    }

    void handle_bytes(std::string_view bytes) {
        if (discards_input_) {
            discarded_bytes_ += bytes.size();
            return;
        }
        clients_.remove_idle(*this);
        last_activity_ = Clock::now();
        if (!awaits_proxy_header_)
            session_.feed(bytes);
        else if (!read_proxy_header(bytes))
            return;
        lateness_ = clients_.lateness(socket_.native_handle(), last_activity_);
        handle_commands();
        write();
        update_buffered_bytes();
    }

    // Reads the proxy's PROXY header, then asks for admission of the client that it names. Returns false
    // while the header is incomplete, and when it is invalid: the connection is then closed.
    bool read_proxy_header(std::string_view bytes) {
        proxy_header_bytes_.append(bytes);
        proxy::Header header;
        const proxy::ScanResult scanned = proxy::scan(proxy_header_bytes_, header);
        if (scanned == proxy::ScanResult::incomplete) return false;
        if (scanned == proxy::ScanResult::malformed) {
            clients_.log_(Level::warning, "admission: invalid PROXY header: ", header.error);
            close();
            return false;
        }
        awaits_proxy_header_ = false;
        if (header.client && clients_.connection_limiter_)
            rejected_retry_after_ = request_admission(*header.client);
        session_.feed(std::string_view(proxy_header_bytes_).substr(header.size));
        proxy_header_bytes_ = {};
        return true;
    }

    // Has to be called after every change of what the session buffers.
    void update_buffered_bytes() {
        if (closed_) return;
        const std::size_t current = session_.buffered_bytes() + proxy_header_bytes_.capacity();
        clients_.total_buffered_bytes_ += current - buffered_bytes_;
        buffered_bytes_ = current;
        if (!session_.has_partial_command())
            partial_command_since_ = {};
        else if (partial_command_since_ == Clock::time_point{})
            partial_command_since_ = Clock::now();
    }

    void handle_commands() {
        for (Session::Next next = session_.next(); next != Session::Next::none; next = session_.next()) {
            if (next == Session::Next::malformed) {
                discards_input_ = true;
                session_.set_reply(session_.add_reply_slot(), "-ERR Protocol error\r\n");
                return;
            }
            has_sent_command_ = true;
            handle_command(session_.arguments());
        }
    }

    // Handles commands that waited in the session because too many were in progress. They are dropped when
    // the client has left meanwhile, as nobody would receive the result of their effect.
    void handle_deferred_commands() {
        if (discards_input_ || closed_ || !session_.has_partial_command()) return;
        if (socket_state(socket_.native_handle()).peer_closed) return handle_disconnect();
        handle_commands();
    }

    void handle_command(const std::vector<std::string_view> &arguments) {
        const std::uint64_t slot = session_.add_reply_slot();
        if (rejected_retry_after_ > 0) {
            discards_input_ = true;
            return session_.set_reply(slot, clients_.rejection_reply(arguments, rejected_retry_after_));
        }
        if (arguments[0] == "PING") return session_.set_reply(slot, "+PONG\r\n");
        if (arguments[0] != "Q.ASK" && arguments[0] != "Q.DO")
            return session_.set_reply(slot, "-ERR unknown command\r\n");
        try {
            const Request request =
                parse_request(arguments, clients_.config_.names, clients_.config_.limits.max_argument_bytes);
            unanswered_rpcs_.emplace_back(slot, request.id);
            if (admitted_) clients_.connection_limiter_->rpc_started(limiter_entry_);
            clients_.last_rpc_at_ = Clock::now();
            clients_.handler_.handle_rpc(
                {shared_from_this(), slot},
                std::make_shared<const OwnedRequest>(session_.command_bytes(), request), lateness_);
        } catch (const BadInput &bad) {
            clients_.log_(Level::debug, "invalid command: ", bad.what());
            session_.set_reply(slot, std::string("-ERR ") + bad.what() + "\r\n");
        }
    }

    // Starts writing the replies that are ready. Only one write is in progress at a time.
    void write() {
        if (writing_ || closed_) return;
        const auto parts = session_.ready_replies();
        if (parts.empty()) {
            if (discards_input_ && !session_.has_pending_replies()) return start_lingering_close();
            if (session_.is_idle()) clients_.add_idle(*this);
            return;
        }
        writing_ = true;
        last_activity_ = Clock::now();
        std::vector<asio::const_buffer> buffers;
        for (const std::string_view part : parts) buffers.emplace_back(part.data(), part.size());
        asio::async_write(socket_, buffers,
                          [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                              self->writing_ = false;
                              if (failed) return self->handle_disconnect();
                              if (self->closed_) return;
                              self->session_.replies_written();
                              self->last_activity_ = Clock::now();
                              self->report_written_replies();
                              self->handle_deferred_commands();
                              // Without this a busy client would use the connection again before the next
                              // check for idle connections.
                              if (self->clients_.shutting_down_) self->close_if_idle();
                              if (self->closed_) return;
                              self->resume_timer_.cancel();
                              self->write();
                              self->update_buffered_bytes();
                          });
    }

    // Shuts down the sending side, keeps reading for a while, then closes. On a close with unread bytes the
    // kernel would reset the connection and discard replies that it has not delivered yet.
    void start_lingering_close() {
        if (std::exchange(lingering_, true)) return;
        boost::system::error_code ignored;
        socket_.shutdown(asio::socket_base::shutdown_send, ignored);
        linger_timer_.expires_after(clients_.config_.limits.close_linger);
        linger_timer_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
            if (!failed) self->close();
        });
    }

    // Reports the RPCs whose replies have been written to the limiter. From then on it may evict this
    // connection.
    void report_written_replies() {
        if (session_.has_pending_replies() || closed_) return;
        const auto outcomes = std::exchange(unwritten_outcomes_, {});
        if (admitted_)
            for (const bool served : outcomes)
                clients_.connection_limiter_->rpc_finished(limiter_entry_, served, clients_.now_ticks());
    }

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
