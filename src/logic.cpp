// All decisions of pineridge. The interface is src/logic.hpp.
// How to call it: give the batch's time by clock(), then every input in the order it came; inputs only update
// what is known. Then call next() until it answers Act::none and carry out each decision in that order. It
// asks by Act::wake for a later clock() call. One Router is one instance; it shares nothing with another.
#include "logic.hpp"
#include "state.hpp"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace pineridge {
namespace {
// The divergence gate, in the design page's numbers where it gives them.
constexpr int kBackDivergences = 5;   // fewer are chance
constexpr int kBackPairs = 20;        // least sample for a vote back over all methods
constexpr double kBackShare = 0.20;   // divergence share above the earlier build's own
constexpr int kMethodPairs = 6;       // least sample for one method: effectful picks are dear to spend
constexpr double kMethodShare = 0.35; // and the share it needs, as the sample is small
constexpr double kConcentrated = 0.8; // of the failures on a third of the trial's hosts: theirs
constexpr Ticks kLoneFor = 100000;    // in stage one on one host, whose failures may be its own
constexpr double kTroubled = 2; // the earlier build's own share counts so often: trouble strikes unevenly
constexpr double kLeastShare = 0.02;    // that share falls with the sample, to this
constexpr double kHoldShare = 0.10;     // timer: hold above this share
constexpr int kHoldPairs = 10;          // over so many pairs
constexpr int kOnPairs = 20;            // pairs in the stage before a vote on
constexpr int kOnDivergences = 1;       // at most so many of them diverging
constexpr double kOnShare = 0.01;       // and so much of a large sample: machines fail a little anyway
constexpr Ticks kOnAnyway = 30000;      // a clean balancer votes on after so long in a stage
constexpr Ticks kVoteRenewal = 40000;   // votes renew
constexpr Ticks kVoteRetry = 3000;      // a vote that was not counted is sent again
constexpr double kSlowRatio = 1.5;      // median latency against the earlier build's
constexpr std::size_t kSlowSample = 10; // latencies before a host's median speaks
constexpr std::size_t kBesides = 50;    // latencies of the earlier build at the same time, to compare with
constexpr double kColdKeys = 1.3;       // trial hosts have yet to meet the keys that the earlier ones know
constexpr double kFewHosts = 0.8;       // a lone trial host must be so much slower still: machines differ
constexpr Ticks kColdSkip = 50000;      // hosts younger than this are left out of the latency median
constexpr Ticks kEvidenceAge = 80000;   // older samples say nothing of a build that turns bad with time

constexpr double kPeakFade = 0.985;   // a beat, of the peak that traffic is remembered by
constexpr Ticks kSlowFor = 10000;     // the trial's median stays over the bar
constexpr double kMinority = 0.6;     // trial's part up to which the earlier hosts can bear witness
constexpr double kSharedRise = 1.5;   // rise of every host's latency since the trial began
constexpr double kLoadRise = 1.5;     // powers of the traffic's growth that explain a rise
constexpr Ticks kWatch = 100000;      // after a release too
constexpr double kSharedSound = 0.85; // nor fewer sound hosts

constexpr Ticks kSharedFor = 12000; // and that lasts
constexpr int kFewRouters = 3;      // with more, traffic is not spread evenly enough to be known
constexpr double kFuller = 1.5;     // cost of the trial's best host over the earlier one's: clearly fuller

constexpr double kYieldMost = 0.35; // yielding more, the trial is not voted on
constexpr double kCopyBeside = 0.2; // copies beside real traffic, over the trial's part of it

constexpr double kWarmEnough = 0.75; // of each trial host's capacity, before the earlier ones are let go

constexpr double kFlagProof = 6.0;   // log odds that complaints follow the build
constexpr double kWrongShare = 0.06; // share of wrong answers that the odds are set for
constexpr double kFlagPrior = 250;   // answers' worth of belief in few false complaints

// Routing, health, time-outs and pushback.
constexpr double kHostRate = 0.1; // weight of the newest outcome in a host's figures

constexpr int kRestStreak = 4; // failures in a row that rest a host
constexpr Ticks kRest = 10000; // first rest; doubles up to eight times that

constexpr double kRestShare = 0.4;    // at most this share of the hosts rests: the others must carry it
constexpr double kForgive = 30000.0;  // a failure share halves in this time without picks
constexpr double kSilence = 4.0;      // times the usual latency without any answer: silent
constexpr double kUnwell = 2.5;       // latency over the fleet's that lets an RPC look elsewhere
constexpr Ticks kReportAge = 15000;   // older load reports are not used
constexpr double kReportTrust = 0.5;  // of what a report shows beyond own picks, as it is late
constexpr double kWarmKeyCost = 0.75; // a host that has likely met the key is this much cheaper
constexpr double kOlderCost = 3.0;    // a released build goes before those it replaces
constexpr double kBudgetShare = 0.12; // further picks and copies, as a share of the RPCs
constexpr double kBudgetMost = 30;    // saved up at most
constexpr double kLookLatency = 3.0;  // usual latencies before an RPC looks elsewhere
constexpr double kLookLeast = 0.3;    // of the soft deadline
constexpr double kLookMost = 0.6;
constexpr double kLateHigh = 0.65;   // mean latency over soft deadline: above, fewer open RPCs
constexpr double kLateLow = 0.45;    // below, more
constexpr double kCutLimit = 0.92;   // a step down of the limit
constexpr double kRaiseLimit = 1.04; // a step up
constexpr double kLeastWorth = 0.8;  // share of the limit open to the least useful method
constexpr double kOverShare = 0.5;   // share of the limit open to a tenant past its quota
constexpr double kColdSafety = 0.8;  // of the push that a cold host stands
constexpr double kPaceFade = 0.997;  // a beat: what warm hosts took is remembered while none are left
constexpr int kColdFloor = 2;        // picks a window that are always allowed
constexpr Ticks kBeat = 1000;        // how often standing matters are looked at
constexpr Ticks kAskAgain =
    8000; // first wait after a failed call for the list; doubles up to four times that

constexpr Ticks kPause = 3000; // advice to a client that is pushed back

class Decider final : public Router, Instance {
  public:
    Decider(Terms given, std::uint64_t seed) : Instance(std::move(given), seed) { budget = kBudgetMost / 2; }

