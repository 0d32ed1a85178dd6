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
using Deferred = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_DEFER_ACCEPT>;

// What the kernel knows of a connection: has its client closed, and how long has what it sent last lain here?
struct Heard {
    bool closed = false;
    Span age{0};
};
Heard heard(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {true, Span(0)};
    return {info.tcpi_state != TCP_ESTABLISHED, Span(info.tcpi_last_data_recv)};
}

} // namespace

class Connection : public std::enable_shared_from_this<Connection> {
  public:
    Connection(Clients &home, asio::ip::tcp::socket socket, bool behind_front)
        : home_(home), socket_(std::move(socket)), resume_(socket_.get_executor()),
          linger_(socket_.get_executor()), session_(home.start_.limits), since_(Clock::now()),
          needs_head_(behind_front) {
        guest_.owner = this;
    }

    // Asks for a seat; whoever goes for it is closed. Above 0: it may not stay, and is to come back after so
    // long.
    Ticks come_in(const asio::ip::address &from) {
        const admission::ConnectionDecision said =
            home_.door_->try_admit(guest_, number_of(from), home_.now());
        seated_ = said.admitted();
        if (said.evicted) static_cast<Connection *>(said.evicted->owner)->close();
        return home_.rules_->observe ? 0 : said.retry_after;
    }

    asio::awaitable<void> serve() {
        const auto self = shared_from_this();
        const Limits &limits = home_.start_.limits;
        while (!closed_) {
            const bool short_of_memory = session_.has_pending_replies() && home_.crammed();
            if (short_of_memory || !may_read()) {
                resume_.expires_after(short_of_memory ? limits.crammed_pause : limits.unread_look);
                co_await resume_.async_wait(as_tuple(use_awaitable));
                // Stops RPCs of a client that has left from being sent on while it is not read from.
                if (!closed_ && heard(socket_.native_handle()).closed) break;
                continue;
            }
            if (read_available() == Read::ended) break;
            if (closed_) break;
            co_await socket_.async_wait(asio::socket_base::wait_read, as_tuple(use_awaitable));
        }
        leave(); // what it still waits for ends here
    }

    void answer(std::uint64_t place, std::string bytes) {
        if (closed_) return;
        const bool served = bytes[0] == '$' || bytes[0] == '*';
        session_.set_reply(place, std::move(bytes));
        if (std::erase_if(waiting_, [&](const auto &at) { return at.first == place; }) > 0 && seated_)
            answered_.push_back(served);
        write();
        weigh();
    }

    // Closes the connection, unless anything is owed on it. It is read once more right before: what has
    // arrived by then is taken and answered. What comes later meets the close unread, and its client sends it
    // again elsewhere.
    void close_if_idle() {
        if (!session_.is_idle() || writing_) return;
        if (read_available() != Read::some) close();
    }
    // The same for a client that is stuck, should what has arrived meanwhile not have moved it on.
    void close_if_stuck(Clock::time_point now) {
        if (!stuck(now)) return;
        if (may_read() && read_available() == Read::ended) return leave();
        if (stuck(now)) close();
    }
    bool used() const { return used_; }
    void unseat() {
        if (std::exchange(seated_, false)) home_.door_->closed(guest_);
        answered_.clear();
    }
    Clock::time_point since() const { return since_; }
    // Commands of it that are there already are pushed back, each; then it is closed. Costs a read, a write
    // and a close, as a flood is met by this.
    void turn_away(Ticks back) {
        std::array<char, 4096> room;
        boost::system::error_code failed;
        const std::size_t size = socket_.read_some(asio::buffer(room), failed);
        if (!failed) {
            session_.feed({room.data(), size});
            std::string answers;
            while (session_.next() == Session::Next::command)
                answers += home_.refusal(session_.arguments(), back);
            socket_.write_some(asio::buffer(answers), failed);
        }
        closed_ = true;
        socket_.close(failed);
    }
    bool stuck(Clock::time_point now) const {
        const Limits &limits = home_.start_.limits;
        const Entrance *const rules = home_.rules_.get();
        const auto told = [&](Ticks Entrance::*span, Span otherwise) {
            return rules ? Span(rules->*span / 10) : otherwise;
        };
        const Span quiet = std::chrono::floor<Span>(now - since_);
        if (writing_) return quiet > told(&Entrance::unread, limits.unread_answers);
        if (session_.has_pending_replies()) return false;
        if (session_.has_partial_command() || needs_head_)
            return std::chrono::floor<Span>(now -
                                            (half_since_ == Clock::time_point{} ? since_ : half_since_)) >
                   told(&Entrance::whole_command, limits.half_command);
        return rules && !used_ && quiet > told(&Entrance::first_byte, limits.half_command);
    }
    std::size_t bytes() const { return bytes_; }
    bool owes() const { return session_.has_pending_replies(); }

