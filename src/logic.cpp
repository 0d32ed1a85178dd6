// All decisions of pineridge. The interface is src/logic.hpp.
// How to call it: give the batch's time by clock(), then every input in the order it came; inputs only update
// what is known. Then call next() until it answers Act::none and carry out each decision in that order. It
// asks by Act::wake for a later clock() call. One Router is one instance; it shares nothing with another.
#include "logic.hpp"
#include "state.hpp"
#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace pineridge {
namespace {
// The divergence gate, in the design page's numbers where it gives them.
constexpr int kBackDivergences = 5; // fewer are chance
constexpr int kBackPairs = 20, kMethodPairs = 6; // least samples for a vote back: over all, of one method
constexpr double kBackShare = 0.20, kMethodShare = 0.35; // their divergence shares beyond the usual
constexpr double kConcentrated = 0.8; // of the failures on a third of the trial's hosts: theirs
constexpr double kHeardWell = 2; // outcomes of a host, halving as failures do
constexpr double kBlind = 0.02, kBlindDoubt = 0.1; // chances under which trouble is no blind one, or in doubt
constexpr double kAilShare = 0.05, kSlowAil = 2; // failure share and relative latency from which a host ails
constexpr Ticks kLoneFor = 100000; // in stage one on one host, whose failures may be its own
constexpr double kUneven = 2.5, kLeastShare = 0.01; // deviations that hosts and chance may add; least bar
constexpr double kHoldShare = 0.10; // timer: hold above this share
constexpr int kHoldPairs = 10, kOnPairs = 20; // over so many pairs; pairs in the stage before a vote on
constexpr double kOnDivergences = 1, kOnShare = 0.003; // may diverge, and of a large sample: machines fail
constexpr double kReleasePicks = 100, kOnPooled = 4; // pooled, before the last vote on; before one in between
constexpr double kOwnFailures = 2; // one may be chance: some router of many has it
constexpr double kTurnedAway = 0.1; // share of a trial's tallied picks that full hosts may turn away
constexpr double kMethodFails = 0.5, kFewPicks = 10; // share looked for; picks of prior belief
constexpr double kLeastFails = 0.02, kFailDoubt = 0.5; // of any method, by chance; of a bar: no vote on
constexpr double kMethodProof = 6, kMethodDoubt = 1; // log odds: back; no vote on
constexpr double kHostsFail = 0.25; // that hosts in trouble may fail where none of the earlier build tell
constexpr double kSlowChance = 3; // over the root of the sample: what chance may add to a tallied latency
constexpr Ticks kOnAnyway = 30000; // a clean balancer votes on after so long in a stage
constexpr Ticks kVoteRenewal = 40000, kVoteRetry = 3000; // a vote is sent again: counted, not counted
constexpr double kVoteTries = 0.5; // of the time in which each has a turn, between tries of a vote on
constexpr double kSlowedRatio = 2.3, kMuchFrom = 2; // latency of all picks over the calm; from that stage on
constexpr double kSlowRatio = 1.5; // median latency against the earlier build's
constexpr std::size_t kSlowSample = 10, kBesides = 20; // latencies for a host's median; beside it
constexpr double kColdKeys = 1.3, kFewHosts = 0.8; // slower: unmet keys; a lone trial host
constexpr Ticks kColdSkip = 50000; // hosts younger than this are left out of the latency median
constexpr Ticks kEvidenceAge = 80000; // older samples say nothing of a build that turns bad with time

constexpr double kTrafficRate = 0.06, kPeakFade = 0.985; // a beat: of the newest figure; of its peak
constexpr Ticks kSlowFor = 10000; // the trial's median stays over the bar
constexpr Ticks kProvenFor = 10000; // of a vote that releases by itself: what wavers meanwhile was in doubt
constexpr double kMinority = 0.6; // trial's part up to which the earlier hosts can bear witness
constexpr double kSlowDoubt = 0.75, kSharedDoubt = 0.5; // of a bar (as logs), own or shared: no vote goes on
constexpr double kLoadRise = 1.5, kFailRise = 15; // of all latencies: powers of load, for a failure share
constexpr Ticks kWatch = 100000; // after a release too
constexpr Ticks kTellRound = 10000; // in which peers hear of each other's picks
constexpr int kCollectors = 2; // peers that sum up a round: one may be dead

constexpr int kFewRouters = 3; // with more, traffic is not spread evenly enough to be known
constexpr double kFuller = 1.5; // cost of the trial's best host over the earlier one's: clearly fuller

constexpr double kCopyBeside = 0.2; // copies beside real traffic, over the trial's part of it

constexpr double kYieldMost = 0.35, kWarmEnough = 0.75; // at most, for a vote on; each host, for the last one

constexpr double kFlagProof = 6.0; // log odds that complaints follow the build, more where more may err
constexpr double kWrongShare = 0.06, kFlagPrior = 250; // wrong answers looked for; answers of prior belief

// Routing, health, time-outs and pushback.
constexpr double kHostRate = 0.1; // weight of the newest outcome in a host's figures
constexpr double kLoadRate = 0.05; // and of what either side holds: a lone host must not tip it by one pick
constexpr double kPoolRate = 0.3, kRateRise = 0.2; // a beat, of the newest: what others hold; a higher rate

constexpr double kTorn = 0.05, kTornRate = 0.004; // earlier picks broken: the network's doing; of the newest
constexpr double kBarredRate = 0.2, kUnlinked = 4; // of the newest; cost of a host without a connection
constexpr double kForgive = 30000.0, kMissed = 3; // failures halve in this time; cost of a host for each miss
constexpr double kSilence = 4.0; // times the usual latency without any answer: silent
constexpr Ticks kReportAge = 15000; // older load reports are not used
constexpr double kReportTrust = 0.5; // of what a report shows beyond own picks, as it is late
constexpr std::size_t kLeastDrawn = 3; // hosts compared for a pick where many routers share the load
constexpr Ticks kHeardEach = 20000; // a host in reach has a pick so often
constexpr std::size_t kLeastReach = 8; // hosts
constexpr double kLargest = 6; // usual sizes, or parts of one, that a guess counts for: it is rough
constexpr int kRingPoints = 4; // places of a host on the ring of keys, so that their parts are alike
constexpr double kWarmKeyCost = 0.75, kOlderCost = 3.0; // of a host that likely met the key; of one replaced
constexpr double kBudgetShare = 0.12, kBudgetMost = 30; // further picks a RPC, and saved up at most
constexpr double kLookLatency = 3.0; // usual latencies before an RPC looks elsewhere
constexpr double kLookLeast = 0.3, kLookMost = 0.6; // of the soft deadline
constexpr Ticks kLateSpan = 5000; // over which answers tell how late they come
constexpr double kCalmPart = 0.6, kAskPart = 0.15; // of its lateness another method has; asked all the same
constexpr double kLateMost = 1.5, kSparse = 0.3; // deadlines, no more is told; weight of one of few answers
constexpr double kHopeful = 0.8, kHopeless = 1.6, kCrowded = 0.4; // wait over soft deadline: all, none, once
constexpr double kLateHigh = 0.55, kLateLow = 0.4; // latency over soft deadline: fewer, or more, open picks
constexpr double kLeastLimit = 0.6, kCutLimit = 0.92, kRaiseLimit = 1.04; // open picks; steps down, up
constexpr double kFirstRoom = 0.5, kLeastWorth = 0.8, kOverShare = 0.5; // of room: first, least, past quota
constexpr double kPaceRate = 0.02, kFade = 0.997, kComeAgain = 0.6; // a beat; turned away: tried again
constexpr Ticks kNewcomer = 20000; // before so long a router does not know its best rate
constexpr double kColdSafety = 0.8, kColdFloor = 2; // of the push a cold host stands; picks all may send
constexpr Ticks kBeat = 1000, kPause = 3000; // between looks at standing matters; advice when to return
constexpr std::size_t kMostAllowed = 256; // builds with shares by cell; beyond, the oldest numbers go
constexpr Ticks kAskAgain = 8000; // least wait after a failed call for the list
constexpr Ticks kAskEach = 300, kAskSpread = 30000; // width of a fleet's calls for each router; at most
constexpr Ticks kCallTakes = 22000; // a call that discovery keeps waiting has failed by then
constexpr double kAskGrowth = 1.5, kAskGrowthMost = 4; // of the waits, from the third failure on; at most

class Decider final : public Instance {
  public:
    Decider(DeploymentConfig given, std::uint64_t seed) : Instance(std::move(given), seed) {
        budget = kBudgetMost / 2;
    }