    // --- bookkeeping ---

    double rating(const Host &host) const { return std::max(0.05, host.entry.rating); }
    double weight(const Host &host) const { return rating(host) * warmth(host); }
    double warmth(const Host &host) const {
        if (host.entry.started <= 0) return 1;
        const double grown = double(now - host.entry.started) / std::max<Ticks>(1, terms.cold_for);
        return std::clamp(terms.cold_share + (1 - terms.cold_share) * grown, terms.cold_share, 1.0);
    }

    double fails(const Host &host) const {
        return host.fails * std::exp2(-static_cast<double>(now - host.fails_at) / kForgive);
    }

    bool well(const Host &host) const { return host.rest_until <= now && fails(host) < kBackShare; }

    // Has this held for so long? A figure that tops its bar for a moment, as queues jump, is no verdict.
    bool lasts(bool held, Ticks &since, Ticks span) const {
        since = !held ? -1 : since < 0 ? now : since;
        return held && now - since > span;
    }

    double usual_latency(int method) const {
        return usual_count[method] ? std::exp(usual[method])
                                   : kLookLeast * terms.methods[method].soft_deadline;
    }

    void clock(Ticks at) override {
        now = std::max(now, at);
        for (; !due.empty() && due.top().first <= now; due.pop())
            if (const auto found = rpcs.find(due.top().second); found != rpcs.end()) enqueue(found->second);
        if (armed <= now) armed = -1;
        if (now < beat_at) return;
        beat_at = now + kBeat;
        const double span = static_cast<double>(std::max<Ticks>(1, now - traffic_at)) / 10000;
        traffic += (arrivals / span - traffic) * 0.06;
        arrivals = 0;
        traffic_at = now;
        forget(warm_picks, now - 10000);
        while (!earlier.empty() && earlier.front().at < now - kEvidenceAge) earlier.pop_front();
        while (!tallies.empty() && tallies.front().first < now - kEvidenceAge) tallies.pop_front();
        double warm = 0;
        lately.sound = 0;

        std::vector<double> excess, all;
        for (const Host &host : hosts) {
            if (usable(host) && warmth(host) >= 1) warm += rating(host);
            if (usable(host) && well(host)) lately.sound += weight(host);
            if (!usable(host) || now - host.entry.started < kColdSkip) continue;
            all.push_back(host.excess);
            if (!on_trial(host.entry.build)) excess.push_back(host.excess);
        }
        if (warm > 0) pace = std::max(pace * kPaceFade, pace + (warm_picks.size() / warm - pace) * 0.05);
        lately.limited = limit > 0;
        if (!excess.empty()) lately.fleet = median(excess);
        std::sort(all.begin(), all.end());
        if (!all.empty()) lately.better = all[all.size() / 4];
        lately.traffic = std::max(traffic, lately.traffic * kPeakFade);
        Count served;
        for (const Sample &sample : earlier) served.add(1, sample.failed);
        if (served.picks >= kBackPairs && !(watching() && released_at >= 0)) earlier_fails = served.share();
        bend_limit();
    }

    // The limit on open picks follows how late answers come. Stops a jam in which every answer is too late,
    // whatever its cause: bursts, lost hosts, retries, slow builds. May shed too much when one host is slow.
    void bend_limit() {
        if (late > kLateHigh) {
            if (limit <= 0) log("limit on: open %.0f lateness %.2f of %.2f", open, late, kLateHigh);
            limit = std::max(4.0, (limit > 0 ? std::min<double>(limit, open) : open) * kCutLimit);
        } else if (limit > 0 && late < kLateLow) {
            if (open > limit * 0.7) limit *= kRaiseLimit;
            if (open > limit * 0.3 || late > kLateLow * 0.6) return;
            log("limit off: open %.0f of %.0f lateness %.2f", open, limit, late);
            limit = 0;
        }
    }

