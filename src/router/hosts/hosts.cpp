#include "router/hosts/hosts.hpp"
#include "net/fuse.hpp"
#include "net/quiet.hpp"

#include <algorithm>

namespace pineridge::router::hosts {

namespace {

using asio::as_tuple;
using asio::use_awaitable;
using Socket = asio::ip::tcp::socket;

} // namespace

class Call : public std::enable_shared_from_this<Call> {
  public:
    Call(Hosts &home, std::string id, std::shared_ptr<const clients::OwnedRequest> held, Ticks span,
         std::optional<Clock::time_point> latest, Ended ended)
        : home_(home), id_(std::move(id)), held_(std::move(held)),
          until_(Clock::now() + std::chrono::microseconds(span * 100)), latest_(latest),
          ended_(std::move(ended)), past_lease_(!home.lease_holds()), fuse_(home.io_.get_executor()),
          handed_(home.io_) {
        const auto at = home_.places_.find(id_);
        process_ = at == home_.places_.end() ? 0 : at->second.process;
        build_ = home_.build_of(id_);
        if (home_.start_.terms.rollout.sticky_keys) kept_key_ = held_->request.key;
    }

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        co_await asio::post(use_awaitable); // never ends within the call that sent it
        Ending ending = co_await attempt();
        home_.unsent_.erase(this);
        if (sent_) home_.key_ended(kept_key_, build_);
        fuse_.put_out();
        if (cut_ && ending.outcome != Outcome::ok)
            ending.outcome = sent_ ? Outcome::cancelled : Outcome::not_sent;
        const bool reusable = ending.reusable && !cut_;
        std::exchange(ended_, nullptr)(std::move(ending));
        if (!socket_) co_return;
        // Stops a second copy of this answer, which comes a little later, from being read as the next RPC's.
        if (reusable) {
            handed_.expires_after(home_.start_.limits.reuse_delay);
            co_await handed_.async_wait(as_tuple(use_awaitable));
        }
        Hosts::Place *const place = here();
        if (reusable && place && quiet(*socket_))
            home_.hand_on(*place, std::move(socket_));
        else
            home_.close(socket_);
    }

    void cut() {
        if (!ended_) return;
        cut_ = true;
        boost::system::error_code ignored;
        if (socket_) socket_->close(ignored);
        handed_.cancel();
    }
    // Its RPC is over. What never left ends here, also where the platform forbids to cancel what is on a
    // host. Stops a pick that waits for a connection from being sent after its RPC's final answer.
    void withdraw() {
        if (!sent_) cut();
    }
    bool has_left() const { return sent_; }
    const std::string &host() const { return id_; }
    std::string_view key() const { return held_->request.key; }

    bool waits() const { return ended_ && !socket_ && !cut_ && !refused_; }
    void take(std::unique_ptr<Socket> socket) {
        socket_ = std::move(socket);
        handed_.cancel();
    }
    void look_again() { handed_.cancel(); }
    void refuse() {
        refused_ = true;
        handed_.cancel();
    }

  private:
    // The host's place, while the process that the pick was meant for still stands and takes picks.
    Hosts::Place *here() {
        const auto at = home_.places_.find(id_);
        if (at == home_.places_.end() || at->second.process != process_ || process_ == 0) return nullptr;
        return &at->second;
    }

    asio::awaitable<Ending> attempt() {
        for (bool fresh = false;; fresh = true) {
            Hosts::Place *const place = here();
            // Drained, gone or another process since the pick was decided: nothing of it has been sent.
            if (!place || !place->ready || cut_ || !home_.may_send(past_lease_))
                co_return Ending{Outcome::not_sent};
            if (!fresh) socket_ = home_.take_idle(*place, idle_);
            if (!socket_) {
                idle_.reset();
                const auto until = std::min(until_, Clock::now() + home_.start_.limits.connect_timeout);
                place->waiting.push_back(shared_from_this());
                home_.dial_more(id_, *place);
                handed_.expires_at(until);
                co_await handed_.async_wait(as_tuple(use_awaitable));
                if (Hosts::Place *const still = here(); still && !socket_)
                    std::erase(still->waiting, shared_from_this());
                if (!socket_)
                    co_return Ending{refused_ || Clock::now() >= until ? Outcome::connect_failed
                                                                       : Outcome::not_sent};
                if (const Hosts::Place *still = here();
                    !still || !still->ready || cut_ || !home_.may_send(past_lease_))
                    co_return Ending{Outcome::not_sent, {}, {}, true};
            }
            if (latest_ && Clock::now() >= *latest_) co_return Ending{Outcome::not_sent, {}, {}, true};
            // Sent meanwhile to a newer build, whose answer may be lost on its way: not to this one any more.
            if (home_.is_out_above(kept_key_, build_)) co_return Ending{Outcome::not_sent, {}, {}, true};
            fuse_.light(*socket_, until_);
            if (co_await write()) break;
            if (fresh || cut_ || fuse_.blown()) co_return Ending{Outcome::connect_failed};
            home_.close(socket_); // it had ended while idle, and nothing whole was written: once more
        }
        co_return co_await read();
    }

