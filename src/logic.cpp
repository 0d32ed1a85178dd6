// The decisions of pineridge. The interface is src/logic.hpp, the state src/state.hpp.
//
// Calling order: call set_time() with the time of a batch of inputs, then pass the inputs in the order in
// which they came; inputs only update the state. Then call next_decision() until it returns Action::none, and
// carry out each decision in that order. Action::wake asks for a set_time() call at a later time. One Router
// is one instance, which shares nothing with others and is not safe for concurrent use.
//
// 10000 Ticks are one second. Unless stated otherwise, smoothing constants are the weight of the newest value
// in a moving average, shares are in [0, 1], costs are factors on the cost of a host, and slowdowns are
// ratios of latencies.
#include "logic.hpp"
#include "state.hpp"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pineridge {
namespace {

// --- Constants of the votes ---

// Evidence for a vote to roll back.
constexpr int kMinRollBackFailures = 5; // picks; fewer may be chance
constexpr int kMinRollBackPicks = 20; // over all methods
constexpr int kMinMethodPicks = 6; // of one method
constexpr double kRollBackFailureShare = 0.20; // above the baseline, over all methods
constexpr double kMethodFailureShare = 0.35; // above the baseline, of one method
constexpr double kConcentratedFailureShare = 0.8; // on a third of the hosts, which are then at fault
constexpr double kMinHostOutcomes = 2; // decayed count from which a host's figures are meaningful
constexpr double kRandomTroubleProbability = 0.02; // below it, trouble at the oldest hosts is not random
constexpr double kRandomTroubleDoubt = 0.1; // below it, whether that trouble is random is in doubt
constexpr double kTroubleFailureRate = 0.05; // of a host in trouble
constexpr double kTroubleSlowdown = 2; // of a host in trouble, over the median host
constexpr Ticks kSingleHostWait = 100000; // in the first stage on a single host, which may itself be at fault
constexpr double kUnevenDeviations = 2.5; // standard deviations that uneven hosts and chance may add
constexpr double kMinFailureLimit = 0.01; // share; the limit on failures falls no lower
constexpr double kTurnedAwayShare = 0.1; // share of a trial's reported picks that full hosts may turn away
constexpr double kMinOwnFailures = 2; // in a large fleet some router has one by chance
constexpr double kFailingMethodShare = 0.5; // failure share of a method that is tested for
constexpr double kPriorPicks = 10; // picks that the prior of a method's failure share counts for
constexpr double kMethodFailureFloor = 0.02; // failure share of any method that may be chance
constexpr double kMethodRollBackLogOdds = 6; // that the build fails one method
constexpr double kUncomparedFailureShare = 0.25; // that hosts may cause where no earlier pick compares
constexpr double kLatencyDeviation = 3; // over the root of the sample size: what chance adds to a log latency
constexpr double kFleetSlowdown = 2.3; // of all picks since the trial began
constexpr int kFleetSlowdownStage = 2; // from this stage on the trial carries enough to slow the fleet
constexpr double kTrialSlowdown = 1.5; // median latency over that of earlier builds
constexpr std::size_t kMinHostLatencies = 10; // for a host's median
constexpr std::size_t kMinEarlierLatencies = 20; // of a method at earlier builds, for comparison
constexpr double kColdKeySlowdown = 1.3; // allowance, as hosts of a new build have not served the keys before
constexpr double kFewHostsSlowdown = 0.8; // further allowance, divided by the number of the trial's hosts
constexpr Ticks kColdHostAge = 50000; // latencies of younger hosts are not compared
constexpr Ticks kEvidenceLifetime = 80000; // older samples do not show a build that fails with age
constexpr double kLatencyLoadExponent = 1.5; // latency grows with this power of the load
constexpr double kLatencyFailureFactor = 15; // rise in log latency per failure share of earlier builds
constexpr double kFlagRollBackLogOdds = 6.0; // plus the log of the routers, any of which may err
constexpr double kWrongAnswerShare = 0.06; // share of wrong answers that is tested for
constexpr double kFlagPriorAnswers = 250; // answers that the prior of the flag rate counts for
constexpr Ticks kSlowdownDuration = 10000; // for which a figure must stay above its limit

// Evidence for a vote to advance, or to hold.
constexpr double kHoldFailureShare = 0.10; // under a timer; above it the vote is to hold
constexpr int kMinHoldPicks = 10; // under a timer
constexpr int kMinAdvancePicks = 20; // in the present stage
constexpr double kAdvanceFailures = 1; // allowed in any sample
constexpr double kAdvanceFailureShare = 0.003; // allowed in a large sample, as machines fail
constexpr double kMinReleasePicks = 100; // of all routers, before the last vote to advance
constexpr double kMinAdvancePooledPicks = 4; // of all routers, before a vote in between
constexpr Ticks kAdvanceAfter = 30000; // in a stage; a router without failures then needs no full sample
constexpr double kFailureDoubt = 0.5; // part of the failure limit from which no vote advances
constexpr double kMethodDoubtLogOdds = 1; // from which no vote advances
constexpr double kSlowdownDoubt = 0.75; // part of the limit on the log slowdown from which no vote advances
constexpr double kFleetSlowdownDoubt = 0.5; // the same part for the slowdown of all picks
constexpr double kMinorityShare = 0.6; // largest share of the capacity at which earlier hosts are comparable
constexpr double kMaxYieldShare = 0.35; // of the RPCs drawn for the trial, for a vote to advance
constexpr double kReleaseWarmUp = 0.75; // that each host must have reached for the last vote
constexpr Ticks kReleaseVoteDelay = 10000; // for which the last vote must have been due, as doubts may follow
constexpr Ticks kReleaseWatch = 100000; // after a release, for which it is still judged

// Sending of votes and summaries.
constexpr Ticks kVoteRenewal = 40000; // until a counted vote is sent again
constexpr Ticks kVoteRetry = 3000; // until a vote that was not counted is sent again
constexpr double kVoteRetryTurns = 0.5; // of the time in which each router can vote once, between retries
constexpr Ticks kSummaryRound = 10000; // in which each router sends its summary to the collectors
constexpr int kSummaryCollectors = 2; // peers that add up the summaries of a round, as one may be down

// --- Constants of routing, host health and pushback ---

// Fleet and traffic.
constexpr int kSmallFleet = 3; // routers; with more, the load cannot be known from a router's own traffic
constexpr Ticks kUpdateInterval = 1000; // of the periodic update
constexpr double kTrafficSmoothing = 0.06; // of traffic rates, by update
constexpr double kPeakDecay = 0.985; // of the traffic peak, by update
constexpr double kMaximumDecay = 0.997; // of other maxima, by update
constexpr double kWarmRateSmoothing = 0.02; // of the pick rate at warm hosts, by update
constexpr double kRetriedShare = 0.6; // of the RPCs turned away, that come again

// Split of the traffic between the trial and earlier builds.
constexpr double kFullerRatio = 1.5; // of the loads of the two sides, for one to be clearly fuller
constexpr double kCopyShare = 0.2; // of the trial's share: copies in addition to real traffic

// Health and load of hosts.
constexpr double kHostSmoothing = 0.1; // of a host's figures, by pick
constexpr double kSideLoadSmoothing = 0.05; // by update; low, as one pick at a single host must not decide
constexpr double kPeerLoadSmoothing = 0.3; // by update
constexpr double kConnectionLossLimit = 0.05; // share of earlier picks above which the network is at fault
constexpr double kConnectionLossSmoothing = 0.004; // by pick
constexpr double kConnectFailureSmoothing = 0.2; // by new connection
constexpr double kUnconnectedCost = 4; // of a host without an open connection, times the connect failure rate
constexpr double kFailureHalfLife = 30000.0; // ticks
constexpr double kFailureCost = 3; // of a host, for each failure in a row
constexpr double kSilenceLatencies = 4.0; // baseline latencies without any answer until a host is silent
constexpr Ticks kReportLifetime = 15000; // of a load report
constexpr double kReportWeight = 0.5; // of a load report against the estimate, as reports come late

// Choice of a host.
constexpr std::size_t kMinCandidates = 3; // hosts that are compared for a pick in a large fleet
constexpr Ticks kHostPickInterval = 20000; // largest interval between a router's picks at a host it uses
constexpr std::size_t kMinReach = 8; // hosts that a router uses at least
constexpr double kMaxRelativeWork = 6; // and its inverse bound work hints, which are rough
constexpr int kRingPoints = 4; // points of a host on the ring of keys, which even out the hosts' parts
constexpr double kPreferredHostCost = 0.75; // of the host that is likely to have served the key
constexpr double kReplacedHostCost = 3.0; // of a host of an earlier build after a release

// Further picks of an RPC.
constexpr double kRetryBudgetShare = 0.12; // further picks that each RPC adds to the budget
constexpr double kMaxRetryBudget = 30; // picks
constexpr double kRerouteLatencies = 3.0; // baseline latencies until another host is tried
constexpr double kMinRerouteShare = 0.3; // of the soft deadline, until another host is tried
constexpr double kMaxRerouteShare = 0.6; // of the soft deadline, until another host is tried

// Pushback.
constexpr Ticks kLatenessWindow = 5000; // over which lateness is averaged
constexpr double kMaxLateness = 1.5; // soft deadlines; a later answer counts as this late
constexpr double kSparseSmoothing = 0.3; // of lateness in a large fleet, where each router has few answers
constexpr double kHopelessLatenessRatio = 0.6; // of the least lateness over that of a method without hope
constexpr double kHopelessProbeShare = 0.15; // of such a method's RPCs that are sent nevertheless
constexpr double kShedNoneWait = 0.8; // expected wait, in soft deadlines, up to which none is pushed back
constexpr double kShedAllWait = 1.6; // expected wait, in soft deadlines, from which all are pushed back
constexpr double kSpareWait = 0.4; // expected wait, in soft deadlines, up to which further picks are sent
constexpr double kHighLateness = 0.55; // latency in soft deadlines above which the open-pick limit falls
constexpr double kLowLateness = 0.4; // latency in soft deadlines below which the open-pick limit rises
constexpr double kMinOpenPickLimit = 0.6; // in a large fleet; below one, a pick is sent by chance
constexpr double kLimitDecrease = 0.92; // factor by update
constexpr double kLimitIncrease = 1.04; // factor by update
constexpr double kOpenPickShare = 0.5; // of max_open_picks, for first picks
constexpr double kMinUtilityShare = 0.8; // of a limit, for the RPCs of least utility
constexpr double kOverQuotaShare = 0.5; // of a limit, for RPCs over their tenant's quota
constexpr double kBestRateSmoothing = 0.2; // of a rise in the best answer rate, by update
constexpr Ticks kBestRateWarmUp = 20000; // after the first RPC, until the best answer rate is known
constexpr double kColdSafety = 0.8; // of the load that overloads a cold host
constexpr double kColdFloor = 2; // picks that all routers together may send to a cold host
constexpr Ticks kRetryAfter = 3000; // least advice when to retry

// Bounds on state, and requests for the host list.
constexpr std::size_t kMaxBuildsWithShares = 256; // beyond it the shares of the lowest builds are dropped
constexpr Ticks kListRetryWait = 8000; // least wait after a failed request
constexpr Ticks kListRequestSpacing = 300; // for each router of the fleet
constexpr Ticks kMaxListRequestSpread = 30000;
constexpr Ticks kListRequestTimeout = 22000; // after which an unanswered request has failed
constexpr double kListRetryGrowth = 1.5; // factor on the wait, from the third failure on
constexpr double kMaxListRetryGrowth = 4; // largest product of these factors

// Takes the decisions of one router instance.
class Decider final : public Instance {
  public:
    Decider(DeploymentConfig given, std::uint64_t seed) : Instance(std::move(given), seed) {
        retry_budget = kMaxRetryBudget / 2;
    }