    void arrived(Arrival from) override {
        taken.at(from.method).push_back(now);
        arrivals += !from.retry;
        budget = std::min(kBudgetMost, budget + kBudgetShare);
        Rpc rpc{std::move(from), 0};
        rpc.place = rpc.from.key.empty() ? rng.unit() : (mix(rpc.from.key, 7) >> 11) * 0x1p-53;
        if (!tokens.empty()) {
            for (std::size_t i = 0; i < tokens.size(); ++i) {
                const double quota = terms.tenant_quotas[i] / terms.instances;
                tokens[i] = std::min(quota, tokens[i] + quota * (now - tokens_at) / 10000.0);
            }
            tokens_at = now;
            rpc.over_share = terms.tenant_quotas.at(rpc.from.tenant) > 0 && tokens[rpc.from.tenant] < 1;
            if (!rpc.over_share) tokens[rpc.from.tenant] -= 1;
        }
        due.emplace(rpc.from.deadline, rpc.from.id);
        const std::string id = rpc.from.id;
        enqueue(rpcs.insert_or_assign(id, std::move(rpc)).first->second);
    }

    void learn(const Rpc &rpc, const Pick &pick, Ticks took) {
        Host &host = hosts[pick.host];
        const int method = rpc.from.method;
        // In a jam time-outs tell of the load; only then are they left out of the evidence.
        const bool jam = limit > 0 && pick.outcome == Outcome::too_slow;
        const bool served = pick.outcome == Outcome::ok, diverged = diverges(pick.outcome) && !jam;
        const bool failed = diverges(pick.outcome) || pick.outcome == Outcome::no_route;
        if (pick.outcome == Outcome::no_room) host.full_until = now + kBeat / 2;
        if (pick.outcome != Outcome::undone && pick.outcome != Outcome::too_slow) host.quiet_since = now;
        if (served || failed) {
            host.fails = fails(host) + (failed - fails(host)) * kHostRate;
            host.fails_at = now;
            host.streak = failed ? host.streak + 1 : 0;
            if (served) host.rest = 0;
            rest_if_failing(host);
        }
        const bool timed = served || pick.outcome == Outcome::too_slow;
        const double excess = excess_of(pick, method, took);
        if (timed && usual_count[method] > 0) host.excess += (excess - host.excess) * kHostRate;
        const double ratio = static_cast<double>(took) / method_of(rpc).soft_deadline;
        if (timed) late += (std::min(ratio, 1.5) - late) * 0.02;
        of(pick.build).proven[method] += served;
        if (pick.on_trial) {
            if (!pick.copy && (served || diverged)) judge(rpc, pick, diverged, excess);
            return;
        }
        if (served && !trial_runs()) {
            usual[method] += excess * std::max(1.0 / ++usual_count[method], 0.004);
            if (usual_count[method] > 20) kind_excess[host.entry.kind] += excess * 0.01;
        }
        if (!served && !diverged) return;
        earlier.push_back({now, method, pick.host, diverged, timed, excess});
        if (pick.build == known.build && watching())
            judge(rpc, pick, diverged && pick.outcome != Outcome::too_slow, excess);
    }

    // A host that fails in a row is rested. Stops fast failures from drawing picks, and covers dead and
    // refusing hosts; never so many at once that the rest would be swamped.
    void rest_if_failing(Host &host) {
        if (host.streak < kRestStreak || host.rest_until > now) return;
        double resting = 1, all = 0;
        for (const Host &other : hosts) {
            all += usable(other);
            resting += usable(other) && other.rest_until > now;
        }
        if (resting > std::max(1.0, all * kRestShare)) return;
        host.rest = std::clamp(host.rest * 2, kRest, kRest * 8);
        host.rest_until = now + host.rest;
    }

    void judge(const Rpc &rpc, const Pick &pick, bool failed, double excess) {
        if (failed && !pick.aged && pick.outcome == Outcome::too_slow) return; // a cold host's slowness
        std::deque<Sample> &samples = of(pick.build).samples;
        const bool timed = pick.aged && usual_count[rpc.from.method] > 0;
        samples.push_back({now, rpc.from.method, pick.host, failed, timed, excess});
        while (samples.size() > 400 || samples.front().at < now - kEvidenceAge) samples.pop_front();
    }

    // A pair counts once both ends are known; a copy that was cut, or whose twin failed too, says nothing.
    void judge_pair(Rpc &rpc, Ticks took) {
        const Pick *copy = nullptr;
        bool served = false;
        for (const Pick &pick : rpc.picks) {
            if (pick.copy) copy = &pick;
            served = served || (!pick.copy && !pick.open && pick.outcome == Outcome::ok);
        }
        if (rpc.paired || !copy || copy->open) return;
        rpc.paired = copy->outcome == Outcome::ok || (served && diverges(copy->outcome));
        if (!rpc.paired) return;
        judge(rpc, *copy, copy->outcome != Outcome::ok, excess_of(*copy, rpc.from.method, took));
    }