    bool many() const { return terms.instances > kFewRouters; }
    void weigh_hosts() {
        if (!pools_due) return;
        sound[0] = sound[1] = 0;
        for (Host &host : hosts) {
            const auto kind = kind_excess.find(host.entry.kind);
            host.weight = rating(host) * warmth(host);
            if (kind != kind_excess.end()) host.weight *= std::exp(-kind->second);
            if (usable(host) && well(host)) sound[on_trial(host.entry.build)] += host.weight;
        }
        fill_pools(now - kReportAge, kRingPoints, kPoolRate, kLoadRate);
    }

    double faded(double figure, Ticks since) const {
        return figure * std::exp2(double(since - now) / kForgive);
    }
    double fails(const Host &host) const { return faded(host.fails, host.fails_at); }
    double missing(const Host &host) const { return kMissed * faded(host.misses, host.missed_at); }
    bool well(const Host &host) const { return fails(host) < kBackShare && missing(host) < kMissed; }

    // Has this held for so long? A figure that tops its bar for a moment, as queues jump, is no verdict.
    bool lasts(bool held, Ticks &since, Ticks span) const {
        since = !held ? -1 : since < 0 ? now : since;
        return held && now - since > span;
    }

    double size_of(const Rpc &rpc) const { return std::clamp(rpc.size, 1 / kLargest, kLargest); }
    double usual_latency(int method) const {
        return usual_count[method] > 0 ? std::exp(usual[method])
                                       : kLookLeast * terms.methods[method].soft_deadline;
    }

    void set_time(Ticks at) override {
        now = std::max(now, at);
        for (; !due.empty() && due.top().first <= now; due.pop())
            if (const auto found = rpcs.find(due.top().second); found != rpcs.end()) enqueue(found->second);
        if (armed <= now) armed = -1;
        if (now < beat_at) return;
        if (beat_at == 0) ask_at = now + static_cast<Ticks>(ask_span() * rng.uniform());
        beat_at = now + kBeat;
        pools_due = true;
        count_traffic(kTrafficRate, kComeAgain);
        forget_evidence(now - kEvidenceAge, kReleasePicks);
        forget_flows();
        while (allowed.size() > kMostAllowed) allowed.erase(allowed.begin());
        measure_fleet(kColdSkip);
        const double warm = warm_rating();
        places = std::max({places * kFade, rating_of(false), rating_of(true)});
        // What a warm host serves; before any was seen to, the traffic over a whole side's hosts. Little
        // traffic has peaks that are chance, and in a collapse most is retries: stops a fleet from taking
        // either for what hosts can do, and from pushing over one cold host after the other.
        if (paced <= 0 && warm_served.empty() && places > 0) pace = std::max(0.0, untried) / places;
        if ((paced > 0 || !warm_served.empty()) && warm > 0)
            pace += (warm_served.size() / warm - pace) * std::max(kPaceRate, 1.0 / ++paced);
        lately.traffic = std::max(traffic, lately.traffic * kPeakFade);
        const PickCounts served = count_earlier();
        if (served.picks >= kBackPairs && !(watching() && released_at >= 0))
            earlier_fails = served.failure_share();
        best_rate = std::max(best_rate * kFade, best_rate + (answered.size() - best_rate) * kRateRise);
        wait = best_rate > 0 && now > born + kNewcomer ? pending / best_rate * 10000 : 0;
        bend_limit();
    }

    // The limit on open picks follows how late answers come. Stops a jam in which every answer is too late,
    // whatever its cause: bursts, lost hosts, retries, slow builds. May shed too much when one host is slow.
    // A jam makes every method and every tenant late: what is late alone waits for a cause of its own.
    void bend_limit() {
        const double late = least_late(lateness.size(), now - kLateSpan * 4);
        const double least = many() ? kLeastLimit : 4; // under one: a chance to have one, where few are open
        if (late > kLateHigh) {
            if (limit <= 0) log("limit on: open %.0f lateness %.2f of %.2f", open, late, kLateHigh);
            limit = std::max(least, (limit > 0 ? std::min<double>(limit, open) : open) * kCutLimit);
        } else if (limit > 0 && late < kLateLow) {
            if (open > limit * 0.7) limit *= kRaiseLimit;
            if (open > limit * 0.3 || late > kLateLow * 0.6) return;
            log("limit off: open %.0f of %.0f lateness %.2f", open, limit, late);
            limit = 0;
        }
    }

    // A client that gave it little time tells nothing of host or build. Stops hasty callers from sending
    // good builds back and good hosts to rest; a stalled host shows a little later.
    bool hurried(const Rpc &rpc, const Pick &pick) const {
        return pick.outcome == Outcome::timed_out && pick.took < method_of(rpc).soft_deadline;
    }

    // In a jam time-outs tell of the load; where connections to earlier hosts break too, breaks tell of the
    // network. Only then are they left out. Stops either from blinding the gate and resting sound hosts.
    bool speaks_against(const Rpc &rpc, const Pick &pick) const {
        const bool jam = limit > 0 && pick.outcome == Outcome::timed_out;
        const bool torn = breaks > kTorn && pick.outcome == Outcome::connection_lost;
        return diverges(pick.outcome) && !jam && !torn && !hurried(rpc, pick);
    }