    bool is_large_fleet() const { return config.instances > kSmallFleet; }

    // Brings the weights of the hosts and the pools up to date.
    void weigh_hosts() {
        if (!pools_outdated) return;
        healthy_weight[0] = healthy_weight[1] = 0;
        for (Host &host : hosts) {
            const auto kind = kind_excess_latency.find(host.entry.kind);
            host.weight = rating(host) * warm_up_share(host);
            if (kind != kind_excess_latency.end()) host.weight *= std::exp(-kind->second);
            if (usable(host) && is_healthy(host)) healthy_weight[on_trial(host.entry.build)] += host.weight;
        }
        rebuild_pools(now - kReportLifetime, kRingPoints, kPeerLoadSmoothing, kSideLoadSmoothing);
    }

    double decayed(double figure, Ticks since) const {
        return figure * std::exp2(double(since - now) / kFailureHalfLife);
    }
    double failure_rate(const Host &host) const { return decayed(host.failure_rate, host.failure_rate_at); }
    double failure_penalty(const Host &host) const {
        return kFailureCost * decayed(host.consecutive_failures, host.last_failure_at);
    }
    bool is_healthy(const Host &host) const {
        return failure_rate(host) < kRollBackFailureShare && failure_penalty(host) < kFailureCost;
    }

    // Returns whether the condition has held for longer than `duration`. A figure that exceeds its limit only
    // for a moment, as queue lengths jump, is no reason for a verdict.
    bool has_lasted(bool condition, Ticks &since, Ticks duration) const {
        since = !condition ? -1 : since < 0 ? now : since;
        return condition && now - since > duration;
    }

    // Returns the RPC's work relative to the mean, as far as its hint is trusted.
    double bounded_work(const Rpc &rpc) const {
        return std::clamp(rpc.relative_work, 1 / kMaxRelativeWork, kMaxRelativeWork);
    }
    // Returns the method's usual latency in ticks, or an estimate until there have been answers.
    double baseline_latency(int method) const {
        return baseline_count[method] > 0 ? std::exp(baseline_log_latency[method])
                                          : kMinRerouteShare * config.methods[method].soft_deadline;
    }

    // Enqueues the RPCs whose timers have expired and, once per interval, updates all moving figures.
    void set_time(Ticks at) override {
        now = std::max(now, at);
        for (; !timers.empty() && timers.top().first <= now; timers.pop())
            if (const auto found = rpcs.find(timers.top().second); found != rpcs.end())
                enqueue(found->second);
        if (wake_at <= now) wake_at = -1;
        if (now < next_update_at) return;
        if (next_update_at == 0)
            list_request_at = now + static_cast<Ticks>(list_request_spread() * rng.uniform());
        next_update_at = now + kUpdateInterval;
        pools_outdated = true;
        count_traffic(kTrafficSmoothing, kRetriedShare);
        expire_evidence(now - kEvidenceLifetime, kMinReleasePicks);
        expire_arrivals();
        expire_cell_events();
        while (cell_shares.size() > kMaxBuildsWithShares) cell_shares.erase(cell_shares.begin());
        measure_fleet(kColdHostAge);
        const double warm = warm_rating();
        side_rating = std::max({side_rating * kMaximumDecay, total_rating(false), total_rating(true)});
        // The rate that warm hosts serve; until one has served a pick, the demand over the hosts of one side.
        // Peaks of low traffic are chance, and during a collapse most RPCs are retries. Taking either for the
        // capacity of hosts would make a fleet overload one cold host after the other.
        if (warm_rate_samples <= 0 && warm_successes.empty() && side_rating > 0)
            warm_pick_rate = std::max(0.0, demand_rate) / side_rating;
        if ((warm_rate_samples > 0 || !warm_successes.empty()) && warm > 0)
            warm_pick_rate += (warm_successes.size() / warm - warm_pick_rate) *
                              std::max(kWarmRateSmoothing, 1.0 / ++warm_rate_samples);
        current_figures.peak_traffic = std::max(first_try_rate, current_figures.peak_traffic * kPeakDecay);
        const PickCounts earlier = count_earlier();
        if (earlier.picks >= kMinRollBackPicks && !(watching_release() && released_at >= 0))
            earlier_failure_share = earlier.failure_share();
        best_answer_rate =
            std::max(best_answer_rate * kMaximumDecay,
                     best_answer_rate + (recent_answers.size() - best_answer_rate) * kBestRateSmoothing);
        expected_wait = best_answer_rate > 0 && now > first_rpc_at + kBestRateWarmUp
                            ? pending_rpcs / best_answer_rate * 10000
                            : 0;
        adjust_open_pick_limit();
    }

    // Adjusts the limit on open picks to how late answers come. This ends a congestion in which every answer
    // comes too late, whatever its cause: bursts, lost hosts, retries, slow builds. It may push back too much
    // when one host is slow. Congestion makes every method and every tenant late, so the least late one
    // decides; a single late one has a cause of its own.
    void adjust_open_pick_limit() {
        const double late = least_lateness(lateness.size(), now - kLatenessWindow * 4);
        const double least = is_large_fleet() ? kMinOpenPickLimit : 4;
        if (late > kHighLateness) {
            if (open_pick_limit <= 0)
                add_log_line("open-pick limit on: %.0f open, lateness %.2f, threshold %.2f", total_open_picks,
                             late, kHighLateness);
            open_pick_limit =
                std::max(least, (open_pick_limit > 0 ? std::min<double>(open_pick_limit, total_open_picks)
                                                     : total_open_picks) *
                                    kLimitDecrease);
        } else if (open_pick_limit > 0 && late < kLowLateness) {
            if (total_open_picks > open_pick_limit * 0.7) open_pick_limit *= kLimitIncrease;
            if (total_open_picks > open_pick_limit * 0.3 || late > kLowLateness * 0.6) return;
            add_log_line("open-pick limit off: %.0f open of %.0f, lateness %.2f", total_open_picks,
                         open_pick_limit, late);
            open_pick_limit = 0;
        }
    }

