#include "router/driver.hpp"

#include "random.hpp"

#include <algorithm>

namespace pineridge::router {

namespace {

constexpr const char *kVerdicts[] = {"none", "on", "hold", "back"};

// Clients and hosts have parts of their own; those for the list, the platform and the rest are the reserve
// that the limits leave out.
admission::DescriptorBudget ledger_of(const Limits &limits) {
    std::array<admission::DescriptorBudget::Allotment, admission::kPurposeCount> parts{};
    const auto part = [&](admission::Purpose purpose) -> auto & {
        return parts[static_cast<std::size_t>(purpose)];
    };
    part(admission::Purpose::clients) = {limits.client_connections,
                                         limits.client_connections + limits.proxy_header_connections};
    part(admission::Purpose::hosts) = {limits.host_connections, limits.host_connections};
    part(admission::Purpose::drains) = {limits.drain_connections, limits.drain_connections};
    return {limits.client_connections + limits.proxy_header_connections + limits.host_connections +
                limits.drain_connections,
            parts};
}

} // namespace

Driver::Driver(boost::asio::io_context &io, const Start &start, const Log &log)
    : io_(io), start_(start), log_(log), module_(make_module()), ledger_(ledger_of(start.limits)),
      hosts_(io, start, log, ledger_), clients_(io, start, log, ledger_, *this),
      watch_(
          io, start, log, [this](const membership::Listing &listing) { take_list(listing); },
          [this](Milliseconds left) {
              module().host_list_failed(std::chrono::duration_cast<TickDuration>(left).count());
          },
          [this](Instant until, Instant outage_until) { take_lease(until, outage_until); }),
      stream_(io, start, log, [this](const rollout::Told &told) { take_told(told); }),
      votes_(io, start, log, [this](const RolloutUpdate &news) { take_news(news); }), wake_(io), leave_(io),
      unix_began_(std::chrono::system_clock::now()), began_(std::chrono::steady_clock::now()) {
    admit_by(start.entrance);
    if (start.release)
        release_controller_.emplace(
            io, *start.release, start.names.tenants, start.limits, log, start.name, start.seed,
            [this] { return time(); },
            [this](const release::ShareChange &told) {
                module().set_cell_share(told.build, told.cell, told.share);
            });
}

// The same chance for both: where they are told the same they decide the same.
std::unique_ptr<Router> Driver::make_module() {
    auto module = make_router(start_.terms, start_.seed);
    if (!start_.rehearsed) return module;
    auto both = std::make_unique<rehearsal::Rehearsal>(std::move(module),
                                                       make_router(*start_.rehearsed, start_.seed));
    rehearsal_ = both.get();
    return both;
}

void Driver::begin() {
    // Where a registry holds the list, what discovery once told would never be taken back.
    if (!start_.known.is_null() && !start_.registry) {
        list::Listing known = list::read_listing(start_.known, start_.names);
        known.whole = true;
        watch_.start_from(known);
    }
    if (start_.registry) take_lease(Instant::max(), Instant::min()); // its view keeps its own rules
    if (!start_.news.is_null()) take_news(rollout::read_news(start_.news));
    pull();
    asio::co_spawn(io_, serve(), [](const std::exception_ptr &failed) {
        if (failed) std::rethrow_exception(failed); // ends the program: it would be up and serve nobody
    });
}

asio::awaitable<void> Driver::serve() {
    if (start_.registry) begin_registry();
    if (release_controller_) release_controller_->start();
    stream_.begin();
    // The age of the list that this process was started with is not known: nothing is sent before discovery
    // has answered. Clients are taken a little later rather than turned away.
    if (start_.list_at_hand && !start_.registry) watch_.begin();
    if (!start_.registry) co_await watch_.wait_for_lease(start_.limits.list_ready_timeout);
    if (start_.registry) co_await wait_for_hosts();
    co_await hosts_.warm_up();
    co_await listen();
    if (own_key_) own_key_->begin();
    asio::co_spawn(io_, sweep(), asio::detached);
    log_(Level::info, "serving at ", start_.listen, ", build ", known_.build, ", clients ",
         start_.limits.client_connections, ", connections to hosts ", start_.limits.host_connections);
}

// Stops a router from telling that it serves, by its own key too, while it has yet to read of any host.
asio::awaitable<void> Driver::wait_for_hosts() {
    const auto until = std::chrono::steady_clock::now() + start_.limits.list_full_timeout;
    boost::asio::steady_timer timer(io_);
    while (!listed_ && std::chrono::steady_clock::now() < until) {
        timer.expires_after(start_.limits.accept_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Stops a router from staying up and deaf where the one before it has yet to give up the address.
asio::awaitable<void> Driver::listen() {
    const auto until = std::chrono::steady_clock::now() + start_.limits.listen_retry_time;
    boost::asio::steady_timer timer(io_);
    for (bool said = false;; said = true) {
        try {
            co_return clients_.listen();
        } catch (const boost::system::system_error &failed) {
            if (failed.code() != asio::error::address_in_use || std::chrono::steady_clock::now() > until)
                throw;
            if (!said) log_(Level::warning, "listen: ", start_.listen, ": ", failed.code().message());
        }
        timer.expires_after(start_.limits.min_retry_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// The key goes first, so that nobody is sent here any more; service ends in order meanwhile.
void Driver::leave(std::function<void()> done) {
    if (leave_by_ < 0) {
        leave_by_ = time() + std::chrono::duration_cast<TickDuration>(start_.limits.shutdown_timeout).count();
        leave_.expires_after(start_.limits.shutdown_timeout);
        leave_.async_wait([this](boost::system::error_code failed) {
            if (!failed) answer_all();
        });
    }
    if (!own_key_) return clients_.shut_down(std::move(done));
    const auto left = std::make_shared<int>(2);
    const auto one = [left, done = std::move(done)] {
        if (--*left == 0) done();
    };
    own_key_->leave(one);
    clients_.shut_down(one);
}

void Driver::admit_by(std::shared_ptr<const AdmissionSettings> rules) {
    clients_.set_admission_rules(rules);
    entrance_ = std::move(rules);
    for (auto &[id, rpc] : rpcs_) rpc.counted = false;
    counter_.reset();
    if (entrance_)
        counter_.emplace(*entrance_, start_.names.tenants, start_.names.methods, start_.terms.instances,
                         start_.seed);
}

void Driver::move(const Address &discovery, const Address &platform) {
    watch_.move_to(discovery);
    stream_.move_to(platform);
    votes_.move_to(platform);
}

// Stops what clients have still time to wait for, as this process has not, from going without an answer.
void Driver::answer_all() {
    std::vector<std::string> open;
    for (const auto &[id, rpc] : rpcs_)
        if (!rpc.finished) open.push_back(id);
    if (!open.empty()) log_(Level::info, "leaving: RPCs ended early ", open.size());
    for (const std::string &id : open) {
        const auto at = rpcs_.find(id);
        if (at == rpcs_.end() || at->second.finished) continue; // went with one before it
        Rpc &rpc = at->second;
        withdraw(rpc);
        const bool nothing_ran =
            rpc.unrun && std::none_of(rpc.picks.begin(), rpc.picks.end(),
                                      [](const auto &call) { return call && hosts::Hosts::has_left(call); });
        const bool harmless =
            nothing_ran ||
            start_.terms.methods.at(rpc.held->request.method).repeat_policy == RepeatPolicy::idempotent;
        answer(rpc, harmless ? clients::busy_reply(0) : "-ERR aborted\r\n");
        module().rpc_finished(id, -1);
        forget_if_over(id);
    }
}

Ticks Driver::time() const { return ticks_at(std::chrono::steady_clock::now()); }

Ticks Driver::ticks_at(Instant at) const {
    if (at == Instant::max()) return std::numeric_limits<Ticks>::max();
    if (at == Instant::min()) return std::numeric_limits<Ticks>::min();
    return std::chrono::floor<TickDuration>(unix_began_.time_since_epoch() + (at - began_)).count();
}

Router &Driver::module() {
    if (!std::exchange(turn_, true)) {
        now_ = time();
        module_->set_time(now_);
        asio::post(io_, [this] { pull(); });
    }
    return *module_;
}

void Driver::pull() {
    if (!turn_) return;
    for (Decision made = module_->next_decision(); made.action != Action::none;
         made = module_->next_decision())
        carry_out(made);
    turn_ = false;
}

void Driver::carry_out(const Decision &made) {
    switch (made.action) {
    case Action::pick: return send(made);
    case Action::cancel:
        if (const auto at = rpcs_.find(made.rpc); at != rpcs_.end())
            if (const auto &call = at->second.picks.at(made.pick)) hosts_.cut(call);
        return;
    case Action::push_back:
    case Action::abort: {
        const auto at = rpcs_.find(made.rpc);
        if (at == rpcs_.end()) return;
        if (made.action == Action::abort) {
            answer(at->second, "-ERR aborted\r\n");
        } else {
            Ticks back = made.duration;
            if (counter_ && !entrance_->observe)
                back = clients::permitted_retry_after(
                    start_.terms, counter_->schedule_retry(at->second.wanted, back, time()));
            answer(at->second, clients::busy_reply(back));
        }
        return forget_if_over(made.rpc);
    }
    case Action::vote:
        log_(Level::info, "vote ", kVerdicts[static_cast<int>(made.verdict)], " on build ", made.build,
             " stage ", made.stage);
        if (release_controller_) release_controller_->set_verdict(made.build, made.verdict);
        return votes_.cast(made.build, made.stage, made.verdict);
    case Action::request_host_list:
        if (!start_.registry) watch_.begin();
        return;
    case Action::wake: return wake_at(made.duration);
    case Action::log: return log_(Level::info, made.text);
    case Action::send_summary: // the platform has no way between routers yet
    case Action::none: return;
    }
}

void Driver::wake_at(Ticks at) {
    wake_.expires_at(began_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                  TickDuration(at) - unix_began_.time_since_epoch()));
    wake_.async_wait([this](boost::system::error_code failed) {
        if (!failed) module();
    });
}

// --- RPCs ---

void Driver::handle_rpc(clients::ReplyTarget reply, std::shared_ptr<const clients::OwnedRequest> held,
                        Milliseconds age) {
    const clients::Request &asked = held->request;
    const std::string id(asked.id);
    const auto [at, fresh] = rpcs_.try_emplace(id, Rpc{reply, held});
    if (!fresh) return clients::Clients::answer(reply, "-ERR this id is under way\r\n");
    if (counter_ && !let_on(at->second, id, age)) return;
    // What comes as this process is about to be killed is pushed back, what comes a little before has only
    // the time that is left. Stops clients that go on asking over their old connections from never being
    // answered.
    if (leave_by_ >= 0 && time() >= leave_by_) return turn_away(at->second, id, 0);
    Router &to = module();
    const Ticks lead = std::chrono::duration_cast<TickDuration>(start_.limits.answer_lead + age).count();
    const int cell = release_controller_ ? release_controller_->cell_of(asked.tenant) : -1;
    at->second.cell = cell;
    if (release_controller_) release_controller_->record_arrival(cell);
    Ticks deadline = now_ + std::max<Ticks>(1, asked.timeout - lead);
    if (leave_by_ >= 0) deadline = std::min(deadline, std::max(now_ + 1, leave_by_));
    to.rpc_arrived({id, asked.method, asked.tenant, std::string(asked.key), deadline, asked.retry, cell,
                    asked.size_hint});
}

// What is pushed back here has not been picked for, so that trying again is harmless. The module never hears
// of it: it judges what it is asked.
bool Driver::let_on(Rpc &rpc, const std::string &id, Milliseconds age) {
    const clients::Request &asked = rpc.held->request;
    const Ticks now = time();
    rpc.wanted = {asked.tenant, asked.method,
                  salted_hash(std::string(asked.key), static_cast<std::uint64_t>(asked.method)), asked.retry};
    counter_->record_lateness(std::chrono::duration_cast<TickDuration>(age).count());
    const admission::RpcDecision decision = counter_->try_admit(rpc.wanted, now);
    rpc.counted = decision.reason == admission::PushbackReason::none;
    if (rpc.counted || entrance_->observe) return true;
    turn_away(rpc, id, decision.retry_after);
    return false;
}

void Driver::turn_away(Rpc &rpc, const std::string &id, Ticks back) {
    answer(rpc, clients::busy_reply(clients::permitted_retry_after(start_.terms, back)));
    forget_if_over(id);
}

void Driver::over(Rpc &rpc, bool served) {
    if (std::exchange(rpc.counted, false)) counter_->finished(served, time());
}

void Driver::handle_client_left(const std::string &id) {
    const auto at = rpcs_.find(id);
    if (at == rpcs_.end() || at->second.finished) return;
    at->second.finished = true;
    over(at->second, false);
    withdraw(at->second);
    module().rpc_finished(id, -1);
    forget_if_over(id);
}

void Driver::answer(Rpc &rpc, std::string bytes) {
    if (std::exchange(rpc.finished, true)) return;
    over(rpc, bytes[0] == '*' || bytes[0] == '$');
    withdraw(rpc);
    clients::Clients::answer(rpc.reply, std::move(bytes));
    rpc.reply.connection.reset();
}

void Driver::withdraw(const Rpc &rpc) {
    for (const auto &call : rpc.picks)
        if (call) hosts_.withdraw(call);
}

void Driver::send(const Decision &made) {
    const auto at = rpcs_.find(made.rpc);
    if (at == rpcs_.end()) return;
    Rpc &rpc = at->second;
    const int pick = static_cast<int>(rpc.picks.size());
    ++rpc.under_way;
    rpc.picks.push_back(
        hosts_.send(made.host, rpc.held, made.duration, latest_for(rpc),
                    [this, id = made.rpc, pick, host = made.host, build = hosts_.build_of(made.host),
                     sent = now_](hosts::Ending ending) { ended(id, pick, host, build, sent, ending); }));
    if (rpc.first_sent < 0) rpc.first_sent = now_;
}

// A tokened RPC of which a pick may have run is sent again within its window only, counted up to the last
// byte and not to the decision. Stops one whose connection is long in coming from having its effect twice.
std::optional<hosts::Clock::time_point> Driver::latest_for(const Rpc &rpc) const {
    const Method &method = start_.terms.methods.at(rpc.held->request.method);
    const bool maybe_ran = !rpc.unrun || rpc.under_way > 1;
    if (method.repeat_policy != RepeatPolicy::tokened || rpc.first_sent < 0 || !maybe_ran)
        return std::nullopt;
    return began_ + std::chrono::duration_cast<hosts::Clock::duration>(
                        TickDuration(rpc.first_sent + method.token_window) - unix_began_.time_since_epoch());
}

void Driver::ended(const std::string &id, int pick, const std::string &host, int build, Ticks sent,
                   const hosts::Ending &ending) {
    Router &to = module();
    Rpc &rpc = rpcs_.at(id);
    rpc.picks.at(pick).reset();
    --rpc.under_way;
    rpc.unrun = rpc.unrun && proves_not_executed(ending.outcome);
    if (rpc.unrun && rpc.under_way == 0) rpc.first_sent = -1;
    if (release_controller_) release_controller_->record_pick_end(build, rpc.cell, ending.outcome);
    // Stops a pick that has yet to leave from taking a key to an earlier build than one that may have
    // answered it.
    const bool holds_key = !proves_no_answer(ending.outcome) && !rpc.held->request.key.empty();
    if (holds_key && start_.terms.rollout.sticky_keys) hosts_.withdraw_key(rpc.held->request.key, build);
    if (ending.outcome == Outcome::ok) answer(rpc, ending.value);
    to.pick_ended(id, pick, ending.outcome, now_ - sent, rpc.finished, ending.report);
    log_(Level::debug, "ended ", id, " pick ", pick, " at ", host, " outcome ",
         static_cast<int>(ending.outcome), " after ", (now_ - sent) / 10, " ms");
    forget_if_over(id);
}

void Driver::forget_if_over(const std::string &id) {
    const auto at = rpcs_.find(id);
    if (at != rpcs_.end() && at->second.finished && at->second.under_way == 0) rpcs_.erase(at);
}

void Driver::handle_descriptors_exhausted() { hosts_.free_idle(0); }

// --- what discovery and the platform tell ---

void Driver::take_list(const membership::Listing &listing) {
    std::vector<HostEntry> entries;
    listed_ = true;
    for (const membership::Member &host : listing.members) {
        const HostEntry &entry = host.entry;
        entries.push_back(entry);
        if (entry.status == HostStatus::gone)
            hosts_.remove(entry.id);
        else
            hosts_.put(entry.id, host.address, entry.status == HostStatus::ready, entry.started, entry.build);
    }
    module().update_hosts(entries, false);
    log_(Level::debug, "list: entries ", entries.size());
}

void Driver::take_lease(Instant until, Instant outage_until) {
    hosts_.lease_until(until, outage_until);
    module().set_host_list_lease(ticks_at(until), ticks_at(outage_until));
}

// The list comes from a registry: each change of its view as a change of discovery's would.
void Driver::begin_registry() {
    const auto read = [this](const std::string &, std::string_view value) {
        const json parsed = json::parse(value, nullptr, false);
        if (!parsed.is_object()) throw_field_error("value", "not an object");
        membership::Member host = list::read_host(parsed, start_.names);
        if (host.entry.status == HostStatus::gone)
            throw_field_error("state", "a host that has gone has no key");
        return host;
    };
    membership::Access &access = *start_.registry_access;
    registry_.emplace(
        io_, membership::make_plot(*start_.registry, access, read, start_.seed), read, start_.limits, log_,
        start_.seed, [this] { return time(); }, [this](const membership::Listing &told) { take_list(told); });
    registry_->begin();
    if (start_.registry->registration_key.empty()) return;
    std::ostringstream listen;
    listen << start_.listen;
    const json value{{"name", start_.name}, {"listen", listen.str()}, {"started_ms", time() / 10}};
    own_key_.emplace(
        io_, access.endpoints,
        membership::etcd::OwnKey{start_.registry->registration_key, value.dump(),
                                 start_.registry->registration_ttl_s, start_.registry->answer_timeout},
        access.token, access.tls.get(), start_.limits, log_, start_.seed, [this] { return time(); });
}

void Driver::take_told(const rollout::Told &told) {
    if (const auto *news = std::get_if<RolloutUpdate>(&told)) take_news(*news);
    if (const auto *tally = std::get_if<PlatformStats>(&told)) module().add_platform_stats(*tally);
    if (const auto *flag = std::get_if<rollout::Flag>(&told)) module().answer_flagged(flag->host, flag->age);
}

void Driver::take_news(RolloutUpdate news) {
    Router &to = module();
    if (news.valid && !rollout::supersedes(news, known_)) {
        if (!news.answers_vote) return;
        const Ticks age = known_.age + (now_ - known_at_);
        news = known_; // the vote counts; what its answer tells has been overtaken
        news.answers_vote = true;
        news.age = age;
    }
    // Stops picks that wait for a connection from going to a build that may have fewer of them by then.
    if (news.valid && news.build == known_.build && news.cap < known_.cap) hosts_.withdraw_from(news.build);
    if (news.valid && (news.phase == Phase::rolling_back || news.phase == Phase::withdrawn))
        hosts_.release_keys(news.build);
    if (news.valid) known_ = news, known_.answers_vote = false, known_at_ = now_;
    if (news.valid && release_controller_) release_controller_->update_rollout(news);
    to.update_rollout(news);
}

// What admission held back since the last line, where it did.
void Driver::say_rehearsed() {
    if (!rehearsal_ || ++unsaid_sweeps_ < start_.limits.sweeps_per_rehearsal_report) return;
    unsaid_sweeps_ = 0;
    const rehearsal::Differences &seen = rehearsal_->differences();
    if (seen == said_rehearsed_) return;
    said_rehearsed_ = seen;
    log_(Level::info, "rehearsal: RPCs ", seen.rpcs, ", otherwise: builds ", seen.builds, ", hosts ",
         seen.hosts, ", copies ", seen.extra_picks, ", pushbacks ", seen.push_backs, ", votes on ",
         seen.votes_on, ", votes back ", seen.votes_back);
}

void Driver::say_held() {
    if (!counter_) return;
    std::uint64_t refused = 0;
    for (const admission::RefusalReason reason :
         {admission::RefusalReason::crowd_limit, admission::RefusalReason::address_limit,
          admission::RefusalReason::network_limit, admission::RefusalReason::open_rate_limit,
          admission::RefusalReason::no_capacity})
        refused += clients_.connection_limiter()->refusals(reason);
    std::uint64_t held = 0;
    for (const admission::PushbackReason reason :
         {admission::PushbackReason::quota, admission::PushbackReason::retry_budget,
          admission::PushbackReason::lateness})
        held += counter_->pushbacks(reason);
    if (refused == said_refused_ && held == said_held_) return;
    log_(Level::info, "door: ", entrance_->observe ? "would have refused" : "refused", " connections ",
         refused - said_refused_, ", made way ", clients_.connection_limiter()->evictions(),
         ", pushed back by quota ", counter_->pushbacks(admission::PushbackReason::quota), ", as retries ",
         counter_->pushbacks(admission::PushbackReason::retry_budget), ", late ",
         counter_->pushbacks(admission::PushbackReason::lateness), ", under way ", counter_->in_flight(),
         ", clients ", clients_.connection_limiter()->open_connections(), ", addresses ",
         clients_.connection_limiter()->source_count());
    said_refused_ = refused;
    said_held_ = held;
}

asio::awaitable<void> Driver::sweep() {
    boost::asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(start_.limits.sweep_interval);
        co_await timer.async_wait(asio::use_awaitable);
        hosts_.sweep();
        log_(Level::debug, "clients ", clients_.open_connections(), ", connections to hosts ", hosts_.open(),
             ", RPCs ", rpcs_.size());
        say_held();
        say_rehearsed();
    }
}

} // namespace pineridge::router