    void learn(const Rpc &rpc, const Pick &pick) {
        Host &host = hosts[pick.host];
        const int method = rpc.from.method;
        const bool served = pick.outcome == Outcome::ok, failed = speaks_against(rpc, pick);
        const bool refused = pick.outcome == Outcome::connect_failed || pick.outcome == Outcome::host_busy;
        if (failed || refused) ++host.misses, host.missed_at = now;
        const bool unmet = pick.outcome == Outcome::connect_failed;
        if (unmet || (pick.fresh && served)) barred += (unmet - barred) * kBarredRate;
        host.linked_until = unmet || pick.outcome == Outcome::connection_lost ? -1 : now + terms.keepalive;
        if (served) host.misses = 0;
        if (pick.outcome != Outcome::cancelled && pick.outcome != Outcome::timed_out) host.quiet_since = now;
        if (served || failed) {
            host.heard = 1 + faded(host.heard, std::exchange(host.heard_at, now));
            host.fails = fails(host) + (failed - fails(host)) * kHostRate;
            host.fails_at = now;
        }
        const bool timed = served || (pick.outcome == Outcome::timed_out && !hurried(rpc, pick));
        const double excess = excess_of(pick, method, size_of(rpc));
        const bool against = timed && usual_count[method] > 0; // there is a usual latency to set it against
        if (against) host.excess += (excess - host.excess) * kHostRate;
        const double ratio = std::min(kLateMost, double(pick.took) / method_of(rpc).soft_deadline);
        if (timed) note_lateness(rpc, ratio, kLateSpan, many() ? kSparse : kHostRate);
        if (served && warmth(host) >= 1) warm_served.push_back(now);
        of(pick.build).proven[method] += served;
        of(pick.build).tried.add(1, proves_not_executed(pick.outcome));
        if (pick.on_trial) {
            if (!pick.copy && (served || failed)) judge(rpc, pick, failed, excess);
            return;
        }
        if (served && !trial_runs()) {
            const double raw = excess + kind_excess[host.entry.kind];
            usual[method] += raw * std::max(1.0 / ++usual_count[method], 0.004);
            if (usual_count[method] > 20) kind_excess[host.entry.kind] += excess * 0.01;
        }
        if (served || diverges(pick.outcome))
            breaks += ((pick.outcome == Outcome::connection_lost) - breaks) * kTornRate;
        if (!served && !failed) return;
        earlier.push_back({now, method, pick.host, failed, against, excess});
        if (pick.build == known.build && watching())
            judge(rpc, pick, failed && pick.outcome != Outcome::timed_out, excess);
    }

    void judge(const Rpc &rpc, const Pick &pick, bool failed, double excess) {
        // A cold host's slowness; and of many routers one waits in vain now and then, whatever the build.
        if (failed && (!pick.aged || many()) && pick.outcome == Outcome::timed_out) return;
        std::deque<Sample> &samples = of(pick.build).samples;
        const bool timed = pick.aged && usual_count[rpc.from.method] > 0;
        samples.push_back({now, rpc.from.method, pick.host, failed, timed, excess});
        while (samples.size() > 400 || samples.front().at < now - kEvidenceAge) samples.pop_front();
    }

    // A pair counts once both ends are known; a copy that was cut, or whose twin failed too, says nothing.
    void judge_pair(Rpc &rpc) {
        const Pick *copy = nullptr;
        bool served = false;
        for (const Pick &pick : rpc.picks) {
            if (pick.copy) copy = &pick;
            served = served || (!pick.copy && !pick.open && pick.outcome == Outcome::ok);
        }
        if (rpc.paired || !copy || copy->open) return;
        rpc.paired = copy->outcome == Outcome::ok || (served && speaks_against(rpc, *copy));
        if (!rpc.paired) return;
        judge(rpc, *copy, copy->outcome != Outcome::ok, excess_of(*copy, rpc.from.method, size_of(rpc)));
    }

    void pick_ended(const std::string &id, int number, Outcome outcome, Ticks took, bool complete,
                    const std::vector<double> &report) override {
        Rpc *found = close_pick(id, number, outcome, took);
        if (!found) return;
        Rpc &rpc = *found;
        Pick &pick = rpc.picks[number];
        note_report(hosts[pick.host], report);
        learn(rpc, pick);
        if (outcome == Outcome::ok && !rpc.done) of(pick.build).answers += 1, answered.push_back(now);
        settle_key(rpc, pick);
        if (complete || outcome == Outcome::ok) settle(rpc);
        judge_pair(rpc);
        enqueue(rpc);
    }

    // --- guards: every pick and pushback passes here ---
    // Rule 2: may this RPC have a pick at this host, after those it had?
    bool may_repeat(const Rpc &rpc, const Host &target) const {
        const Method &method = method_of(rpc);
        return method.repeat_policy == RepeatPolicy::idempotent ||
               std::all_of(rpc.picks.begin(), rpc.picks.end(), [&](const Pick &pick) {
                   if (!pick.open && proves_not_executed(pick.outcome)) return true;
                   if (method.repeat_policy == RepeatPolicy::non_idempotent) return false;
                   return now < pick.sent + method.token_window &&
                          same_group(method.token_scope, hosts[pick.host].entry, target.entry);
               });
    }

    bool may_push_back(const Rpc &rpc) const {
        const Method &method = method_of(rpc);
        if (method.repeat_policy == RepeatPolicy::idempotent) return true;
        if (method.repeat_policy == RepeatPolicy::tokened && method.token_scope == TokenScope::all)
            return true;
        return unrun(rpc);
    }

    // Rule 5: room under the cap for one more pick of this method at this build.
    bool room_on_trial(int number, int method) {
        const int stage = number == known.build ? known.stage : 0;
        const bool guarded = stage < terms.rollout.guarded_stages;
        if (cap(number) <= 0 || (guarded && terms.methods[method].repeat_policy != RepeatPolicy::idempotent))
            return false;
        const auto [took, sent] = exposure(number, method);
        return sent + 1 <= terms.rollout.picks_above_cap + cap(number) * took;
    }

    // Rule 5, by cell: room for one more pick under the release plan's share of this cell's RPCs. It narrows
    // the cap above and never widens it. Stops a customer or a zone from carrying more than its stage.
    bool room_in_cell(const Rpc &rpc, int number) {
        if (terms.default_cell_share >= 1) return true;
        forget_flows();
        const int cell = rpc.from.cell;
        if (room_seen.build == number && room_seen.cell == cell) return room_seen.held;
        const double share = share_in_cell(number, cell);
        const auto [took, sent] = cell_exposure(number, cell);
        room_seen = {cell, number, share >= 1 || sent + 1 <= share * took};
        return room_seen.held;
    }

