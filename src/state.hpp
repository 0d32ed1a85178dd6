// State of the decision module, grouped by lifetime: one pick, one RPC, one host, one build, the instance.
// Holds the inputs that take no decision, and the bookkeeping. Decisions and their constants are in
// src/logic.cpp, which also sets the fields that do not start at zero. Latencies are compared as logs: the
// excess latency of a pick is its log latency minus the baseline of its method and of its host's kind.
#pragma once

#include "held_keys.hpp"
#include "logic.hpp"
#include "random.hpp"
#include "trial_summary.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <set>
#include <unordered_map>

namespace pineridge {

// Returns whether a pick that ended this way may speak against its host or build.
inline bool is_failure(Outcome outcome) {
    return outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost;
}

inline bool in_same_scope(TokenScope scope, const HostEntry &a, const HostEntry &b) {
    return scope == TokenScope::all || (scope == TokenScope::zone ? a.zone == b.zone : a.cell == b.cell);
}

// One attempt to have an RPC served by a host.
struct Pick {
    int host;
    int build;
    Ticks sent_at;
    bool on_trial;
    bool copy; // a second copy at the trial, beside the pick that serves the client
    bool host_is_warm;
    bool new_connection; // no open connection was known
    bool open = true;
    bool cancelled = false; // or handed over to the client as a stream: it is not to be cancelled any more
    bool holds_key = false; // is counted in its build's open_keys
    Outcome outcome = Outcome::ok;
    Ticks duration = 0;
};

// An RPC from its arrival until it is done and its last pick has ended.
struct Rpc {
    Arrival arrival;
    double trial_position; // in [0, 1), by its key or drawn; below the trial's share it belongs to the trial
    double relative_work = 1; // its work hint over the mean one
    bool over_quota = false;
    bool done = false; // its client has an answer or has left
    bool queued = false;
    bool copy_requested = false;
    bool pair_counted = false; // its copy has been counted as evidence
    Ticks reroute_at = 0; // when another host may be tried
    std::vector<Pick> picks{};
};

// A host, from its first appearance in the list on. Its figures start anew when its process restarts.
struct Host {
    HostEntry entry;
    bool listed = true;
    int open_picks = 0;
    double excess_latency = 0; // moving average
    double failure_rate = 0; // moving average; it decays from failure_rate_at on
    Ticks failure_rate_at = 0;
    double outcomes = 0; // number of successes and failures; it decays from outcomes_at on
    Ticks outcomes_at = 0;
    int consecutive_failures = 0; // refusals and failed connects included
    Ticks last_failure_at = 0;
    Ticks silent_since = 0; // its last answer, or when its first open pick was sent
    Ticks connected_until = -1; // a connection to it is open up to then, unless the host has closed it early
    double weight = 0; // present capacity relative to the other hosts
    double peer_load = 0; // RPCs of other routers at it, as it reported
    Ticks peer_load_at = -1; // time of that report; below 0: none
    std::deque<Ticks> recent_picks{}; // send times, those to an earlier process at this host included
    double cold_draw = 0; // in [0, 1): rounds a share of less than one pick up at some routers of a fleet
    double rank = 0; // position in this router's own order of hosts
};

// The usable hosts of one side, earlier builds or trial, and the placement of keys on them.
struct Pool {
    std::vector<int> hosts;
    std::vector<double> cumulative_weight; // of the hosts up to and including this one
    std::vector<std::pair<std::uint64_t, int>> key_ring; // consistent hashing, several points for each host
    double peer_load = 0; // RPCs of other routers per unit of weight
    double load = 0; // RPCs of all routers per unit of weight

    double total_weight() const { return cumulative_weight.empty() ? 0 : cumulative_weight.back(); }
    // Draws one of the first `count` hosts by weight; `position` is in [0, 1).
    int draw_host(double position, std::size_t count) const {
        const auto at = std::upper_bound(cumulative_weight.begin(), cumulative_weight.begin() + count - 1,
                                         position * cumulative_weight[count - 1]);
        return hosts[at - cumulative_weight.begin()];
    }
    int host_for_key(std::uint64_t key) const {
        const auto at = std::lower_bound(key_ring.begin(), key_ring.end(), std::pair{key, 0});
        return (at == key_ring.end() ? key_ring.front() : *at).second;
    }
};

// A pick that counts as evidence on its build.
struct Sample {
    Ticks at;
    int method;
    int host;
    bool failed;
    bool timed; // excess_latency is comparable
    double excess_latency;
};

// What this router knows of a build.
struct Build {
    std::deque<Sample> samples{};
    std::vector<double> key_ranges{}; // by method: share of the keys that the build has received so far
    std::vector<int> successes{}; // by method
    std::vector<std::deque<Ticks>> recent_picks{}; // by method: send times within the exposure window
    HeldKeys answered_keys{}; // sticky keys that the build has, or may have, answered
    std::unordered_map<std::string, int> open_keys{}; // sticky keys of open picks, with their number
    double answers = 0; // passed on to clients
    double flags = 0; // answers that clients flagged as wrong
    PickCounts own_picks{}; // picks of this router; failed: not executed by their hosts
};

// The shares of the cells' RPCs that the release plan allows a build.
struct CellShares {
    double default_share = 0; // of cells that are not in by_cell
    boost::unordered_flat_map<int, double> by_cell{};
};

// The RPCs of a cell and its picks by build, within the exposure window.
struct CellTraffic {
    int arrivals = 0;
    std::vector<std::pair<int, int>> picks{}; // build, number of picks; a few entries

