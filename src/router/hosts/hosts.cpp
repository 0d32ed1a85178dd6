#include "router/hosts/hosts.hpp"
#include "net/idle_socket.hpp"
#include "net/socket_deadline.hpp"

#include <algorithm>

namespace pineridge::router::hosts {

namespace {

using asio::as_tuple;
using asio::use_awaitable;
using Socket = asio::ip::tcp::socket;

// Removes bytes from the front of a sequence of buffers.
template <std::size_t kCount>
void drop_front(std::array<asio::const_buffer, kCount> &buffers, std::size_t size) {
    for (asio::const_buffer &buffer : buffers) {
        const std::size_t dropped = std::min(size, buffer.size());
        buffer += dropped;
        size -= dropped;
    }
}

} // namespace

// One pick from its decision to its end: it waits for a connection, sends the command and reads the answer.
// Afterwards it returns the connection, if that can be used again.
class Pick : public std::enable_shared_from_this<Pick> {
  public:
    Pick(Hosts &owner, std::string id, std::shared_ptr<const clients::OwnedRequest> request, Ticks timeout,
         std::optional<Clock::time_point> send_deadline, PickEndHandler on_end)
        : owner_(owner), id_(std::move(id)), request_(std::move(request)),
          deadline_(Clock::now() + std::chrono::microseconds(timeout * 100)), send_deadline_(send_deadline),
          on_end_(std::move(on_end)), decided_past_lease_(!owner.lease_holds()),
          deadline_timer_(owner.io_.get_executor()), wait_timer_(owner.io_) {
        const auto found = owner_.hosts_.find(id_);
        process_ = found == owner_.hosts_.end() ? 0 : found->second.process;
        build_ = owner_.build_of(id_);
        if (owner_.config_.deployment.rollout.sticky_keys) sticky_key_ = request_->request.key;
    }

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        co_await asio::post(use_awaitable); // `on_end_` must not be called within Hosts::send
        PickResult result = co_await attempt();
        owner_.unsent_.erase(this);
        if (sent_) owner_.record_key_ended(sticky_key_, build_);
        deadline_timer_.cancel();
        if (cancelled_ && result.outcome != Outcome::ok)
            result.outcome = sent_ ? Outcome::cancelled : Outcome::not_sent;
        const bool reusable = result.reusable && !cancelled_;
        std::exchange(on_end_, nullptr)(std::move(result));
        if (!socket_) co_return;
        // The host may send a second copy of the answer a little later: it must not be read as the answer to
        // the next RPC.
        if (reusable) {
            wait_timer_.expires_after(owner_.config_.limits.reuse_delay);
            co_await wait_timer_.async_wait(as_tuple(use_awaitable));
        }
        Hosts::HostState *const host = current_host();
        if (reusable && host && is_open_and_idle(*socket_))
            owner_.return_connection(*host, std::move(socket_));
        else
            owner_.close(socket_);
    }

    void cancel() {
        if (!on_end_) return;
        cancelled_ = true;
        boost::system::error_code ignored;
        if (socket_) socket_->close(ignored);
        wait_timer_.cancel();
    }
    // Ends the pick unless its command has been sent, as its RPC has had its final answer. This is allowed
    // also where the platform forbids cancelling a pick that a host has received.
    void withdraw() {
        if (!sent_) cancel();
    }
    bool was_sent() const { return sent_; }
    const std::string &host() const { return id_; }
    std::string_view key() const { return request_->request.key; }

    bool is_waiting() const { return on_end_ && !socket_ && !cancelled_ && !connect_failed_; }
    void assign_connection(std::unique_ptr<Socket> socket) {
        socket_ = std::move(socket);
        wait_timer_.cancel();
    }
    void recheck_host() { wait_timer_.cancel(); }
    void fail_connect() {
        connect_failed_ = true;
        wait_timer_.cancel();
    }

  private:
    // Returns the host, or null if it is no longer the process that the pick was decided for.
    Hosts::HostState *current_host() {
        const auto found = owner_.hosts_.find(id_);
        if (found == owner_.hosts_.end() || found->second.process != process_ || process_ == 0)
            return nullptr;
        return &found->second;
    }