    // Rule 4: this router's part of the push a cold host stands, set against what warm hosts of its size
    // serve. All picks since its start count. Where that is under one, chance says which of many routers may
    // send.
    bool room_in_cold(Host &host) const {
        const double warm = warmth(host);
        if (warm >= 1) return true;
        forget(host.pushed, std::max(now - terms.overload_window, host.entry.started));
        const double part = warm * pace * rating(host) * terms.overload_window / 10000.0;
        const double allowed = kColdSafety * terms.overload_multiple * part;
        const auto sent = static_cast<double>(host.pushed.size());
        return sent + 1 <= std::max(kColdFloor / terms.instances, allowed) + host.dice;
    }

    // Rule 5: a key that a newer build has answered, or may have, goes to no lower one until that build is
    // told to go back: also one that no news has named yet, and one released while the list still shows lower
    // ones.
    bool keys_allow(const Rpc &rpc, int number) const {
        if (!terms.rollout.sticky_keys || rpc.from.key.empty()) return true;
        return !held_by_newer(rpc.from.key, number, rpc.from.cell);
    }

    // Rule 3: a list past its lease names no host to send to. Stops picks at hosts drained unheard. While
    // discovery is presumed to be down, hosts that nothing speaks against go on: of the build that stays, as
    // those of older ones drain after a release and those of the trial when it is withdrawn, and that have
    // failed no pick. Stops an outage from ending all service; may send to a host drained for another reason
    // where discovery is back and too crowded to say so.
    bool listed_still(const Host &host) const {
        if (list_holds()) return true;
        return outage() && host.misses == 0 && host.entry.build == staying_build;
    }

    bool eligible(const Rpc &rpc, Host &host, bool trial) {
        return listed_still(host) && usable(host) && on_trial(host.entry.build) == trial &&
               keys_allow(rpc, host.entry.build) && may_repeat(rpc, host) && room_in_cold(host) &&
               room_in_cell(rpc, host.entry.build) &&
               (!trial || room_on_trial(host.entry.build, rpc.from.method));
    }

    bool silent(const Host &host, int method) const {
        return host.open > 0 && now - host.quiet_since > kSilence * usual_latency(method);
    }

    // What other routers hold at a host: its report, filled up from what is usual for its weight. A lone
    // router knows all by its own open picks.
    double held_by_others(const Host &host, const Pool &pool) const {
        const double usual_there = pool.others * host.weight;
        if (host.others_at < 0 || now - host.others_at > kReportAge) return usual_there;
        const double told = (1 - 1.0 / terms.instances) * host.others;
        return usual_there + kReportTrust * (told - usual_there);
    }

    double cost(const Rpc &rpc, const Host &host) {
        const double held = 1 + host.open + held_by_others(host, pools[on_trial(host.entry.build)]);
        double cost = held / host.weight;
        cost *= std::exp(std::clamp(host.excess - lately.fleet, 0.0, 3.0));
        // A large RPC goes by fast machines, a small one leaves them to it. Stops those whose work alone
        // takes long on a slow machine from missing their soft deadline.
        const auto kind = kind_excess.find(host.entry.kind);
        if (kind != kind_excess.end()) cost *= std::exp((size_of(rpc) - 1) * kind->second);
        const double sound = std::max(0.05, 1 - fails(host));
        // A host that missed picks in a row is left for others, longer each time. Stops fast failures from
        // drawing picks, dead or crowded hosts from using up an RPC's; keeps a router to hosts that know it.
        cost *= 1 + missing(host);
        cost /= std::pow(sound, method_of(rpc).repeat_policy == RepeatPolicy::idempotent ? 2 : 4);
        if (silent(host, rpc.from.method)) cost *= 50;
        // Where new connections are hard to have, those that stand carry the picks. Stops a fleet from using
        // up what few its hosts accept, and RPCs from waiting for handshakes that time out.
        if (many() && host.linked_until < now) cost *= 1 + kUnlinked * barred;
        if (watching() && host.entry.build < known.build) cost *= kOlderCost;
        return cost * (0.9 + 0.2 * rng.uniform());
    }

    // A router with little traffic keeps to as many hosts as it hears of often, the first in an order of its
    // own; others step in where these drain or fail. Stops a fleet of routers from opening a connection a
    // pick, and each from knowing nothing of any host.
    std::size_t reach(const Pool &pool) const {
        if (!many()) return pool.hosts.size();
        const double part = pool.total() / std::max(1e-9, pools[0].total() + pools[1].total());
        const double heard = traffic * kHeardEach / 10000 * part;
        return std::min(pool.hosts.size(), std::max(kLeastReach, static_cast<std::size_t>(heard)));
    }

    // The host that likely met the key of late. Where routers are many it is one of the few that this router
    // hears of: one for all of them, each seeing little of its load, would be swamped.
    int favourite_of(const Rpc &rpc, const Pool &pool) const {
        if (!terms.rollout.key_affinity || rpc.from.key.empty()) return -1;
        if (!many()) return pool.keeper(salted_hash(rpc.from.key, 3));
        int found = -1;
        std::uint64_t most = 0;
        for (std::size_t i = 0; i < reach(pool); ++i) {
            const std::uint64_t draw =
                salted_hash(rpc.from.key, salted_hash(hosts[pool.hosts[i]].entry.id, 3));
            if (found < 0 || draw > most) found = pool.hosts[i], most = draw;
        }
        return found;
    }

    // The best of some hosts drawn by weight: of all where few routers share the load, of a few where many
    // do. Stops routers that see little of the load, and that late, from all picking the same host.
    int choose(const Rpc &rpc, bool trial) {
        weigh_hosts();
        const Pool &pool = pools[trial];
        if (pool.hosts.empty()) return -1;
        int best = -1, last = -1;
        double least = 0, least_last = 0;
        const int favourite = favourite_of(rpc, pool);
        const auto consider = [&](int i) {
            if (!eligible(rpc, hosts[i], trial)) return;
            const double price = cost(rpc, hosts[i]) * (i == favourite ? kWarmKeyCost : 1);
            if (used(rpc, i)) {
                if (last < 0 || price < least_last) last = i, least_last = price;
            } else if (best < 0 || price < least) {
                best = i, least = price;
            }
        };
        const std::size_t sample = std::max(kLeastDrawn, pool.hosts.size() * 2 / terms.instances);
        if (sample < pool.hosts.size()) {
            if (favourite >= 0) consider(favourite);
            for (std::size_t i = 0; i < sample; ++i) consider(pool.drawn(rng.uniform(), reach(pool)));
        }
        if (best < 0 || hosts[best].misses > 0)
            for (const int i : pool.hosts) consider(i);
        return best >= 0 ? best : last;
    }

    // --- the mechanism ---
    // The trial's part of the capacity, its cold hosts counted for what they can do by now.
    double trial_part() const {
        const double places = sound[0] + (terms.rollout.replaces_hosts ? sound[1] : 0);
        return places > 0 ? std::min(1.0, sound[1] / places) : 1;
    }