    // A time-out before the soft deadline says nothing about the host or the build, since the client allowed
    // too little time. Otherwise clients with short deadlines would roll good builds back and keep good hosts
    // idle. A stalled host is detected a little later for it.
    bool had_short_deadline(const Rpc &rpc, const Pick &pick) const {
        return pick.outcome == Outcome::timed_out && pick.duration < method_of(rpc).soft_deadline;
    }

    // Returns whether the pick counts as a failure of its host and build. During congestion time-outs are due
    // to the load, and where connections to earlier hosts are lost as well, lost connections are due to the
    // network. They are left out only then, so that neither hides a bad build nor idles healthy hosts.
    bool counts_against(const Rpc &rpc, const Pick &pick) const {
        const bool by_congestion = open_pick_limit > 0 && pick.outcome == Outcome::timed_out;
        const bool by_network =
            connection_loss_rate > kConnectionLossLimit && pick.outcome == Outcome::connection_lost;
        return is_failure(pick.outcome) && !by_congestion && !by_network && !had_short_deadline(rpc, pick);
    }

    // Updates the figures of the host, the method and the build with a pick that has ended.
    void record_outcome(const Rpc &rpc, const Pick &pick) {
        Host &host = hosts[pick.host];
        const int method = rpc.arrival.method;
        const bool served = pick.outcome == Outcome::ok;
        const bool failed = counts_against(rpc, pick);
        const bool refused = pick.outcome == Outcome::connect_failed || pick.outcome == Outcome::host_busy;
        if (failed || refused) {
            ++host.consecutive_failures;
            host.last_failure_at = now;
        }
        const bool connect_failed = pick.outcome == Outcome::connect_failed;
        if (connect_failed || (pick.new_connection && served))
            connect_failure_rate += (connect_failed - connect_failure_rate) * kConnectFailureSmoothing;
        host.connected_until =
            connect_failed || pick.outcome == Outcome::connection_lost ? -1 : now + config.keepalive;
        if (served) host.consecutive_failures = 0;
        if (pick.outcome != Outcome::cancelled && pick.outcome != Outcome::timed_out) host.silent_since = now;
        if (served || failed) {
            host.outcomes = 1 + decayed(host.outcomes, std::exchange(host.outcomes_at, now));
            host.failure_rate = failure_rate(host) + (failed - failure_rate(host)) * kHostSmoothing;
            host.failure_rate_at = now;
        }
        const bool timed = served || (pick.outcome == Outcome::timed_out && !had_short_deadline(rpc, pick));
        const double excess = excess_latency_of(pick, method, bounded_work(rpc));
        const bool comparable = timed && baseline_count[method] > 0;
        if (comparable) host.excess_latency += (excess - host.excess_latency) * kHostSmoothing;
        const double ratio = std::min(kMaxLateness, double(pick.duration) / method_of(rpc).soft_deadline);
        if (timed)
            record_lateness(rpc, ratio, kLatenessWindow,
                            is_large_fleet() ? kSparseSmoothing : kHostSmoothing);
        if (served && warm_up_share(host) >= 1) warm_successes.push_back(now);
        build_state(pick.build).successes[method] += served;
        build_state(pick.build).own_picks.add(1, proves_not_executed(pick.outcome));
        if (pick.on_trial) {
            if (!pick.copy && (served || failed)) add_sample(rpc, pick, failed, excess);
            return;
        }
        if (served && !trial_running()) {
            const double above_method_baseline = excess + kind_excess_latency[host.entry.kind];
            baseline_log_latency[method] +=
                above_method_baseline * std::max(1.0 / ++baseline_count[method], 0.004);
            if (baseline_count[method] > 20) kind_excess_latency[host.entry.kind] += excess * 0.01;
        }
        if (served || is_failure(pick.outcome))
            connection_loss_rate += ((pick.outcome == Outcome::connection_lost) - connection_loss_rate) *
                                    kConnectionLossSmoothing;
        if (!served && !failed) return;
        earlier_samples.push_back({now, method, pick.host, failed, comparable, excess});
        if (pick.build == rollout_state.build && watching_release())
            add_sample(rpc, pick, failed && pick.outcome != Outcome::timed_out, excess);
    }

    // Adds a pick to the evidence on its build.
    void add_sample(const Rpc &rpc, const Pick &pick, bool failed, double excess) {
        // A cold host is slow with any build, and in a large fleet some router's pick times out now and then
        // with any build.
        if (failed && (!pick.host_is_warm || is_large_fleet()) && pick.outcome == Outcome::timed_out) return;
        std::deque<Sample> &samples = build_state(pick.build).samples;
        const bool timed = pick.host_is_warm && baseline_count[rpc.arrival.method] > 0;
        samples.push_back({now, rpc.arrival.method, pick.host, failed, timed, excess});
        while (samples.size() > 400 || samples.front().at < now - kEvidenceLifetime) samples.pop_front();
    }

    // Counts a copy once its own outcome and that of the client's pick are known. A copy that was cancelled,
    // or that failed like the client's pick, is no evidence.
    void add_pair_sample(Rpc &rpc) {
        const Pick *copy = nullptr;
        bool served = false;
        for (const Pick &pick : rpc.picks) {
            if (pick.copy) copy = &pick;
            served = served || (!pick.copy && !pick.open && pick.outcome == Outcome::ok);
        }
        if (rpc.pair_counted || !copy || copy->open) return;
        rpc.pair_counted = copy->outcome == Outcome::ok || (served && counts_against(rpc, *copy));
        if (!rpc.pair_counted) return;
        add_sample(rpc, *copy, copy->outcome != Outcome::ok,
                   excess_latency_of(*copy, rpc.arrival.method, bounded_work(rpc)));
    }

    void pick_ended(const std::string &id, int number, Outcome outcome, Ticks duration, bool rpc_complete,
                    const std::vector<double> &report) override {
        Rpc *found = close_pick(id, number, outcome, duration);
        if (!found) return;
        Rpc &rpc = *found;
        Pick &pick = rpc.picks[number];
        record_load_report(hosts[pick.host], report);
        record_outcome(rpc, pick);
        if (outcome == Outcome::ok && !rpc.done) {
            build_state(pick.build).answers += 1;
            recent_answers.push_back(now);
        }
        settle_key(rpc, pick);
        if (rpc_complete || outcome == Outcome::ok) settle(rpc);
        add_pair_sample(rpc);
        enqueue(rpc);
    }

    // --- Guards, which every pick and pushback has to pass ---

    // Rule 2: returns whether the RPC may be sent to this host after the picks that it has had.
    bool may_repeat(const Rpc &rpc, const Host &target) const {
        const Method &method = method_of(rpc);
        return method.repeat_policy == RepeatPolicy::idempotent ||
               std::all_of(rpc.picks.begin(), rpc.picks.end(), [&](const Pick &pick) {
                   if (!pick.open && proves_not_executed(pick.outcome)) return true;
                   if (method.repeat_policy == RepeatPolicy::non_idempotent) return false;
                   return now < pick.sent_at + method.token_window &&
                          in_same_scope(method.token_scope, hosts[pick.host].entry, target.entry);
               });
    }

    // Returns whether the client may send the RPC again, as a pushback invites it to.
    bool may_push_back(const Rpc &rpc) const {
        const Method &method = method_of(rpc);
        if (method.repeat_policy == RepeatPolicy::idempotent) return true;
        if (method.repeat_policy == RepeatPolicy::tokened && method.token_scope == TokenScope::all)
            return true;
        return none_executed(rpc);
    }

    // Rule 5: returns whether the exposure cap allows one more pick of this method at this build.
    bool has_trial_room(int number, int method) {
        const int stage = number == rollout_state.build ? rollout_state.stage : 0;
        const bool guarded = stage < config.rollout.guarded_stages;
        if (cap(number) <= 0 || (guarded && config.methods[method].repeat_policy != RepeatPolicy::idempotent))
            return false;
        const auto [arrivals, sent] = exposure(number, method);
        return sent + 1 <= config.rollout.picks_above_cap + cap(number) * arrivals;
    }