    int &picks_at(int build) {
        for (auto &[number, count] : picks)
            if (number == build) return count;
        return picks.emplace_back(build, 0).second;
    }
};
// The last result of whether a cell has room at a build; valid until its inputs change.
struct CellRoom {
    int cell = 0;
    int build = -1;
    bool has_room = false;
};
// An arrival or a pick that is counted in CellTraffic until it leaves the window.
struct CellEvent {
    Ticks expires_at;
    int cell;
    int build; // of the pick; below 0: an arrival
};

// What is known of the build on trial in comparison with the earlier builds.
struct Evidence {
    PickCounts all; // picks at the build
    PickCounts stage; // those of them in the present stage
    PickCounts earlier; // picks at earlier builds
    std::vector<PickCounts> by_method;
    std::vector<PickCounts> earlier_by_method;
    double uncompared_share = 0; // share of the picks in periods with too few picks at earlier builds
    std::map<int, PickCounts> by_host;
    std::vector<double> host_medians; // by host, sorted: excess latency over that of the earlier hosts
    double timed = 0; // picks that `slowdown` is computed from
    double baseline_failure_share = 0; // of the earlier builds
    double slowdown = 0; // log of its latency over that of the earlier builds
    double slowdown_limit = 0;
    PickCounts answers; // of all routers in the summaries; failed: flagged as wrong

    // Returns the failures on the worst third of the hosts, at least on one host.
    double failures_on_worst_third() const {
        std::vector<double> failures;
        for (const auto &[host, count] : by_host) failures.push_back(count.failed);
        std::sort(failures.rbegin(), failures.rend());
        const auto third =
            failures.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, failures.size() / 3));
        return std::accumulate(failures.begin(), third, 0.0);
    }
    long failing_hosts() const {
        return std::count_if(by_host.begin(), by_host.end(),
                             [](const auto &host) { return host.second.failed > 0; });
    }
    // Returns the largest log odds over the methods that the build fails `share` of a method's picks, against
    // the failure share to expect. That is the largest of what the earlier builds fail of the method, what
    // the build fails of the other methods, and `floor`. `prior` is the number of picks that the prior counts
    // for.
    double method_log_odds(double share, double floor, double prior) const {
        double largest = 0;
        for (std::size_t i = 0; i < by_method.size() && i < earlier_by_method.size(); ++i) {
            const PickCounts &trial = by_method[i];
            const PickCounts &before = earlier_by_method[i];
            const double earlier_share =
                (before.failed + prior * baseline_failure_share) / (before.picks + prior);
            const double other_methods =
                (all.failed - trial.failed + floor * prior) / (all.picks - trial.picks + prior);
            const double expected = std::min(share, std::max({earlier_share, other_methods, floor}));
            largest = std::max(largest, trial.failed * std::log(share / expected) +
                                            trial.succeeded() * std::log((1 - share) / (1 - expected)));
        }
        return largest;
    }

    double routers = 0; // in the summaries, this one included
    double with_baseline = 0; // those of them that ran when the trial began
    double traffic_growth = 0; // first tries now over those when the trial began
    double latency_rise =
        0; // log latency of either build over the baseline: median method, or platform stats
};

// Figures of the whole fleet that are compared with those when the trial began.
struct FleetFigures {
    double peak_traffic = 0; // decaying peak of first tries per second
    double median_excess = 0; // median over the earlier hosts' excess latencies
    double healthy_weight = 0; // weight of the healthy hosts
    bool limit_active = false; // open picks are limited
};

// One router instance, with the inputs that take no decision.
struct Instance : Router {
    Instance(DeploymentConfig given, std::uint64_t seed) : config(std::move(given)) {
        rng.state = seed * 2862933555777941757ULL + 3037000493ULL;
        host_order_salt = rng.state;
        baseline_log_latency.assign(config.methods.size(), 0);
        baseline_count.assign(config.methods.size(), 0);
        recent_arrivals.resize(config.methods.size());
        lateness.resize(config.methods.size() + config.tenant_quotas.size());
        if (!config.advise_retry_after) config.max_retry_after = 0;
        for (double quota : config.tenant_quotas) quota_tokens.push_back(quota / config.instances);
    }

    DeploymentConfig config;
    Pcg32 rng;
    std::uint64_t host_order_salt = 0; // makes the order of hosts differ between routers
    Ticks now = 0;
    Ticks wake_at = -1; // of the last Action::wake; below 0: none is due
    Ticks next_update_at = 0; // of the periodic update
    std::vector<Host> hosts;
    std::unordered_map<std::string, int> host_index; // by host id
    std::vector<int> hosts_by_rank;
    int oldest_build = 0; // of the usable hosts
    Pool pools[2]; // of earlier builds; of the trial
    bool pools_outdated = true;
    double healthy_weight[2] = {0, 0}; // weight of the healthy hosts, by side as in `pools`
    std::unordered_map<std::string, Rpc> rpcs; // never iterated over, as its order is not defined
    std::deque<std::string> rpc_queue; // ids of RPCs to process
    std::deque<std::string> log_lines;
    using TimedRpc = std::pair<Ticks, std::string>;
    std::priority_queue<TimedRpc, std::vector<TimedRpc>, std::greater<>> timers;
    std::map<int, Build> builds;
    std::deque<Sample> earlier_samples; // recent picks at earlier builds
    std::deque<std::pair<Ticks, PlatformStats>> platform_stats; // with the end of their period
    double baseline_stats_rate = 0; // picks per period of the platform stats when the trial began
    std::vector<PickCounts> baseline_stats_latency; // by method: of the platform stats when the trial began
    double first_stage_rise = 0; // latency rise in the first stage
    std::vector<PickCounts> fleet_trial_counts; // by method: the trial's picks at all routers
    std::map<int, TrialSummary> peer_summaries; // latest by peer; at ~peer the latest sum that it sent
    Ticks next_summary_at = 0;
    Ticks summary_round = -1; // counted from the beginning of the stage
    int summaries_left = 0; // recipients left in this round
    std::vector<double> baseline_log_latency; // by method, at earlier builds; unchanged during a trial
    std::vector<int> baseline_count;
    std::map<int, double> kind_excess_latency; // by kind of host
    std::vector<std::deque<Ticks>> recent_arrivals; // by method: within the exposure window
    std::map<int, CellShares> cell_shares; // by build
    boost::unordered_flat_map<int, CellTraffic> cell_traffic; // by cell
    std::deque<CellEvent> cell_events[2]; // arrivals; picks
    CellRoom cell_room;
    std::vector<double> quota_tokens; // by tenant: RPCs left within its quota
    Ticks quota_refilled_at = 0;
    double retry_budget = 0; // further picks that may be sent
    int rpcs_since_refill = 0; // RPCs that have not been credited to retry_budget
    int total_open_picks = 0;
    std::vector<std::pair<double, Ticks>> lateness; // by method, then by tenant: mean, and when updated
    double open_pick_limit = 0; // 0: not limited
    double warm_pick_rate = 0; // picks per second at warm hosts, per unit of rating
    int warm_rate_samples = 0; // periodic updates that warm_pick_rate is computed from
    double demand_rate = 0; // first tries per second, less the RPCs turned away that presumably come again
    int turned_away = 0; // RPCs since the last update
    double side_rating = 0; // decaying maximum of the rating of the hosts of one side
    std::deque<Ticks> warm_successes; // times of answers from warm hosts within the last second
    double first_try_rate = 0; // per second
    Ticks traffic_counted_at = 0;
    int first_tries = 0; // since the last update
    double mean_work = 0; // of the work hints
    double work_hints = 0;
    FleetFigures current_figures;
    FleetFigures baseline_figures; // when the trial began
    std::deque<Ticks> recent_answers; // times of answers within the last second
    double best_answer_rate = 0; // decaying maximum of answers per second
    double expected_wait = 0; // in ticks, of an RPC that is sent now
    Ticks first_rpc_at = -1;
    int pending_rpcs = 0; // RPCs without a final answer
    double yield_share = 0; // share of the RPCs drawn for the trial that went to earlier hosts instead
    // Since when a condition has held without interruption; below 0: it does not hold.
    Ticks slow_since = -1;
    Ticks slowing_suspected_since = -1;
    Ticks hosts_failing_since = -1;
    Ticks slowing_all_since = -1;