    // The trial's share of a method's real RPCs: in step with its places, a stage apart by repeat.
    double trial_share(int method) {
        Build &build = of(known.build);
        int first = 1 + static_cast<int>(terms.methods[method].repeat_policy);
        if (!terms.second_copies && first == 1) first = 0;
        // Where stages are few each has some of the last. Stops a build that fails one method alone from
        // being released before anyone has met that.
        first = std::min(first, static_cast<int>(terms.rollout.stage_shares.size()) - 1);
        double share = 0;
        if (known.stage >= first) {
            const auto stage = std::min<std::size_t>(known.stage, terms.rollout.stage_shares.size() - 1);
            share = std::min(terms.rollout.stage_shares[stage], trial_part());
            // A method with an effect starts at a trickle: a build that fails it alone shows in no pair.
            const double proven =
                build.proven[method] + (method < int(shown.size()) ? shown[method].succeeded() : 0);
            if (first > 1) share *= std::min(1.0, (proven + 3) / 15.0);
        }
        build.range[method] = std::max(build.range[method], share);
        return terms.rollout.sticky_keys ? build.range[method] : share;
    }

    Decision send(Rpc &rpc, int target, bool copy) {
        Host &host = hosts[target];
        const bool trial = on_trial(host.entry.build);
        const Method &method = method_of(rpc);
        const bool aged = host.entry.started <= 0 || now - host.entry.started > kColdSkip;
        budget -= !rpc.picks.empty() && rpc.picks.back().outcome != Outcome::connect_failed;
        rpc.picks.push_back({target, host.entry.build, now, trial, copy, aged, host.linked_until < now});
        keep_key(rpc, rpc.picks.back());
        if (host.open++ == 0) host.quiet_since = now;
        ++open;
        host.pushed.push_back(now);
        forget(host.pushed, now - terms.overload_window);
        if (trial) of(host.entry.build).picked[rpc.from.method].push_back(now);
        if (terms.default_cell_share < 1) note_flow(rpc.from.cell, host.entry.build);
        rpc.look_at = now + look_wait(rpc.from.method);
        if (method.repeat_policy != RepeatPolicy::non_idempotent) due.emplace(rpc.look_at, rpc.from.id);
        const Ticks left = rpc.from.deadline - now;
        const Ticks span = std::max<Ticks>(1, copy ? std::min(left, method.soft_deadline * 2) : left);
        return {.action = Action::pick, .rpc = rpc.from.id, .host = host.entry.id, .duration = span};
    }

    Ticks look_wait(int method) const {
        const double aim = terms.methods[method].soft_deadline;
        return std::clamp<double>(usual_latency(method) * kLookLatency, aim * kLookLeast, aim * kLookMost);
    }

    Decision finish(Rpc &rpc, bool push_back) {
        settle(rpc);
        ++turned_away;
        if (!push_back || !may_push_back(rpc)) return {.action = Action::abort, .rpc = rpc.from.id};
        const auto pause = static_cast<Ticks>(kPause * (1 + rng.uniform()));
        return {.action = Action::push_back,
                .rpc = rpc.from.id,
                .duration = std::min(terms.max_retry_after, pause)};
    }

    double worth_part(const Rpc &rpc) const {
        double most = 1e-9;
        for (std::size_t i = 0; i < terms.methods.size(); ++i) most = std::max(most, usefulness(i));
        const double part = kLeastWorth + (1 - kLeastWorth) * usefulness(rpc.from.method) / most;
        return part * (rpc.over_share ? kOverShare : 1);
    }

    bool crowded(double part) const { return open >= kFirstRoom * terms.max_open_picks * part; }

    // A method that comes past its soft deadline at every host while others do not is worth next to nothing,
    // and holds the place of those: most of it is pushed back, the rest tells when that is over.
    bool past_hope(const Rpc &rpc) {
        const auto &[late, seen] = lateness[rpc.from.method];
        const double least = least_late(terms.methods.size(), now - kLateSpan * 4);
        return late > 1 && seen > now - kLateSpan * 4 && least < late * kCalmPart && rng.uniform() > kAskPart;
    }

    // Pushback, least utility for its work first and tenants past their quota before all: under the limit,
    // for want of room, or by the wait to expect, which is what is pending over what was answered a second
    // at best. Stops jams before they show in answers; may push back at the head of a steep burst.
    bool shed(const Rpc &rpc) {
        const double part = worth_part(rpc), late_by = wait / method_of(rpc).soft_deadline / part;
        return crowded(part) || past_hope(rpc) ||
               (limit > 0 && open + rng.uniform() * many() >= limit * part) ||
               rng.uniform() < (late_by - kHopeful) / (kHopeless - kHopeful);
    }

    // Is there room for picks beyond the first? In a crowd they only take it from others.
    bool spare(const Rpc &rpc) const { return limit <= 0 && wait < method_of(rpc).soft_deadline * kCrowded; }

    double usefulness(std::size_t method) const {
        const double utility = terms.methods[method].utility;
        return terms.utility_per_work ? utility : utility / usual_latency(static_cast<int>(method));
    }

    Decision advance(Rpc &rpc) {
        if (rpc.done) return cut_rest(rpc);
        if (now >= rpc.from.deadline) return finish(rpc, false);
        if (rpc.picks.empty()) return first_pick(rpc);
        const bool spare = static_cast<int>(rpc.picks.size()) < terms.max_picks;
        if (rpc.want_copy) {
            rpc.want_copy = false;
            const int target = spare && budget >= 1 ? choose(rpc, true) : -1;
            if (target >= 0) return send(rpc, target, true);
        }
        if (const auto count = open_picks(rpc); count > 0)
            return count == 1 && spare ? look_elsewhere(rpc) : Decision{};
        const bool paid = budget >= 1 || (unrun(rpc) && budget > -kBudgetMost);
        if (spare && paid && rpc.from.deadline - now > usual_latency(rpc.from.method) / 2) {
            int target = choose(rpc, false);
            if (target < 0) target = choose(rpc, true);
            if (target >= 0) return send(rpc, target, false);
        }
        return finish(rpc, true);
    }

    Decision first_pick(Rpc &rpc) {
        const Method &method = method_of(rpc);
        const bool drawn = trial_runs() && rpc.place < trial_share(rpc.from.method);
        // A jam of the earlier hosts is none of the trial's where these are clearly emptier: its part is
        // sent, where few routers know the load. Stops a release that fails late from starving its heir.
        const bool jam = drawn && !many() && limit > 0 && pools[0].load > pools[1].load * kFuller;
        if (!(jam && !crowded(1) && choose(rpc, true) >= 0) && shed(rpc)) return finish(rpc, true);
        const bool copyable = trial_runs() && terms.second_copies &&
                              method.repeat_policy == RepeatPolicy::idempotent && !rpc.from.retry &&
                              spare(rpc) && !method.streams_answer;
        const int newer = drawn || copyable ? choose(rpc, true) : -1;
        int target = choose(rpc, false);
        // The draw yields where the trial's hosts are clearly fuller. Stops the hand-over from jamming them
        // while others have room: cold or lost hosts, popular keys, a slow build. Fewer picks judge it.
        const bool fuller = newer >= 0 && target >= 0 && pools[1].load > pools[0].load * kFuller;
        if (drawn && newer >= 0) yielding += (fuller - yielding) * 0.03;
        if (drawn && newer >= 0 && (!fuller || terms.rollout.sticky_keys)) target = newer;
        // Where no earlier host may take it, the trial does as far as its cap allows, whatever the stage.
        if (target < 0) target = choose(rpc, true);
        if (target < 0) return finish(rpc, true);
        // A copy is drawn by what the trial's hosts can bear beside their real traffic. Stops copies, of
        // retries too, from swamping them, cold ones above all, which would read as divergence.
        const double bearable = trial_part() * (known.stage > 0 ? kCopyBeside : 1);
        rpc.want_copy = copyable && newer >= 0 && !fuller && target != newer && rng.uniform() < bearable;
        return send(rpc, target, false);
    }