    void close() {
        if (closed_) return;
        closed_ = true;
        boost::system::error_code ignored;
        socket_.close(ignored);
        resume_.cancel();
        linger_.cancel();
        for (const auto &[place, id] : std::exchange(waiting_, {})) home_.handler_.handle_client_left(id);
        if (std::exchange(seated_, false)) home_.door_->closed(guest_);
        home_.held_bytes_ -= std::exchange(bytes_, 0);
        home_.busy(*this);
        home_.open_.erase(shared_from_this());
        if (std::exchange(counted, false)) home_.ledger_.release(admission::Purpose::clients);
        home_.room_.cancel();
    }

    bool counted = false; // in the ledger
    std::optional<std::list<Connection *>::iterator> resting; // its place among the idle ones

  private:
    enum class Read { nothing, some, ended };

    bool may_read() const {
        return broken_ ? discarded_ <= home_.start_.limits.discarded : session_.accepts_input();
    }

    // Reads what the kernel holds, without waiting, and takes the commands in it. Bytes leave the kernel only
    // here and are in the session before anything else runs: an asynchronous read would complete, and a close
    // in the same turn of the loop would find neither unread bytes nor a command, before its handler had run.
    Read read_available() {
        boost::system::error_code failed;
        const std::size_t size = socket_.read_some(asio::buffer(home_.room_to_read_), failed);
        if (failed == asio::error::would_block || failed == asio::error::interrupted) return Read::nothing;
        if (failed) return Read::ended;
        take_bytes({home_.room_to_read_.data(), size});
        return Read::some;
    }

    void take_bytes(std::string_view bytes) {
        if (broken_) { // nothing of it is believed any more; its end is its client's leaving
            discarded_ += bytes.size();
            return;
        }
        home_.busy(*this);
        since_ = Clock::now();
        if (!needs_head_)
            session_.feed(bytes);
        else if (!take_head(bytes))
            return;
        age_ = home_.late(socket_.native_handle(), since_);
        take_commands();
        write();
        weigh();
    }

    // The front's header, then whose seat it is. False: more is needed, or it is broken.
    bool take_head(std::string_view bytes) {
        head_.append(bytes);
        proxy::Header header;
        const proxy::Scan got = proxy::scan(head_, header);
        if (got == proxy::Scan::more) return false;
        if (got == proxy::Scan::bad) {
            home_.log_(Level::warning, "door: a front's header: ", header.fault);
            close();
            return false;
        }
        needs_head_ = false;
        if (header.client && home_.door_) refused_for_ = come_in(*header.client);
        session_.feed(std::string_view(head_).substr(header.size));
        head_ = {};
        return true;
    }

    // After whatever it holds more or less of.
    void weigh() {
        if (closed_) return;
        const std::size_t now = session_.buffered_bytes() + head_.capacity();
        home_.held_bytes_ += now - bytes_;
        bytes_ = now;
        if (!session_.has_partial_command())
            half_since_ = {};
        else if (half_since_ == Clock::time_point{})
            half_since_ = Clock::now();
    }

    void take_commands() {
        for (Session::Next got = session_.next(); got != Session::Next::none; got = session_.next()) {
            if (got == Session::Next::malformed) {
                broken_ = true;
                session_.set_reply(session_.add_reply_slot(), "-ERR Protocol error\r\n");
                return;
            }
            used_ = true;
            take(session_.arguments());
        }
    }

    // Commands that had no place among those under way. One whose client has left meanwhile goes nowhere: its
    // effect would be told to nobody.
    void take_held_back() {
        if (broken_ || closed_ || !session_.has_partial_command()) return;
        if (heard(socket_.native_handle()).closed) return leave();
        take_commands();
    }

    void take(const std::vector<std::string_view> &arguments) {
        const std::uint64_t place = session_.add_reply_slot();
        if (refused_for_ > 0) {
            broken_ = true;
            return session_.set_reply(place, home_.refusal(arguments, refused_for_));
        }
        if (arguments[0] == "PING") return session_.set_reply(place, "+PONG\r\n");
        if (arguments[0] != "Q.ASK" && arguments[0] != "Q.DO")
            return session_.set_reply(place, "-ERR unknown command\r\n");
        try {
            const Request request = parse_request(arguments, home_.start_.names, home_.start_.limits.word);
            waiting_.emplace_back(place, request.id);
            if (seated_) home_.door_->rpc_started(guest_);
            home_.last_rpc_ = Clock::now();
            home_.handler_.handle_rpc({shared_from_this(), place},
                                      std::make_shared<const OwnedRequest>(session_.command_bytes(), request),
                                      age_);
        } catch (const BadInput &bad) {
            home_.log_(Level::debug, "a bad command: ", bad.what());
            session_.set_reply(place, std::string("-ERR ") + bad.what() + "\r\n");
        }
    }