    void ended(const std::string &id, int number, Outcome outcome, Ticks took, bool complete,
               const std::vector<double> &report) override {
        Rpc *found = close_pick(id, number, outcome);
        if (!found) return;
        Rpc &rpc = *found;
        const Pick &pick = rpc.picks[number];
        note_report(hosts[pick.host], report);
        learn(rpc, pick, took);
        if (outcome == Outcome::ok && !rpc.done) {
            of(pick.build).answers += 1;
            if (terms.rollout.keys_stay && on_trial(pick.build)) of(pick.build).keys.insert(rpc.from.key);
        }
        rpc.done = rpc.done || complete || outcome == Outcome::ok;
        judge_pair(rpc, took);
        enqueue(rpc);
    }

    void list(const std::vector<HostEntry> &entries, bool whole) override { take_list(entries, whole); }
    void flagged(const std::string &host, Ticks age) override { take_flag(host, age); }
    void tally(const Tally &row) override { tallies.emplace_back(now - row.age, row); }

    void finished(const std::string &id, int streams) override { mark_done(id, streams); }

    void news(const News &told) override {
        if (told.answers_vote) vote_counts = told.valid;
        if (!told.valid) return;
        const bool other = !has_news || told.build != known.build;
        if (other || told.stage != known.stage || told.phase != known.phase) {
            if (trial_runs() && told.phase == Phase::released && !other) released_at = now;
            if (other || (told.phase != known.phase && told.phase != Phase::released)) {
                calm = lately;
                yielding = 0;
                suspect_since = slow_since = -1;
            }
            stage_at = now - told.age;
            voted = Verdict::none;
            log("news: build %.0f stage %.0f phase %.0f", told.build, told.stage, int(told.phase));
            if (told.phase != Phase::on_trial) of(told.build).range.clear();
        }
        known = told;
        has_news = true;
    }

    // --- guards: every pick and pushback passes here ---
    // Rule 2: may this RPC have a pick at this host, after those it had?
    bool may_repeat(const Rpc &rpc, const Host &target) const {
        const Method &method = method_of(rpc);
        return method.repeat == Repeat::idempotent ||
               std::all_of(rpc.picks.begin(), rpc.picks.end(), [&](const Pick &pick) {
                   if (!pick.open && proves_unrun(pick.outcome)) return true;
                   if (method.repeat == Repeat::non_idempotent) return false;
                   return now < pick.sent + method.window &&
                          same_group(method.group, hosts[pick.host].entry, target.entry);
               });
    }

    bool may_push_back(const Rpc &rpc) const {
        const Method &method = method_of(rpc);
        if (method.repeat == Repeat::idempotent) return true;
        if (method.repeat == Repeat::tokened && method.group == Group::all) return true;
        return unrun(rpc);
    }

    // Rule 5: room under the cap for one more pick of this method at this build.
    bool room_on_trial(int number, int method) {
        const int stage = number == known.build ? known.stage : 0;
        const bool guarded = stage < terms.rollout.guarded_stages;
        if (cap(number) <= 0 || (guarded && terms.methods[method].repeat != Repeat::idempotent)) return false;
        double took = 0, sent = 0;
        for (std::size_t i = 0; i < taken.size(); ++i) {
            if (terms.rollout.cap_by_method && static_cast<int>(i) != method) continue;
            std::deque<Ticks> &picks = of(number).picked[i];
            forget(taken[i], now - terms.rollout.window + 1);
            forget(picks, now - terms.rollout.window - 1);
            took += static_cast<double>(taken[i].size());
            sent += static_cast<double>(picks.size());
        }
        return sent + 1 <= terms.rollout.free_picks + cap(number) * took;
    }

    // Rule 4: a cold host gets no more than this router's part of the push it stands.
    bool room_in_cold(Host &host) const {
        const double warm = warmth(host);
        if (warm >= 1) return true;
        forget(host.pushed, now - terms.overload_for);
        const double part = pace * rating(host) * terms.overload_for / 10000.0;
        const double allowed = kColdSafety * terms.overload_multiple * warm * part;
        return host.pushed.size() + 1 <= std::max<double>(kColdFloor, allowed);
    }

    // Rule 5: a key that a newer build has answered goes to no lower one while that build is not going back.
    bool keys_allow(const Rpc &rpc, int number) const {
        if (!terms.rollout.keys_stay || rpc.from.key.empty() || !(trial_runs() || watching())) return true;
        return std::none_of(builds.upper_bound(number), builds.end(),
                            [&](const auto &build) { return build.second.keys.count(rpc.from.key) > 0; });
    }

    // --- choice of host ---
    bool eligible(const Rpc &rpc, Host &host, bool trial) {
        return usable(host) && on_trial(host.entry.build) == trial && keys_allow(rpc, host.entry.build) &&
               may_repeat(rpc, host) && room_in_cold(host) &&
               (!trial || room_on_trial(host.entry.build, rpc.from.method));
    }