    // Sends the command and returns the result. If an idle connection turns out to be closed, it tries once
    // more with a new connection.
    asio::awaitable<PickResult> attempt() {
        for (bool use_new = false;; use_new = true) {
            Hosts::HostState *const host = current_host();
            // Since the decision the host has been drained, removed or restarted, or the lease of the list
            // has expired.
            if (!host || !host->ready || cancelled_ || !owner_.may_send(decided_past_lease_))
                co_return PickResult{Outcome::not_sent};
            if (!use_new) socket_ = owner_.take_idle_connection(*host, idle_);
            if (!socket_) {
                idle_.reset();
                const auto until = std::min(deadline_, Clock::now() + owner_.config_.limits.connect_timeout);
                host->waiting.push_back(shared_from_this());
                owner_.connect_more(id_, *host);
                wait_timer_.expires_at(until);
                co_await wait_timer_.async_wait(as_tuple(use_awaitable));
                if (Hosts::HostState *const current = current_host(); current && !socket_)
                    std::erase(current->waiting, shared_from_this());
                if (!socket_)
                    co_return PickResult{connect_failed_ || Clock::now() >= until ? Outcome::connect_failed
                                                                                  : Outcome::not_sent};
                if (const Hosts::HostState *current = current_host();
                    !current || !current->ready || cancelled_ || !owner_.may_send(decided_past_lease_))
                    co_return PickResult{Outcome::not_sent, {}, {}, true};
            }
            if (send_deadline_ && Clock::now() >= *send_deadline_)
                co_return PickResult{Outcome::not_sent, {}, {}, true};
            // The key has been sent to a newer build meanwhile, which may have answered it.
            if (owner_.is_open_at_newer_build(sticky_key_, build_))
                co_return PickResult{Outcome::not_sent, {}, {}, true};
            deadline_timer_.set(*socket_, deadline_);
            if (co_await write()) break;
            if (use_new || cancelled_ || deadline_timer_.expired())
                co_return PickResult{Outcome::connect_failed};
            owner_.close(socket_); // the host had closed it while idle; the command has not been sent in full
        }
        co_return co_await read();
    }

    // Returns whether the whole command has been passed to the kernel; otherwise it cannot have been
    // executed. The first write is synchronous, so that `sent_` is set in the same turn: a cancellation or
    // time-out in that turn then reports correctly whether the command was sent.
    asio::awaitable<bool> write() {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::microseconds>(deadline_ - Clock::now());
        clients::EncodedRequest command;
        clients::encode_with_timeout(*request_, std::max<Ticks>(1, remaining.count() / 100), command);
        std::array<asio::const_buffer, 5> buffers;
        std::size_t total = 0;
        for (std::size_t i = 0; i < buffers.size(); ++i) {
            buffers[i] = asio::buffer(command.parts[i].data(), command.parts[i].size());
            total += command.parts[i].size();
        }
        boost::system::error_code failed;
        socket_->non_blocking(true, failed);
        std::size_t written = socket_->write_some(buffers, failed);
        std::size_t dropped = 0; // bytes of `buffers` that have been written and removed from it
        while (written < total && (!failed || failed == asio::error::would_block)) {
            std::tie(failed) = co_await socket_->async_wait(Socket::wait_write, as_tuple(use_awaitable));
            if (failed || cancelled_ || (send_deadline_ && Clock::now() >= *send_deadline_)) break;
            drop_front(buffers, written - std::exchange(dropped, written));
            written += socket_->write_some(buffers, failed);
        }
        sent_ = written == total;
        if (sent_) owner_.unsent_.erase(this);
        if (sent_) owner_.record_key_sent(sticky_key_, build_);
        co_return sent_;
    }

    asio::awaitable<PickResult> read() {
        AnswerParser parser(owner_.config_.limits, owner_.config_.names.report_fields);
        std::vector<char> buffer(owner_.config_.limits.first_read_bytes);
        admission::MemoryReservation memory;
        for (;;) {
            if (const std::size_t wanted = parser.wanted_capacity();
                wanted > resp::ReceiveBuffer::kSmallBytes) {
                memory = co_await reserve_answer_memory(wanted);
                if (memory.bytes() == 0)
                    co_return PickResult{deadline_timer_.expired() ? Outcome::timed_out
                                                                   : Outcome::connection_lost};
                parser.grow(wanted);
            }
            const auto [failed, size] = co_await socket_->async_read_some(
                asio::buffer(buffer.data(), std::min(buffer.size(), parser.space())),
                as_tuple(use_awaitable));
            if (!cancelled_ && !deadline_timer_.expired())
                record_reuse_outcome(failed && !parser.has_input());
            if (failed)
                co_return PickResult{deadline_timer_.expired() ? Outcome::timed_out
                                                               : Outcome::connection_lost};
            if (auto result = parser.feed({buffer.data(), size})) {
                result->memory = std::move(memory);
                co_return std::move(*result);
            }
        }
    }

