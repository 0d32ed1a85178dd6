#include "router/clients/connection.hpp"

#include "net/proxy/proxy.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pineridge::router::clients {

using admission::ConnectionState;
using asio::as_tuple;
using asio::use_awaitable;

SocketState socket_state(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {true, Milliseconds(0)};
    return {info.tcpi_state != TCP_ESTABLISHED, Milliseconds(info.tcpi_last_data_recv)};
}

Connection::Connection(Clients &clients, asio::ip::tcp::socket socket, bool behind_proxy)
    : clients_(clients), socket_(std::move(socket)), resume_timer_(socket_.get_executor()),
      linger_timer_(socket_.get_executor()), session_(clients.config_.limits), accepted_at_(Clock::now()),
      last_activity_(accepted_at_), awaits_proxy_header_(behind_proxy) {
    limiter_entry_.owner = this;
    eviction_entry_.owner = this;
}

Ticks Connection::request_admission(const asio::ip::address &from) {
    const admission::ConnectionDecision decision =
        clients_.connection_limiter_->try_admit(limiter_entry_, to_address_bits(from), clients_.now_ticks());
    admitted_ = decision.admitted();
    if (decision.evicted) static_cast<Connection *>(decision.evicted->owner)->evict();
    return clients_.admission_rules_->observe ? 0 : decision.retry_after;
}

asio::awaitable<void> Connection::serve() {
    const auto self = shared_from_this();
    const Limits &limits = clients_.config_.limits;
    while (!closed_) {
        // No more RPCs are taken on whose answers would wait behind those that are not read.
        const bool pause_for_answers =
            session_.has_pending_replies() && clients_.answer_memory_->is_exhausted();
        if (pause_for_answers || !may_read()) {
            if (!co_await pause(pause_for_answers ? limits.low_memory_pause : limits.unread_check_interval))
                break;
            continue;
        }
        const ReadResult result = read_available();
        if (result == ReadResult::closed || closed_) break;
        if (result == ReadResult::no_memory) {
            if (!co_await pause(limits.low_memory_pause)) break;
            continue;
        }
        co_await socket_.async_wait(asio::socket_base::wait_read, as_tuple(use_awaitable));
    }
    handle_disconnect(); // ends the RPCs that are still unanswered
}

// Waits before the next read. Returns whether the connection is still open: a close by the client cannot be
// read while reading is paused, and RPCs of a client that has left would still be sent to hosts.
asio::awaitable<bool> Connection::pause(Milliseconds duration) {
    resume_timer_.expires_after(duration);
    co_await resume_timer_.async_wait(as_tuple(use_awaitable));
    co_return !closed_ && !socket_state(socket_.native_handle()).peer_closed;
}

void Connection::answer(std::uint64_t slot, std::string bytes, admission::MemoryReservation memory) {
    if (closed_) return;
    const bool served = bytes[0] == '$' || bytes[0] == '*';
    if (memory.bytes() == 0) memory = clients_.answer_memory_->reserve(bytes.capacity());
    session_.set_reply(slot, std::move(bytes), std::move(memory));
    if (std::erase_if(unanswered_rpcs_, [&](const auto &rpc) { return rpc.first == slot; }) > 0 && admitted_)
        unwritten_outcomes_.push_back(served);
    write();
    update_state();
}

void Connection::close_if_idle() {
    if (!session_.is_idle() || writing_ || discards_input_) return;
    if (read_available() != ReadResult::some) close();
}

void Connection::evict() {
    const auto self = shared_from_this();
    switch (state()) {
    case ConnectionState::busy: return;
    case ConnectionState::idle: return close_if_idle();
    case ConnectionState::lingering:
    case ConnectionState::unread_replies: return close();
    case ConnectionState::refused:
    case ConnectionState::silent:
    case ConnectionState::partial_command: break;
    }
    read_until_command();
    if (awaits_command()) close();
}

void Connection::close_if_expired(Clock::time_point now) {
    const auto self = shared_from_this();
    read_until_command();
    if (!closed_ && deadline(state()) <= now) close();
}

void Connection::withdraw_from_limiter() {
    if (std::exchange(admitted_, false)) clients_.connection_limiter_->closed(limiter_entry_);
    unwritten_outcomes_.clear();
}