    bool silent(const Host &host, int method) const {
        return host.open > 0 && now - host.quiet_since > kSilence * usual_latency(method);
    }

    double cost(const Rpc &rpc, const Host &host) {
        // Others' work at the host, from its report; a lone router knows all by its own open picks.
        double held = host.open;
        if (host.held_at >= 0 && now - host.held_at < kReportAge)
            held += kReportTrust * (1 - 1.0 / terms.instances) * std::max(0.0, host.held - host.open);
        double cost = (held + 1) / weight(host);
        cost *= std::exp(std::clamp(host.excess - lately.fleet, 0.0, 3.0));
        const double sound = std::max(0.05, 1 - fails(host));
        cost /= std::pow(sound, method_of(rpc).repeat == Repeat::idempotent ? 2 : 4);
        if (silent(host, rpc.from.method)) cost *= 50;
        if (host.full_until > now) cost *= 4;
        if (watching() && host.entry.build < known.build) cost *= kOlderCost;
        return cost * (0.9 + 0.2 * rng.unit());
    }

    int choose(const Rpc &rpc, bool trial, double *price_of = nullptr) {
        int favourite = -1, best = -1, last = -1;
        double least = 0, least_last = 0;
        std::uint64_t top = 0;
        const bool warm_keys = terms.rollout.warm_keys && !rpc.from.key.empty();
        const int count = static_cast<int>(hosts.size());
        for (int i = 0; warm_keys && i < count; ++i) {
            if (!usable(hosts[i]) || on_trial(hosts[i].entry.build) != trial) continue;
            const std::uint64_t score = mix(rpc.from.key, mix(hosts[i].entry.id, 3));
            if (score >= top) top = score, favourite = i;
        }
        for (int i = 0; i < count; ++i) {
            if (!eligible(rpc, hosts[i], trial)) continue;
            const double price = cost(rpc, hosts[i]) * (i == favourite ? kWarmKeyCost : 1);
            if (used(rpc, i) || hosts[i].rest_until > now) {
                if (last < 0 || price < least_last) last = i, least_last = price;
            } else if (best < 0 || price < least) {
                best = i, least = price;
            }
        }
        if (price_of) *price_of = best >= 0 ? least : least_last;
        return best >= 0 ? best : last;
    }

    // --- the mechanism ---
    // The trial's part of the capacity, its cold hosts counted for what they can do by now.
    double trial_part() const {
        double there = 0, before = 0;
        for (const Host &host : hosts)
            if (usable(host) && well(host)) (on_trial(host.entry.build) ? there : before) += weight(host);
        const double places = terms.rollout.replaces ? before + there : before;
        return places > 0 ? std::min(1.0, there / places) : 1;
    }

    // The trial's share of a method's real RPCs: in step with its places, a stage apart by repeat.
    double trial_share(int method) {
        Build &build = of(known.build);
        int first = 1 + static_cast<int>(terms.methods[method].repeat);
        if (!terms.second_copies && first == 1) first = 0;
        double share = 0;
        if (known.stage >= first) {
            const auto stage = std::min<std::size_t>(known.stage, terms.rollout.places.size() - 1);
            share = std::min(terms.rollout.places[stage], trial_part());
            // A method with an effect starts at a trickle: a build that fails it alone shows in no pair.
            if (first > 1) share *= std::min(1.0, (build.proven[method] + 3) / 15.0);
        }
        build.range[method] = std::max(build.range[method], share);
        return terms.rollout.keys_stay ? build.range[method] : share;
    }

    Decision send(Rpc &rpc, int target, bool copy) {
        Host &host = hosts[target];
        const bool trial = on_trial(host.entry.build);
        const Method &method = method_of(rpc);
        const bool aged = host.entry.started <= 0 || now - host.entry.started > kColdSkip;
        budget -= !rpc.picks.empty();
        rpc.picks.push_back({target, host.entry.build, now, trial, copy, aged});
        if (host.open++ == 0) host.quiet_since = now;
        ++open;
        (warmth(host) < 1 ? host.pushed : warm_picks).push_back(now);
        if (trial) of(host.entry.build).picked[rpc.from.method].push_back(now);
        rpc.look_at = now + look_wait(rpc.from.method);
        if (method.repeat != Repeat::non_idempotent) due.emplace(rpc.look_at, rpc.from.id);
        const Ticks left = rpc.from.deadline - now;
        const Ticks patience = std::max<Ticks>(1, copy ? std::min(left, method.soft_deadline * 2) : left);
        return {.act = Act::pick, .rpc = rpc.from.id, .host = host.entry.id, .span = patience};
    }

    Ticks look_wait(int method) const {
        const auto aim = static_cast<double>(terms.methods[method].soft_deadline);
        const double wait = usual_latency(method) * kLookLatency;
        return static_cast<Ticks>(std::clamp(wait, aim * kLookLeast, aim * kLookMost));
    }