    // Rule 5, by cell: returns whether the release plan's share of this cell's RPCs allows one more pick. The
    // share narrows the exposure cap and never widens it. It keeps a customer or a zone from carrying more
    // than its stage of the release plan.
    bool has_cell_room(const Rpc &rpc, int number) {
        if (config.default_cell_share >= 1) return true;
        expire_cell_events();
        const int cell = rpc.arrival.cell;
        if (cell_room.build == number && cell_room.cell == cell) return cell_room.has_room;
        const double share = share_in_cell(number, cell);
        const auto [arrivals, sent] = cell_exposure(number, cell);
        cell_room = {cell, number, share >= 1 || sent + 1 <= share * arrivals};
        return cell_room.has_room;
    }

    // Rule 4: returns whether a cold host may have one more pick. Each router may send its part of the load
    // that the host can take, measured by what warm hosts of its rating serve; all picks since the host's
    // start count. Where that part is less than one pick, a random draw determines which routers may send.
    bool has_cold_room(Host &host) const {
        const double warm = warm_up_share(host);
        if (warm >= 1) return true;
        drop_before(host.recent_picks, std::max(now - config.overload_window, host.entry.started));
        const double capacity = warm * warm_pick_rate * rating(host) * config.overload_window / 10000.0;
        const double allowed = kColdSafety * config.overload_multiple * capacity;
        const auto sent = static_cast<double>(host.recent_picks.size());
        return sent + 1 <= std::max(kColdFloor / config.instances, allowed) + host.cold_draw;
    }

    // Rule 5: a key that a newer build has, or may have, answered is not sent to a lower build until the
    // newer one is rolled back. This includes builds that no rollout update has named yet, and a released
    // build while the list still shows lower ones.
    bool key_allows(const Rpc &rpc, int number) const {
        if (!config.rollout.sticky_keys || rpc.arrival.key.empty()) return true;
        return !held_by_newer(rpc.arrival.key, number, rpc.arrival.cell);
    }

    // Rule 3: after its lease has expired the list allows no host, as any may have been drained without
    // notice. While discovery is presumed to be unavailable, hosts of the retained build stay in use that
    // have no recent failure: hosts of older builds are drained after a release, and those of the trial when
    // it is withdrawn. So an outage of discovery does not end all service. A pick may still go to a host that
    // was drained for another reason, if discovery is back but too loaded to report it. A build that is
    // retained because its successor was called back is used only after a list has shown which of its hosts
    // the release left; until then an RPC for which there is no other host is pushed back at once.
    bool list_allows(const Host &host) const {
        if (list_is_valid()) return true;
        return discovery_outage() && host.consecutive_failures == 0 && host.entry.build == retained_build &&
               host.entry.build >= replaced_before;
    }

    bool eligible(const Rpc &rpc, Host &host, bool trial) {
        return list_allows(host) && usable(host) && on_trial(host.entry.build) == trial &&
               key_allows(rpc, host.entry.build) && may_repeat(rpc, host) && has_cold_room(host) &&
               has_cell_room(rpc, host.entry.build) &&
               (!trial || has_trial_room(host.entry.build, rpc.arrival.method));
    }

    // Returns whether the host has open picks and has not answered for several usual latencies.
    bool is_silent(const Host &host, int method) const {
        return host.open_picks > 0 && now - host.silent_since > kSilenceLatencies * baseline_latency(method);
    }

    // Returns the RPCs of other routers at a host: its report, mixed with the average for its weight. A
    // single router knows the whole load from its own open picks.
    double load_of_others(const Host &host, const Pool &pool) const {
        const double average = pool.peer_load * host.weight;
        if (host.peer_load_at < 0 || now - host.peer_load_at > kReportLifetime) return average;
        const double reported = (1 - 1.0 / config.instances) * host.peer_load;
        return average + kReportWeight * (reported - average);
    }

    // Returns the cost of a pick at the host; the cheapest host is chosen.
    double cost(const Rpc &rpc, const Host &host) {
        const double load = 1 + host.open_picks + load_of_others(host, pools[on_trial(host.entry.build)]);
        double cost = load / host.weight;
        cost *= std::exp(std::clamp(host.excess_latency - current_figures.median_excess, 0.0, 3.0));
        // Large RPCs prefer fast machines and small RPCs leave these to them, because the work of a large RPC
        // alone can exceed its soft deadline on a slow machine.
        const auto kind = kind_excess_latency.find(host.entry.kind);
        if (kind != kind_excess_latency.end()) cost *= std::exp((bounded_work(rpc) - 1) * kind->second);
        const double success_rate = std::max(0.05, 1 - failure_rate(host));
        // A host that failed several picks in a row is avoided for longer each time. Otherwise fast failures
        // would attract picks, and dead or full hosts would use up the picks of an RPC. It also keeps a
        // router at hosts that it has connections to.
        cost *= 1 + failure_penalty(host);
        cost /= std::pow(success_rate, method_of(rpc).repeat_policy == RepeatPolicy::idempotent ? 2 : 4);
        if (is_silent(host, rpc.arrival.method)) cost *= 50;
        // Where new connections often fail, hosts with an open connection are preferred. Otherwise a fleet
        // would use up the few connections that its hosts accept, and RPCs would wait for handshakes that
        // time out.
        if (is_large_fleet() && host.connected_until < now)
            cost *= 1 + kUnconnectedCost * connect_failure_rate;
        if (watching_release() && host.entry.build < rollout_state.build) cost *= kReplacedHostCost;
        return cost * (0.9 + 0.2 * rng.uniform());
    }

    // Returns how many hosts of the pool this router uses. With little traffic it uses only as many as it can
    // send picks to often, the first in its own order; others take the place of those that drain or fail.
    // Otherwise each pick of a large fleet would open a connection, and no router would know any host's
    // state.
    std::size_t reach(const Pool &pool) const {
        if (!is_large_fleet()) return pool.hosts.size();
        const double part =
            pool.total_weight() / std::max(1e-9, pools[0].total_weight() + pools[1].total_weight());
        const double often_picked = first_try_rate * kHostPickInterval / 10000 * part;
        return std::min(pool.hosts.size(), std::max(kMinReach, static_cast<std::size_t>(often_picked)));
    }

    // Returns the host that is likely to have served the key recently; below 0 if there is none. In a large
    // fleet it is one of the hosts that this router uses: a host shared by all routers, each of which sees
    // little of its load, would be overloaded.
    int preferred_host(const Rpc &rpc, const Pool &pool) const {
        if (!config.rollout.key_affinity || rpc.arrival.key.empty()) return -1;
        if (!is_large_fleet()) return pool.host_for_key(salted_hash(rpc.arrival.key, 3));
        int found = -1;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < reach(pool); ++i) {
            const std::uint64_t draw =
                salted_hash(rpc.arrival.key, salted_hash(hosts[pool.hosts[i]].entry.id, 3));
            if (found < 0 || draw > highest) {
                found = pool.hosts[i];
                highest = draw;
            }
        }
        return found;
    }

    // Returns the cheapest eligible host; below 0 if there is none. Hosts that the RPC has not used come
    // first. A small fleet compares all hosts, a large one a few that are drawn by weight: routers that see
    // little of the load, and that late, would otherwise all pick the same host.
    int choose_host(const Rpc &rpc, bool trial) {
        weigh_hosts();
        const Pool &pool = pools[trial];
        if (pool.hosts.empty()) return -1;
        int best = -1, best_used = -1;
        double least = 0, least_used = 0;
        const int preferred = preferred_host(rpc, pool);
        const auto consider = [&](int i) {
            if (!eligible(rpc, hosts[i], trial)) return;
            const double price = cost(rpc, hosts[i]) * (i == preferred ? kPreferredHostCost : 1);
            if (has_used(rpc, i)) {
                if (best_used < 0 || price < least_used) {
                    best_used = i;
                    least_used = price;
                }
            } else if (best < 0 || price < least) {
                best = i;
                least = price;
            }
        };
        const std::size_t candidates = std::max(kMinCandidates, pool.hosts.size() * 2 / config.instances);
        if (candidates < pool.hosts.size()) {
            if (preferred >= 0) consider(preferred);
            for (std::size_t i = 0; i < candidates; ++i) consider(pool.draw_host(rng.uniform(), reach(pool)));
        }
        if (best < 0 || hosts[best].consecutive_failures > 0)
            for (const int i : pool.hosts) consider(i);
        return best >= 0 ? best : best_used;
    }

    // --- Processing of RPCs ---

