#include "router/driver.hpp"

#include "random.hpp"

#include <algorithm>

namespace pineridge::router {

namespace {

constexpr const char *kVerdicts[] = {"none", "on", "hold", "back"};

// Divides the descriptors between clients, hosts and drains. Those for discovery, the platform and the rest
// of the process are not part of the budget: the limits have left them out already.
admission::DescriptorBudget make_descriptor_budget(const Limits &limits) {
    std::array<admission::DescriptorBudget::Allotment, admission::kPurposeCount> allotments{};
    const auto allotment = [&](admission::Purpose purpose) -> auto & {
        return allotments[static_cast<std::size_t>(purpose)];
    };
    allotment(admission::Purpose::clients) = {limits.client_connections,
                                              limits.client_connections + limits.proxy_header_connections};
    allotment(admission::Purpose::hosts) = {limits.host_connections, limits.host_connections};
    allotment(admission::Purpose::drains) = {limits.drain_connections, limits.drain_connections};
    return {limits.client_connections + limits.proxy_header_connections + limits.host_connections +
                limits.drain_connections,
            allotments};
}

} // namespace

Driver::Driver(boost::asio::io_context &io, const RouterConfig &config, const Log &log)
    : io_(io), config_(config), log_(log), module_(make_module()),
      executed_ids_(config.seed, config.limits.max_executed_ids, config.limits.executed_id_lifetime),
      descriptor_budget_(make_descriptor_budget(config.limits)),
      answer_memory_(clients::make_memory_budget(config.limits.answer_memory_bytes, config.limits)),
      hosts_(io, config, log, descriptor_budget_, answer_memory_),
      clients_(io, config, log, descriptor_budget_, answer_memory_, *this),
      discovery_watch_(
          io, config, log, [this](const membership::Listing &listing) { handle_host_list(listing); },
          [this](Milliseconds remaining) {
              begin_turn().host_list_failed(std::chrono::duration_cast<TickDuration>(remaining).count());
          },
          [this](Instant until, Instant outage_until) { set_list_lease(until, outage_until); }),
      stream_client_(io, config, log, [this](const rollout::StreamLine &line) { handle_stream_line(line); }),
      vote_client_(io, config, log, [this](const RolloutUpdate &update) { handle_rollout_update(update); }),
      wake_timer_(io), shutdown_timer_(io), unix_start_(std::chrono::system_clock::now()),
      steady_start_(std::chrono::steady_clock::now()) {
    set_admission_rules(config.admission);
    if (config.release)
        release_controller_.emplace(
            io, *config.release, config.names.tenants, config.limits, log, config.name, config.seed,
            [this] { return current_time(); },
            [this](const release::ShareChange &change) {
                begin_turn().set_cell_share(change.build, change.cell, change.share);
            });
}

// Both modules get the same seed, so that the same inputs lead to the same decisions.
std::unique_ptr<Router> Driver::make_module() {
    auto module = make_router(config_.deployment, config_.seed);
    if (!config_.rehearsed_deployment) return module;
    auto rehearsal = std::make_unique<rehearsal::Rehearsal>(
        std::move(module), make_router(*config_.rehearsed_deployment, config_.seed));
    rehearsal_ = rehearsal.get();
    return rehearsal;
}

void Driver::start() {
    // With a registry no update from discovery would ever remove the hosts of the cached list.
    if (!config_.cached_host_list.is_null() && !config_.registry) {
        list::DiscoveryResponse cached =
            list::read_discovery_response(config_.cached_host_list, config_.names);
        cached.complete = true;
        discovery_watch_.set_initial_list(cached);
    }
    if (config_.registry)
        set_list_lease(Instant::max(), Instant::min()); // the registry's view has expiry rules of its own
    if (!config_.initial_rollout.is_null())
        handle_rollout_update(rollout::read_rollout_update(config_.initial_rollout));
    execute_decisions();
    asio::co_spawn(io_, serve(), [](const std::exception_ptr &failed) {
        if (failed) std::rethrow_exception(failed); // ends the process, which could not serve anybody
    });
}

asio::awaitable<void> Driver::serve() {
    if (config_.registry) start_registry();
    if (release_controller_) release_controller_->start();
    stream_client_.start();
    // The age of the cached list is not known, so nothing is sent before discovery has answered. Until then
    // the router does not listen, as it would have to push back all RPCs.
    if (config_.has_local_discovery_agent && !config_.registry) discovery_watch_.start();
    if (!config_.registry) co_await discovery_watch_.wait_for_lease(config_.limits.list_ready_timeout);
    if (config_.registry) co_await wait_for_hosts();
    co_await hosts_.warm_up();
    co_await listen();
    if (registration_) registration_->begin();
    asio::co_spawn(io_, sweep(), asio::detached);
    log_(Level::info, "serving at ", config_.listen, ", build ", latest_rollout_.build, ", clients ",
         config_.limits.client_connections, ", connections to hosts ", config_.limits.host_connections);
}

// Waits until the registry has provided a host list, at most for `list_whole`. Before that the router neither
// listens nor registers its own key, as it knows no host to send RPCs to.
asio::awaitable<void> Driver::wait_for_hosts() {
    const auto until = std::chrono::steady_clock::now() + config_.limits.list_full_timeout;
    boost::asio::steady_timer timer(io_);
    while (!has_host_list_ && std::chrono::steady_clock::now() < until) {
        timer.expires_after(config_.limits.accept_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Retries while the address is in use: the preceding process may still hold it. A process that cannot listen
// ends.
asio::awaitable<void> Driver::listen() {
    const auto until = std::chrono::steady_clock::now() + config_.limits.listen_retry_time;
    boost::asio::steady_timer timer(io_);
    for (bool logged = false;; logged = true) {
        try {
            co_return clients_.listen();
        } catch (const boost::system::system_error &failed) {
            if (failed.code() != asio::error::address_in_use || std::chrono::steady_clock::now() > until)
                throw;
            if (!logged) log_(Level::warning, "listen: ", config_.listen, ": ", failed.code().message());
        }
        timer.expires_after(config_.limits.min_retry_pause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Removes the registration, so that no new clients are directed here, while connected clients are served to
// the end. `done` is called once both have completed.
void Driver::shut_down(std::function<void()> done) {
    if (shutdown_deadline_ < 0) {
        shutdown_deadline_ =
            current_time() +
            std::chrono::duration_cast<TickDuration>(config_.limits.shutdown_timeout).count();
        shutdown_timer_.expires_after(config_.limits.shutdown_timeout);
        shutdown_timer_.async_wait([this](boost::system::error_code failed) {
            if (!failed) answer_open_rpcs();
        });
    }
    if (!registration_) return clients_.shut_down(std::move(done));
    const auto remaining = std::make_shared<int>(2);
    const auto finish_one = [remaining, done = std::move(done)] {
        if (--*remaining == 0) done();
    };
    registration_->unregister(finish_one);
    clients_.shut_down(finish_one);
}

void Driver::set_admission_rules(std::shared_ptr<const AdmissionSettings> rules) {
    clients_.set_admission_rules(rules);
    admission_rules_ = std::move(rules);
    for (auto &[id, rpc] : rpcs_) rpc.admitted = false;
    rpc_limiter_.reset();
    if (admission_rules_)
        rpc_limiter_.emplace(*admission_rules_, config_.names.tenants, config_.names.methods,
                             config_.deployment.instances, config_.seed);
}

void Driver::set_addresses(const Address &discovery, const Address &platform) {
    // With a registry discovery is not followed: its list and its lease would act beside those of the
    // registry.
    if (!config_.registry) discovery_watch_.set_address(discovery);
    stream_client_.set_address(platform);
    vote_client_.set_address(platform);
}

// Answers every open RPC, as the process may be killed before it could do so in the normal course. RPCs of
// which no pick can have been executed, and idempotent ones, are pushed back; the others are aborted.
void Driver::answer_open_rpcs() {
    std::vector<std::string> open;
    for (const auto &[id, rpc] : rpcs_)
        if (!rpc.finished) open.push_back(id);
    if (!open.empty()) log_(Level::info, "leaving: RPCs answered at the shutdown deadline ", open.size());
    for (const std::string &id : open) {
        const auto at = rpcs_.find(id);
        if (at == rpcs_.end() || at->second.finished) continue; // ended with an earlier one
        Rpc &rpc = at->second;
        withdraw_unsent_picks(rpc);
        const bool no_pick_executed =
            rpc.none_executed && std::none_of(rpc.picks.begin(), rpc.picks.end(), [](const auto &pick) {
                return pick && hosts::Hosts::was_sent(pick);
            });
        const bool may_retry = no_pick_executed || is_idempotent(rpc.request->request);
        answer(rpc, may_retry ? clients::busy_reply(0) : "-ERR aborted\r\n");
        begin_turn().rpc_finished(id, -1);
        erase_if_done(id);
    }
}

Ticks Driver::current_time() const { return to_ticks(std::chrono::steady_clock::now()); }

Ticks Driver::to_ticks(Instant at) const {
    if (at == Instant::max()) return std::numeric_limits<Ticks>::max();
    if (at == Instant::min()) return std::numeric_limits<Ticks>::min();
    return std::chrono::floor<TickDuration>(unix_start_.time_since_epoch() + (at - steady_start_)).count();
}

Router &Driver::begin_turn() {
    if (!std::exchange(turn_open_, true)) {
        now_ = current_time();
        module_->set_time(now_);
        asio::post(io_, [this] { execute_decisions(); });
    }
    return *module_;
}

void Driver::execute_decisions() {
    if (!turn_open_) return;
    for (Decision decision = module_->next_decision(); decision.action != Action::none;
         decision = module_->next_decision())
        execute(decision);
    turn_open_ = false;
}

void Driver::execute(const Decision &decision) {
    switch (decision.action) {
    case Action::pick: return send_pick(decision);
    case Action::cancel:
        if (const auto at = rpcs_.find(decision.rpc); at != rpcs_.end())
            if (const auto &pick = at->second.picks.at(decision.pick)) hosts_.cancel(pick);
        return;
    case Action::push_back:
    case Action::abort: {
        const auto at = rpcs_.find(decision.rpc);
        if (at == rpcs_.end()) return;
        if (decision.action == Action::abort) {
            answer(at->second, "-ERR aborted\r\n");
        } else {
            Ticks retry_after = decision.duration;
            if (rpc_limiter_ && !admission_rules_->observe)
                retry_after = clients::permitted_retry_after(
                    config_.deployment,
                    rpc_limiter_->schedule_retry(at->second.limiter_info, retry_after, current_time()));
            answer(at->second, clients::busy_reply(retry_after));
        }
        return erase_if_done(decision.rpc);
    }
    case Action::vote:
        log_(Level::info, "vote ", kVerdicts[static_cast<int>(decision.verdict)], " on build ",
             decision.build, " stage ", decision.stage);
        if (release_controller_) release_controller_->set_verdict(decision.build, decision.verdict);
        return vote_client_.cast(decision.build, decision.stage, decision.verdict);
    case Action::request_host_list:
        if (!config_.registry) discovery_watch_.start();
        return;
    case Action::wake: return schedule_wake(decision.duration);
    case Action::log: return log_(Level::info, decision.text);
    case Action::send_summary: // the platform does not connect routers
    case Action::none: return;
    }
}

void Driver::schedule_wake(Ticks at) {
    wake_timer_.expires_at(steady_start_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                               TickDuration(at) - unix_start_.time_since_epoch()));
    wake_timer_.async_wait([this](boost::system::error_code failed) {
        if (!failed) begin_turn();
    });
}

// --- RPCs ---

void Driver::handle_rpc(clients::ReplyTarget reply, std::shared_ptr<const clients::OwnedRequest> request,
                        Milliseconds age) {
    const clients::Request &asked = request->request;
    const std::string id(asked.id);
    // Neither served, as its effect could come twice, nor pushed back, which would promise that it had none.
    if (!is_idempotent(asked) && executed_ids_.contains(id, Instant::clock::now()))
        return clients::Clients::answer(reply, "-ERR this id may have been executed\r\n");
    const auto [at, inserted] = rpcs_.try_emplace(id, Rpc{reply, request});
    if (!inserted) return clients::Clients::answer(reply, "-ERR this id is under way\r\n");
    if (rpc_limiter_ && !admit(at->second, id, age)) return;
    // Clients may go on using their open connections and must be answered before the process is killed: RPCs
    // that arrive after the shutdown deadline are pushed back, and those that arrive before must end by it.
    if (shutdown_deadline_ >= 0 && current_time() >= shutdown_deadline_) return push_back(at->second, id, 0);
    Router &module = begin_turn();
    const Ticks lead = std::chrono::duration_cast<TickDuration>(config_.limits.answer_lead + age).count();
    const int cell = release_controller_ ? release_controller_->cell_of(asked.tenant) : -1;
    at->second.cell = cell;
    if (release_controller_) release_controller_->record_arrival(cell);
    Ticks deadline = now_ + std::max<Ticks>(1, asked.timeout - lead);
    if (shutdown_deadline_ >= 0) deadline = std::min(deadline, std::max(now_ + 1, shutdown_deadline_));
    module.rpc_arrived({id, asked.method, asked.tenant, std::string(asked.key), deadline, asked.retry, cell,
                        asked.size_hint});
}

// Returns whether the RPC limiter admits the RPC; otherwise the RPC is pushed back. It may then be retried,
// as no pick has been made for it. The decision module does not receive it, so that rejected RPCs do not
// count in its statistics.
bool Driver::admit(Rpc &rpc, const std::string &id, Milliseconds age) {
    const clients::Request &asked = rpc.request->request;
    const Ticks now = current_time();
    rpc.limiter_info = {asked.tenant, asked.method,
                        salted_hash(std::string(asked.key), static_cast<std::uint64_t>(asked.method)),
                        asked.retry};
    rpc_limiter_->record_lateness(std::chrono::duration_cast<TickDuration>(age).count());
    const admission::RpcDecision decision = rpc_limiter_->try_admit(rpc.limiter_info, now);
    rpc.admitted = decision.reason == admission::PushbackReason::none;
    if (rpc.admitted || admission_rules_->observe) return true;
    push_back(rpc, id, decision.retry_after);
    return false;
}

void Driver::push_back(Rpc &rpc, const std::string &id, Ticks retry_after) {
    answer(rpc, clients::busy_reply(clients::permitted_retry_after(config_.deployment, retry_after)));
    erase_if_done(id);
}

void Driver::release_admission(Rpc &rpc, bool served) {
    if (std::exchange(rpc.admitted, false)) rpc_limiter_->finished(served, current_time());
}

void Driver::handle_client_left(const std::string &id) {
    const auto at = rpcs_.find(id);
    if (at == rpcs_.end() || at->second.finished) return;
    at->second.finished = true;
    release_admission(at->second, false);
    withdraw_unsent_picks(at->second);
    begin_turn().rpc_finished(id, -1);
    erase_if_done(id);
}

void Driver::answer(Rpc &rpc, std::string bytes, admission::MemoryReservation memory) {
    if (std::exchange(rpc.finished, true)) return;
    release_admission(rpc, bytes[0] == '*' || bytes[0] == '$');
    withdraw_unsent_picks(rpc);
    clients::Clients::answer(rpc.reply, std::move(bytes), std::move(memory));
    rpc.reply.connection.reset();
}

void Driver::withdraw_unsent_picks(const Rpc &rpc) {
    for (const auto &pick : rpc.picks)
        if (pick) hosts_.withdraw(pick);
}

void Driver::send_pick(const Decision &decision) {
    const auto at = rpcs_.find(decision.rpc);
    if (at == rpcs_.end()) return;
    Rpc &rpc = at->second;
    const int pick = static_cast<int>(rpc.picks.size());
    ++rpc.open_picks;
    rpc.picks.push_back(
        hosts_.send(decision.host, rpc.request, decision.duration, send_deadline(rpc),
                    [this, id = decision.rpc, pick, host = decision.host,
                     build = hosts_.build_of(decision.host), sent_at = now_](hosts::PickResult result) {
                        handle_pick_end(id, pick, host, build, sent_at, std::move(result));
                    }));
    if (rpc.first_sent_at < 0) rpc.first_sent_at = now_;
}

// Once a pick of a tokened RPC may have been executed, further picks must have been sent in full before the
// token's window ends. A pick may wait long for its connection, and a host that receives the token after the
// window does not recognise it and would execute the RPC a second time.
std::optional<hosts::Clock::time_point> Driver::send_deadline(const Rpc &rpc) const {
    const Method &method = config_.deployment.methods.at(rpc.request->request.method);
    const bool may_have_executed = !rpc.none_executed || rpc.open_picks > 1;
    if (method.repeat_policy != RepeatPolicy::tokened || rpc.first_sent_at < 0 || !may_have_executed)
        return std::nullopt;
    return steady_start_ +
           std::chrono::duration_cast<hosts::Clock::duration>(
               TickDuration(rpc.first_sent_at + method.token_window) - unix_start_.time_since_epoch());
}

void Driver::handle_pick_end(const std::string &id, int pick, const std::string &host, int build,
                             Ticks sent_at, hosts::PickResult result) {
    Router &module = begin_turn();
    Rpc &rpc = rpcs_.at(id);
    rpc.picks.at(pick).reset();
    --rpc.open_picks;
    rpc.none_executed = rpc.none_executed && proves_not_executed(result.outcome);
    if (rpc.none_executed && rpc.open_picks == 0) rpc.first_sent_at = -1;
    if (release_controller_) release_controller_->record_pick_end(build, rpc.cell, result.outcome);
    // The host may have answered the RPC: picks with the same key that have not been sent yet must not go to
    // a build earlier than the host's.
    const bool key_may_be_answered = !proves_no_answer(result.outcome) && !rpc.request->request.key.empty();
    if (key_may_be_answered && config_.deployment.rollout.sticky_keys)
        hosts_.withdraw_key(rpc.request->request.key, build);
    if (result.outcome == Outcome::ok) answer(rpc, std::move(result.value), std::move(result.memory));
    module.pick_ended(id, pick, result.outcome, now_ - sent_at, rpc.finished, result.report);
    log_(Level::debug, "ended ", id, " pick ", pick, " at ", host, " outcome ",
         static_cast<int>(result.outcome), " after ", (now_ - sent_at) / 10, " ms");
    erase_if_done(id);
}

bool Driver::is_idempotent(const clients::Request &request) const {
    return config_.names.idempotent.at(request.method);
}

void Driver::erase_if_done(const std::string &id) {
    const auto at = rpcs_.find(id);
    if (at == rpcs_.end()) return;
    const Rpc &rpc = at->second;
    if (!rpc.finished || rpc.open_picks > 0) return;
    if (!is_idempotent(rpc.request->request) && !rpc.none_executed)
        executed_ids_.add(id, Instant::clock::now());
    rpcs_.erase(at);
}

void Driver::handle_descriptors_exhausted() { hosts_.shrink_idle(0); }

// --- discovery, the registry and the platform ---

void Driver::handle_host_list(const membership::Listing &listing) {
    std::vector<HostEntry> entries;
    has_host_list_ = true;
    for (const membership::Member &host : listing.members) {
        const HostEntry &entry = host.entry;
        entries.push_back(entry);
        if (entry.status == HostStatus::gone)
            hosts_.remove(entry.id);
        else
            hosts_.update(entry.id, host.address, entry.status == HostStatus::ready, entry.started,
                          entry.build);
    }
    begin_turn().update_hosts(entries, false);
    log_(Level::debug, "list: entries ", entries.size());
}

void Driver::set_list_lease(Instant until, Instant outage_until) {
    hosts_.set_lease(until, outage_until);
    begin_turn().set_host_list_lease(to_ticks(until), to_ticks(outage_until));
}

// The registry replaces discovery: a change of its view is handled like an update from discovery. Also
// registers this router's own key if one is configured.
void Driver::start_registry() {
    const auto read = [this](const std::string &, std::string_view value) {
        const json parsed = json::parse(value, nullptr, false);
        if (!parsed.is_object()) throw_field_error("value", "not an object");
        membership::Member host = list::read_host(parsed, config_.names);
        if (host.entry.status == HostStatus::gone)
            throw_field_error("state", "terminated, but a registered host is draining or in service");
        return host;
    };
    membership::RegistryAccess &access = *config_.registry_access;
    registry_.emplace(
        io_, membership::make_source_options(*config_.registry, access, read, config_.seed), read,
        config_.limits, log_, config_.seed, [this] { return current_time(); },
        [this](const membership::Listing &listing) { handle_host_list(listing); });
    registry_->begin();
    if (config_.registry->registration_key.empty()) return;
    std::ostringstream listen;
    listen << config_.listen;
    const json value{{"name", config_.name}, {"listen", listen.str()}, {"started_ms", current_time() / 10}};
    registration_.emplace(io_, access.endpoints,
                          membership::etcd::LeasedKey{config_.registry->registration_key, value.dump(),
                                                      config_.registry->registration_ttl_s,
                                                      config_.registry->answer_timeout},
                          access.token, access.tls.get(), config_.limits, log_, config_.seed,
                          [this] { return current_time(); });
}

void Driver::handle_stream_line(const rollout::StreamLine &line) {
    if (const auto *update = std::get_if<RolloutUpdate>(&line)) handle_rollout_update(*update);
    if (const auto *stats = std::get_if<PlatformStats>(&line)) begin_turn().add_platform_stats(*stats);
    if (const auto *flagged = std::get_if<rollout::FlaggedAnswer>(&line))
        begin_turn().answer_flagged(flagged->host, flagged->age);
}

void Driver::handle_rollout_update(RolloutUpdate update) {
    Router &module = begin_turn();
    if (update.valid && !rollout::supersedes(update, latest_rollout_)) {
        if (!update.answers_vote) return;
        const Ticks age = latest_rollout_.age + (now_ - latest_rollout_at_);
        update = latest_rollout_; // the vote was counted; the status in its answer is out of date
        update.answers_vote = true;
        update.age = age;
    }
    // A lower cap holds for picks that are still waiting for a connection, too: they are withdrawn.
    if (update.valid && update.build == latest_rollout_.build && update.cap < latest_rollout_.cap)
        hosts_.withdraw_from(update.build);
    if (update.valid && (update.phase == Phase::rolling_back || update.phase == Phase::withdrawn))
        hosts_.release_keys(update.build);
    if (update.valid) {
        latest_rollout_ = update;
        latest_rollout_.answers_vote = false;
        latest_rollout_at_ = now_;
    }
    if (update.valid && release_controller_) release_controller_->update_rollout(update);
    module.update_rollout(update);
}

// Logs the counts of the rehearsal if they have changed since the last line.
void Driver::log_rehearsal() {
    if (!rehearsal_ || ++sweeps_since_rehearsal_log_ < config_.limits.sweeps_per_rehearsal_report) return;
    sweeps_since_rehearsal_log_ = 0;
    const rehearsal::Differences &differences = rehearsal_->differences();
    if (differences == logged_differences_) return;
    logged_differences_ = differences;
    log_(Level::info, "rehearsal: RPCs ", differences.rpcs, ", decided differently: builds ",
         differences.builds, ", hosts ", differences.hosts, ", copies ", differences.extra_picks,
         ", pushbacks ", differences.push_backs, ", votes on ", differences.votes_on, ", votes back ",
         differences.votes_back);
}

// Logs the refused connections and pushed back RPCs if there were any since the last line.
void Driver::log_admission() {
    if (!rpc_limiter_) return;
    std::uint64_t refusals = 0;
    for (const admission::RefusalReason reason :
         {admission::RefusalReason::crowd_limit, admission::RefusalReason::address_limit,
          admission::RefusalReason::network_limit, admission::RefusalReason::open_rate_limit,
          admission::RefusalReason::no_capacity})
        refusals += clients_.connection_limiter()->refusals(reason);
    std::uint64_t pushbacks = 0;
    for (const admission::PushbackReason reason :
         {admission::PushbackReason::quota, admission::PushbackReason::retry_budget,
          admission::PushbackReason::lateness})
        pushbacks += rpc_limiter_->pushbacks(reason);
    if (refusals == logged_refusals_ && pushbacks == logged_pushbacks_) return;
    log_(Level::info, "admission: ", admission_rules_->observe ? "would have refused" : "refused",
         " connections ", refusals - logged_refusals_, ", connections evicted ",
         clients_.connection_limiter()->evictions(), ", pushed back by quota ",
         rpc_limiter_->pushbacks(admission::PushbackReason::quota), ", as retries ",
         rpc_limiter_->pushbacks(admission::PushbackReason::retry_budget), ", late ",
         rpc_limiter_->pushbacks(admission::PushbackReason::lateness), ", open RPCs ",
         rpc_limiter_->in_flight(), ", clients ", clients_.connection_limiter()->open_connections(),
         ", addresses ", clients_.connection_limiter()->source_count());
    logged_refusals_ = refusals;
    logged_pushbacks_ = pushbacks;
}

asio::awaitable<void> Driver::sweep() {
    boost::asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(config_.limits.sweep_interval);
        co_await timer.async_wait(asio::use_awaitable);
        hosts_.sweep();
        log_(Level::debug, "clients ", clients_.open_connections(), ", connections to hosts ",
             hosts_.open_connections(), ", RPCs ", rpcs_.size());
        log_admission();
        log_rehearsal();
    }
}

} // namespace pineridge::router