    void write() {
        if (writing_ || closed_) return;
        const auto parts = session_.ready_replies();
        if (parts.empty()) {
            if (broken_ && !session_.has_pending_replies()) return finish();
            if (session_.is_idle()) home_.rest(*this);
            return;
        }
        writing_ = true;
        since_ = Clock::now();
        std::vector<asio::const_buffer> buffers;
        for (const std::string_view part : parts) buffers.emplace_back(part.data(), part.size());
        asio::async_write(socket_, buffers,
                          [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                              self->writing_ = false;
                              if (failed) return self->leave();
                              if (self->closed_) return;
                              self->session_.replies_written();
                              self->since_ = Clock::now();
                              self->settle();
                              self->take_held_back();
                              // Its client would use it again at once, before the next look at idle ones.
                              if (self->home_.leaving_) self->close_if_idle();
                              if (self->closed_) return;
                              self->resume_.cancel();
                              self->write();
                              self->weigh();
                          });
    }

    // Ends sending, reads on for a while, then closes. Stops bytes that lie unread from making the kernel
    // reset the connection, and throw away answers that it was given.
    void finish() {
        if (std::exchange(finishing_, true)) return;
        boost::system::error_code ignored;
        socket_.shutdown(asio::socket_base::shutdown_send, ignored);
        linger_.expires_after(home_.start_.limits.linger);
        linger_.async_wait([self = shared_from_this()](boost::system::error_code failed) {
            if (!failed) self->close();
        });
    }

    // What has been written is answered: from then on the connection may go for another.
    void settle() {
        if (session_.has_pending_replies() || closed_) return;
        const auto answered = std::exchange(answered_, {});
        if (seated_)
            for (const bool served : answered) home_.door_->rpc_finished(guest_, served, home_.now());
    }

    // A half-closed client cannot be told from one that has gone: its RPCs end. What it may still read is an
    // answer for each, so that none is without one.
    void leave() { close(); }

    Clients &home_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer resume_, linger_;
    Session session_;
    std::vector<std::pair<std::uint64_t, std::string>> waiting_; // places and ids of RPCs without an answer
    Clock::time_point since_;
    Span age_{0}; // of what was read last, by then
    Clock::time_point half_since_{}; // when the command under way began
    admission::ClientConnection guest_;
    std::vector<bool> answered_; // RPCs whose answers are not all written: were they served?
    std::string head_; // of a front, as far as it has come
    std::size_t bytes_ = 0; // what it holds, as counted among all
    Ticks refused_for_ = 0; // above 0: its first command is answered so, and it is closed
    bool writing_ = false, closed_ = false, broken_ = false, used_ = false;
    bool needs_head_, seated_ = false, finishing_ = false;
    std::size_t discarded_ = 0; // bytes after those that could not be read
};

Clients::Clients(asio::io_context &io, const Start &start, const Log &log,
                 admission::DescriptorBudget &ledger, RequestHandler &handler)
    : io_(io), start_(start), log_(log), ledger_(ledger), handler_(handler), acceptor_(io),
      room_to_read_(start.limits.read_step), room_(io) {
    set_admission_rules(start.entrance);
}

Ticks Clients::now() { return std::chrono::floor<Tick>(Clock::now().time_since_epoch()).count(); }

// Those that came in while there was no door have no seat; they go by the older order.
void Clients::set_admission_rules(std::shared_ptr<const Entrance> rules) {
    const auto before = std::exchange(rules_, std::move(rules)); // stands until the door has let go of it
    if (!rules_) {
        for (const auto &client : open_) client->unseat();
        door_.reset();
    } else if (door_) {
        door_->set_rules(*rules_);
    } else {
        door_.emplace(*rules_, start_.limits.clients, start_.seed);
    }
}

bool Clients::is_front(const asio::ip::address &from) const {
    if (!rules_) return false;
    const Number number = number_of(from);
    return std::any_of(rules_->fronts.begin(), rules_->fronts.end(),
                       [&](const Network &front) { return front.holds(number); });
}