    // Waits until the memory can be reserved; meanwhile the answer stays in the kernel. Returns no
    // reservation if the pick ends before.
    asio::awaitable<admission::MemoryReservation> reserve_answer_memory(std::size_t bytes) {
        while (!cancelled_ && !deadline_timer_.expired()) {
            admission::MemoryReservation memory = owner_.answer_memory_->try_reserve(bytes);
            if (memory.bytes() > 0) co_return memory;
            wait_timer_.expires_after(owner_.config_.limits.low_memory_pause);
            co_await wait_timer_.async_wait(as_tuple(use_awaitable));
        }
        co_return admission::MemoryReservation();
    }

    void record_reuse_outcome(bool broken) {
        if (std::exchange(outcome_recorded_, true)) return;
        idle_ ? owner_.reuse_policy_.record_reused(*idle_, broken) : owner_.reuse_policy_.record_new(broken);
    }

    Hosts &owner_;
    std::string id_;
    std::shared_ptr<const clients::OwnedRequest> request_;
    Clock::time_point deadline_;
    std::optional<Clock::time_point> send_deadline_; // by which the command must be sent; none: no limit
    PickEndHandler on_end_;
    const bool decided_past_lease_; // the lease had expired when the pick was decided
    SocketDeadline deadline_timer_;
    asio::steady_timer wait_timer_; // cancelled when there is a connection or a reason to look again
    std::unique_ptr<Socket> socket_;
    std::uint64_t process_ = 0; // of the host when the pick was decided; 0: not listed
    int build_ = -1; // of the host when the pick was decided
    std::string sticky_key_; // the key of the RPC if keys are sticky; else empty
    std::optional<Milliseconds> idle_; // idle time of the connection before the pick; none: a new connection
    bool outcome_recorded_ = false;
    bool cancelled_ = false;
    bool sent_ = false; // the whole command has been passed to the kernel
    bool connect_failed_ = false;
};

Hosts::Hosts(asio::io_context &io, const RouterConfig &config, const Log &log,
             admission::DescriptorBudget &descriptor_budget,
             std::shared_ptr<admission::MemoryBudget> answer_memory)
    : io_(io), config_(config), log_(log), descriptor_budget_(descriptor_budget),
      answer_memory_(std::move(answer_memory)), reuse_policy_(config.limits) {}

void Hosts::update(const std::string &id, const Address &address, bool ready, Ticks started, int build) {
    HostState &host = hosts_[id];
    if (host.process == 0 || host.address != address || host.started != started || host.build != build) {
        close_idle(host, 0);
        host.process = ++process_count_;
        host.connecting = 0;
        wake_waiting_picks(host);
    }
    if (host.ready && !ready) drain_reserve_until_ = Clock::now() + config_.limits.drain_time;
    host.address = address;
    host.started = started;
    host.build = build;
    host.ready = ready;
    if (ready) return;
    close_idle(host, 0);
    wake_waiting_picks(host);
}

int Hosts::build_of(const std::string &id) const {
    const auto at = hosts_.find(id);
    return at == hosts_.end() ? -1 : at->second.build;
}

void Hosts::remove(const std::string &id) {
    const auto at = hosts_.find(id);
    if (at == hosts_.end()) return;
    if (at->second.ready) drain_reserve_until_ = Clock::now() + config_.limits.drain_time;
    close_idle(at->second, 0);
    wake_waiting_picks(at->second);
    hosts_.erase(at);
}

// Opens connections before the first clients connect: otherwise each RPC of the first second would wait for a
// new connection, while ever more clients connect.
asio::awaitable<void> Hosts::warm_up() {
    const auto until =
        Clock::now() + std::min(config_.limits.connect_timeout, config_.limits.warm_up_timeout);
    const std::size_t per_host =
        std::min(config_.limits.warm_connections,
                 config_.limits.host_connections / 2 / std::max<std::size_t>(1, hosts_.size()));
    for (auto &[id, host] : hosts_)
        for (std::size_t i = 0; host.ready && i < per_host && acquire_descriptor(); ++i) {
            ++host.connecting;
            asio::co_spawn(io_, connect(id, host.process, host.address), asio::detached);
        }
    const auto connecting = [this] {
        return std::any_of(hosts_.begin(), hosts_.end(),
                           [](const auto &entry) { return entry.second.connecting > 0; });
    };
    asio::steady_timer timer(io_);
    while (connecting() && Clock::now() < until) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(use_awaitable);
    }
}