    Decision finish(Rpc &rpc, bool push_back) {
        rpc.done = true;
        if (!push_back || !may_push_back(rpc)) return {.act = Act::abort, .rpc = rpc.from.id};
        const Ticks pause = kPause + static_cast<Ticks>(kPause * rng.unit());
        const Ticks advice = terms.advise_pause ? std::min(terms.max_pause, pause) : 0;
        return {.act = Act::push_back, .rpc = rpc.from.id, .span = advice};
    }

    // Pushback under a limit: least utility for its work first, tenants past their quota before all.
    bool shed(const Rpc &rpc) const {
        double most = 1e-9;
        for (std::size_t i = 0; i < terms.methods.size(); ++i) most = std::max(most, usefulness(i));
        const double part = kLeastWorth + (1 - kLeastWorth) * usefulness(rpc.from.method) / most;
        return limit > 0 && open >= limit * part * (rpc.over_share ? kOverShare : 1);
    }

    double usefulness(std::size_t method) const {
        const double utility = terms.methods[method].utility;
        return terms.utility_by_work ? utility : utility / usual_latency(static_cast<int>(method));
    }

    Decision advance(Rpc &rpc) {
        if (rpc.done) return cut_rest(rpc);
        if (now >= rpc.from.deadline) return finish(rpc, false);
        if (rpc.picks.empty()) return shed(rpc) ? finish(rpc, true) : first_pick(rpc);
        const bool spare = static_cast<int>(rpc.picks.size()) < terms.max_picks;
        if (rpc.want_copy) {
            rpc.want_copy = false;
            const int target = spare && budget >= 1 ? choose(rpc, true) : -1;
            if (target >= 0) return send(rpc, target, true);
        }
        const auto count = open_picks(rpc);
        if (count == 1 && spare) return look_elsewhere(rpc);
        if (count > 0) return {};
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
        const bool copyable = trial_runs() && terms.second_copies && method.repeat == Repeat::idempotent &&
                              !rpc.from.retry && limit <= 0 && !method.stream;
        double price = 0, trial_price = 0;
        const int newer = drawn || copyable ? choose(rpc, true, &trial_price) : -1;
        int target = choose(rpc, false, &price);
        // The draw yields where the trial's hosts are clearly fuller. Stops the hand-over from jamming them
        // while others have room: cold or lost hosts, popular keys, a slow build. Fewer picks judge it.
        const bool fuller = newer >= 0 && target >= 0 && trial_price > price * kFuller;
        if (drawn && newer >= 0) yielding += (fuller - yielding) * 0.03;
        if (drawn && newer >= 0 && (!fuller || terms.rollout.keys_stay)) target = newer;
        // Where no earlier host may take it, the trial does as far as its cap allows, whatever the stage.
        if (target < 0) target = choose(rpc, true);
        if (target < 0) return finish(rpc, true);
        // A copy is drawn by what the trial's hosts can bear beside their real traffic. Stops copies, of
        // retries too, from swamping them, cold ones above all, which would read as divergence.
        const double bearable = trial_part() * (known.stage > 0 ? kCopyBeside : 1);
        rpc.want_copy = copyable && newer >= 0 && !fuller && target != newer && rng.unit() < bearable;
        return send(rpc, target, false);
    }

    // An RPC at a host that is silent or far slower than the rest looks elsewhere: beside it where second
    // copies are allowed, else in its place. Stops silent, stalled and slow hosts from holding RPCs past
    // their soft deadline; adds load when many hosts stall at once, which the budget bounds.
    Decision look_elsewhere(Rpc &rpc) {
        const Method &method = method_of(rpc);
        const bool beside = terms.second_copies && method.repeat == Repeat::idempotent;
        if (method.repeat == Repeat::non_idempotent || method.stream || now < rpc.look_at) return {};
        const auto at =
            std::find_if(rpc.picks.begin(), rpc.picks.end(), [](auto &pick) { return pick.open; });
        const Host &host = hosts[at->host];
        const bool unwell = silent(host, rpc.from.method) || host.excess - lately.fleet > std::log(kUnwell);
        const int target = unwell && !at->cut && budget >= 1 ? choose(rpc, false) : -1;
        if (target < 0 || used(rpc, target) || (!beside && !terms.may_cut)) {
            rpc.look_at = now + look_wait(rpc.from.method) / 2;
            due.emplace(rpc.look_at, rpc.from.id);
            return {};
        }
        if (beside) return send(rpc, target, false);
        at->cut = true;
        return {.act = Act::cut, .rpc = rpc.from.id, .pick = static_cast<int>(at - rpc.picks.begin())};
    }

    // Losers of a finished RPC are cut; a copy runs on, as its end is evidence, unless there is no room for
    // it.
    Decision cut_rest(Rpc &rpc) {
        for (Pick &pick : rpc.picks) {
            if (!pick.open || pick.cut || (pick.copy && limit <= 0) || !terms.may_cut) continue;
            pick.cut = true;
            return {.act = Act::cut, .rpc = rpc.from.id, .pick = static_cast<int>(&pick - rpc.picks.data())};
        }
        return {};
    }