// Handles floods of connections: a command that has arrived with the connection costs one write and one
// close, and the connection is never registered.
void Connection::reject(Ticks retry_after) {
    rejected_retry_after_ = retry_after;
    boost::system::error_code failed;
    const std::string replies = reply_to_arrived_commands(failed);
    boost::system::error_code write_failed;
    if (!replies.empty()) socket_.write_some(asio::buffer(replies), write_failed);
    const bool client_left =
        failed && failed != asio::error::would_block && failed != asio::error::interrupted;
    if (client_left || write_failed || (!replies.empty() && !session_.has_partial_command())) {
        closed_ = true;
        socket_.close(failed);
        return;
    }
    clients_.register_connection(shared_from_this());
    if (replies.empty()) return;
    discards_input_ = true;
    start_lingering_close();
}

// Reads what has arrived on a refused connection, up to a command that is not small, and returns the replies
// to the commands in it. `failed` is the error that ended the reading.
std::string Connection::reply_to_arrived_commands(boost::system::error_code &failed) {
    std::string replies;
    while (session_.wanted_capacity() <= resp::ReceiveBuffer::kSmallBytes &&
           replies.size() <= clients_.config_.limits.max_unsent_bytes) {
        const std::size_t size =
            socket_.read_some(asio::buffer(clients_.read_buffer_.data(),
                                           std::min(session_.space(), clients_.read_buffer_.size())),
                              failed);
        if (failed) break;
        session_.feed({clients_.read_buffer_.data(), size});
        Session::Next next = session_.next();
        for (; next == Session::Next::command; next = session_.next())
            replies += clients_.rejection_reply(session_.arguments(), rejected_retry_after_);
        if (next != Session::Next::malformed) continue;
        replies += "-ERR " + session_.error() + "\r\n";
        break;
    }
    return replies;
}

ConnectionState Connection::state() const {
    if (lingering_) return ConnectionState::lingering;
    if (writing_) return ConnectionState::unread_replies;
    if (session_.has_pending_replies()) return ConnectionState::busy;
    if (rejected_retry_after_ > 0 && !has_sent_command_) return ConnectionState::refused;
    if (session_.has_partial_command() || !proxy_header_bytes_.empty())
        return ConnectionState::partial_command;
    return has_sent_command_ ? ConnectionState::idle : ConnectionState::silent;
}

Connection::Clock::time_point Connection::deadline(ConnectionState state) const {
    const Limits &limits = clients_.config_.limits;
    const AdmissionSettings *const rules = clients_.admission_rules_.get();
    const auto configured_or = [&](Ticks AdmissionSettings::*duration, Milliseconds default_duration) {
        return rules ? Milliseconds(rules->*duration / 10) : default_duration;
    };
    switch (state) {
    case ConnectionState::refused:
    case ConnectionState::silent:
        return accepted_at_ +
               configured_or(&AdmissionSettings::first_byte_timeout, limits.first_byte_timeout);
    case ConnectionState::partial_command:
        // The time of the first command runs from the start of the connection, so that a client cannot
        // prolong it by sending the first byte late.
        return (has_sent_command_ ? partial_command_since_ : accepted_at_) +
               configured_or(&AdmissionSettings::command_timeout, limits.command_timeout);
    case ConnectionState::unread_replies:
        return last_activity_ +
               configured_or(&AdmissionSettings::unread_timeout, limits.unread_answer_timeout);
    case ConnectionState::lingering: // ended by linger_timer_
    case ConnectionState::idle:
    case ConnectionState::busy: break;
    }
    return Clock::time_point::max();
}

void Connection::update_state() {
    if (closed_) return;
    if (!session_.has_partial_command())
        partial_command_since_ = {};
    else if (partial_command_since_ == Clock::time_point{})
        partial_command_since_ = Clock::now();
    const ConnectionState current = state();
    const Clock::time_point expires_at = deadline(current);
    clients_.eviction_queue_.set_state(eviction_entry_, current, Clock::now(), expires_at);
    if (expires_at != Clock::time_point::max()) clients_.schedule_expiry_check();
}