    Ticks released_at = -1; // when the present build was released; below 0: not seen by this instance
    Ticks release_vote_since = -1; // since when the vote to release the build has been due; below 0: not due
    double earlier_failure_share = 0; // recent failure share of earlier builds
    double connect_failure_rate = 0; // recent share of new connections that failed
    double connection_loss_rate = 0; // recent share of earlier builds' picks whose connection was lost
    std::set<int> withdrawn_builds; // their hosts are not used, even while a late list shows them as ready
    RolloutUpdate rollout_state{}; // the latest valid update
    bool has_rollout = false;
    Ticks stage_began_at = 0;
    Ticks voted_at = 0;
    Ticks next_judgement_at = 0;
    Verdict last_vote = Verdict::none;
    bool vote_counted = false;
    double vote_spread = 1; // random factor on the pause before the vote is sent again
    Ticks list_request_at = 0; // below 0: a request or a subscription is open
    int failed_list_requests = 0; // in a row
    Ticks list_lease_until = std::numeric_limits<Ticks>::max();
    Ticks outage_until = std::numeric_limits<Ticks>::min(); // discovery is presumed to be unavailable
    int retained_build = 0; // the build whose hosts no release step so far takes away
    // Hosts of builds before this one may have been drained by a release step since the list was received.
    int replaced_before = 0;

    bool on_trial(int build) const {
        return has_rollout && (build > rollout_state.build ||
                               (build == rollout_state.build && rollout_state.phase != Phase::released));
    }
    bool is_rolling_back(int build) const {
        return has_rollout && build == rollout_state.build &&
               (rollout_state.phase == Phase::rolling_back || rollout_state.phase == Phase::withdrawn);
    }
    bool trial_running() const { return has_rollout && rollout_state.phase == Phase::on_trial; }
    bool watching_release() const { return has_rollout && rollout_state.phase == Phase::released; }
    bool in_last_stage() const {
        return rollout_state.stage + 1 >= static_cast<int>(config.rollout.stage_shares.size());
    }
    // Returns whether the present release step drains hosts of the builds before it: after the release, or
    // where the new hosts replace the earlier ones one by one.
    bool replaces_earlier_hosts() const {
        return watching_release() || (trial_running() && config.rollout.replaces_hosts);
    }
    // Returns whether a build that is called back may have been released before. That is known only where its
    // release was reported, and an update may have been missed.
    bool may_have_been_released() const {
        return is_rolling_back(rollout_state.build) && (config.rollout.replaces_hosts || in_last_stage());
    }
    bool usable(const Host &host) const {
        return host.listed && host.entry.status == HostStatus::ready &&
               withdrawn_builds.count(host.entry.build) == 0;
    }
    bool list_is_valid() const { return now <= list_lease_until; }
    bool discovery_outage() const { return !list_is_valid() && now <= outage_until; }
    bool usable_earlier(const Host &host) const { return usable(host) && !on_trial(host.entry.build); }
    const Method &method_of(const Rpc &rpc) const { return config.methods[rpc.arrival.method]; }

    // Returns the state of a build, which is created if there is none.
    Build &build_state(int number) {
        Build &build = builds[number];
        build.key_ranges.resize(config.methods.size());
        build.successes.resize(config.methods.size());
        build.recent_picks.resize(config.methods.size());
        return build;
    }

    // Queues a line for the log; the format takes three doubles. Longer lines are cut off.
    void add_log_line(const std::string &format, double a, double b, double c) {
        char line[120];
        std::snprintf(line, sizeof line, format.c_str(), a, b, c);
        log_lines.emplace_back(line);
    }

    // Marks that the client has its answer or has left.
    void settle(Rpc &rpc) {
        pending_rpcs -= !rpc.done;
        rpc.done = true;
    }

    void enqueue(Rpc &rpc) {
        if (!rpc.queued) rpc_queue.push_back(rpc.arrival.id);
        rpc.queued = true;
    }