    // --- votes ---
    Evidence gather(const Build &build) const {
        Evidence seen;
        seen.by_method.resize(terms.methods.size());
        std::map<int, std::vector<double>> excess;
        const Ticks of_late = now - kEvidenceAge / 2;
        std::vector<double> beside, medians;
        for (const Sample &sample : build.samples) {
            if (sample.at < now - kEvidenceAge) continue;
            seen.all.add(1, sample.failed);
            seen.by_method[sample.method].add(1, sample.failed);
            seen.by_host[sample.host].add(1, sample.failed);
            if (sample.at >= stage_at) seen.stage.add(1, sample.failed);
            if (sample.timed && sample.at > of_late) excess[sample.host].push_back(sample.excess);
        }
        for (const Sample &sample : earlier)
            if (sample.timed && sample.at > of_late) beside.push_back(sample.excess);
        for (auto &[host, values] : excess)
            if (values.size() >= kSlowSample && beside.size() >= kBesides) medians.push_back(median(values));
        if (medians.empty() || trial_part() > kMinority) return seen;
        // A slow build is slow on most hosts: the middle one speaks, and few hosts must speak louder. Stops
        // votes back for a neighbour or a weaker machine under the trial; a mildly slow build shows later.
        std::sort(medians.begin(), medians.end());
        // Beside a trial that took their traffic the earlier hosts run lighter than before: the higher
        // counts.
        seen.slow = medians[(medians.size() - 1) / 2] - std::max(median(beside), calm.fleet);
        const double ratio = kSlowRatio * (terms.rollout.warm_keys ? kColdKeys : 1);
        seen.slow_bar = std::log(ratio * (1 + kFewHosts / static_cast<double>(medians.size())));
        return seen;
    }