void Connection::close() {
    if (closed_) return;
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    resume_timer_.cancel();
    linger_timer_.cancel();
    for (const auto &[slot, id] : std::exchange(unanswered_rpcs_, {}))
        clients_.handler_.handle_client_left(id);
    if (std::exchange(admitted_, false)) clients_.connection_limiter_->closed(limiter_entry_);
    // The coroutine that serves the connection, and with it this object, ends in a later turn of the event
    // loop. The buffer must not outlive its reservation until then.
    session_.discard_input();
    command_memory_.release();
    clients_.eviction_queue_.remove(eviction_entry_);
    clients_.connections_.erase(shared_from_this());
    if (std::exchange(holds_descriptor, false))
        clients_.descriptor_budget_.release(admission::Purpose::clients);
    clients_.accept_timer_.cancel();
}

bool Connection::may_read() const {
    return discards_input_ ? discarded_bytes_ <= clients_.config_.limits.max_discarded_bytes
                           : session_.accepts_input();
}

// Reads what the kernel has received, without blocking, and handles the commands in it. Bytes leave the
// kernel only here and are in the session before anything else runs. An asynchronous read could complete,
// and a close in the same turn of the event loop, before the read's handler has run, would find neither
// unread bytes nor a command.
Connection::ReadResult Connection::read_available() {
    if (!reserve_command_memory()) return ReadResult::no_memory;
    const std::size_t space = discards_input_        ? clients_.read_buffer_.size()
                              : awaits_proxy_header_ ? proxy::kMaxHeaderBytes - proxy_header_bytes_.size()
                                                     : session_.space();
    boost::system::error_code failed;
    const std::size_t size = socket_.read_some(
        asio::buffer(clients_.read_buffer_.data(), std::min(space, clients_.read_buffer_.size())), failed);
    if (failed == asio::error::would_block || failed == asio::error::interrupted) return ReadResult::none;
    if (failed) return ReadResult::closed;
    handle_bytes({clients_.read_buffer_.data(), size});
    return ReadResult::some;
}

// Reserves the memory that the command being received needs, if that is not small. What has not been reserved
// is not read. A command that has waited for memory for too long is pushed back.
bool Connection::reserve_command_memory() {
    const std::size_t wanted = session_.wanted_capacity();
    if (wanted <= resp::ReceiveBuffer::kSmallBytes || discards_input_) return true;
    admission::MemoryReservation memory =
        clients_.reserve_request_memory(wanted + clients_.config_.limits.rpc_overhead_bytes, *this);
    if (memory.bytes() > 0) {
        session_.grow(wanted);
        command_memory_ = std::move(memory); // the former buffer counts up to here
        waits_for_memory_since_.reset();
        return true;
    }
    const auto now = Clock::now();
    if (!waits_for_memory_since_) waits_for_memory_since_ = now;
    if (now - *waits_for_memory_since_ >= clients_.config_.limits.low_memory_timeout)
        push_back_unread_command();
    return false;
}

// The rest of the command is discarded, and the connection is closed.
void Connection::push_back_unread_command() {
    waits_for_memory_since_.reset();
    session_.discard_input();
    command_memory_.release();
    discards_input_ = true;
    session_.set_reply(session_.add_reply_slot(), clients_.low_memory_reply());
    write();
    update_state();
}

bool Connection::awaits_command() const {
    if (closed_) return false;
    const ConnectionState current = state();
    return current == ConnectionState::refused || current == ConnectionState::silent ||
           current == ConnectionState::partial_command;
}

// Reads all that has arrived while a command is awaited; a client that has left is closed.
void Connection::read_until_command() {
    while (awaits_command() && may_read()) {
        const ReadResult result = read_available();
        if (result == ReadResult::closed) return handle_disconnect();
        if (result != ReadResult::some) return;
    }
}

void Connection::handle_bytes(std::string_view bytes) {
    if (discards_input_) {
        discarded_bytes_ += bytes.size();
        return;
    }
    last_activity_ = Clock::now();
    if (!awaits_proxy_header_)
        session_.feed(bytes);
    else if (!read_proxy_header(bytes))
        return update_state();
    lateness_ = clients_.lateness(socket_.native_handle(), last_activity_);
    handle_commands();
    write();
    update_state();
}

// Reads the proxy's PROXY header, then asks for admission of the client that it names. Returns false
// while the header is incomplete, and when it is invalid: the connection is then closed.
bool Connection::read_proxy_header(std::string_view bytes) {
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
    std::string().swap(proxy_header_bytes_); // an assignment would keep the memory
    return true;
}