    void update_hosts(const std::vector<HostEntry> &entries, bool complete) override {
        for (Host &host : hosts) host.listed = host.listed && !complete;
        for (const HostEntry &entry : entries) {
            const auto [at, added] = host_index.try_emplace(entry.id, static_cast<int>(hosts.size()));
            if (added) hosts.push_back(Host{entry});
            Host &host = hosts[at->second];
            if (added || entry.started != host.entry.started || entry.build != host.entry.build) {
                Host restarted{entry};
                restarted.open_picks = host.open_picks;
                restarted.recent_picks = std::move(host.recent_picks);
                restarted.cold_draw = rng.uniform();
                const double position = (salted_hash(entry.id, host_order_salt) >> 11) * 0x1p-53;
                restarted.rank = -std::log(1 - position) / rating(restarted);
                restarted.silent_since = now;
                host = std::move(restarted);
            }
            host.entry = entry;
            host.listed = entry.status != HostStatus::gone;
        }
        hosts_by_rank.resize(hosts.size());
        std::iota(hosts_by_rank.begin(), hosts_by_rank.end(), 0);
        std::sort(hosts_by_rank.begin(), hosts_by_rank.end(),
                  [&](int a, int b) { return hosts[a].rank < hosts[b].rank; });
        failed_list_requests = 0;
        pools_outdated = true;
        // Once the release step has been undone, the hosts that the list shows as ready stay.
        if (!replaces_earlier_hosts()) replaced_before = 0;
    }

    void set_host_list_lease(Ticks until, Ticks outage) override {
        list_lease_until = until;
        outage_until = outage;
    }

    void receive_summary(int peer, const std::string &bytes) override {
        std::optional<TrialSummary> summary = TrialSummary::decode(bytes, config.methods.size());
        if (!summary || peer < 0 || peer >= config.instances || peer == config.ordinal) return;
        if (summary->routers > config.instances) return;
        summary->received_at = now;
        peer_summaries[summary->routers > 1 ? ~peer : peer] = std::move(*summary);
    }

    void add_platform_stats(const PlatformStats &stats) override {
        platform_stats.emplace_back(now - stats.age, stats);
        if (!trial_running() || rollout_state.stage > 0) return;
        add_baseline_latency(stats);
    }
    // Returns the picks per period in the platform stats since then. Stats that end more than `gap` apart
    // belong to different periods.
    double stats_rate(Ticks since, Ticks gap) const {
        double picks = 0, periods = 0;
        Ticks period_end = -1;
        for (const auto &[at, stats] : platform_stats) {
            if (at < since) continue;
            periods += period_end < 0 || at > period_end + gap;
            period_end = at;
            picks += stats.picks;
        }
        return periods > 0 ? picks / periods : 0;
    }
    // Adds the stats of an earlier build to the latency when the trial began.
    void add_baseline_latency(const PlatformStats &stats) {
        if (stats.build < rollout_state.build &&
            stats.method < static_cast<int>(baseline_stats_latency.size()))
            baseline_stats_latency[stats.method].add_latency(stats.picks - stats.failed,
                                                             std::log(std::max(1e-4, stats.latency)));
    }
    // Returns the log latency of all picks in the platform stats since then, over that when the trial began.
    double stats_latency_rise(Ticks since) const {
        double rise = 0, picks = 0;
        for (const auto &[at, stats] : platform_stats) {
            if (at < since || stats.failed >= stats.picks || baseline_stats_latency[stats.method].timed <= 0)
                continue;
            const double succeeded = stats.picks - stats.failed;
            rise += succeeded * (std::log(std::max(1e-4, stats.latency)) -
                                 baseline_stats_latency[stats.method].mean_log_latency());
            picks += succeeded;
        }
        return picks > 0 ? rise / picks : 0;
    }

    void rpc_arrived(Arrival arrival) override {
        if (first_rpc_at < 0) first_rpc_at = now;
        recent_arrivals.at(arrival.method).push_back(now);
        first_tries += !arrival.retry;
        ++rpcs_since_refill;
        if (config.default_cell_share < 1) record_cell_event(arrival.cell, -1);
        Rpc rpc{std::move(arrival), 0};
        rpc.trial_position =
            rpc.arrival.key.empty() ? rng.uniform() : (salted_hash(rpc.arrival.key, 7) >> 11) * 0x1p-53;
        rpc.over_quota = !within_quota(rpc.arrival.tenant);
        if (const auto hint = static_cast<double>(rpc.arrival.size_hint); hint > 0) {
            mean_work += (hint - mean_work) / ++work_hints;
            rpc.relative_work = hint / mean_work;
        }
        timers.emplace(rpc.arrival.deadline, rpc.arrival.id);
        ++pending_rpcs;
        const std::string id = rpc.arrival.id;
        enqueue(rpcs.insert_or_assign(id, std::move(rpc)).first->second);
    }

    void set_cell_share(int build, int cell, double share) override {
        cell_room = {};
        if (cell < 0)
            cell_shares[build] = {share, {}};
        else
            cell_shares[build].by_cell[cell] = share;
    }

    double share_in_cell(int build, int cell) const {
        const auto shares = cell_shares.find(build);
        if (shares == cell_shares.end()) return on_trial(build) ? config.default_cell_share : 1;
        const auto at = shares->second.by_cell.find(cell);
        return at == shares->second.by_cell.end() ? shares->second.default_share : at->second;
    }

    // Counts an arrival (`build` below 0) or a pick at the build. Picks are counted one tick longer than the
    // window and arrivals one tick less, so that the share is kept whichever way the window's ends are
    // counted.
    void record_cell_event(int cell, int build) {
        CellTraffic &traffic = cell_traffic[cell];
        ++(build < 0 ? traffic.arrivals : traffic.picks_at(build));
        cell_room = {};
        cell_events[build >= 0].push_back(
            {now + config.rollout.exposure_window + (build < 0 ? -1 : 1), cell, build});
    }

    // Returns the arrivals of a cell, and its picks at the build, within the exposure window.
    std::pair<double, double> cell_exposure(int build, int cell) {
        const auto traffic = cell_traffic.find(cell);
        if (traffic == cell_traffic.end()) return {0, 0};
        return {traffic->second.arrivals, traffic->second.picks_at(build)};
    }