    // An RPC at a host that is silent or far slower than the rest looks elsewhere: beside it where second
    // copies are allowed, else in its place. Stops silent, stalled and slow hosts from holding RPCs past
    // their soft deadline; adds load when many hosts stall at once, which the budget bounds.
    Decision look_elsewhere(Rpc &rpc) {
        const Method &method = method_of(rpc);
        const bool beside = terms.second_copies && method.repeat_policy == RepeatPolicy::idempotent;
        if (method.repeat_policy == RepeatPolicy::non_idempotent || method.streams_answer ||
            now < rpc.look_at)
            return {};
        const auto at =
            std::find_if(rpc.picks.begin(), rpc.picks.end(), [](auto &pick) { return pick.open; });
        const Host &host = hosts[at->host];
        const bool slow = silent(host, rpc.from.method) || host.excess - lately.fleet > std::log(kSlowAil);
        const int target = slow && !at->cut && budget >= 1 && spare(rpc) ? choose(rpc, false) : -1;
        if (target < 0 || used(rpc, target) || (!beside && !terms.may_cancel)) {
            rpc.look_at = now + look_wait(rpc.from.method) / 2;
            due.emplace(rpc.look_at, rpc.from.id);
            return {};
        }
        if (beside) return send(rpc, target, false);
        at->cut = true;
        return {
            .action = Action::cancel, .rpc = rpc.from.id, .pick = static_cast<int>(at - rpc.picks.begin())};
    }

    // Losers of a finished RPC are cut; a copy runs on, as its end is evidence, unless there is no room.
    Decision cut_rest(Rpc &rpc) {
        for (Pick &pick : rpc.picks) {
            if (!pick.open || pick.cut || (pick.copy && limit <= 0) || !terms.may_cancel) continue;
            pick.cut = true;
            return {.action = Action::cancel,
                    .rpc = rpc.from.id,
                    .pick = static_cast<int>(&pick - rpc.picks.data())};
        }
        return {};
    }

    // --- votes ---
    Evidence gather(const Build &build) const {
        Evidence seen =
            collect(build, now - kEvidenceAge, now - kEvidenceAge / 2, kBesides, kSlowSample, calm.fleet);
        seen.usual = earlier_fails;
        if (seen.medians.empty() || trial_part() > kMinority) return seen;
        // A slow build is slow on most hosts: the middle one speaks, and few hosts must speak louder. Stops
        // votes back for a neighbour or a weaker machine under the trial; a mildly slow build shows later.
        seen.slow = seen.medians[(seen.medians.size() - 1) / 2];
        seen.slow_bar = slow_bar(static_cast<double>(seen.medians.size()));
        return seen;
    }

    double slow_bar(double hosts_timed) const {
        return std::log(kSlowRatio * (terms.rollout.key_affinity ? kColdKeys : 1) *
                        (1 + kFewHosts / hosts_timed));
    }

    // What all routers saw: the platform's tallies, or else what peers told. Stops a build that no router
    // alone has pairs enough to find. Tallies come late, and neither tells which hosts failed.
    Evidence gather_told() {
        Evidence told = compare_all(pool(), kBackPairs, kBeat, now - kEvidenceAge / 2);
        // Where the trial carries most the few picks of the earlier hosts, which stand idle beside it by
        // then, are no measure of its latency.
        const bool witnessed = terms.rollout.replaces_hosts || trial_part() <= kMinority;
        if (told.timed < kBackPairs || limit > 0 || !witnessed) told.slow = 0;
        // Tallies count picks that no host took as failures; own picks tell how many those are.
        if (!tallies.empty()) told.usual += of(known.build).tried.failure_share();
        const double chance = kSlowChance / std::sqrt(std::max(1.0, told.timed));
        told.slow_bar = slow_bar(hosts_there()) + chance;
        return told;
    }

    // Each tells its word to a few, drawn for all alike and anew each round, and these tell the sum to all.
    // Stops words from costing the square of the routers, or from coming a stage late.
    TrialSummary pool() { return pooled(now - 5 * kTellRound / 2, own_word(now - kEvidenceAge)); }

    Decision tell() {
        if (!terms.exchanges_summaries || terms.ordinal < 0 || !(trial_runs() || fresh())) return {};
        const Ticks round = (now - stage_at) / kTellRound;
        if (round != std::exchange(tell_round, round)) {
            tell_left = kCollectors;
            tell_at = now + static_cast<Ticks>(kTellRound / 2 * rng.uniform());
            for (int which = 0; which < kCollectors; ++which)
                if (drawn_peer((round - 1) * kCollectors + which) == terms.ordinal)
                    return {.action = Action::send_summary, .text = pool().encode()};
        }
        while (now >= tell_at && tell_left > 0)
            if (const int peer = drawn_peer(round * kCollectors + --tell_left); peer != terms.ordinal)
                return {.action = Action::send_summary,
                        .text = own_word(now - kEvidenceAge).encode(),
                        .peer = peer};
        return {};
    }

    bool fresh() const { return watching() && released_at >= 0 && now - released_at < kWatch; }

    double hosts_there() const { return std::max<std::size_t>(1, pools[trial_runs()].hosts.size()); }

    // Of many routers some one meets several bad hosts by chance. Stops it from sending a good build back for
    // all: its own failures speak only where they have struck that many hosts, more of them the more routers.
    bool strikes_few(const Evidence &seen) const {
        const long struck = seen.struck();
        return many() && struck < kBackDivergences + std::log10(terms.instances) &&
               struck < static_cast<long>(seen.by_host.size());
    }

    // Has it answered or failed often enough of late for its figures to be its own? Stops a router of many,
    // that meets each host now and then, from taking one slow answer for a sick host.
    bool known_well(const Host &host) const { return faded(host.heard, host.heard_at) >= kHeardWell; }
    bool unwell(const Host &host) const {
        return fails(host) > kAilShare || missing(host) > 1 ||
               host.excess - lately.fleet > std::log(kSlowAil);
    }