    // Returns the trial's share of the healthy capacity. Cold hosts count with their present capacity.
    double trial_capacity_share() const {
        const double capacity = healthy_weight[0] + (config.rollout.replaces_hosts ? healthy_weight[1] : 0);
        return capacity > 0 ? std::min(1.0, healthy_weight[1] / capacity) : 1;
    }

    // Returns the share of a method's RPCs that is drawn for the trial. It follows the stage and the trial's
    // capacity. Methods that are harder to repeat join in later stages.
    double trial_share(int method) {
        Build &build = build_state(rollout_state.build);
        int first = 1 + static_cast<int>(config.methods[method].repeat_policy);
        if (!config.second_copies && first == 1) first = 0;
        // With few stages every method joins in the last one at the latest. Otherwise a build that fails one
        // method alone could be released before it has received that method.
        first = std::min(first, static_cast<int>(config.rollout.stage_shares.size()) - 1);
        double share = 0;
        if (rollout_state.stage >= first) {
            const auto stage =
                std::min<std::size_t>(rollout_state.stage, config.rollout.stage_shares.size() - 1);
            share = std::min(config.rollout.stage_shares[stage], trial_capacity_share());
            // A method with side effects starts with a small share, because it has no copies that would show
            // a build which fails it alone.
            const double successes =
                build.successes[method] +
                (method < int(fleet_trial_counts.size()) ? fleet_trial_counts[method].succeeded() : 0);
            if (first > 1) share *= std::min(1.0, (successes + 3) / 15.0);
        }
        build.key_ranges[method] = std::max(build.key_ranges[method], share);
        return config.rollout.sticky_keys ? build.key_ranges[method] : share;
    }

    // Records a pick at the host and returns the decision to send it.
    Decision send_pick(Rpc &rpc, int target, bool copy) {
        Host &host = hosts[target];
        const bool trial = on_trial(host.entry.build);
        const Method &method = method_of(rpc);
        const bool host_is_warm = host.entry.started <= 0 || now - host.entry.started > kColdHostAge;
        retry_budget -= !rpc.picks.empty() && rpc.picks.back().outcome != Outcome::connect_failed;
        rpc.picks.push_back(
            {target, host.entry.build, now, trial, copy, host_is_warm, host.connected_until < now});
        hold_key(rpc, rpc.picks.back());
        if (host.open_picks++ == 0) host.silent_since = now;
        ++total_open_picks;
        host.recent_picks.push_back(now);
        drop_before(host.recent_picks, now - config.overload_window);
        if (trial) build_state(host.entry.build).recent_picks[rpc.arrival.method].push_back(now);
        if (config.default_cell_share < 1) record_cell_event(rpc.arrival.cell, host.entry.build);
        rpc.reroute_at = now + reroute_delay(rpc.arrival.method);
        if (method.repeat_policy != RepeatPolicy::non_idempotent)
            timers.emplace(rpc.reroute_at, rpc.arrival.id);
        const Ticks remaining = rpc.arrival.deadline - now;
        const Ticks timeout =
            std::max<Ticks>(1, copy ? std::min(remaining, method.soft_deadline * 2) : remaining);
        return {.action = Action::pick, .rpc = rpc.arrival.id, .host = host.entry.id, .duration = timeout};
    }

    // Returns the time after which a pick of the method may be tried at another host.
    Ticks reroute_delay(int method) const {
        const double soft_deadline = config.methods[method].soft_deadline;
        return std::clamp<double>(baseline_latency(method) * kRerouteLatencies,
                                  soft_deadline * kMinRerouteShare, soft_deadline * kMaxRerouteShare);
    }

    // Ends the RPC without an answer: it is pushed back if that is asked for and allowed, otherwise aborted.
    Decision reject(Rpc &rpc, bool push_back) {
        settle(rpc);
        ++turned_away;
        if (!push_back || !may_push_back(rpc)) return {.action = Action::abort, .rpc = rpc.arrival.id};
        const auto retry_after = static_cast<Ticks>(kRetryAfter * (1 + rng.uniform()));
        return {.action = Action::push_back,
                .rpc = rpc.arrival.id,
                .duration = std::min(config.max_retry_after, retry_after)};
    }

    // Returns the part of a limit that the RPC may use, by its utility and its tenant's quota.
    double utility_share(const Rpc &rpc) const {
        double highest = 1e-9;
        for (std::size_t i = 0; i < config.methods.size(); ++i) highest = std::max(highest, utility_rate(i));
        const double part =
            kMinUtilityShare + (1 - kMinUtilityShare) * utility_rate(rpc.arrival.method) / highest;
        return part * (rpc.over_quota ? kOverQuotaShare : 1);
    }

    // Returns whether the open picks have reached this part of the bound for first picks.
    bool is_full(double part) const {
        return total_open_picks >= kOpenPickShare * config.max_open_picks * part;
    }

    // A method that exceeds its soft deadline at every host while others do not gives next to no utility and
    // takes capacity from those. Most of its RPCs are pushed back; the rest shows when it recovers.
    bool is_hopeless(const Rpc &rpc) {
        const auto &[late, updated] = lateness[rpc.arrival.method];
        const double least = least_lateness(config.methods.size(), now - kLatenessWindow * 4);
        return late > 1 && updated > now - kLatenessWindow * 4 && least < late * kHopelessLatenessRatio &&
               rng.uniform() > kHopelessProbeShare;
    }

    // Returns whether to push the RPC back: over the limit on open picks, at the bound on open picks, or by
    // the expected wait, which is the pending RPCs over the best answer rate. RPCs of least utility for their
    // work go first, and tenants over their quota before all. This acts before congestion shows in answers,
    // and may push back at the beginning of a steep burst.
    bool should_push_back(const Rpc &rpc) {
        const double part = utility_share(rpc);
        const double wait = expected_wait / method_of(rpc).soft_deadline / part;
        return is_full(part) || is_hopeless(rpc) ||
               (open_pick_limit > 0 &&
                total_open_picks + rng.uniform() * is_large_fleet() >= open_pick_limit * part) ||
               rng.uniform() < (wait - kShedNoneWait) / (kShedAllWait - kShedNoneWait);
    }

    // Returns whether there is capacity for further picks of an RPC. During congestion they would only take
    // it from other RPCs.
    bool has_spare_capacity(const Rpc &rpc) const {
        return open_pick_limit <= 0 && expected_wait < method_of(rpc).soft_deadline * kSpareWait;
    }

    // Returns the utility of the method per unit of work.
    double utility_rate(std::size_t method) const {
        const double utility = config.methods[method].utility;
        return config.utility_per_work ? utility : utility / baseline_latency(static_cast<int>(method));
    }

    // Returns the next decision on the RPC; Action::none if it has to wait.
    Decision process(Rpc &rpc) {
        if (rpc.done) return cancel_open_picks(rpc);
        if (now >= rpc.arrival.deadline) return reject(rpc, false);
        if (rpc.picks.empty()) return first_pick(rpc);
        const bool picks_left = static_cast<int>(rpc.picks.size()) < config.max_picks;
        if (rpc.copy_requested) {
            rpc.copy_requested = false;
            const int target = picks_left && retry_budget >= 1 ? choose_host(rpc, true) : -1;
            if (target >= 0) return send_pick(rpc, target, true);
        }
        if (const auto count = count_open_picks(rpc); count > 0)
            return count == 1 && picks_left ? try_another_host(rpc) : Decision{};
        const bool within_budget =
            retry_budget >= 1 || (none_executed(rpc) && retry_budget > -kMaxRetryBudget);
        if (picks_left && within_budget &&
            rpc.arrival.deadline - now > baseline_latency(rpc.arrival.method) / 2) {
            int target = choose_host(rpc, false);
            if (target < 0) target = choose_host(rpc, true);
            if (target >= 0) return send_pick(rpc, target, false);
        }
        return reject(rpc, true);
    }