    void expire_cell_events() {
        for (std::deque<CellEvent> &events : cell_events)
            for (; !events.empty() && events.front().expires_at < now; events.pop_front()) {
                const CellEvent &expired = events.front();
                const auto at = cell_traffic.find(expired.cell);
                CellTraffic &traffic = at->second;
                if (expired.build < 0) --traffic.arrivals;
                if (expired.build >= 0) --traffic.picks_at(expired.build);
                const auto no_picks = [](const auto &entry) { return entry.second == 0; };
                if (traffic.arrivals == 0 &&
                    std::all_of(traffic.picks.begin(), traffic.picks.end(), no_picks))
                    cell_traffic.erase(at);
                cell_room = {};
            }
    }

    void update_rollout(const RolloutUpdate &update) override {
        if (update.answers_vote) vote_counted = update.valid;
        if (!update.valid) return;
        const bool other_build = !has_rollout || update.build != rollout_state.build;
        const bool other_step =
            other_build || update.stage != rollout_state.stage || update.phase != rollout_state.phase;
        if (other_step) {
            if (trial_running() && update.phase == Phase::released && !other_build) released_at = now;
            if (other_build || (update.phase != rollout_state.phase && update.phase != Phase::released)) {
                baseline_figures = current_figures;
                fleet_trial_counts.clear();
                yield_share = 0;
                slowing_suspected_since = slow_since = hosts_failing_since = slowing_all_since = -1;
            }
            stage_began_at = now - update.age;
            last_vote = Verdict::none;
            release_vote_since = -1;
            add_log_line("rollout: build %.0f stage %.0f phase %.0f", update.build, update.stage,
                         int(update.phase));
            if (update.phase != Phase::on_trial) build_state(update.build).key_ranges.clear();
            if (update.phase == Phase::rolling_back || update.phase == Phase::withdrawn)
                build_state(update.build).answered_keys.clear();
            // Build numbers only grow, so a withdrawn build does not come back.
            if (update.phase == Phase::withdrawn) withdrawn_builds.insert(update.build);
        }
        rollout_state = update;
        has_rollout = true;
        if (other_step && (replaces_earlier_hosts() || may_have_been_released()))
            replaced_before = std::max(replaced_before, update.build);
        if (other_build) {
            baseline_stats_rate = 0;
            baseline_stats_latency.assign(config.methods.size(), {});
            for (const auto &[at, stats] : platform_stats) add_baseline_latency(stats);
        }
        pools_outdated = true;
    }

    void record_load_report(Host &host, const std::vector<double> &report) {
        for (std::size_t i = 0; i < report.size() && i < config.report_fields.size(); ++i) {
            const bool backlog = config.report_fields[i] == "backlog";
            if (!backlog && config.report_fields[i] != "outstanding") continue;
            host.peer_load = backlog ? report[i] : std::max(0.0, report[i] - host.open_picks);
            host.peer_load_at = now;
        }
    }

    void answer_flagged(const std::string &id, Ticks age) override {
        const auto at = host_index.find(id);
        if (at == host_index.end()) return;
        const HostEntry &entry = hosts[at->second].entry;
        // An answer from before the start came from another process.
        if (entry.started <= now - age) build_state(entry.build).flags += 1;
    }

    double rating(const Host &host) const { return std::max(0.05, host.entry.rating); }
    double total_rating(bool trial) const {
        double sum = 0;
        for (const Host &host : hosts)
            if (usable(host) && on_trial(host.entry.build) == trial) sum += rating(host);
        return sum;
    }
    double warm_rating() const {
        double sum = 0;
        for (const Host &host : hosts)
            if (usable(host) && warm_up_share(host) >= 1) sum += rating(host);
        return sum;
    }
    // Returns the share of its capacity that the host has reached since its start.
    double warm_up_share(const Host &host) const {
        if (host.entry.started <= 0) return 1;
        const double progress = double(now - host.entry.started) / std::max<Ticks>(1, config.warm_up_time);
        return std::clamp(config.cold_capacity_share + (1 - config.cold_capacity_share) * progress,
                          config.cold_capacity_share, 1.0);
    }

    // The retained build is the released one; while a build is on trial or withdrawn, the newest before it.
    void update_retained_build() {
        retained_build = has_rollout && watching_release() ? rollout_state.build : oldest_build;
        if (watching_release()) return;
        for (const Host &host : hosts)
            if (usable(host) && host.entry.build < rollout_state.build)
                retained_build = std::max(retained_build, host.entry.build);
    }

    // Sorts the usable hosts into the pools. The load of other routers comes from load reports since
    // `reports_since`, or where there are none from this router's own open picks. The smoothing factors are
    // the weights of the newest figures.
    void rebuild_pools(Ticks reports_since, int ring_points, double peer_smoothing, double load_smoothing) {
        pools_outdated = false;
        oldest_build = hosts.empty() ? 0 : hosts.front().entry.build;
        for (const Host &host : hosts)
            if (usable(host)) oldest_build = std::min(oldest_build, host.entry.build);
        update_retained_build();
        double reported[2] = {0, 0}, reporting_weight[2] = {0, 0}, own[2] = {0, 0};
        for (Pool &pool : pools) {
            pool.hosts.clear();
            pool.cumulative_weight.clear();
            pool.key_ring.clear();
        }
        for (const int i : hosts_by_rank) {
            const Host &host = hosts[i];
            if (!usable(host)) continue;
            const bool trial = on_trial(host.entry.build);
            Pool &pool = pools[trial];
            pool.hosts.push_back(i);
            pool.cumulative_weight.push_back(pool.total_weight() + host.weight);
            for (int point = 0; point < ring_points; ++point)
                pool.key_ring.emplace_back(salted_hash(host.entry.id, 3 + point), i);
            own[trial] += host.open_picks;
            if (host.peer_load_at >= 0 && host.peer_load_at >= reports_since) {
                reported[trial] += host.peer_load;
                reporting_weight[trial] += host.weight;
            }
        }
        const double peers = config.instances - 1.0;
        for (int side = 0; side < 2; ++side) {
            Pool &pool = pools[side];
            std::sort(pool.key_ring.begin(), pool.key_ring.end());
            if (pool.hosts.empty()) continue;
            const double peer_load = reporting_weight[side] > 0
                                         ? peers / config.instances * reported[side] / reporting_weight[side]
                                         : peers * own[side] / pool.total_weight();
            pool.peer_load += (peer_load - pool.peer_load) * peer_smoothing;
            pool.load += (peer_load + own[side] / pool.total_weight() - pool.load) * load_smoothing;
        }
    }