    // The chance that trouble which strikes hosts blindly would strike the trial's eldest, all up to the last
    // unwell one. Stops builds bad with age or load, which routing hides as it turns from their hosts.
    double blind_chance() const {
        std::vector<std::pair<Ticks, bool>> trial;
        double struck = 0, all = 0;
        for (const Host &host : hosts) {
            if (!usable(host) || now - host.entry.started < kColdSkip || !known_well(host)) continue;
            ++all, struck += unwell(host);
            if (on_trial(host.entry.build)) trial.emplace_back(host.entry.started, unwell(host));
        }
        return chance_eldest(std::move(trial), struck, all);
    }

    // Log odds that complaints, some of them false, come of the build: against the rate that others draw.
    double flag_odds(const Evidence &told) const {
        if (terms.rollout.flag_share <= 0) return 0;
        double flags = 1, answers = kFlagPrior;
        for (const auto &[number, build] : builds)
            if (number < known.build) flags += build.flags, answers += build.answers;
        const double usual_rate = flags / answers;
        const double bad_rate = usual_rate + terms.rollout.flag_share * kWrongShare;
        return told.answers.failed * std::log(bad_rate / usual_rate) -
               told.answers.picks * (bad_rate - usual_rate);
    }

    // The bar falls as the sample grows, and rises where the earlier build fails: trouble strikes hosts, few
    // unevenly. Stops a build that fails a tenth of its picks from passing under the first sample's bar.
    bool fails_much(const Evidence &seen, double part = 1, double turned_away = 0) const {
        const auto much = [&](const PickCounts &count, int least, double share) {
            const double picks = std::max<double>(least, count.picks);
            const double uneven = kUneven * std::sqrt(seen.usual * (1 / hosts_there() + 1 / picks));
            const double unseen = seen.alone * kHostsFail;
            const double bar =
                std::max(kLeastShare, share * least / picks) + seen.usual + uneven + unseen + turned_away;
            return count.picks >= least * part && count.failed > bar * count.picks * part &&
                   count.failed >= std::min<double>(least, kBackDivergences) * part;
        };
        return much(seen.all, kBackPairs, kBackShare) ||
               std::any_of(seen.by_method.begin(), seen.by_method.end(),
                           [&](const PickCounts &count) { return much(count, kMethodPairs, kMethodShare); });
    }

    // Tallies count picks that full hosts turned away as failures, and a router of many meets too few of
    // those to know how many. Stops a good build from being sent back for a crowd at its first, cold hosts:
    // so many of the tallied failures count only where own failures bear them out. A bad build is found once
    // one router of all has met them.
    // Not where several must agree: each of them would have to meet some.
    bool borne_out(const Evidence &seen) const {
        const bool one_decides = terms.rollout.advance_policy == AdvancePolicy::any_vote;
        return tallies.empty() || !many() || !one_decides || seen.all.failed >= kOwnFailures;
    }

    // All picks slower than when the trial began, by more than more first tries or fewer sound hosts explain:
    // the build slows or jams all hosts. Stops one whose harm shows at none of its own. Some hosts are slow
    // by their own fault: so the bar is high, over what the first stage had, while the trial carries much.
    bool slows_all(const Evidence &told) {
        if (trial_runs() && known.stage == 0) early_rise = std::max(0.0, told.pace);
        const double then = calm.sound > 0 ? calm.sound : lately.sound; // it started since and knows no calm
        const double load = told.more * then / std::max(1e-9, lately.sound);
        const double explained = kLoadRise * std::max(0.0, std::log(load)) + kFailRise * earlier_fails;
        const double bar = std::log(kSlowedRatio) + explained;
        const bool carries = trial_runs() && (known.stage >= kMuchFrom || in_last_stage());
        const bool telling = !tallies.empty() || told.witnesses * 2 > terms.instances;
        const bool open_case = many() && (fresh() || carries) && telling && !calm.limited;
        lasts(open_case && told.pace - early_rise > bar * kSharedDoubt, suspect_since, kSlowFor);
        return lasts(open_case && told.pace - early_rise > bar, shared_since, kSlowFor);
    }

    Verdict judgement() {
        const Evidence seen = gather(of(known.build)), told = gather_told();
        const double odds = flag_odds(told);
        if (odds > kFlagProof + std::log(terms.instances)) return back("flags", seen, odds);
        const bool pooled = !tallies.empty() || (told.routers > 1 && told.routers * 2 > terms.instances);
        const bool enough = trial_runs() && pooled && told.before.picks >= kBackPairs;
        const bool sees = fails_much(seen) && !strikes_few(seen);
        const double turned_away = borne_out(seen) ? 0 : kTurnedAway;
        const bool failing = sees || (enough && fails_much(told, 1, turned_away));
        if (trial_runs() && many()) shown = told.by_method;
        // One method alone, against the earlier build's and the trial's other methods, as hosts' troubles
        // strike all. Stops a build that fails a rare method from doing harm until that has a sample of its
        // own.
        const auto odds_of = [](auto &e) { return e.method_odds(kMethodFails, kLeastFails, kFewPicks); };
        const double odds_own = odds_of(seen) - std::log(terms.instances), odds_all = odds_of(told);
        if (trial_runs() && many() && std::max(odds_own, pooled ? odds_all : 0) > kMethodProof)
            return back("one method", odds_own > odds_all ? seen : told, std::max(odds_own, odds_all));
        // A lone host's failures may be its own: the trial waits, then goes on, as more hosts tell.
        const bool lone = trial_runs() && pools[1].hosts.size() == 1;
        const bool waited = now - stage_at > kLoneFor;
        if (lone && waited && terms.rollout.advance_policy != AdvancePolicy::timer) return Verdict::advance;
        // A neighbour, a failing or silent host under the trial is not the build.
        const bool theirs =
            seen.by_host.size() > 1 && seen.on_worst_third() > kConcentrated * seen.all.failed;
        if (failing && !lone && !theirs) return back("failures", sees ? seen : told, seen.usual);
        const double blind = trial_runs() ? blind_chance() : 1;
        // Any of many routers may meet what is unlikely for one.
        const double all = std::max(std::sqrt(terms.instances), 1.0 * terms.instances / kFewRouters);
        if (lasts(blind < kBlind / all, struck_since, kSlowFor)) return back("its hosts", seen, blind);
        if (slows_all(told)) return back("slowing all", told, told.pace);
        if (watching()) return Verdict::none;
        const bool slow = seen.slow > seen.slow_bar;
        const bool told_slow = enough && told.slow > told.slow_bar;
        if (lasts(slow, slow_since, kSlowFor) && !lone) return back("latency", seen, std::exp(seen.slow));
        if (told_slow && !lone) return back("tallied latency", told, std::exp(told.slow));
        if (terms.rollout.advance_policy == AdvancePolicy::timer) {
            const bool doubtful =
                seen.all.picks >= kHoldPairs && seen.all.failure_share() > kHoldShare + seen.usual;
            return doubtful || slow || suspect_since >= 0 ? Verdict::hold : Verdict::none;
        }
        // A trial that others must spare load is not proven for more: slow builds, and those bad when busy.
        if (failing || slow || suspect_since >= 0 || yielding > kYieldMost) return Verdict::none;
        // The last vote on takes the earlier hosts away: not while the trial's are cold, or they are swamped.
        const bool last = in_last_stage();
        const auto cold = [&](int i) { return warmth(hosts[i]) < kWarmEnough; };
        if (last && std::any_of(pools[1].hosts.begin(), pools[1].hosts.end(), cold)) return Verdict::none;
        // Nor on the word of a few routers, each of which saw little, where the figures of all lack or are in
        // doubt: the fewer of them must agree, the more these must hold.
        const double needed = alone() * (last ? kReleasePicks : known.stage > 0 ? kOnPooled : 0);
        const bool doubt =
            blind < kBlindDoubt || (enough && told.slow > told.slow_bar * kSlowDoubt) ||
            (many() && pooled && !waited && (odds_all > kMethodDoubt || fails_much(told, kFailDoubt)));
        if (doubt || (told.all.picks < needed && !waited)) return Verdict::none;
        const double borne = kOnDivergences + (seen.usual + kOnShare) * seen.all.picks;
        if (seen.all.failed > borne) return Verdict::none;
        if (seen.stage.picks >= kOnPairs) return Verdict::advance;
        return seen.stage.failed <= 0 && now - stage_at >= kOnAnyway ? Verdict::advance : Verdict::none;
    }