    // Are the failures those of a few hosts, not of the build? Stops votes back for a neighbour, a failing or
    // silent host under the trial. Not so where the eldest fail together: that build turns bad with age.
    bool host_explains(const Evidence &seen) const {
        std::vector<std::pair<double, Ticks>> hit; // each host's failures and start
        for (const auto &[host, count] : seen.by_host)
            hit.emplace_back(count.failed, hosts[host].entry.started);
        if (hit.size() < 2) return false;
        std::sort(hit.rbegin(), hit.rend());
        const auto few = hit.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, hit.size() / 3));
        const auto sum = [](double all, const auto &one) { return all + one.first; };
        const auto older = [](const auto &a, const auto &b) { return a.second < b.second; };
        const Ticks last = std::max_element(hit.begin(), few, older)->second;
        const bool several = hit.size() > 5 && hit[1].first >= 3;
        const bool eldest = several && last < std::min_element(few, hit.end(), older)->second;
        return std::accumulate(hit.begin(), few, 0.0, sum) > kConcentrated * seen.all.failed && !eldest;
    }

    // Log odds that complaints, some of them false, come of the build: against the rate that others draw.
    double flag_odds(int number) const {
        const auto at = builds.find(number);
        if (terms.rollout.flag_share <= 0 || at == builds.end()) return 0;
        double flags = 1, answers = kFlagPrior;
        for (auto other = builds.begin(); other != at; ++other)
            flags += other->second.flags, answers += other->second.answers;
        const double usual_rate = flags / answers;
        const double bad_rate = usual_rate + terms.rollout.flag_share * kWrongShare;
        const double gain = std::log(bad_rate / usual_rate);
        return at->second.flags * gain - at->second.answers * (bad_rate - usual_rate);
    }

    // The share that speaks against a build falls as the sample grows, since chance has less room. Stops a
    // build that fails a tenth of its picks, always or when busy, from passing under the first sample's bar.
    bool fails_much(const Count &count, int least, double share, double usual_share) const {
        const double bar = std::max(kLeastShare, share * least / std::max<double>(least, count.picks));
        return count.picks >= least && count.failed >= std::min<double>(least, kBackDivergences) &&
               count.failed > (bar + kTroubled * usual_share) * count.picks;
    }

    // Even the better hosts slower since the trial began, for neither more first tries nor fewer sound hosts:
    // the build slows or jams them all. Stops a build whose harm shows at no host of its own. Only where own
    // arrivals tell the fleet's traffic; may blame it for a trouble of every host.
    bool slows_all() {
        const bool telling = terms.instances <= kFewRouters && tallies.empty() && !calm.limited;
        const bool fresh = watching() && released_at >= 0 && now - released_at < kWatch;
        const bool alike = lately.sound > calm.sound * kSharedSound;
        const double more = std::max(0.0, std::log(lately.traffic / std::max(1e-9, calm.traffic)));
        const bool risen = lately.better - calm.better > std::log(kSharedRise) + kLoadRise * more;
        const bool at_issue = fresh || (trial_runs() && known.stage > 0);
        return lasts(at_issue && telling && alike && risen, suspect_since, kSharedFor);
    }

    Verdict judgement() {
        const Evidence seen = gather(of(known.build));
        const double usual_share = earlier_fails, odds = flag_odds(known.build);
        if (odds > kFlagProof) return back("flags", seen, odds);
        bool failing = fails_much(seen.all, kBackPairs, kBackShare, usual_share);
        for (int i = 0; i < static_cast<int>(terms.methods.size()); ++i) {
            failing = failing || fails_much(seen.by_method[i], kMethodPairs, kMethodShare, usual_share);
            const Count told = tallied(known.build, i), before = tallied(known.build - 1, i);
            const bool enough = trial_runs() && std::min(told.picks, before.picks) >= kBackPairs;
            failing = failing || (enough && told.share() > kMethodShare + kTroubled * before.share());
        }
        // A lone host's failures may be its own. The trial waits there, where it can do little harm, then
        // goes on to the second stage: more hosts tell the two apart.
        const bool lone = trial_runs() && seen.by_host.size() == 1;
        if (lone && known.stage == 0 && now - stage_at > kLoneFor && terms.rollout.advance != Advance::timer)
            return Verdict::on;
        if (failing && !lone && !host_explains(seen)) return back("failures", seen, usual_share);
        if (slows_all()) return back("slowing all", seen, std::exp(lately.better - calm.better));
        if (watching()) return Verdict::none;
        const bool slow = seen.slow > seen.slow_bar;
        if (lasts(slow, slow_since, kSlowFor)) return back("latency", seen, std::exp(seen.slow));
        if (terms.rollout.advance == Advance::timer) {
            const bool doubtful = seen.all.picks >= kHoldPairs && seen.all.share() > kHoldShare + usual_share;
            return doubtful || slow || suspect_since >= 0 ? Verdict::hold : Verdict::none;
        }
        // A trial that others must spare load is not proven for more: slow builds, and those bad when busy.
        if (failing || slow || suspect_since >= 0 || yielding > kYieldMost) return Verdict::none;
        // The last vote on takes the earlier hosts away: not while the trial's are cold, or they are swamped.
        const bool last = known.stage + 1 >= static_cast<int>(terms.rollout.places.size());
        const auto cold = [&](const Host &h) {
            return usable(h) && on_trial(h.entry.build) && warmth(h) < kWarmEnough;
        };
        if (last && std::any_of(hosts.begin(), hosts.end(), cold)) return Verdict::none;
        const double borne = kOnDivergences + (usual_share + kOnShare) * seen.stage.picks;
        if (seen.stage.picks >= kOnPairs && seen.stage.failed <= borne) return Verdict::on;
        return seen.stage.failed <= 0 && now - stage_at >= kOnAnyway ? Verdict::on : Verdict::none;
    }

    Verdict back(const std::string &cause, const Evidence &seen, double figure) {
        if (voted != Verdict::back)
            log("back for " + cause + ": %.0f of %.0f, %.2f", seen.all.failed, seen.all.picks, figure);
        return Verdict::back;
    }

    Decision vote() {
        if (!(trial_runs() || watching()) || now < judge_at) return {};
        judge_at = now + kBeat;
        // A vote back stands for its time: one that wavers with the last few samples may never be counted.
        const bool stands_back = voted == Verdict::back && now < voted_at + kVoteRenewal;
        const Verdict verdict = stands_back ? voted : judgement();
        if (verdict == Verdict::none && voted == Verdict::none) return {};
        const Ticks stands = std::min(kVoteRenewal, terms.rollout.vote_life * 2 / 3);
        if (verdict == voted && now < voted_at + (vote_counts ? stands : kVoteRetry)) return {};
        voted = verdict;
        voted_at = now;
        vote_counts = false;
        return {.act = Act::vote, .build = known.build, .stage = known.stage, .verdict = verdict};
    }

    void list_failed() override {
        ask_wait = std::clamp(ask_wait * 2, kAskAgain, kAskAgain * 4);
        ask_at = now + ask_wait + static_cast<Ticks>(ask_wait * 0.25 * rng.unit());
    }

    Decision next() override {
        for (; !todo.empty(); todo.pop_front()) {
            const auto found = rpcs.find(todo.front());
            if (found == rpcs.end()) continue;
            Rpc &rpc = found->second;
            if (Decision made = advance(rpc); made.act != Act::none) return made;
            rpc.queued = false;
            if (rpc.done && open_picks(rpc) == 0) rpcs.erase(found);
        }
        if (Decision made = vote(); made.act != Act::none) return made;
        if (terms.list_by_asking && ask_at >= 0 && ask_at <= now) {
            ask_at = -1;
            return {.act = Act::watch_list};
        }
        if (!lines.empty()) {
            Decision made{.act = Act::log, .text = std::move(lines.front())};
            lines.pop_front();
            return made;
        }
        const Ticks wanted = std::max(now + 1, due.empty() ? beat_at : std::min(beat_at, due.top().first));
        if (armed >= 0 && armed <= wanted) return {};
        armed = wanted;
        return {.act = Act::wake, .span = armed};
    }
};
} // namespace

std::unique_ptr<Router> make_router(Terms terms, std::uint64_t seed) {
    return std::make_unique<Decider>(std::move(terms), seed);
}
} // namespace pineridge