    // Takes a token of the tenant's quota, of which each instance has an equal part.
    bool within_quota(int tenant) {
        for (std::size_t i = 0; i < quota_tokens.size(); ++i) {
            const double quota = config.tenant_quotas[i] / config.instances;
            // At least one token can be saved up. Otherwise, with a part of less than one RPC per second,
            // every RPC would be over the quota.
            quota_tokens[i] =
                std::min(std::max(1.0, quota), quota_tokens[i] + quota * (now - quota_refilled_at) / 10000.0);
        }
        quota_refilled_at = now;
        if (quota_tokens.empty() || config.tenant_quotas.at(tenant) <= 0) return true;
        if (quota_tokens[tenant] < 1) return false;
        quota_tokens[tenant] -= 1;
        return true;
    }

    bool none_executed(const Rpc &rpc) const {
        return std::all_of(rpc.picks.begin(), rpc.picks.end(),
                           [](const Pick &pick) { return !pick.open && proves_not_executed(pick.outcome); });
    }

    bool has_used(const Rpc &rpc, int host) const {
        return std::any_of(rpc.picks.begin(), rpc.picks.end(),
                           [&](const Pick &pick) { return pick.host == host; });
    }

    // Returns the evidence from this router's own picks at the build. Samples older than `since` are left
    // out, and latencies older than `latencies_since`. The latency of each method is compared with the median
    // at the earlier hosts, which counts as at least `min_excess`. Methods with fewer than `min_earlier`
    // latencies there, and hosts with fewer than `min_per_host` latencies here, are left out of host_medians.
    Evidence collect_own_evidence(const Build &build, Ticks since, Ticks latencies_since,
                                  std::size_t min_earlier, std::size_t min_per_host,
                                  double min_excess) const {
        Evidence evidence;
        evidence.by_method.resize(config.methods.size());
        evidence.earlier_by_method.resize(config.methods.size());
        for (const Sample &sample : earlier_samples)
            evidence.earlier_by_method[sample.method].add(1, sample.failed);
        std::vector<std::vector<double>> earlier_excess(config.methods.size());
        for (const Sample &sample : earlier_samples)
            if (sample.timed && sample.at > latencies_since)
                earlier_excess[sample.method].push_back(sample.excess_latency);
        std::vector<double> baseline;
        for (std::vector<double> &values : earlier_excess)
            baseline.push_back(values.size() < min_earlier ? 0 : std::max(median(values), min_excess));
        std::map<int, std::vector<double>> excess_by_host;
        for (const Sample &sample : build.samples) {
            if (sample.at < since) continue;
            evidence.all.add(1, sample.failed);
            evidence.by_method[sample.method].add(1, sample.failed);
            evidence.by_host[sample.host].add(1, sample.failed);
            if (sample.at >= stage_began_at) evidence.stage.add(1, sample.failed);
            if (sample.timed && sample.at > latencies_since &&
                earlier_excess[sample.method].size() >= min_earlier)
                excess_by_host[sample.host].push_back(sample.excess_latency - baseline[sample.method]);
        }
        for (auto &[host, values] : excess_by_host)
            if (values.size() >= min_per_host) evidence.host_medians.push_back(median(values));
        std::sort(evidence.host_medians.begin(), evidence.host_medians.end());
        return evidence;
    }

    // Returns the summary of this router's own picks since then.
    TrialSummary own_summary(Ticks since) {
        TrialSummary summary;
        summary.build = rollout_state.build;
        summary.first_tries = current_figures.peak_traffic;
        if (baseline_figures.peak_traffic > 0) { // otherwise this router started during the trial
            summary.with_baseline = 1;
            summary.baseline_first_tries = baseline_figures.peak_traffic;
        }
        summary.trial.resize(config.methods.size());
        summary.earlier.resize(config.methods.size());
        const auto add = [&](std::vector<PickCounts> &to, const Sample &sample) {
            if (sample.at < since) return;
            to[sample.method].add(1, sample.failed);
            if (sample.timed) to[sample.method].add_latency(1, sample.excess_latency);
        };
        const Build &build = build_state(rollout_state.build);
        for (const Sample &sample : build.samples) add(summary.trial, sample);
        for (const Sample &sample : earlier_samples) add(summary.earlier, sample);
        summary.answers.add(build.answers, build.flags);
        return summary;
    }

    // Returns whether keys stay with this build: keys are sticky, and it is newer than another build that
    // still receives picks.
    bool holds_keys(int build) const {
        return config.rollout.sticky_keys && !is_rolling_back(build) &&
               (on_trial(build) || build > oldest_build);
    }

    // A key stays with a newer build from the moment a pick is sent there, as the host may answer before this
    // router knows of it.
    void hold_key(const Rpc &rpc, Pick &pick) {
        if (rpc.arrival.key.empty() || !holds_keys(pick.build)) return;
        pick.holds_key = true;
        ++build_state(pick.build).open_keys[rpc.arrival.key];
    }

    // Called when a pick, or a copy, has ended. Unless the outcome proves that there was no answer, the build
    // holds the key from then on, since an answer that was lost on its way may have had its effect. If the
    // list meanwhile shows another process at the host, the newer build counts. A build that is rolling back
    // holds no key.
    void settle_key(const Rpc &rpc, Pick &pick) {
        if (std::exchange(pick.holds_key, false)) {
            auto &open_keys = build_state(pick.build).open_keys;
            const auto at = open_keys.find(rpc.arrival.key);
            if (at != open_keys.end() && --at->second == 0) open_keys.erase(at);
        }
        if (rpc.arrival.key.empty() || proves_no_answer(pick.outcome)) return;
        const int build = std::max(pick.build, hosts[pick.host].entry.build);
        if (holds_keys(build)) build_state(build).answered_keys.insert(rpc.arrival.key);
    }