    // True once the command's last byte is the kernel's; else it cannot have run. It is written at once, so
    // that `sent_` is true from that byte on: a cut or a time-out in the same turn tells rightly what has
    // left.
    asio::awaitable<bool> write() {
        const auto left = std::chrono::duration_cast<std::chrono::microseconds>(until_ - Clock::now());
        clients::EncodedRequest words;
        clients::encode_with_timeout(*held_, std::max<Ticks>(1, left.count() / 100), words);
        std::array<asio::const_buffer, 5> buffers;
        std::size_t total = 0;
        for (std::size_t i = 0; i < buffers.size(); ++i) {
            buffers[i] = asio::buffer(words.parts[i].data(), words.parts[i].size());
            total += words.parts[i].size();
        }
        boost::system::error_code failed;
        socket_->non_blocking(true, failed);
        std::size_t written = socket_->write_some(buffers, failed);
        std::string rest; // of a command that the kernel did not take whole
        if (written < total && (!failed || failed == asio::error::would_block)) {
            for (const std::string_view part : words.parts) rest += part;
        }
        while (written < total && (!failed || failed == asio::error::would_block)) {
            std::tie(failed) = co_await socket_->async_wait(Socket::wait_write, as_tuple(use_awaitable));
            if (failed || cut_ || (latest_ && Clock::now() >= *latest_)) break;
            written += socket_->write_some(asio::buffer(rest) + written, failed);
        }
        sent_ = written == total;
        if (sent_) home_.unsent_.erase(this);
        if (sent_) home_.key_sent(kept_key_, build_);
        co_return sent_;
    }

    asio::awaitable<Ending> read() {
        Exchange exchange(home_.start_.limits, home_.start_.names.report_fields);
        std::vector<char> room(home_.start_.limits.first_read_bytes);
        for (;;) {
            const auto [failed, size] =
                co_await socket_->async_read_some(asio::buffer(room), as_tuple(use_awaitable));
            if (!cut_ && !fuse_.blown()) note_end(failed && !exchange.begun());
            if (failed) co_return Ending{fuse_.blown() ? Outcome::timed_out : Outcome::connection_lost};
            if (auto ending = exchange.feed({room.data(), size})) co_return std::move(*ending);
        }
    }

    void note_end(bool broken) {
        if (std::exchange(noted_, true)) return;
        idle_ ? home_.trust_.note_kept(*idle_, broken) : home_.trust_.note_new(broken);
    }

    Hosts &home_;
    std::string id_;
    std::shared_ptr<const clients::OwnedRequest> held_;
    Clock::time_point until_;
    std::optional<Clock::time_point> latest_; // to be sent
    Ended ended_;
    const bool past_lease_; // when it was decided
    Fuse fuse_;
    asio::steady_timer handed_; // ends early when a connection is at hand
    std::unique_ptr<Socket> socket_;
    std::uint64_t process_ = 0;
    int build_ = -1; // of its host when it was decided
    std::string kept_key_; // its key, where keys stay; else empty
    std::optional<Milliseconds> idle_; // how long its connection had stood idle; none: a new one
    bool noted_ = false, cut_ = false, sent_ = false, refused_ = false;
};

Hosts::Hosts(asio::io_context &io, const Start &start, const Log &log, admission::DescriptorBudget &ledger)
    : io_(io), start_(start), log_(log), ledger_(ledger), trust_(start.limits) {}

void Hosts::put(const std::string &id, const Address &address, bool ready, Ticks started, int build) {
    Place &place = places_[id];
    if (place.process == 0 || place.address != address || place.started != started || place.build != build) {
        drop_idle(place, 0);
        place.process = ++processes_;
        place.dialing = 0;
        wake_waiting(place);
    }
    if (place.ready && !ready) drain_until_ = Clock::now() + start_.limits.drain_time;
    place.address = address;
    place.started = started;
    place.build = build;
    place.ready = ready;
    if (ready) return;
    drop_idle(place, 0);
    wake_waiting(place);
}