void Connection::handle_commands() {
    client_presence_checked_ = false;
    for (Session::Next next = session_.next(); next != Session::Next::none; next = session_.next()) {
        if (next == Session::Next::malformed) {
            discards_input_ = true;
            session_.set_reply(session_.add_reply_slot(), "-ERR " + session_.error() + "\r\n");
            session_.discard_input();
            break;
        }
        has_sent_command_ = true;
        handle_command(session_.arguments());
    }
    if (session_.capacity() <= resp::ReceiveBuffer::kSmallBytes) command_memory_.release();
}

// Handles commands that waited in the session because too many were in progress.
void Connection::handle_deferred_commands() {
    if (!discards_input_ && !closed_ && session_.has_partial_command()) handle_commands();
}

// Returns whether the client has closed its side, as the kernel knew it when the present commands were read.
// What a client sent before can lie unread behind a pause or a stall of this process, and its close is read
// only after all of that.
bool Connection::client_has_left() {
    return !std::exchange(client_presence_checked_, true) &&
           socket_state(socket_.native_handle()).peer_closed;
}

void Connection::handle_command(const std::vector<std::string_view> &arguments) {
    const std::uint64_t slot = session_.add_reply_slot();
    if (rejected_retry_after_ > 0) {
        discards_input_ = true;
        return session_.set_reply(slot, clients_.rejection_reply(arguments, rejected_retry_after_));
    }
    if (arguments[0] == "PING") return session_.set_reply(slot, "+PONG\r\n");
    if (arguments[0] != "Q.ASK" && arguments[0] != "Q.DO")
        return session_.set_reply(slot, "-ERR unknown command\r\n");
    // Nobody would receive the result of the RPC's effect, nor of those that follow.
    if (client_has_left()) return handle_disconnect();
    try {
        const Request request =
            parse_request(arguments, clients_.config_.names, clients_.config_.limits.max_argument_bytes);
        admission::MemoryReservation memory = reserve_rpc_memory();
        if (memory.bytes() == 0) return session_.set_reply(slot, clients_.low_memory_reply());
        unanswered_rpcs_.emplace_back(slot, request.id);
        if (admitted_) clients_.connection_limiter_->rpc_started(limiter_entry_);
        clients_.last_rpc_at_ = Clock::now();
        const char *const begin = session_.command_bytes().data();
        clients_.handler_.handle_rpc(
            {shared_from_this(), slot},
            std::make_shared<const OwnedRequest>(session_.take_command(), begin, request, std::move(memory)),
            lateness_);
    } catch (const BadInput &bad) {
        clients_.log_(Level::debug, "invalid command: ", bad.what());
        session_.set_reply(slot, std::string("-ERR ") + bad.what() + "\r\n");
    }
}

// Returns the reservation for the RPC whose command was read last, which includes the command; of no bytes
// where there is too little memory.
admission::MemoryReservation Connection::reserve_rpc_memory() {
    if (command_memory_.bytes() > 0) return std::move(command_memory_);
    return clients_.request_memory_->try_reserve(session_.command_bytes().size() +
                                                 clients_.config_.limits.rpc_overhead_bytes);
}

// Starts writing the replies that are ready. Only one write is in progress at a time.
void Connection::write() {
    if (writing_ || closed_) return;
    const auto parts = session_.ready_replies();
    if (parts.empty()) {
        if (discards_input_ && !session_.has_pending_replies()) return start_lingering_close();
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
                          self->update_state();
                      });
}

// Shuts down the sending side, keeps reading for a while, then closes. On a close with unread bytes the
// kernel would reset the connection and discard replies that it has not delivered yet.
void Connection::start_lingering_close() {
    if (std::exchange(lingering_, true)) return;
    update_state();
    boost::system::error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    linger_timer_.expires_after(clients_.config_.limits.close_linger);
    linger_timer_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
        if (!failed) self->close();
    });
}

// Reports the RPCs whose replies have been written to the limiter. From then on it may evict this
// connection.
void Connection::report_written_replies() {
    if (session_.has_pending_replies() || closed_) return;
    const auto outcomes = std::exchange(unwritten_outcomes_, {});
    if (admitted_)
        for (const bool served : outcomes)
            clients_.connection_limiter_->rpc_finished(limiter_entry_, served, clients_.now_ticks());
}

} // namespace pineridge::router::clients