    // Returns whether a newer build holds the key. A build whose share of the cell is 0 is rolling back in
    // that cell, and holds none of its keys.
    bool held_by_newer(const std::string &key, int number, int cell) const {
        return std::any_of(builds.upper_bound(number), builds.end(), [&](const auto &build) {
            const bool held =
                build.second.answered_keys.contains(key) || build.second.open_keys.count(key) > 0;
            return held && !is_rolling_back(build.first) && share_in_cell(build.first, cell) > 0;
        });
    }

    // Adds up this router's own summary and those that peers sent of themselves since then. Where a peer sent
    // a sum over more routers, that sum is returned instead.
    TrialSummary pool_summaries(Ticks received_since, TrialSummary own) const {
        const TrialSummary *largest_sum = nullptr;
        for (const auto &[peer, summary] : peer_summaries) {
            if (summary.build != rollout_state.build || summary.received_at < received_since) continue;
            if (peer >= 0)
                own.add(summary);
            else if (!largest_sum || summary.routers > largest_sum->routers)
                largest_sum = &summary;
        }
        return largest_sum && largest_sum->routers > own.routers ? *largest_sum : own;
    }

    // Returns the evidence from all routers on the trial's build in comparison with earlier builds, from the
    // platform stats or, without any, from the pooled summary. Latencies are compared by method, where there
    // are at least `min_picks`. Stats that end more than `gap` apart belong to different periods. The present
    // latency and traffic are those since `recent`.
    Evidence compare_fleet(const TrialSummary &summary, double min_picks, Ticks gap, Ticks recent) {
        Evidence evidence;
        std::vector<PickCounts> earlier = summary.earlier;
        evidence.by_method = summary.trial;
        evidence.answers = summary.answers;
        evidence.routers = summary.routers;
        evidence.traffic_growth = summary.first_tries / std::max(1e-9, summary.baseline_first_tries);
        evidence.with_baseline = summary.with_baseline;
        std::vector<double> log_latencies; // by method, of either build
        for (std::size_t i = 0; i < earlier.size(); ++i) {
            PickCounts both = summary.earlier[i];
            both.add(summary.trial[i]);
            if (both.timed >= min_picks) log_latencies.push_back(both.mean_log_latency());
        }
        std::sort(log_latencies.begin(), log_latencies.end());
        if (!log_latencies.empty()) evidence.latency_rise = log_latencies[(log_latencies.size() - 1) / 2];
        if (!platform_stats.empty()) {
            if (rollout_state.stage == 0 || baseline_stats_rate <= 0)
                baseline_stats_rate = stats_rate(0, gap);
            evidence.latency_rise = stats_latency_rise(recent);
            evidence.traffic_growth = stats_rate(recent, gap) / std::max(1e-9, baseline_stats_rate);
        }
        if (!platform_stats.empty())
            evidence.by_method.assign(earlier.size(), {}), earlier.assign(earlier.size(), {});
        std::vector<std::array<PickCounts, 2>> periods; // earlier builds; the trial
        Ticks period_end = -1;
        for (const auto &[at, stats] : platform_stats) {
            if (stats.build > rollout_state.build) continue;
            if (periods.empty() || at > period_end + gap) periods.emplace_back();
            period_end = at;
            periods.back()[stats.build == rollout_state.build].add(stats.picks, stats.failed);
            PickCounts &counts =
                (stats.build == rollout_state.build ? evidence.by_method : earlier).at(stats.method);
            counts.add(stats.picks, stats.failed);
            counts.add_latency(stats.picks - stats.failed, std::log(std::max(1e-4, stats.latency)));
        }
        for (std::size_t i = 0; i < earlier.size(); ++i) {
            const PickCounts &trial = evidence.by_method[i];
            const PickCounts &before = earlier[i];
            evidence.all.add(trial.picks, trial.failed);
            evidence.earlier.add(before.picks, before.failed);
            if (before.timed < min_picks) continue;
            const double log_latency = before.mean_log_latency();
            evidence.slowdown +=
                trial.log_latency_sum -
                trial.timed * (platform_stats.empty() ? std::max(0.0, log_latency) : log_latency);
            evidence.timed += trial.timed;
        }
        evidence.baseline_failure_share = evidence.earlier.failure_share();
        // Trouble that strikes hosts of either build fails most of the picks of a growing trial, and few of
        // the earlier builds'. So the expected failures are added up by period, weighted by the trial's
        // picks.
        double expected = 0;
        double failure_share = evidence.baseline_failure_share;
        double uncompared = 0;
        for (const auto &[others, trial] : periods) {
            if (others.picks >= min_picks) failure_share = others.failure_share();
            if (others.picks < min_picks) uncompared += trial.picks;
            expected += trial.picks * failure_share;
        }
        if (evidence.all.picks > 0 && !periods.empty())
            evidence.baseline_failure_share = expected / evidence.all.picks;
        if (evidence.all.picks > 0) evidence.uncompared_share = uncompared / evidence.all.picks;
        evidence.earlier_by_method = earlier;
        evidence.slowdown /= std::max(1.0, evidence.timed);
        return evidence;
    }

    // Returns the excess latency of a pick, for an RPC of this relative work.
    double excess_latency_of(const Pick &pick, int method, double work) {
        return std::log(std::max<Ticks>(1, pick.duration) / work) - baseline_log_latency[method] -
               kind_excess_latency[hosts[pick.host].entry.kind];
    }

    // Returns the exposure cap of a build.
    double cap(int build) const {
        return build == rollout_state.build ? rollout_state.cap : config.rollout.stage_caps.front();
    }