std::shared_ptr<Pick> Hosts::send(const std::string &id, std::shared_ptr<const clients::OwnedRequest> request,
                                  Ticks timeout, std::optional<Clock::time_point> send_deadline,
                                  PickEndHandler on_end) {
    auto pick =
        std::make_shared<Pick>(*this, id, std::move(request), timeout, send_deadline, std::move(on_end));
    unsent_.insert(pick.get()); // at once, as the coroutine starts in a later turn
    asio::co_spawn(
        io_, [pick] { return pick->run(); }, asio::detached);
    return pick;
}

void Hosts::cancel(const std::shared_ptr<Pick> &pick) { pick->cancel(); }
void Hosts::withdraw(const std::shared_ptr<Pick> &pick) { pick->withdraw(); }
bool Hosts::was_sent(const std::shared_ptr<Pick> &pick) { return pick->was_sent(); }

template <class Predicate> void Hosts::withdraw_if(const Predicate &predicate) {
    std::vector<std::shared_ptr<Pick>> matching;
    for (Pick *pick : unsent_)
        if (predicate(*pick)) matching.push_back(pick->shared_from_this());
    for (const auto &pick : matching) pick->withdraw();
}

void Hosts::withdraw_from(int build) {
    withdraw_if([&](const Pick &pick) { return build_of(pick.host()) == build; });
}

void Hosts::withdraw_key(std::string_view key, int build) {
    withdraw_if([&](const Pick &pick) { return pick.key() == key && build_of(pick.host()) < build; });
}

bool Hosts::is_open_at_newer_build(const std::string &key, int build) const {
    const auto at = key.empty() ? open_keys_.end() : open_keys_.find(key);
    return at != open_keys_.end() && at->second.upper_bound(build) != at->second.end();
}

void Hosts::record_key_sent(const std::string &key, int build) {
    if (!key.empty()) ++open_keys_[key][build];
}

void Hosts::record_key_ended(const std::string &key, int build) {
    const auto at = open_keys_.find(key);
    if (at == open_keys_.end()) return;
    const auto count = at->second.find(build);
    if (count == at->second.end()) return; // by release_keys
    if (--count->second == 0) at->second.erase(count);
    if (at->second.empty()) open_keys_.erase(at);
}

void Hosts::release_keys(int build) {
    for (auto at = open_keys_.begin(); at != open_keys_.end();) {
        at->second.erase(build);
        at = at->second.empty() ? open_keys_.erase(at) : std::next(at);
    }
}

// Returns the most recently used connection that has been idle for `settle_long`, else the one that has been
// idle longest. A second copy of an answer, which may arrive some milliseconds late, is then not read as the
// answer to the next RPC where there is a choice.
std::unique_ptr<Socket> Hosts::take_idle_connection(HostState &host, std::optional<Milliseconds> &idle_time) {
    while (!host.idle.empty()) {
        const auto now = Clock::now();
        const auto is_settled = [&](const IdleConnection &connection) {
            return now - connection.since >= config_.limits.preferred_reuse_delay;
        };
        const auto settled = std::find_if(host.idle.rbegin(), host.idle.rend(), is_settled);
        const auto chosen = settled == host.idle.rend() ? host.idle.begin() : std::prev(settled.base());
        idle_time = std::chrono::floor<Milliseconds>(now - chosen->since);
        if (!reuse_policy_.allows(*idle_time)) {
            close_idle(host, 0);
            break;
        }
        std::unique_ptr<Socket> socket = std::move(chosen->socket);
        host.idle.erase(chosen);
        --idle_count_;
        if (is_open_and_idle(*socket)) return socket;
        close(socket);
    }
    idle_time.reset();
    return nullptr;
}

// Opens connections for waiting picks, a few at a time, as a connection that is returned serves them as well.
void Hosts::connect_more(const std::string &id, HostState &host) {
    const Limits &limits = config_.limits;
    const std::size_t waiting = host.waiting.size();
    const std::size_t max_connecting =
        std::min({waiting, limits.concurrent_connects + waiting / limits.picks_per_extra_connect,
                  limits.max_concurrent_connects});
    while (host.connecting < max_connecting) {
        if (!acquire_descriptor()) return;
        ++host.connecting;
        asio::co_spawn(io_, connect(id, host.process, host.address), asio::detached);
    }
}