// What a connection that may not stay is answered. Request whether this router is ready it says so: to be
// full is not to be down. A time to come back is told where the platform allows it, and no longer.
std::string Clients::refusal(const std::vector<std::string_view> &arguments, Ticks back) const {
    if (arguments[0] == "PING") return "+PONG\r\n";
    return clients::busy_reply(permitted_retry_after(start_.terms, back));
}

// What goes first where memory is short: buffers of clients that are owed nothing, the largest first. Those
// that are owed answers are not read from meanwhile (Connection::serve).
void Clients::shed() {
    if (!crammed()) return;
    std::vector<std::shared_ptr<Connection>> large;
    for (const auto &client : open_)
        if (!client->owes()) large.push_back(client);
    std::sort(large.begin(), large.end(),
              [](const auto &a, const auto &b) { return a->bytes() > b->bytes(); });
    std::size_t shed = 0;
    for (; shed < large.size() && crammed(); ++shed) large[shed]->close();
    log_(Level::warning, "door: memory of clients short, closed ", shed, ", held KiB ", held_bytes_ / 1024);
}

void Clients::listen() {
    if (leaving_) return;
    if (acceptor_.is_open()) acceptor_.close();
    acceptor_.open(start_.listen.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    // A connection takes a descriptor once its first command is there. Stops those of clients that are late
    // with it from using them up.
    acceptor_.set_option(Deferred(static_cast<int>(start_.limits.half_command.count() / 1000)));
    acceptor_.bind(start_.listen);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(io_, accept(), detached);
    asio::co_spawn(
        io_,
        [this]() -> asio::awaitable<void> {
            asio::steady_timer timer(io_);
            for (;;) {
                timer.expires_after(start_.limits.sweep);
                co_await timer.async_wait(use_awaitable);
                const auto now = Clock::now();
                const std::vector<std::shared_ptr<Connection>> open(open_.begin(), open_.end());
                for (const auto &client : open) client->close_if_stuck(now);
                if (!door_) make_room(start_.limits.kept, open_.size());
                shed();
            }
        },
        detached);
}

void Clients::answer(const ReplyTarget &reply, std::string bytes) {
    reply.connection->answer(reply.slot, std::move(bytes));
}

void Clients::begin(asio::ip::tcp::socket socket, const asio::ip::address &from) {
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored); // reads never wait
    const bool behind_front = is_front(from);
    const auto client = std::make_shared<Connection>(*this, std::move(socket), behind_front);
    if (door_ && !behind_front)
        if (const Ticks back = client->come_in(from); back > 0) return client->turn_away(back);
    open_.insert(client);
    client->counted =
        ledger_.acquire(admission::Purpose::clients); // not, where all is taken in to be answered at the end
    if (!door_) make_room(start_.limits.kept, start_.limits.looked_at);
    asio::co_spawn(io_, client->serve(), detached);
}

// Takes connections in turns, up to the clients' share of the descriptors; the rest wait in the kernel's
// queue. Stops a storm of connections from taking those that reach hosts, after which nothing is answered and
// clients come again for ever. One whose client has given up is closed unread: what it costs has to be less
// than what a client's next try costs, or the queue only grows.
asio::awaitable<void> Clients::accept() {
    const Limits &limits = start_.limits;
    boost::system::error_code failed;
    acceptor_.non_blocking(true, failed);
    while (acceptor_.is_open()) {
        if (!door_ && open_.size() >= limits.clients)
            make_room(limits.clients - limits.accepts, 2 * limits.accepts);
        // The door has to see who asks: it closes one for each that it lets in beyond its room.
        const std::size_t kept_back = door_ ? 0 : limits.at_door;
        const auto full = [&] { return ledger_.available(admission::Purpose::clients) <= kept_back; };
        if (full()) {
            note_full();
            room_.expires_after(limits.accept_pause);
            co_await room_.async_wait(as_tuple(use_awaitable));
            continue;
        }
        std::tie(failed) = co_await acceptor_.async_wait(acceptor_.wait_read, as_tuple(use_awaitable));
        if (failed == asio::error::operation_aborted) break;
        bool none = false;
        for (std::size_t i = 0; i < limits.accepts && !full() && !none; ++i) none = !take_one(failed);
        if (failed && failed != asio::error::would_block && failed != asio::error::connection_aborted) {
            log_(Level::warning, "accept: ", failed.message(), ", clients ", open_.size());
            handler_.handle_descriptors_exhausted();
            make_room(limits.clients, limits.looked_at);
            room_.expires_after(limits.accept_pause);
            co_await room_.async_wait(as_tuple(use_awaitable));
        }
        if (!none) co_await asio::post(io_, use_awaitable); // what was read has its turn
    }
}