    // Updates the moving averages of the RPC's method and tenant. `ratio` is the latency over the soft
    // deadline; the weight of the newest value grows with the time since the last one, up to `max_weight`.
    void record_lateness(const Rpc &rpc, double ratio, double window, double max_weight) {
        for (const std::size_t at :
             {std::size_t(rpc.arrival.method), config.methods.size() + rpc.arrival.tenant}) {
            if (at >= lateness.size()) continue;
            auto &[mean, updated] = lateness[at];
            mean += (ratio - mean) *
                    std::min(max_weight, 1 - std::exp(static_cast<double>(updated - now) / window));
            updated = now;
        }
    }

    // Returns the least lateness of the first `count` methods and tenants, of those updated since then.
    double least_lateness(std::size_t count, Ticks since) const {
        double least = -1;
        for (std::size_t i = 0; i < count; ++i)
            if (lateness[i].second > since && (least < 0 || lateness[i].first < least))
                least = lateness[i].first;
        return std::max(0.0, least);
    }

    // Returns the probability that all of the trial's oldest hosts are in trouble, up to the first that is
    // not, if trouble struck `in_trouble` of `all` hosts at random. `trial` holds each host's start time and
    // whether it is in trouble.
    static double probability_of_oldest(std::vector<std::pair<Ticks, bool>> trial, double in_trouble,
                                        double all) {
        double probability = 1;
        std::sort(trial.begin(), trial.end());
        for (auto at = trial.begin(); at != trial.end() && at->second; ++at)
            probability *= in_trouble-- / all--;
        return probability;
    }

    // Returns the number of a peer, which is the same at all routers that are in this stage.
    int draw_peer(Ticks draw) const {
        const auto salt =
            (std::uint64_t(rollout_state.build) << 32) + (std::uint64_t(rollout_state.stage) << 24) + draw;
        return static_cast<int>(salted_hash("", salt) % config.instances);
    }

    static void drop_before(std::deque<Ticks> &times, Ticks before) {
        while (!times.empty() && times.front() < before) times.pop_front();
    }

    // Returns the arrivals, and the picks at the build, that count for the exposure cap.
    std::pair<double, double> exposure(int number, int method) {
        double arrivals = 0, sent = 0;
        expire_arrivals();
        for (std::size_t i = 0; i < recent_arrivals.size(); ++i) {
            if (config.rollout.cap_by_method && static_cast<int>(i) != method) continue;
            std::deque<Ticks> &picks = build_state(number).recent_picks[i];
            drop_before(picks, now - config.rollout.exposure_window - 1);
            arrivals += static_cast<double>(recent_arrivals[i].size());
            sent += static_cast<double>(picks.size());
        }
        return {arrivals, sent};
    }

    // Drops the arrivals that no longer count for the exposure cap. They are read only while a build is on
    // trial, and would otherwise be kept without end while none is.
    void expire_arrivals() {
        for (std::deque<Ticks> &arrivals : recent_arrivals)
            drop_before(arrivals, now - config.rollout.exposure_window + 1);
    }

    // Updates the current figures; the median excess is that of earlier hosts which run for at least
    // `min_age`.
    void measure_fleet(Ticks min_age) {
        std::vector<double> excess;
        for (const Host &host : hosts)
            if (usable_earlier(host) && now - host.entry.started >= min_age)
                excess.push_back(host.excess_latency);
        if (!excess.empty()) current_figures.median_excess = median(excess);
        current_figures.limit_active = open_pick_limit > 0;
        current_figures.healthy_weight = healthy_weight[0] + healthy_weight[1];
    }

    // Updates the rates per second. `retried_share` is the presumed share of the RPCs turned away that come
    // again.
    void count_traffic(double smoothing, double retried_share) {
        const double seconds = static_cast<double>(std::max<Ticks>(1, now - traffic_counted_at)) / 10000;
        first_try_rate += (first_tries / seconds - first_try_rate) * smoothing;
        demand_rate += ((first_tries - retried_share * turned_away) / seconds - demand_rate) * smoothing;
        first_tries = turned_away = 0;
        traffic_counted_at = now;
        drop_before(warm_successes, now - 10000);
        drop_before(recent_answers, now - 10000);
    }

    // Drops what is older. Older platform stats are kept while the rest hold fewer than `min_picks` picks at
    // the trial.
    void expire_evidence(Ticks before, double min_picks) {
        while (!earlier_samples.empty() && earlier_samples.front().at < before) earlier_samples.pop_front();
        double trial_picks = 0;
        for (const auto &[at, stats] : platform_stats)
            trial_picks += stats.build == rollout_state.build ? stats.picks : 0;
        while (!platform_stats.empty() && platform_stats.front().first < before) {
            const PlatformStats &stats = platform_stats.front().second;
            if (stats.build == rollout_state.build && (trial_picks -= stats.picks) < min_picks) break;
            platform_stats.pop_front();
        }
    }

    PickCounts count_earlier() const {
        PickCounts counts;
        for (const Sample &sample : earlier_samples) counts.add(1, sample.failed);
        return counts;
    }

    static auto count_open_picks(const Rpc &rpc) {
        return std::count_if(rpc.picks.begin(), rpc.picks.end(), [](const Pick &pick) { return pick.open; });
    }

    // Marks the pick as ended. Returns nullptr if there is no such open pick.
    Rpc *close_pick(const std::string &id, int number, Outcome outcome, Ticks duration) {
        const auto found = rpcs.find(id);
        if (found == rpcs.end() || number < 0) return nullptr;
        std::vector<Pick> &picks = found->second.picks;
        if (number >= static_cast<int>(picks.size()) || !picks[number].open) return nullptr;
        picks[number].open = false;
        picks[number].outcome = outcome;
        picks[number].duration = duration;
        --hosts[picks[number].host].open_picks;
        --total_open_picks;
        return &found->second;
    }

    // A pick whose stream the client receives is marked as cancelled, so that it is left alone.
    void rpc_finished(const std::string &id, int streaming_pick) override {
        const auto found = rpcs.find(id);
        if (found == rpcs.end()) return;
        std::vector<Pick> &picks = found->second.picks;
        if (streaming_pick >= 0 && streaming_pick < static_cast<int>(picks.size()))
            picks[streaming_pick].cancelled = true;
        settle(found->second);
        enqueue(found->second);
    }
};

} // namespace pineridge