int Hosts::build_of(const std::string &id) const {
    const auto at = places_.find(id);
    return at == places_.end() ? -1 : at->second.build;
}

void Hosts::remove(const std::string &id) {
    const auto at = places_.find(id);
    if (at == places_.end()) return;
    if (at->second.ready) drain_until_ = Clock::now() + start_.limits.drain_time;
    drop_idle(at->second, 0);
    wake_waiting(at->second);
    places_.erase(at);
}

// Opens connections before the first clients come. Stops the first second's RPCs from each waiting for a
// new one, while clients open ever more of theirs.
asio::awaitable<void> Hosts::warm_up() {
    const auto until = Clock::now() + std::min(start_.limits.connect_timeout, start_.limits.warm_up_timeout);
    const std::size_t wanted =
        std::min(start_.limits.warm_connections,
                 start_.limits.host_connections / 2 / std::max<std::size_t>(1, places_.size()));
    for (auto &[id, place] : places_)
        for (std::size_t i = 0; place.ready && i < wanted && take_descriptor(); ++i) {
            ++place.dialing;
            asio::co_spawn(io_, dial(id, place.process, place.address), asio::detached);
        }
    const auto dialing = [this] {
        return std::any_of(places_.begin(), places_.end(),
                           [](const auto &at) { return at.second.dialing > 0; });
    };
    asio::steady_timer timer(io_);
    while (dialing() && Clock::now() < until) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(use_awaitable);
    }
}

std::shared_ptr<Call> Hosts::send(const std::string &id, std::shared_ptr<const clients::OwnedRequest> held,
                                  Ticks span, std::optional<Clock::time_point> latest, Ended ended) {
    auto call = std::make_shared<Call>(*this, id, std::move(held), span, latest, std::move(ended));
    unsent_.insert(call.get()); // from the decision on: its run begins a turn of the loop later
    asio::co_spawn(
        io_, [call] { return call->run(); }, asio::detached);
    return call;
}

void Hosts::cut(const std::shared_ptr<Call> &call) { call->cut(); }
void Hosts::withdraw(const std::shared_ptr<Call> &call) { call->withdraw(); }
bool Hosts::has_left(const std::shared_ptr<Call> &call) { return call->has_left(); }
template <class Which> void Hosts::withdraw_if(const Which &which) {
    std::vector<std::shared_ptr<Call>> found;
    for (Call *call : unsent_)
        if (which(*call)) found.push_back(call->shared_from_this());
    for (const auto &call : found) call->withdraw();
}

void Hosts::withdraw_from(int build) {
    withdraw_if([&](const Call &call) { return build_of(call.host()) == build; });
}

void Hosts::withdraw_key(std::string_view key, int below) {
    withdraw_if([&](const Call &call) { return call.key() == key && build_of(call.host()) < below; });
}

bool Hosts::is_out_above(const std::string &key, int build) const {
    const auto at = key.empty() ? keys_out_.end() : keys_out_.find(key);
    return at != keys_out_.end() && at->second.upper_bound(build) != at->second.end();
}

void Hosts::key_sent(const std::string &key, int build) {
    if (!key.empty()) ++keys_out_[key][build];
}

void Hosts::key_ended(const std::string &key, int build) {
    const auto at = keys_out_.find(key);
    if (at == keys_out_.end()) return;
    const auto count = at->second.find(build);
    if (count == at->second.end()) return; // released meanwhile
    if (--count->second == 0) at->second.erase(count);
    if (at->second.empty()) keys_out_.erase(at);
}

void Hosts::release_keys(int build) {
    for (auto at = keys_out_.begin(); at != keys_out_.end();) {
        at->second.erase(build);
        at = at->second.empty() ? keys_out_.erase(at) : std::next(at);
    }
}

// The one used last of those that have been quiet for some while, else the one quiet longest. Stops a second
// copy of an answer that comes some milliseconds late from being read as the next RPC's, where there is a
// choice.
std::unique_ptr<Socket> Hosts::take_idle(Place &place, std::optional<Milliseconds> &idle) {
    while (!place.idle.empty()) {
        const auto now = Clock::now();
        const auto rested = [&](const Idle &one) {
            return now - one.since >= start_.limits.preferred_reuse_delay;
        };
        const auto last = std::find_if(place.idle.rbegin(), place.idle.rend(), rested);
        const auto at = last == place.idle.rend() ? place.idle.begin() : std::prev(last.base());
        idle = std::chrono::floor<Milliseconds>(now - at->since);
        if (!trust_.holds(*idle)) {
            drop_idle(place, 0);
            break;
        }
        std::unique_ptr<Socket> socket = std::move(at->socket);
        place.idle.erase(at);
        --idle_;
        if (quiet(*socket)) return socket;
        close(socket);
    }
    idle.reset();
    return nullptr;
}