    // Decides between the trial, the earlier hosts and pushback, and whether to copy the RPC to the trial.
    Decision first_pick(Rpc &rpc) {
        const Method &method = method_of(rpc);
        const bool drawn = trial_running() && rpc.trial_position < trial_share(rpc.arrival.method);
        // In a small fleet, which knows the load, congestion of the earlier hosts does not hold back the
        // trial's part while the trial's hosts are clearly emptier. Otherwise an earlier release that begins
        // to fail late would keep its successor from receiving RPCs.
        const bool earlier_congested =
            drawn && !is_large_fleet() && open_pick_limit > 0 && pools[0].load > pools[1].load * kFullerRatio;
        if (!(earlier_congested && !is_full(1) && choose_host(rpc, true) >= 0) && should_push_back(rpc))
            return reject(rpc, true);
        const bool copyable = trial_running() && config.second_copies &&
                              method.repeat_policy == RepeatPolicy::idempotent && !rpc.arrival.retry &&
                              has_spare_capacity(rpc) && !method.streams_answer;
        const int trial_host = drawn || copyable ? choose_host(rpc, true) : -1;
        int target = choose_host(rpc, false);
        // An RPC drawn for the trial goes to the earlier hosts where the trial's are clearly fuller.
        // Otherwise moving the traffic would congest them while others have capacity: cold or lost hosts,
        // popular keys, a slow build. The trial is then judged by fewer picks.
        const bool fuller = trial_host >= 0 && target >= 0 && pools[1].load > pools[0].load * kFullerRatio;
        if (drawn && trial_host >= 0) yield_share += (fuller - yield_share) * 0.03;
        if (drawn && trial_host >= 0 && (!fuller || config.rollout.sticky_keys)) target = trial_host;
        // Where no earlier host is eligible the trial takes the RPC, whatever the stage, as far as its cap
        // allows.
        if (target < 0) target = choose_host(rpc, true);
        if (target < 0) return reject(rpc, true);
        // Copies are limited by what the trial's hosts can take in addition to real traffic. Otherwise
        // copies, also of retries, could overload them, above all cold ones, which would count as failures.
        const double copy_share = trial_capacity_share() * (rollout_state.stage > 0 ? kCopyShare : 1);
        rpc.copy_requested =
            copyable && trial_host >= 0 && !fuller && target != trial_host && rng.uniform() < copy_share;
        return send_pick(rpc, target, false);
    }

    // Tries another host for an RPC at a host that is silent or far slower than the median: in addition where
    // second copies are allowed, otherwise in its place. This keeps silent, stalled and slow hosts from
    // holding RPCs past their soft deadline. It adds load when many hosts stall at once, which the budget
    // bounds.
    Decision try_another_host(Rpc &rpc) {
        const Method &method = method_of(rpc);
        const bool in_addition = config.second_copies && method.repeat_policy == RepeatPolicy::idempotent;
        if (method.repeat_policy == RepeatPolicy::non_idempotent || method.streams_answer ||
            now < rpc.reroute_at)
            return {};
        const auto at =
            std::find_if(rpc.picks.begin(), rpc.picks.end(), [](auto &pick) { return pick.open; });
        const Host &host = hosts[at->host];
        const bool slow = is_silent(host, rpc.arrival.method) ||
                          host.excess_latency - current_figures.median_excess > std::log(kTroubleSlowdown);
        const int target = slow && !at->cancelled && retry_budget >= 1 && has_spare_capacity(rpc)
                               ? choose_host(rpc, false)
                               : -1;
        if (target < 0 || has_used(rpc, target) || (!in_addition && !config.may_cancel)) {
            rpc.reroute_at = now + reroute_delay(rpc.arrival.method) / 2;
            timers.emplace(rpc.reroute_at, rpc.arrival.id);
            return {};
        }
        if (in_addition) return send_pick(rpc, target, false);
        at->cancelled = true;
        return {.action = Action::cancel,
                .rpc = rpc.arrival.id,
                .pick = static_cast<int>(at - rpc.picks.begin())};
    }

    // Cancels the remaining picks of an RPC that is done. A copy continues, as its outcome is evidence,
    // unless open picks are limited.
    Decision cancel_open_picks(Rpc &rpc) {
        for (Pick &pick : rpc.picks) {
            if (!pick.open || pick.cancelled || (pick.copy && open_pick_limit <= 0) || !config.may_cancel)
                continue;
            pick.cancelled = true;
            return {.action = Action::cancel,
                    .rpc = rpc.arrival.id,
                    .pick = static_cast<int>(&pick - rpc.picks.data())};
        }
        return {};
    }

    // --- Votes ---

    // Returns the evidence from this router's own picks.
    Evidence own_evidence(const Build &build) const {
        Evidence own =
            collect_own_evidence(build, now - kEvidenceLifetime, now - kEvidenceLifetime / 2,
                                 kMinEarlierLatencies, kMinHostLatencies, baseline_figures.median_excess);
        own.baseline_failure_share = earlier_failure_share;
        if (own.host_medians.empty() || trial_capacity_share() > kMinorityShare) return own;
        // A slow build is slow on most hosts, so the median host decides, with a higher limit for few hosts.
        // Otherwise a noisy neighbour or a weaker machine under the trial would cause a vote to roll back. A
        // build that is only slightly slow is found later.
        own.slowdown = own.host_medians[(own.host_medians.size() - 1) / 2];
        own.slowdown_limit = slowdown_limit(static_cast<double>(own.host_medians.size()));
        return own;
    }

    // Returns the limit on the log slowdown of a trial on so many hosts.
    double slowdown_limit(double timed_hosts) const {
        return std::log(kTrialSlowdown * (config.rollout.key_affinity ? kColdKeySlowdown : 1) *
                        (1 + kFewHostsSlowdown / timed_hosts));
    }

    // Returns the evidence from all routers, from the platform stats or else from the peers' summaries. It
    // finds builds that no single router has enough picks to find. Platform stats come late, and neither
    // source tells which hosts failed.
    Evidence fleet_evidence() {
        Evidence fleet =
            compare_fleet(pooled_summary(), kMinRollBackPicks, kUpdateInterval, now - kEvidenceLifetime / 2);
        // Where the trial carries most of the traffic, the few picks at the earlier hosts, which are nearly
        // idle by then, are no measure for its latency.
        const bool comparable = config.rollout.replaces_hosts || trial_capacity_share() <= kMinorityShare;
        if (fleet.timed < kMinRollBackPicks || open_pick_limit > 0 || !comparable) fleet.slowdown = 0;
        // Platform stats count picks that no host executed as failures; this router's own picks tell how many
        // those are.
        if (!platform_stats.empty())
            fleet.baseline_failure_share += build_state(rollout_state.build).own_picks.failure_share();
        const double by_chance = kLatencyDeviation / std::sqrt(std::max(1.0, fleet.timed));
        fleet.slowdown_limit = slowdown_limit(trial_host_count()) + by_chance;
        return fleet;
    }

    // Returns the sum of the summaries. Each router sends its summary to a few collectors, which are drawn
    // anew each round in the same way by all routers, and these send the sum to all. So the number of
    // messages does not grow with the square of the routers, and summaries arrive within the stage.
    TrialSummary pooled_summary() {
        return pool_summaries(now - 5 * kSummaryRound / 2, own_summary(now - kEvidenceLifetime));
    }

    // Returns the next summary to send: in each round one sum if this router is a collector, and one summary
    // to each collector.
    Decision send_summary() {
        if (!config.exchanges_summaries || config.ordinal < 0 || !(trial_running() || recently_released()))
            return {};
        const Ticks round = (now - stage_began_at) / kSummaryRound;
        if (round != std::exchange(summary_round, round)) {
            summaries_left = kSummaryCollectors;
            next_summary_at = now + static_cast<Ticks>(kSummaryRound / 2 * rng.uniform());
            for (int which = 0; which < kSummaryCollectors; ++which)
                if (draw_peer((round - 1) * kSummaryCollectors + which) == config.ordinal)
                    return {.action = Action::send_summary, .text = pooled_summary().encode()};
        }
        while (now >= next_summary_at && summaries_left > 0)
            if (const int peer = draw_peer(round * kSummaryCollectors + --summaries_left);
                peer != config.ordinal)
                return {.action = Action::send_summary,
                        .text = own_summary(now - kEvidenceLifetime).encode(),
                        .peer = peer};
        return {};
    }

    bool recently_released() const {
        return watching_release() && released_at >= 0 && now - released_at < kReleaseWatch;
    }

    double trial_host_count() const { return std::max<std::size_t>(1, pools[trial_running()].hosts.size()); }

    // Returns whether too few hosts failed picks of this router. In a large fleet some router meets several
    // bad hosts by chance, and must not roll a good build back for all. So its own failures count only where
    // they are on several hosts, on more the larger the fleet is.
    bool strikes_few_hosts(const Evidence &own) const {
        const long failing_hosts = own.failing_hosts();
        return is_large_fleet() && failing_hosts < kMinRollBackFailures + std::log10(config.instances) &&
               failing_hosts < static_cast<long>(own.by_host.size());
    }

    // Returns whether the host has had enough recent outcomes for its figures to be meaningful. A router of a
    // large fleet, which sends a host a pick now and then, must not take one slow answer for trouble.
    bool has_enough_outcomes(const Host &host) const {
        return decayed(host.outcomes, host.outcomes_at) >= kMinHostOutcomes;
    }
    bool in_trouble(const Host &host) const {
        return failure_rate(host) > kTroubleFailureRate || failure_penalty(host) > 1 ||
               host.excess_latency - current_figures.median_excess > std::log(kTroubleSlowdown);
    }