// While a host drains, its RPCs need connections to other hosts at once. Some descriptors are reserved for
// that: without them a drain at full load would leave RPCs without any host.
bool Hosts::acquire_descriptor() {
    using admission::Purpose;
    if (descriptor_budget_.acquire(Purpose::hosts)) return true;
    shrink_idle(idle_count_ / 2);
    return descriptor_budget_.acquire(Purpose::hosts) ||
           (Clock::now() < drain_reserve_until_ && descriptor_budget_.acquire(Purpose::drains));
}

asio::awaitable<void> Hosts::connect(std::string id, std::uint64_t process, Address address) {
    auto socket = std::make_unique<Socket>(io_);
    SocketDeadline connect_timer(io_.get_executor());
    connect_timer.set(*socket, config_.limits.connect_timeout);
    const auto [failed] = co_await socket->async_connect(address, as_tuple(use_awaitable));
    connect_timer.cancel();
    boost::system::error_code ignored;
    if (!failed) socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto found = hosts_.find(id);
    const bool is_current = found != hosts_.end() && found->second.process == process;
    if (is_current) --found->second.connecting;
    if (failed == asio::error::no_descriptors) { // not the host's fault: picks wait for returned connections
        log_(Level::warning, "no descriptor to connect to a host, connections ", open_connections());
        co_return close(socket);
    }
    if (failed || connect_timer.expired() || !is_current) {
        close(socket);
        if (is_current)
            if (const auto pick = pop_waiting_pick(found->second)) pick->fail_connect();
    } else {
        return_connection(found->second, std::move(socket));
    }
    if (is_current) connect_more(id, found->second);
}

std::shared_ptr<Pick> Hosts::pop_waiting_pick(HostState &host) {
    while (!host.waiting.empty()) {
        const std::shared_ptr<Pick> pick = std::move(host.waiting.front());
        host.waiting.pop_front();
        if (pick->is_waiting()) return pick;
    }
    return nullptr;
}

// Passes the connection to the pick that has waited longest, else adds it to the idle ones.
void Hosts::return_connection(HostState &host, std::unique_ptr<Socket> socket) {
    if (const auto pick = pop_waiting_pick(host)) return pick->assign_connection(std::move(socket));
    if (!host.ready) return close(socket); // the host is draining
    host.idle.push_back({std::move(socket), Clock::now()});
    ++idle_count_;
}

// Resumes the waiting picks, which then find that the host has been drained, removed or restarted.
void Hosts::wake_waiting_picks(HostState &host) {
    for (const auto &pick : std::exchange(host.waiting, {})) pick->recheck_host();
}

void Hosts::close(std::unique_ptr<Socket> &socket) {
    boost::system::error_code ignored;
    socket->close(ignored);
    socket.reset();
    using admission::Purpose;
    // The descriptors reserved for drains are returned first.
    descriptor_budget_.release(descriptor_budget_.in_use(Purpose::drains) > 0 ? Purpose::drains
                                                                              : Purpose::hosts);
}

void Hosts::close_idle(HostState &host, std::size_t keep) {
    for (; host.idle.size() > keep; host.idle.pop_front(), --idle_count_) close(host.idle.front().socket);
}

// Closes connections after half of the time for which the host keeps them idle.
void Hosts::sweep() {
    reuse_policy_.decay();
    const auto now = Clock::now();
    const auto is_expired = [&](const IdleConnection &connection) {
        const Milliseconds idle_time = std::chrono::floor<Milliseconds>(now - connection.since);
        return idle_time > config_.limits.idle_timeout / 2 || !reuse_policy_.allows(idle_time);
    };
    for (auto &[id, host] : hosts_)
        for (; !host.idle.empty() && is_expired(host.idle.front()); host.idle.pop_front(), --idle_count_)
            close(host.idle.front().socket);
}

void Hosts::shrink_idle(std::size_t max) {
    for (auto &[id, host] : hosts_) {
        if (idle_count_ <= max) return;
        close_idle(host, host.idle.size() / 2);
    }
    for (auto &[id, host] : hosts_)
        if (idle_count_ > max) close_idle(host, 0);
}

} // namespace pineridge::router::hosts