// Dials for picks that wait, a few at a time: a connection that comes free serves them as well.
void Hosts::dial_more(const std::string &id, Place &place) {
    const Limits &limits = start_.limits;
    const std::size_t waiting = place.waiting.size();
    const std::size_t most =
        std::min({waiting, limits.concurrent_connects + waiting / limits.picks_per_extra_connect,
                  limits.max_concurrent_connects});
    while (place.dialing < most) {
        if (!take_descriptor()) return;
        ++place.dialing;
        asio::co_spawn(io_, dial(id, place.process, place.address), asio::detached);
    }
}

// While a host drains, its picks need connections to others at once: some are kept for that. Stops a drain in
// a full house from ending in RPCs that reach nobody.
bool Hosts::take_descriptor() {
    using admission::Purpose;
    if (ledger_.acquire(Purpose::hosts)) return true;
    free_idle(idle_ / 2);
    return ledger_.acquire(Purpose::hosts) ||
           (Clock::now() < drain_until_ && ledger_.acquire(Purpose::drains));
}

asio::awaitable<void> Hosts::dial(std::string id, std::uint64_t process, Address address) {
    auto socket = std::make_unique<Socket>(io_);
    Fuse fuse(io_.get_executor());
    fuse.light(*socket, start_.limits.connect_timeout);
    const auto [failed] = co_await socket->async_connect(address, as_tuple(use_awaitable));
    fuse.put_out();
    boost::system::error_code ignored;
    if (!failed) socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto at = places_.find(id);
    const bool stands = at != places_.end() && at->second.process == process;
    if (stands) --at->second.dialing;
    if (failed == asio::error::no_descriptors) { // not the host's fault: what comes free must do
        log_(Level::warning, "no descriptor to reach a host, connections ", open());
        co_return close(socket);
    }
    if (failed || fuse.blown() || !stands) {
        close(socket);
        if (stands)
            if (const auto call = first_waiting(at->second)) call->refuse();
    } else {
        hand_on(at->second, std::move(socket));
    }
    if (stands) dial_more(id, at->second);
}

std::shared_ptr<Call> Hosts::first_waiting(Place &place) {
    while (!place.waiting.empty()) {
        const std::shared_ptr<Call> call = std::move(place.waiting.front());
        place.waiting.pop_front();
        if (call->waits()) return call;
    }
    return nullptr;
}

// To the pick that has waited longest, else to the idle ones.
void Hosts::hand_on(Place &place, std::unique_ptr<Socket> socket) {
    if (const auto call = first_waiting(place)) return call->take(std::move(socket));
    if (!place.ready) return close(socket); // nothing new goes there
    place.idle.push_back({std::move(socket), Clock::now()});
    ++idle_;
}

// Those that wait for a process that has gone, or takes no more, look again and find it so.
void Hosts::wake_waiting(Place &place) {
    for (const auto &call : std::exchange(place.waiting, {})) call->look_again();
}

void Hosts::close(std::unique_ptr<Socket> &socket) {
    boost::system::error_code ignored;
    socket->close(ignored);
    socket.reset();
    using admission::Purpose; // what drains took comes back first
    ledger_.release(ledger_.in_use(Purpose::drains) > 0 ? Purpose::drains : Purpose::hosts);
}

void Hosts::drop_idle(Place &place, std::size_t keep) {
    for (; place.idle.size() > keep; place.idle.pop_front(), --idle_) close(place.idle.front().socket);
}

// Closes connections well before the host would.
void Hosts::sweep() {
    trust_.fade();
    const auto now = Clock::now();
    const auto old = [&](const Idle &idle) {
        const Milliseconds span = std::chrono::floor<Milliseconds>(now - idle.since);
        return span > start_.limits.idle_timeout / 2 || !trust_.holds(span);
    };
    for (auto &[id, place] : places_)
        for (; !place.idle.empty() && old(place.idle.front()); place.idle.pop_front(), --idle_)
            close(place.idle.front().socket);
}

void Hosts::free_idle(std::size_t most) {
    for (auto &[id, place] : places_) {
        if (idle_ <= most) return;
        drop_idle(place, place.idle.size() / 2);
    }
    for (auto &[id, place] : places_)
        if (idle_ > most) drop_idle(place, 0);
}

} // namespace pineridge::router::hosts