    // Returns the probability that trouble which strikes hosts at random has struck the trial's oldest hosts,
    // all up to the first that is not in trouble. This finds builds that fail with age or load, which routing
    // hides as it turns away from their hosts.
    double random_trouble_probability() const {
        std::vector<std::pair<Ticks, bool>> trial;
        double troubled = 0, all = 0;
        for (const Host &host : hosts) {
            if (!usable(host) || now - host.entry.started < kColdHostAge || !has_enough_outcomes(host))
                continue;
            ++all;
            troubled += in_trouble(host);
            if (on_trial(host.entry.build)) trial.emplace_back(host.entry.started, in_trouble(host));
        }
        return probability_of_oldest(std::move(trial), troubled, all);
    }

    // Returns the log odds that flagged answers, some of them flagged wrongly, are due to the build, against
    // the rate of flags on other builds.
    double flag_log_odds(const Evidence &fleet) const {
        if (config.rollout.flag_share <= 0) return 0;
        double flags = 1, answers = kFlagPriorAnswers;
        for (const auto &[number, build] : builds)
            if (number < rollout_state.build) {
                flags += build.flags;
                answers += build.answers;
            }
        const double baseline_rate = flags / answers;
        const double bad_rate = baseline_rate + config.rollout.flag_share * kWrongAnswerShare;
        return fleet.answers.failed * std::log(bad_rate / baseline_rate) -
               fleet.answers.picks * (bad_rate - baseline_rate);
    }

    // Returns whether the failures exceed `part` of the limit. The limit falls as the sample grows, so that a
    // build which fails a tenth of its picks does not stay under the limit of a small sample. It rises where
    // the earlier builds fail, since trouble strikes hosts, and a few hosts unevenly.
    bool fails_too_often(const Evidence &evidence, double part = 1, double turned_away_share = 0) const {
        const auto exceeds = [&](const PickCounts &count, int least, double share) {
            const double picks = std::max<double>(least, count.picks);
            const double uneven = kUnevenDeviations * std::sqrt(evidence.baseline_failure_share *
                                                                (1 / trial_host_count() + 1 / picks));
            const double uncompared = evidence.uncompared_share * kUncomparedFailureShare;
            const double limit = std::max(kMinFailureLimit, share * least / picks) +
                                 evidence.baseline_failure_share + uneven + uncompared + turned_away_share;
            return count.picks >= least * part && count.failed > limit * count.picks * part &&
                   count.failed >= std::min<double>(least, kMinRollBackFailures) * part;
        };
        return exceeds(evidence.all, kMinRollBackPicks, kRollBackFailureShare) ||
               std::any_of(evidence.by_method.begin(), evidence.by_method.end(),
                           [&](const PickCounts &count) {
                               return exceeds(count, kMinMethodPicks, kMethodFailureShare);
                           });
    }

    // Platform stats count picks that full hosts turned away as failures, and a router of a large fleet has
    // too few of those to know how many. A good build must not be rolled back because its first, cold hosts
    // are full. So a share of the reported failures counts only where this router's own failures confirm
    // them; a bad build is found once one router has had them. This does not apply where several routers must
    // agree, since each of them would have to have some.
    bool confirmed_by_own_failures(const Evidence &own) const {
        const bool one_decides = config.rollout.advance_policy == AdvancePolicy::any_vote;
        return platform_stats.empty() || !is_large_fleet() || !one_decides ||
               own.all.failed >= kMinOwnFailures;
    }

    // Returns whether all picks are slower than when the trial began, by more than the growth of traffic or
    // the loss of healthy hosts explains. Such a build slows or congests all hosts and may show no harm at
    // its own. Some hosts are slow for reasons of their own, so the limit is high, above what the first stage
    // had, and applies while the trial carries much of the traffic.
    bool slows_all_hosts(const Evidence &fleet) {
        if (trial_running() && rollout_state.stage == 0) first_stage_rise = std::max(0.0, fleet.latency_rise);
        // A router that started during the trial has no baseline.
        const double baseline_weight = baseline_figures.healthy_weight > 0 ? baseline_figures.healthy_weight
                                                                           : current_figures.healthy_weight;
        const double load =
            fleet.traffic_growth * baseline_weight / std::max(1e-9, current_figures.healthy_weight);
        const double explained = kLatencyLoadExponent * std::max(0.0, std::log(load)) +
                                 kLatencyFailureFactor * earlier_failure_share;
        const double limit = std::log(kFleetSlowdown) + explained;
        const bool carries_much =
            trial_running() && (rollout_state.stage >= kFleetSlowdownStage || in_last_stage());
        const bool has_baseline = !platform_stats.empty() || fleet.with_baseline * 2 > config.instances;
        const bool applicable = is_large_fleet() && (recently_released() || carries_much) && has_baseline &&
                                !baseline_figures.limit_active;
        has_lasted(applicable && fleet.latency_rise - first_stage_rise > limit * kFleetSlowdownDoubt,
                   slowing_suspected_since, kSlowdownDuration);
        return has_lasted(applicable && fleet.latency_rise - first_stage_rise > limit, slowing_all_since,
                          kSlowdownDuration);
    }

    // Returns the verdict on the build by the present evidence. The checks for a roll-back come first, those
    // that must hold for an advance after them.
    Verdict judge_build() {
        const Evidence own = own_evidence(build_state(rollout_state.build));
        const Evidence fleet = fleet_evidence();
        const double flag_odds = flag_log_odds(fleet);
        if (flag_odds > kFlagRollBackLogOdds + std::log(config.instances))
            return vote_roll_back("flags", own, flag_odds);
        const bool pooled =
            !platform_stats.empty() || (fleet.routers > 1 && fleet.routers * 2 > config.instances);
        const bool enough = trial_running() && pooled && fleet.earlier.picks >= kMinRollBackPicks;
        const bool own_failing = fails_too_often(own) && !strikes_few_hosts(own);
        const double turned_away_share = confirmed_by_own_failures(own) ? 0 : kTurnedAwayShare;
        const bool failing = own_failing || (enough && fails_too_often(fleet, 1, turned_away_share));
        if (trial_running() && is_large_fleet()) fleet_trial_counts = fleet.by_method;
        // A single method is compared with the earlier builds and with the trial's other methods, since
        // trouble of a host strikes all methods. This finds a build that fails a rare method before that
        // method has a sufficient sample of its own.
        const auto odds_of = [](auto &evidence) {
            return evidence.method_log_odds(kFailingMethodShare, kMethodFailureFloor, kPriorPicks);
        };
        const double own_odds = odds_of(own) - std::log(config.instances);
        const double fleet_odds = odds_of(fleet);
        if (trial_running() && is_large_fleet() &&
            std::max(own_odds, pooled ? fleet_odds : 0) > kMethodRollBackLogOdds)
            return vote_roll_back("one method", own_odds > fleet_odds ? own : fleet,
                                  std::max(own_odds, fleet_odds));
        // The failures of a trial on a single host may be the host's. The trial waits and then advances,
        // since more hosts tell more.
        const bool single_host = trial_running() && pools[1].hosts.size() == 1;
        const bool waited = now - stage_began_at > kSingleHostWait;
        if (single_host && waited && config.rollout.advance_policy != AdvancePolicy::timer)
            return Verdict::advance;
        // Failures that concentrate on a few hosts come from those hosts or their neighbours, not the build.
        const bool concentrated = own.by_host.size() > 1 &&
                                  own.failures_on_worst_third() > kConcentratedFailureShare * own.all.failed;
        if (failing && !single_host && !concentrated)
            return vote_roll_back("failures", own_failing ? own : fleet, own.baseline_failure_share);
        const double random_trouble = trial_running() ? random_trouble_probability() : 1;
        // Some router of a large fleet meets what is unlikely for one, so the limit falls with the fleet.
        const double trials = std::max(std::sqrt(config.instances), 1.0 * config.instances / kSmallFleet);
        if (has_lasted(random_trouble < kRandomTroubleProbability / trials, hosts_failing_since,
                       kSlowdownDuration))
            return vote_roll_back("old hosts", own, random_trouble);
        if (slows_all_hosts(fleet)) return vote_roll_back("slowing all", fleet, fleet.latency_rise);
        if (watching_release()) return Verdict::none;
        const bool slow = own.slowdown > own.slowdown_limit;
        const bool fleet_slow = enough && fleet.slowdown > fleet.slowdown_limit;
        if (has_lasted(slow, slow_since, kSlowdownDuration) && !single_host)
            return vote_roll_back("latency", own, std::exp(own.slowdown));
        if (fleet_slow && !single_host)
            return vote_roll_back("tallied latency", fleet, std::exp(fleet.slowdown));
        if (config.rollout.advance_policy == AdvancePolicy::timer) {
            const bool doubtful = own.all.picks >= kMinHoldPicks &&
                                  own.all.failure_share() > kHoldFailureShare + own.baseline_failure_share;
            return doubtful || slow || slowing_suspected_since >= 0 ? Verdict::hold : Verdict::none;
        }
        // A trial that has to leave load to the earlier hosts is not proven for more of it: it may be slow,
        // or fail under load.
        if (failing || slow || slowing_suspected_since >= 0 || yield_share > kMaxYieldShare)
            return Verdict::none;
        // The last vote to advance takes the earlier hosts away. It waits while the trial's hosts are cold,
        // or they would be overloaded.
        const bool last = in_last_stage();
        const auto cold = [&](int i) { return warm_up_share(hosts[i]) < kReleaseWarmUp; };
        if (last && std::any_of(pools[1].hosts.begin(), pools[1].hosts.end(), cold)) return Verdict::none;
        // A few routers, each of which saw little, do not advance the trial where the figures of all routers
        // are missing or in doubt. The fewer routers must agree, the more picks of all are needed.
        const double needed = single_vote_weight() * (last                      ? kMinReleasePicks
                                                      : rollout_state.stage > 0 ? kMinAdvancePooledPicks
                                                                                : 0);
        const bool doubt = random_trouble < kRandomTroubleDoubt ||
                           (enough && fleet.slowdown > fleet.slowdown_limit * kSlowdownDoubt) ||
                           (is_large_fleet() && pooled && !waited &&
                            (fleet_odds > kMethodDoubtLogOdds || fails_too_often(fleet, kFailureDoubt)));
        if (doubt || (fleet.all.picks < needed && !waited)) return Verdict::none;
        const double allowed =
            kAdvanceFailures + (own.baseline_failure_share + kAdvanceFailureShare) * own.all.picks;
        if (own.all.failed > allowed) return Verdict::none;
        if (own.stage.picks >= kMinAdvancePicks) return Verdict::advance;
        return own.stage.failed <= 0 && now - stage_began_at >= kAdvanceAfter ? Verdict::advance
                                                                              : Verdict::none;
    }