    Verdict back(const std::string &cause, const Evidence &seen, double figure) {
        const PickCounts &all = seen.all;
        if (voted != Verdict::roll_back)
            log("back for " + cause + ": %.0f of %.0f, %.2f", all.failed, all.picks, figure);
        return Verdict::roll_back;
    }

    bool in_last_stage() const {
        return known.stage + 1 >= static_cast<int>(terms.rollout.stage_shares.size());
    }
    // How far the word of one goes for all: 0 where all must agree.
    double alone() const {
        return 1 - std::min(1.0, double(terms.rollout.votes_to_advance) / terms.instances);
    }

    // Stops a build that turns bad with its hosts' age or load from being released by the one router that saw
    // it clean for a moment, while the others hold: where one vote does it, it is cast once it has lasted.
    Verdict once_proven(Verdict judged) {
        const Ticks span = static_cast<Ticks>(kProvenFor * alone()) - 1;
        const bool proven = lasts(judged == Verdict::advance, proven_since, span);
        return judged == Verdict::advance && in_last_stage() && !proven ? Verdict::none : judged;
    }

    // The platform takes so many votes a second of all routers together. Stops a fleet from using them up for
    // votes that stand already or are tried again at once, before votes back and the first of others.
    Ticks vote_again_at() const {
        const double rate = terms.rollout.votes_per_s;
        const double turn = rate > 0 ? terms.instances / rate * 10000 : 0; // until each has had one
        const bool scarce = turn > kVoteRenewal;
        const Ticks life = terms.rollout.vote_lifetime;
        const Ticks stands = scarce ? life * 9 / 10 : std::min(kVoteRenewal, life * 2 / 3);
        if (vote_counts) return voted_at + stands;
        const double pause = voted == Verdict::roll_back ? 0 : turn * kVoteTries * vote_draw;
        return voted_at + std::max<Ticks>(kVoteRetry, static_cast<Ticks>(pause));
    }

    Decision vote() {
        if (!(trial_runs() || watching()) || now < judge_at) return {};
        judge_at = now + kBeat;
        // A vote back stands for its time: one that wavers with the last few samples may never be counted.
        const bool stands_back = voted == Verdict::roll_back && now < voted_at + kVoteRenewal;
        const Verdict verdict = stands_back ? voted : once_proven(judgement());
        if (verdict == Verdict::none && voted == Verdict::none) return {};
        if (verdict == voted && now < vote_again_at()) return {};
        voted = verdict;
        voted_at = now;
        vote_draw = 0.5 + rng.uniform();
        vote_counts = false;
        return {.action = Action::vote, .build = known.build, .stage = known.stage, .verdict = verdict};
    }

    // Discovery works through the calls of all routers one at a time, also those that have been given up. The
    // more routers, the wider each spreads its calls. Stops a fleet that starts in one instant from keeping
    // that line full for itself, and the news of standing watches behind it.
    Ticks ask_span() const { return std::min(kAskSpread, kAskEach * terms.instances); }

    // After a first failure the next call leaves in time to renew the lease. Later ones are spread as widely
    // as the line needs, and ever wider: a crowded discovery works through calls that nobody waits for any
    // more, and a fleet that goes on asking keeps it so. Costs routers without a list some seconds more.
    void host_list_failed(Ticks lease_left) override {
        const int repeated = failed_calls++;
        const Ticks in_time = lease_left - kCallTakes;
        if (repeated == 0 && in_time > kAskAgain) {
            const Ticks span = std::min(ask_span(), in_time - kAskAgain);
            ask_at = now + kAskAgain + static_cast<Ticks>(static_cast<double>(span) * rng.uniform());
            return;
        }
        const double growth = std::min(kAskGrowthMost, std::pow(kAskGrowth, std::max(0, repeated - 1)));
        const double least = growth * static_cast<double>(std::max(kAskAgain, ask_span()));
        ask_at = now + static_cast<Ticks>(least + static_cast<double>(ask_span()) * rng.uniform());
    }

    Decision next_decision() override {
        weigh_hosts();
        budget = std::min(kBudgetMost, budget + kBudgetShare * std::exchange(earned, 0));
        for (; !todo.empty(); todo.pop_front()) {
            const auto found = rpcs.find(todo.front());
            if (found == rpcs.end()) continue;
            Rpc &rpc = found->second;
            if (Decision made = advance(rpc); made.action != Action::none) return made;
            rpc.queued = false;
            if (rpc.done && open_picks(rpc) == 0) rpcs.erase(found);
        }
        if (Decision made = vote(); made.action != Action::none) return made;
        if (Decision made = tell(); made.action != Action::none) return made;
        if (terms.requests_host_list && ask_at >= 0 && ask_at <= now) {
            ask_at = -1;
            return {.action = Action::request_host_list};
        }
        if (!lines.empty()) {
            Decision made{.action = Action::log, .text = std::move(lines.front())};
            lines.pop_front();
            return made;
        }
        const Ticks wanted = std::max(now + 1, due.empty() ? beat_at : std::min(beat_at, due.top().first));
        if (armed >= 0 && armed <= wanted) return {};
        armed = wanted;
        return {.action = Action::wake, .duration = armed};
    }
};
} // namespace

std::unique_ptr<Router> make_router(DeploymentConfig terms, std::uint64_t seed) {
    return std::make_unique<Decider>(std::move(terms), seed);
}
} // namespace pineridge