bool Clients::take_one(boost::system::error_code &failed) {
    asio::ip::tcp::endpoint from;
    auto size = static_cast<socklen_t>(from.capacity());
    const int taken = ::accept4(acceptor_.native_handle(), from.data(), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    failed = taken < 0 ? boost::system::error_code(errno, boost::system::system_category())
                       : boost::system::error_code();
    if (taken < 0) return false;
    from.resize(size);
    const Heard known = heard(taken);
    if (known.closed) {
        ::close(taken);
        ++given_up_;
        return true;
    }
    asio::ip::tcp::socket socket(io_);
    socket.assign(start_.listen.protocol(), taken, failed);
    if (failed)
        ::close(taken);
    else
        begin(std::move(socket), from.address());
    return true;
}

// How long what was just read has lain unread. Looked up for one read in some while nothing lies, for each
// once something does: only then does the time a client has left differ from what it told.
Span Clients::late(int socket, Clock::time_point now) {
    if (now >= late_until_ && ++reads_ % start_.limits.late_looks != 0) return Span(0);
    const Span age = heard(socket).age;
    if (age < start_.limits.late_least) return Span(0);
    late_until_ = now + start_.limits.late_for;
    return age;
}

void Clients::note_full() {
    const auto now = Clock::now();
    if (now < full_said_ + start_.limits.sweep) return;
    full_said_ = now;
    log_(Level::info, "door: full, clients ", open_.size(), ", closed for having given up ", given_up_);
}

void Clients::rest(Connection &client) {
    if (!client.resting) client.resting = idle_.insert(idle_.end(), &client);
}

void Clients::busy(Connection &client) {
    if (client.resting) idle_.erase(*std::exchange(client.resting, std::nullopt));
}

// Closes those idle longest, until so many connections are left. Stops idle ones, of clients that ask once
// and stay, from using up the descriptors, which would leave new ones unheard and hosts out of reach. One
// that has yet to send its first command is left: it may be under way.
void Clients::make_room(std::size_t most, std::size_t looked_at) {
    const auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> candidates; // apart: a look at one may take it off the list
    for (auto at = idle_.begin(); at != idle_.end() && looked_at-- > 0; ++at) {
        Connection &client = **at;
        if (now - client.since() < start_.limits.rested) break; // its client may be about to use it
        if (client.used()) candidates.push_back(client.shared_from_this());
    }
    for (const auto &client : candidates) {
        if (open_.size() <= most) return;
        client->close_if_idle();
    }
}

void Clients::close_idle(std::chrono::milliseconds unused_for) {
    const auto now = Clock::now();
    const std::vector<std::shared_ptr<Connection>> open(open_.begin(), open_.end());
    for (const auto &client : open)
        if (client->used() || now - client->since() > unused_for) client->close_if_idle();
}

void Clients::shut_down(std::function<void()> done) {
    if (std::exchange(leaving_, true)) return;
    // Those held back until their first command is there would be in no queue that the last look reaches.
    boost::system::error_code ignored;
    if (acceptor_.is_open()) acceptor_.set_option(Deferred(0), ignored);
    asio::co_spawn(io_, watch_leave(std::move(done)), detached);
}

asio::awaitable<void> Clients::watch_leave(std::function<void()> done) {
    const Limits &limits = start_.limits;
    const auto began = Clock::now();
    last_rpc_ = began;
    asio::steady_timer timer(io_);
    for (;;) {
        close_idle(limits.leave_unused);
        const auto now = Clock::now();
        if (now - began >= limits.leave_least && now - last_rpc_ >= limits.leave_quiet) break;
        if (now - began >= limits.leave_by) break; // whoever comes still is pushed back
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    boost::system::error_code failed;
    while (take_one(failed) || (failed != asio::error::would_block && acceptor_.is_open())) {
        if (!failed || failed == asio::error::connection_aborted) continue;
        // Stops those that wait in the queue from being reset where descriptors have run out. By the time
        // told all that was taken has its answer, and gives its descriptors back; a little later is still
        // before the end.
        if (Clock::now() - began >= limits.leave_by + limits.leave_last) break;
        handler_.handle_descriptors_exhausted();
        close_idle(Span(0));
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    acceptor_.close(failed);
    while (!open_.empty()) {
        close_idle(limits.leave_unused);
        timer.expires_after(limits.accept_pause);
        co_await timer.async_wait(use_awaitable);
    }
    done();
}

} // namespace pineridge::router::clients