    // Logs the cause of a vote to roll back, unless that is the vote already.
    Verdict vote_roll_back(const std::string &cause, const Evidence &evidence, double figure) {
        const PickCounts &all = evidence.all;
        if (last_vote != Verdict::roll_back)
            add_log_line("vote to roll back for " + cause + ": %.0f of %.0f picks failed, figure %.2f",
                         all.failed, all.picks, figure);
        return Verdict::roll_back;
    }

    // Returns how far a single vote decides for all: 0 where all routers must agree.
    double single_vote_weight() const {
        return 1 - std::min(1.0, double(config.rollout.votes_to_advance) / config.instances);
    }

    // Delays the vote that releases the build until it has been due for some time, where one vote suffices.
    // Otherwise a build that fails with the age or load of its hosts could be released by the one router to
    // which it seemed good for a moment, while the others hold.
    Verdict delay_release_vote(Verdict verdict) {
        const Ticks delay = static_cast<Ticks>(kReleaseVoteDelay * single_vote_weight()) - 1;
        const bool proven = has_lasted(verdict == Verdict::advance, release_vote_since, delay);
        return verdict == Verdict::advance && in_last_stage() && !proven ? Verdict::none : verdict;
    }

    // Returns when the vote may be sent again. The platform accepts a limited rate of votes from all routers
    // together. A fleet must not use it up for votes that are counted already, or that are sent again at
    // once, before votes to roll back and the first votes of other routers.
    Ticks next_vote_at() const {
        const double rate = config.rollout.votes_per_s;
        const double turn =
            rate > 0 ? config.instances / rate * 10000 : 0; // until each router has voted once
        const bool scarce = turn > kVoteRenewal;
        const Ticks lifetime = config.rollout.vote_lifetime;
        const Ticks renewal = scarce ? lifetime * 9 / 10 : std::min(kVoteRenewal, lifetime * 2 / 3);
        if (vote_counted) return voted_at + renewal;
        const double pause = last_vote == Verdict::roll_back ? 0 : turn * kVoteRetryTurns * vote_spread;
        return voted_at + std::max<Ticks>(kVoteRetry, static_cast<Ticks>(pause));
    }

    // Judges the build once per interval and returns a vote that is new or has to be sent again.
    Decision cast_vote() {
        if (!(trial_running() || watching_release()) || now < next_judgement_at) return {};
        next_judgement_at = now + kUpdateInterval;
        // A vote to roll back is kept for a time. If it changed with the last few samples, it might never be
        // counted.
        const bool keeps_roll_back = last_vote == Verdict::roll_back && now < voted_at + kVoteRenewal;
        const Verdict verdict = keeps_roll_back ? last_vote : delay_release_vote(judge_build());
        if (verdict == Verdict::none && last_vote == Verdict::none) return {};
        if (verdict == last_vote && now < next_vote_at()) return {};
        last_vote = verdict;
        voted_at = now;
        vote_spread = 0.5 + rng.uniform();
        vote_counted = false;
        return {.action = Action::vote,
                .build = rollout_state.build,
                .stage = rollout_state.stage,
                .verdict = verdict};
    }

    // Discovery works through the requests of all routers one at a time, abandoned ones included. The more
    // routers there are, the wider each spreads its requests. Otherwise a fleet that starts at one instant
    // would fill discovery's queue, and updates of open watches would wait behind it.
    Ticks list_request_spread() const {
        return std::min(kMaxListRequestSpread, kListRequestSpacing * config.instances);
    }

    // Schedules the next request. After a first failure it leaves in time to renew the lease. Later ones are
    // spread as widely as discovery's queue needs, and ever wider: an overloaded discovery works through
    // requests that nobody waits for any more, and a fleet that keeps sending them prolongs the overload.
    // Routers without a list wait some seconds longer for it.
    void host_list_failed(Ticks lease_left) override {
        const int earlier_failures = failed_list_requests++;
        const Ticks latest_wait = lease_left - kListRequestTimeout;
        if (earlier_failures == 0 && latest_wait > kListRetryWait) {
            const Ticks spread = std::min(list_request_spread(), latest_wait - kListRetryWait);
            list_request_at =
                now + kListRetryWait + static_cast<Ticks>(static_cast<double>(spread) * rng.uniform());
            return;
        }
        const double growth =
            std::min(kMaxListRetryGrowth, std::pow(kListRetryGrowth, std::max(0, earlier_failures - 1)));
        const double least = growth * static_cast<double>(std::max(kListRetryWait, list_request_spread()));
        list_request_at =
            now + static_cast<Ticks>(least + static_cast<double>(list_request_spread()) * rng.uniform());
    }

    Decision next_decision() override {
        weigh_hosts();
        retry_budget =
            std::min(kMaxRetryBudget, retry_budget + kRetryBudgetShare * std::exchange(rpcs_since_refill, 0));
        for (; !rpc_queue.empty(); rpc_queue.pop_front()) {
            const auto found = rpcs.find(rpc_queue.front());
            if (found == rpcs.end()) continue;
            Rpc &rpc = found->second;
            if (Decision decision = process(rpc); decision.action != Action::none) return decision;
            rpc.queued = false;
            if (rpc.done && count_open_picks(rpc) == 0) rpcs.erase(found);
        }
        if (Decision decision = cast_vote(); decision.action != Action::none) return decision;
        if (Decision decision = send_summary(); decision.action != Action::none) return decision;
        if (config.requests_host_list && list_request_at >= 0 && list_request_at <= now) {
            list_request_at = -1;
            return {.action = Action::request_host_list};
        }
        if (!log_lines.empty()) {
            Decision decision{.action = Action::log, .text = std::move(log_lines.front())};
            log_lines.pop_front();
            return decision;
        }
        const Ticks wanted =
            std::max(now + 1, timers.empty() ? next_update_at : std::min(next_update_at, timers.top().first));
        if (wake_at >= 0 && wake_at <= wanted) return {};
        wake_at = wanted;
        return {.action = Action::wake, .duration = wake_at};
    }
};
} // namespace

std::unique_ptr<Router> make_router(DeploymentConfig config, std::uint64_t seed) {
    return std::make_unique<Decider>(std::move(config), seed);
}
} // namespace pineridge
