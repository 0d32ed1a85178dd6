// All decisions of pineridge. The interface is src/logic.hpp.
// How to call it: give the batch's time by clock(), then every input in the order it came; inputs only update
// what is known. Then call next() until it answers Act::none and carry out each decision in that order. It
// asks by Act::wake for a later clock() call. One Router is one instance; it shares nothing with another.
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <queue>
#include <set>
#include <unordered_map>

namespace pineridge {

namespace {

// The divergence gate, in the design page's numbers where it gives them.
constexpr int kBackDivergences = 5;     // fewer are chance
constexpr int kBackPairs = 20;          // least sample for a vote back over all methods
constexpr double kBackShare = 0.20;     // divergence share above the earlier build's own
constexpr int kMethodPairs = 6;         // least sample for one method: effectful picks are dear to spend
constexpr double kMethodShare = 0.35;   // and the share it needs, as the sample is small
constexpr double kHoldShare = 0.10;     // timer: hold above this share
constexpr int kHoldPairs = 10;          // over so many pairs
constexpr int kOnPairs = 20;            // pairs in the stage before a vote on
constexpr int kOnDivergences = 1;       // at most so many of them diverging
constexpr Ticks kOnAnyway = 30000;      // a clean balancer votes on after so long in a stage
constexpr Ticks kVoteRenewal = 40000;   // votes renew
constexpr Ticks kVoteRetry = 3000;      // a vote that was not counted is sent again
constexpr double kSlowRatio = 1.5;      // median latency against the earlier build's
constexpr std::size_t kSlowSample = 15; // latencies before the median speaks
constexpr Ticks kColdSkip = 50000;      // hosts younger than this are left out of the latency median
constexpr Ticks kEvidenceAge = 80000;   // older samples say nothing of a build that turns bad with time
constexpr double kExplained = 0.7;      // an earlier host this near the trial's figure explains it
constexpr double kSharedRise = 1.5;     // rise of every host's latency since the trial began
constexpr double kSharedLoad = 1.15;    // that more traffic does not explain
constexpr Ticks kSharedFor = 20000;     // and that lasts
constexpr double kFlagProof = 5.0;      // log odds that complaints follow the build
constexpr double kWrongShare = 0.06;    // share of wrong answers that the odds are set for
constexpr double kFlagPrior = 300;      // answers' worth of belief in few false complaints

// Routing, health, time-outs and pushback.
constexpr double kHostRate = 0.1;   // weight of the newest outcome in a host's figures
constexpr double kEjectShare = 0.5; // failure share that rests a host
constexpr int kEjectStreak = 4;     // after so many failures in a row
constexpr Ticks kRest = 10000;      // first rest; doubles
constexpr Ticks kRestMost = 80000;
constexpr double kRestShare = 0.4;    // at most this share of the hosts rests: the others must carry it
constexpr double kForgive = 30000.0;  // a failure share halves in this time without picks
constexpr double kSilence = 4.0;      // times the usual latency without any answer: silent
constexpr double kWarmKeyCost = 0.75; // a host that has likely met the key is this much cheaper
constexpr double kOlderCost = 3.0;    // a released build goes before those it replaces
constexpr double kBudgetShare = 0.12; // further picks and copies, as a share of the RPCs
constexpr double kBudgetMost = 30;    // saved up at most
constexpr double kHedgeLatency = 3.0; // usual latencies before a further pick
constexpr double kHedgeLeast = 0.3;   // of the soft deadline
constexpr double kHedgeMost = 0.6;
constexpr double kLateHigh = 0.65;   // mean latency over soft deadline: above, fewer open RPCs
constexpr double kLateLow = 0.45;    // below, more
constexpr double kCutLimit = 0.92;   // a step down of the limit
constexpr double kRaiseLimit = 1.04; // a step up
constexpr double kLeastWorth = 0.8;  // share of the limit open to the least useful method
constexpr double kOverShare = 0.5;   // share of the limit open to a tenant past its quota
constexpr double kColdSafety = 0.5;  // of the push that a cold host stands
constexpr int kColdFloor = 2;        // picks a window that are always allowed
constexpr Ticks kBeat = 1000;        // how often standing matters are looked at
constexpr Ticks kAskAgain = 8000;    // first wait after a failed call for the list; doubles
constexpr Ticks kAskMost = 40000;
constexpr Ticks kPause = 3000; // advice to a client that is pushed back

struct Pcg {
    std::uint64_t state = 0;
    std::uint32_t draw() {
        const std::uint64_t old = state;
        state = old * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto word = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        const auto turn = static_cast<std::uint32_t>(old >> 59);
        return (word >> turn) | (word << ((32 - turn) & 31));
    }
    double unit() { return draw() / 4294967296.0; }
};

std::uint64_t mix(const std::string &text, std::uint64_t salt) {
    std::uint64_t hash = 14695981039346656037ULL ^ salt;
    for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
    hash ^= hash >> 32;
    hash *= 0xd6e8feb86659fd93ULL;
    return hash ^ (hash >> 32);
}

double median(std::vector<double> &values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool proves_unrun(Outcome outcome) {
    return outcome == Outcome::no_room || outcome == Outcome::no_route || outcome == Outcome::stale;
}

bool diverges(Outcome outcome) {
    return outcome == Outcome::fault || outcome == Outcome::too_slow || outcome == Outcome::cut;
}

struct Pick {
    int host;
    int build;
    Ticks sent;
    Ticks patience;
    bool on_trial;
    bool copy;
    bool aged; // its host was past the cold skip
    bool open = true;
    bool cut = false;
    Outcome outcome = Outcome::ok;
};

struct Rpc {
    Arrival from;
    double place; // where its key (or a draw) falls in the trial's range
    bool over_share = false;
    bool done = false;
    bool queued = false;
    bool want_copy = false;
    bool paired = false;
    Ticks hedge_at = 0;
    std::vector<Pick> picks{};
};

struct Host {
    HostEntry entry;
    bool listed = true;
    Ticks away_at = 0; // told that it drains or is gone
    int open = 0;
    double excess = 0; // log of its latency over the usual
    double fails = 0;
    Ticks fails_at = 0;
    int streak = 0;
    Ticks rest_until = 0;
    Ticks rest = kRest;
    Ticks quiet_since = 0;
    Ticks full_until = 0;
    double held = 0; // reported
    Ticks held_at = -1;
    std::deque<Ticks> pushed{}; // picks while cold
};

struct Sample {
    Ticks at;
    int method;
    int host;
    bool failed;
    bool timed;
    double excess;
};

struct Count {
    double picks = 0;
    double failed = 0;
    double share() const { return picks > 0 ? failed / picks : 0; }
};

struct Exposure {
    std::deque<Ticks> sent;
};

// What is known of one build.
struct Build {
    std::deque<Sample> samples{};
    std::vector<double> range{}; // by method: share of keys that it has
    std::vector<int> proven{};   // by method: ok picks
    std::vector<Exposure> exposed{};
    std::set<std::string> keys{}; // keys it has answered, where they must stay
    double answers = 0;
    double flags = 0;
};

struct TallyRow {
    Ticks at;
    Tally row;
};

} // namespace

struct Router::State {
    State(Terms given, std::uint64_t seed) : terms(std::move(given)) {
        rng.state = seed * 2862933555777941757ULL + 3037000493ULL;
        rng.draw();
        const std::size_t methods = terms.methods.size();
        usual.assign(methods, 0);
        usual_count.assign(methods, 0);
        taken.resize(methods);
        tokens.assign(terms.tenant_quotas.size(), 0);
        for (std::size_t i = 0; i < tokens.size(); ++i) tokens[i] = quota(i);
    }

    // --- instance state ---
    Terms terms;
    Pcg rng;
    Ticks now = 0;
    std::vector<Host> hosts;
    std::unordered_map<std::string, int> host_at;
    std::unordered_map<std::string, Rpc> rpcs; // looked up, never walked
    std::deque<std::string> todo;
    std::priority_queue<std::pair<Ticks, std::string>, std::vector<std::pair<Ticks, std::string>>,
                        std::greater<>>
        due;
    Ticks armed = -1;
    Ticks beat_at = 0;
    std::deque<std::string> lines;
    std::map<int, Build> builds;
    std::deque<Sample> earlier; // the earlier build's picks of late
    std::deque<TallyRow> tallies;
    std::vector<double> usual; // by method: log latency at the earlier build, still while one is on trial
    std::vector<int> usual_count;
    std::map<int, double> kind_excess;
    std::vector<std::deque<Ticks>> taken; // by method: arrivals within the exposure window
    std::vector<double> tokens;
    Ticks tokens_at = 0;
    double budget = kBudgetMost / 2;
    int open = 0; // RPCs with an unanswered pick
    double late = 0;
    double limit = 0; // of open RPCs; 0: none needed so far
    double pace = 0;  // picks a second at warm hosts, for each unit of rating
    std::deque<Ticks> warm_picks;
    double traffic = 0; // arrivals a second of late
    Ticks traffic_at = 0;
    int arrivals = 0;
    double calm_traffic = 0;
    double fleet_excess = 0;
    double earlier_fails = 0;
    Ticks risen_since = -1;
    News known{};
    bool has_news = false;
    Ticks stage_at = 0;
    Verdict voted = Verdict::none;
    Ticks voted_at = -1;
    bool vote_counts = false;
    bool asked = false;
    Ticks ask_at = 0;
    Ticks ask_wait = kAskAgain;

    // --- bookkeeping ---
    double quota(std::size_t tenant) const { return terms.tenant_quotas[tenant] / terms.instances; }

    bool on_trial(int build) const {
        return has_news && (build > known.build || (build == known.build && known.phase != Phase::released));
    }

    int trial_stage(int build) const { return build == known.build ? known.stage : 0; }

    double cap(int build) const { return build == known.build ? known.cap : terms.rollout.caps.front(); }

    Build &of(int build) {
        Build &found = builds[build];
        if (found.range.empty()) {
            found.range.assign(terms.methods.size(), 0);
            found.proven.assign(terms.methods.size(), 0);
            found.exposed.resize(terms.methods.size());
        }
        return found;
    }

    void log(const char *form, double a = 0, double b = 0, double c = 0) {
        char line[120];
        std::snprintf(line, sizeof line, form, a, b, c);
        lines.emplace_back(line);
    }

    void enqueue(Rpc &rpc) {
        if (rpc.queued) return;
        rpc.queued = true;
        todo.push_back(rpc.from.id);
    }

    double warmth(const Host &host) const {
        if (host.entry.started <= 0) return 1;
        const double grown =
            static_cast<double>(now - host.entry.started) / std::max<Ticks>(1, terms.cold_for);
        return std::clamp(terms.cold_share + (1 - terms.cold_share) * grown, terms.cold_share, 1.0);
    }

    double weight(const Host &host) const { return std::max(0.05, host.entry.rating) * warmth(host); }

    bool usable(const Host &host) const { return host.listed && host.entry.standing == Standing::ready; }

    double fails(const Host &host) const {
        return host.fails * std::exp2(-static_cast<double>(now - host.fails_at) / kForgive);
    }

    double usual_latency(int method) const {
        return usual_count[method] ? std::exp(usual[method]) : terms.methods[method].soft_deadline * 0.25;
    }

    void clock(Ticks at) {
        now = std::max(now, at);
        while (!due.empty() && due.top().first <= now) {
            const auto found = rpcs.find(due.top().second);
            if (found != rpcs.end()) enqueue(found->second);
            due.pop();
        }
        if (armed >= 0 && armed <= now) armed = -1;
        if (now < beat_at) return;
        beat_at = now + kBeat;
        beat();
    }

    void beat() {
        if (traffic_at == 0) traffic_at = now;
        const double span = (now - traffic_at) / 10000.0;
        if (span >= 0.5) {
            traffic += (arrivals / span - traffic) * (traffic > 0 ? 0.3 : 1.0);
            arrivals = 0;
            traffic_at = now;
        }
        while (!warm_picks.empty() && warm_picks.front() < now - 10000) warm_picks.pop_front();
        double rating = 0;
        for (const Host &host : hosts)
            if (usable(host) && warmth(host) >= 1) rating += std::max(0.05, host.entry.rating);
        if (rating > 0) pace += (warm_picks.size() / rating - pace) * 0.2;
        while (!earlier.empty() && earlier.front().at < now - kEvidenceAge) earlier.pop_front();
        while (!tallies.empty() && tallies.front().at < now - kEvidenceAge) tallies.pop_front();
        Count served;
        for (const Sample &sample : earlier) {
            served.picks += 1;
            served.failed += sample.failed;
        }
        if (served.picks >= kBackPairs) earlier_fails = served.share();
        std::vector<double> excess;
        for (const Host &host : hosts)
            if (usable(host) && !on_trial(host.entry.build)) excess.push_back(host.excess);
        if (!excess.empty()) fleet_excess = median(excess);
        bend_limit();
    }

    // The limit on open RPCs follows how late answers come. Stops a jam in which every answer is too late,
    // whatever its cause: bursts, lost hosts, retries, slow builds. May shed too much when one host is slow.
    void bend_limit() {
        if (late > kLateHigh) {
            const double before = limit;
            limit = std::max(4.0, (limit > 0 ? std::min<double>(limit, open) : open) * kCutLimit);
            if (before <= 0) log("limit on: open %.0f lateness %.2f", open, late);
        } else if (limit > 0 && late < kLateLow) {
            if (open > limit * 0.7) limit *= kRaiseLimit;
            if (open < limit * 0.3 && late < kLateLow * 0.6) {
                log("limit off: open %.0f of %.0f lateness %.2f", open, limit, late);
                limit = 0;
            }
        }
    }

    void list(const std::vector<HostEntry> &entries, bool whole) {
        if (whole)
            for (Host &host : hosts) host.listed = false;
        for (const HostEntry &entry : entries) {
            auto [at, fresh] = host_at.try_emplace(entry.id, static_cast<int>(hosts.size()));
            if (fresh) hosts.push_back(Host{entry});
            Host &host = hosts[at->second];
            if (entry.started != host.entry.started || entry.build != host.entry.build) {
                const int held = host.open;
                host = Host{entry};
                host.open = held;
                host.quiet_since = now;
            }
            host.entry = entry;
            host.listed = entry.standing != Standing::gone;
        }
        ask_wait = kAskAgain;
    }

    void arrive(Arrival from) {
        const int method = from.method;
        taken.at(method).push_back(now);
        ++arrivals;
        budget = std::min(kBudgetMost, budget + kBudgetShare);
        Rpc rpc{std::move(from), 0};
        rpc.place = rpc.from.key.empty() ? rng.unit() : (mix(rpc.from.key, 7) >> 11) * 0x1p-53;
        if (!tokens.empty()) {
            for (std::size_t i = 0; i < tokens.size(); ++i)
                tokens[i] = std::min(quota(i), tokens[i] + quota(i) * (now - tokens_at) / 10000.0);
            tokens_at = now;
            double &left = tokens.at(rpc.from.tenant);
            rpc.over_share = left < 1 && quota(rpc.from.tenant) > 0;
            if (!rpc.over_share) left -= 1;
        }
        const std::string id = rpc.from.id;
        due.emplace(rpc.from.deadline, id);
        enqueue(rpcs.insert_or_assign(id, std::move(rpc)).first->second);
    }

    void learn(const Rpc &rpc, const Pick &pick, Outcome outcome, Ticks took) {
        Host &host = hosts[pick.host];
        const int method = rpc.from.method;
        const bool failed = diverges(outcome) || outcome == Outcome::no_route;
        if (outcome == Outcome::no_room) host.full_until = now + 500;
        if (outcome != Outcome::undone && outcome != Outcome::too_slow) host.quiet_since = now;
        if (outcome == Outcome::ok || failed) {
            const double before = fails(host);
            host.fails = before + ((failed ? 1 : 0) - before) * kHostRate;
            host.fails_at = now;
            host.streak = failed ? host.streak + 1 : 0;
            if (!failed) host.rest = kRest;
            rest_if_failing(host);
        }
        const bool timed = outcome == Outcome::ok || outcome == Outcome::too_slow;
        const double kind = kind_excess[host.entry.kind];
        const double excess = std::log(std::max<Ticks>(1, took)) - usual[method] - kind;
        if (timed && usual_count[method] > 0) host.excess += (excess - host.excess) * kHostRate;
        if (outcome == Outcome::ok || outcome == Outcome::too_slow) {
            const double ratio = static_cast<double>(took) / terms.methods[method].soft_deadline;
            late += (std::min(ratio, 1.5) - late) * 0.02;
        }
        Build &build = of(pick.build);
        if (outcome == Outcome::ok) ++build.proven[method];
        if (pick.on_trial) {
            if (!pick.copy && (outcome == Outcome::ok || diverges(outcome)))
                judge(build, rpc, pick, diverges(outcome), excess);
            return;
        }
        if (outcome == Outcome::ok && !known_trial()) {
            const double rate = std::max(1.0 / ++usual_count[method], 0.004);
            usual[method] += (std::log(std::max<Ticks>(1, took)) - kind - usual[method]) * rate;
            if (usual_count[method] > 20) kind_excess[host.entry.kind] += excess * 0.01;
        }
        if (outcome == Outcome::ok || diverges(outcome))
            earlier.push_back({now, method, pick.host, diverges(outcome), timed, excess});
        if (pick.build == known.build && known.phase == Phase::released && (timed || diverges(outcome)))
            judge(build, rpc, pick, outcome == Outcome::fault || outcome == Outcome::cut, excess);
    }

    // A host that fails in a row is rested. Stops fast failures from drawing picks, and covers dead and
    // refusing hosts; never so many at once that the rest would be swamped.
    void rest_if_failing(Host &host) {
        if (host.streak < kEjectStreak || host.fails < kEjectShare * 0.6 || host.rest_until > now) return;
        double resting = 1, all = 0;
        for (const Host &other : hosts) {
            if (!usable(other)) continue;
            all += 1;
            resting += other.rest_until > now;
        }
        if (resting > std::max(1.0, all * kRestShare)) return;
        host.rest_until = now + host.rest;
        host.rest = std::min(kRestMost, host.rest * 2);
        log("host rests: streak %.0f fails %.2f resting %.0f", host.streak, host.fails, resting);
    }

    void judge(Build &build, const Rpc &rpc, const Pick &pick, bool failed, double excess) {
        const bool timed = pick.aged && usual_count[rpc.from.method] > 0;
        build.samples.push_back({now, rpc.from.method, pick.host, failed, timed, excess});
        while (build.samples.size() > 400 || build.samples.front().at < now - kEvidenceAge)
            build.samples.pop_front();
    }

    // A pair counts once both ends are known; a copy that was cut, or whose twin failed too, says nothing.
    void judge_pair(Rpc &rpc, Ticks took) {
        if (rpc.paired) return;
        const Pick *copy = nullptr;
        bool served = false;
        for (const Pick &pick : rpc.picks) {
            if (pick.copy) copy = &pick;
            served = served || (!pick.copy && !pick.open && pick.outcome == Outcome::ok);
        }
        if (!copy || copy->open) return;
        const double usual_here = usual[rpc.from.method] + kind_excess[hosts[copy->host].entry.kind];
        const double excess = std::log(std::max<Ticks>(1, took)) - usual_here;
        if (copy->outcome == Outcome::ok) {
            rpc.paired = true;
            judge(of(copy->build), rpc, *copy, false, excess);
        } else if (served && diverges(copy->outcome)) {
            rpc.paired = true;
            judge(of(copy->build), rpc, *copy, true, excess);
        }
    }

    void end(const std::string &id, int number, Outcome outcome, Ticks took, bool complete,
             const std::vector<double> &report) {
        const auto found = rpcs.find(id);
        if (found == rpcs.end() || number < 0 || number >= static_cast<int>(found->second.picks.size()))
            return;
        Rpc &rpc = found->second;
        Pick &pick = rpc.picks[number];
        if (!pick.open) return;
        pick.open = false;
        pick.outcome = outcome;
        Host &host = hosts[pick.host];
        host.open = std::max(0, host.open - 1);
        --open;
        note_report(host, report);
        learn(rpc, pick, outcome, took);
        if (outcome == Outcome::ok && !rpc.done) {
            Build &build = of(pick.build);
            build.answers += 1;
            if (terms.rollout.keys_stay && on_trial(pick.build) && !rpc.from.key.empty())
                build.keys.insert(rpc.from.key);
        }
        if (complete || outcome == Outcome::ok) rpc.done = true;
        judge_pair(rpc, took);
        enqueue(rpc);
    }

    void note_report(Host &host, const std::vector<double> &report) {
        for (std::size_t i = 0; i < report.size() && i < terms.report_fields.size(); ++i) {
            const bool waiting = terms.report_fields[i] == "backlog";
            if (!waiting && terms.report_fields[i] != "outstanding") continue;
            host.held = waiting ? host.open + report[i] : report[i];
            host.held_at = now;
        }
    }

    void flag(const std::string &id, Ticks age) {
        const auto at = host_at.find(id);
        if (at == host_at.end()) return;
        const HostEntry &entry = hosts[at->second].entry;
        if (entry.started > 0 && entry.started > now - age) return; // another process answered
        of(entry.build).flags += 1;
    }

    void take_news(const News &told) {
        if (told.answers_vote) vote_counts = told.valid;
        if (!told.valid) return;
        const bool moved = !has_news || told.build != known.build || told.stage != known.stage;
        if (moved || told.phase != known.phase) {
            if (has_news && known_trial() != (told.phase == Phase::on_trial)) calm_traffic = traffic;
            stage_at = now - (has_news ? std::min<Ticks>(told.age, now) : 0);
            voted = Verdict::none;
            risen_since = -1;
            log("news: build %.0f stage %.0f phase %.0f", told.build, told.stage,
                static_cast<double>(told.phase));
            if (told.phase != Phase::on_trial && told.phase != Phase::released) of(told.build).range.clear();
        }
        known = told;
        has_news = true;
    }

    bool known_trial() const { return has_news && known.phase == Phase::on_trial; }

    // --- guards: every pick and pushback passes here ---
    // Rule 2. May this RPC have another pick, and where?
    bool may_repeat(const Rpc &rpc, const Host &target) const {
        const Method &method = terms.methods[rpc.from.method];
        if (method.repeat == Repeat::idempotent) return true;
        for (const Pick &pick : rpc.picks) {
            if (!pick.open && proves_unrun(pick.outcome)) continue;
            if (method.repeat == Repeat::non_idempotent) return false;
            if (now >= pick.sent + method.window) return false;
            const HostEntry &ran = hosts[pick.host].entry;
            if (method.group == Group::zone && ran.zone != target.entry.zone) return false;
            if (method.group == Group::cell && ran.cell != target.entry.cell) return false;
        }
        return true;
    }

    bool may_push_back(const Rpc &rpc) const {
        const Method &method = terms.methods[rpc.from.method];
        if (method.repeat == Repeat::idempotent) return true;
        if (method.repeat == Repeat::tokened && method.group == Group::all) return true;
        return std::all_of(rpc.picks.begin(), rpc.picks.end(),
                           [](const Pick &pick) { return !pick.open && proves_unrun(pick.outcome); });
    }

    // Rule 5. Room under the cap for one more pick of this method at this build.
    bool room_on_trial(int build, int method) {
        if (cap(build) <= 0) return false;
        if (trial_stage(build) < terms.rollout.guarded_stages &&
            terms.methods[method].repeat != Repeat::idempotent)
            return false;
        double took = 0, sent = 0;
        for (std::size_t i = 0; i < taken.size(); ++i) {
            if (terms.rollout.cap_by_method && static_cast<int>(i) != method) continue;
            while (!taken[i].empty() && taken[i].front() <= now - terms.rollout.window) taken[i].pop_front();
            std::deque<Ticks> &picks = of(build).exposed[i].sent;
            while (!picks.empty() && picks.front() < now - terms.rollout.window - 1) picks.pop_front();
            took += taken[i].size();
            sent += picks.size();
        }
        return sent + 1 <= terms.rollout.free_picks + cap(build) * took;
    }

    // Rule 4. A cold host gets no more than this router's part of the push it stands.
    bool room_in_cold(Host &host) const {
        const double warm = warmth(host);
        if (warm >= 1) return true;
        while (!host.pushed.empty() && host.pushed.front() <= now - terms.overload_for)
            host.pushed.pop_front();
        const double part = pace * std::max(0.05, host.entry.rating) * terms.overload_for / 10000.0;
        const double allowed = kColdSafety * terms.overload_multiple * warm * part;
        return host.pushed.size() + 1 <= std::max<double>(kColdFloor, allowed);
    }

    bool keys_allow(const Rpc &rpc, int build) const {
        if (!terms.rollout.keys_stay || rpc.from.key.empty()) return true;
        if (!has_news || (known.phase != Phase::on_trial && known.phase != Phase::released)) return true;
        const auto last = builds.rbegin();
        for (auto at = last; at != builds.rend() && at->first > build; ++at)
            if (at->second.keys.count(rpc.from.key)) return false;
        return true;
    }

    // --- choice of host ---
    double cost(const Rpc &rpc, const Host &host) {
        double held = host.open;
        if (host.held_at >= 0 && now - host.held_at < 15000)
            held += 0.5 * std::max(0.0, host.held - host.open);
        double cost =
            std::exp(std::clamp(host.excess, -1.0, 3.0) + kind_of(host)) * (held + 1) / weight(host);
        const double share = std::min(0.95, fails(host));
        const double sound = (1 - share) * (1 - share);
        cost /= terms.methods[rpc.from.method].repeat == Repeat::idempotent ? sound : sound * sound;
        if (host.open > 0) {
            const double silent = (now - host.quiet_since) / (kSilence * usual_latency(rpc.from.method));
            if (silent > 1) cost *= 1 + silent * silent * 4;
        }
        if (host.full_until > now) cost *= 4;
        if (has_news && known.phase == Phase::released && host.entry.build < known.build) cost *= kOlderCost;
        return cost * (0.9 + 0.2 * rng.unit());
    }

    double kind_of(const Host &host) const {
        const auto at = kind_excess.find(host.entry.kind);
        return at == kind_excess.end() ? 0 : at->second;
    }

    bool eligible(const Rpc &rpc, Host &host, bool trial) {
        if (!usable(host) || on_trial(host.entry.build) != trial) return false;
        if (trial && !room_on_trial(host.entry.build, rpc.from.method)) return false;
        return keys_allow(rpc, host.entry.build) && may_repeat(rpc, host) && room_in_cold(host);
    }

    int choose(const Rpc &rpc, bool trial) {
        int best = -1, last = -1;
        double least = 0, least_last = 0;
        int favourite = -1;
        std::uint64_t top = 0;
        const bool warm_keys = terms.rollout.warm_keys && !rpc.from.key.empty();
        for (std::size_t i = 0; warm_keys && i < hosts.size(); ++i) {
            if (!usable(hosts[i]) || on_trial(hosts[i].entry.build) != trial) continue;
            const std::uint64_t score = mix(rpc.from.key, mix(hosts[i].entry.id, 3));
            if (score >= top) top = score, favourite = static_cast<int>(i);
        }
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            Host &host = hosts[i];
            if (!eligible(rpc, host, trial)) continue;
            const bool used = std::any_of(rpc.picks.begin(), rpc.picks.end(),
                                          [&](const Pick &pick) { return pick.host == static_cast<int>(i); });
            double price = cost(rpc, host);
            if (static_cast<int>(i) == favourite) price *= kWarmKeyCost;
            if (used || host.rest_until > now) {
                if (last < 0 || price < least_last) last = static_cast<int>(i), least_last = price;
            } else if (best < 0 || price < least) {
                best = static_cast<int>(i), least = price;
            }
        }
        return best >= 0 ? best : last;
    }

    // --- the mechanism ---
    // Share of a method's RPCs that the trial takes for real: in step with its places, a stage apart by
    // repeat.
    double trial_share(int method) {
        if (!known_trial()) return 0;
        Build &build = of(known.build);
        int first = 1 + static_cast<int>(terms.methods[method].repeat);
        if (!terms.second_copies && first == 1) first = 0;
        double share = 0;
        if (known.stage >= first) {
            const auto stage = std::min<std::size_t>(known.stage, terms.rollout.places.size() - 1);
            double there = 0, before = 0;
            for (const Host &host : hosts)
                if (usable(host)) (on_trial(host.entry.build) ? there : before) += weight(host);
            const double places = terms.rollout.replaces ? before + there : before;
            share = places > 0 ? std::min(terms.rollout.places[stage], there / places) : 1;
            // A method with an effect starts with a trickle: a build that fails only that one shows in no
            // pair.
            if (first > 1) share *= std::min(1.0, (build.proven[method] + 3) / 15.0);
        }
        build.range[method] = std::max(build.range[method], share);
        return terms.rollout.keys_stay ? build.range[method] : share;
    }

    Decision send(Rpc &rpc, int target, bool copy) {
        Host &host = hosts[target];
        const bool trial = on_trial(host.entry.build);
        const Method &method = terms.methods[rpc.from.method];
        Ticks patience = rpc.from.deadline - now;
        const Ticks wait = hedge_wait(rpc.from.method);
        if (copy) patience = std::min(patience, method.soft_deadline * 2);
        const bool last = static_cast<int>(rpc.picks.size()) + 1 >= terms.max_picks;
        if (!copy && !last && !terms.second_copies && method.repeat != Repeat::non_idempotent &&
            budget >= 1 && limit <= 0 && !method.stream && patience > wait * 2)
            patience = wait;
        const bool aged = host.entry.started <= 0 || now - host.entry.started > kColdSkip;
        rpc.picks.push_back({target, host.entry.build, now, patience, trial, copy, aged});
        if (host.open == 0) host.quiet_since = now;
        ++host.open;
        ++open;
        if (warmth(host) < 1)
            host.pushed.push_back(now);
        else
            warm_picks.push_back(now);
        if (trial) of(host.entry.build).exposed[rpc.from.method].sent.push_back(now);
        rpc.hedge_at = now + wait;
        if (terms.second_copies && method.repeat == Repeat::idempotent)
            due.emplace(rpc.hedge_at, rpc.from.id);
        Decision d{Act::pick};
        d.rpc = rpc.from.id;
        d.host = host.entry.id;
        d.span = std::max<Ticks>(1, patience);
        return d;
    }

    Ticks hedge_wait(int method) const {
        const auto aim = static_cast<double>(terms.methods[method].soft_deadline);
        return static_cast<Ticks>(
            std::clamp(usual_latency(method) * kHedgeLatency, aim * kHedgeLeast, aim * kHedgeMost));
    }

    Decision finish(Rpc &rpc, bool push_back) {
        rpc.done = true;
        Decision d{push_back && may_push_back(rpc) ? Act::push_back : Act::abort};
        d.rpc = rpc.from.id;
        if (d.act == Act::push_back && terms.advise_pause)
            d.span = std::min<Ticks>(terms.max_pause, kPause + static_cast<Ticks>(kPause * rng.unit()));
        return d;
    }

    // Pushback under a limit: least utility for its work first, tenants past their quota before all.
    bool shed(const Rpc &rpc) const {
        if (limit <= 0) return false;
        double most = 0;
        for (std::size_t i = 0; i < terms.methods.size(); ++i) most = std::max(most, usefulness(i));
        double part = kLeastWorth + (1 - kLeastWorth) * usefulness(rpc.from.method) / std::max(1e-9, most);
        if (rpc.over_share) part *= kOverShare;
        return open >= limit * part;
    }

    double usefulness(std::size_t method) const {
        const double utility = terms.methods[method].utility;
        return terms.utility_by_work ? utility : utility / usual_latency(static_cast<int>(method));
    }

    Decision advance(Rpc &rpc) {
        if (rpc.done) return cut_rest(rpc);
        if (now >= rpc.from.deadline) return finish(rpc, false);
        const Method &method = terms.methods[rpc.from.method];
        const bool spare = static_cast<int>(rpc.picks.size()) < terms.max_picks;
        int open_here = 0;
        for (const Pick &pick : rpc.picks) open_here += pick.open;
        if (rpc.picks.empty()) {
            if (shed(rpc)) return finish(rpc, true);
            return first_pick(rpc);
        }
        if (rpc.want_copy) {
            rpc.want_copy = false;
            const int target = spare && budget >= 1 ? choose(rpc, true) : -1;
            if (target >= 0) {
                budget -= 1;
                return send(rpc, target, true);
            }
        }
        if (open_here > 0) {
            const bool hedge = terms.second_copies && method.repeat == Repeat::idempotent && spare &&
                               now >= rpc.hedge_at && open_here < 2 && budget >= 1 && limit <= 0;
            if (!hedge) return {};
            const int target = choose(rpc, false);
            if (target < 0 || used(rpc, target)) return {};
            budget -= 1;
            return send(rpc, target, false);
        }
        return further_pick(rpc, spare);
    }

    bool used(const Rpc &rpc, int target) const {
        return std::any_of(rpc.picks.begin(), rpc.picks.end(),
                           [&](const Pick &pick) { return pick.host == target; });
    }

    Decision first_pick(Rpc &rpc) {
        const bool drawn = rpc.place < trial_share(rpc.from.method);
        int target = drawn || !keys_allow(rpc, known.build - 1) ? choose(rpc, true) : -1;
        if (target < 0) target = choose(rpc, false);
        // Where the earlier hosts have gone, the trial takes what its cap allows, whatever the stage.
        if (target < 0) target = choose(rpc, true);
        if (target < 0) return finish(rpc, true);
        const bool copied = terms.second_copies && known_trial() && !on_trial(hosts[target].entry.build) &&
                            terms.methods[rpc.from.method].repeat == Repeat::idempotent && !rpc.from.retry &&
                            limit <= 0 && !terms.methods[rpc.from.method].stream;
        rpc.want_copy = copied;
        return send(rpc, target, false);
    }

    Decision further_pick(Rpc &rpc, bool spare) {
        const bool unrun = std::all_of(rpc.picks.begin(), rpc.picks.end(),
                                       [](const Pick &pick) { return proves_unrun(pick.outcome); });
        const bool paid = budget >= 1 || (unrun && budget > -kBudgetMost);
        const Ticks left = rpc.from.deadline - now;
        if (spare && paid && left > usual_latency(rpc.from.method) * 0.5) {
            int target = choose(rpc, false);
            if (target < 0) target = choose(rpc, true);
            if (target >= 0) {
                budget -= 1;
                return send(rpc, target, false);
            }
        }
        return finish(rpc, true);
    }

    // Losers of a finished RPC are cut; a copy runs on, as its end is evidence.
    Decision cut_rest(Rpc &rpc) {
        for (std::size_t i = 0; i < rpc.picks.size(); ++i) {
            Pick &pick = rpc.picks[i];
            if (!pick.open || pick.cut || (pick.copy && limit <= 0) || !terms.may_cut) continue;
            pick.cut = true;
            Decision d{Act::cut};
            d.rpc = rpc.from.id;
            d.pick = static_cast<int>(i);
            return d;
        }
        return {};
    }

    // --- votes ---
    struct Evidence {
        Count all;
        Count stage;
        std::vector<Count> by_method;
        std::map<int, Count> by_host;
        double slow = 0;
        bool timed = false;
    };

    Evidence gather(const Build &build) const {
        Evidence seen;
        seen.by_method.resize(terms.methods.size());
        std::vector<double> excess;
        for (const Sample &sample : build.samples) {
            if (sample.at < now - kEvidenceAge) continue;
            for (Count *count : {&seen.all, &seen.by_method[sample.method], &seen.by_host[sample.host]}) {
                count->picks += 1;
                count->failed += sample.failed;
            }
            if (sample.at >= stage_at) {
                seen.stage.picks += 1;
                seen.stage.failed += sample.failed;
            }
            if (sample.timed && sample.at > now - kEvidenceAge / 2) excess.push_back(sample.excess);
        }
        seen.timed = excess.size() >= kSlowSample;
        if (seen.timed) seen.slow = median(excess) - fleet_excess;
        return seen;
    }

    // Are the failures those of a host, not of the build? Stops votes back for a neighbour, a fast-failing or
    // silent host that happens to run the trial; may wait too long when host trouble and a bad build
    // coincide.
    bool host_explains(const Evidence &seen) const {
        if (seen.by_host.size() >= 3) {
            int sick = 0;
            for (const auto &[host, count] : seen.by_host) sick += count.failed > kBackShare * count.picks;
            return sick * 3 <= static_cast<int>(seen.by_host.size());
        }
        for (const Host &host : hosts)
            if (usable(host) && !on_trial(host.entry.build) && fails(host) > kBackShare) return true;
        return false;
    }

    bool slow_explained(double slow) const {
        int alike = 0, all = 0;
        for (const Host &host : hosts) {
            if (!usable(host) || on_trial(host.entry.build)) continue;
            ++all;
            alike += host.excess - fleet_excess > slow * kExplained;
        }
        return alike * 8 > all;
    }

    // Complaints, some of them false, against the rate that other builds draw.
    double flag_odds(int number) const {
        if (terms.rollout.flag_share <= 0) return 0;
        double flags = 0.5, answers = kFlagPrior;
        for (const auto &[other, build] : builds)
            if (other < number) flags += build.flags, answers += build.answers;
        const auto at = builds.find(number);
        if (at == builds.end()) return 0;
        const double usual_rate = flags / answers;
        const double bad_rate = usual_rate + terms.rollout.flag_share * kWrongShare;
        return at->second.flags * std::log(bad_rate / usual_rate) -
               at->second.answers * (bad_rate - usual_rate);
    }

    Count tallied(int build, int method) const {
        Count count;
        for (const TallyRow &tally : tallies) {
            if (tally.row.build != build || (method >= 0 && tally.row.method != method)) continue;
            count.picks += tally.row.picks;
            count.failed += tally.row.failed;
        }
        return count;
    }

    bool fails_much(const Count &count, int least, double share, double usual_share) const {
        return count.picks >= least && count.failed >= std::min<double>(least, kBackDivergences) &&
               count.failed > (share + usual_share) * count.picks;
    }

    // Every host slower since the trial began, and not for more traffic: a build that slows them all.
    bool slows_all() {
        const bool risen = fleet_excess > std::log(kSharedRise) && traffic < calm_traffic * kSharedLoad;
        if (!risen)
            risen_since = -1;
        else if (risen_since < 0)
            risen_since = now;
        return risen && now - risen_since > kSharedFor;
    }

    Verdict judgement() {
        const Build &build = of(known.build);
        const Evidence seen = gather(build);
        const bool watch = known.phase == Phase::released;
        const double usual_share = watch ? 0.02 : earlier_fails;
        if (flag_odds(known.build) > kFlagProof) return why("flags", seen, flag_odds(known.build));
        bool failing = fails_much(seen.all, kBackPairs, kBackShare, usual_share);
        for (std::size_t i = 0; i < terms.methods.size(); ++i) {
            failing = failing || fails_much(seen.by_method[i], kMethodPairs, kMethodShare, usual_share);
            if (watch) continue;
            const Count told = tallied(known.build, static_cast<int>(i));
            const Count before = tallied(known.build - 1, static_cast<int>(i));
            failing = failing || fails_much(told, kBackPairs, kMethodShare, before.share());
        }
        if (failing && !host_explains(seen)) return why("failures", seen, usual_share);
        if (watch) return Verdict::none;
        const bool slow = seen.timed && seen.slow > std::log(kSlowRatio);
        if (slow && !slow_explained(seen.slow)) return why("latency", seen, std::exp(seen.slow));
        if (slows_all()) return why("all slower", seen, std::exp(fleet_excess));
        if (terms.rollout.advance == Advance::timer)
            return fails_much(seen.all, kHoldPairs, kHoldShare, usual_share) || slow ? Verdict::hold
                                                                                     : Verdict::none;
        if (failing || slow || risen_since >= 0) return Verdict::none;
        const double borne = kOnDivergences + usual_share * seen.stage.picks;
        if (seen.stage.picks >= kOnPairs && seen.stage.failed <= borne) return Verdict::on;
        return seen.stage.failed <= 0 && now - stage_at >= kOnAnyway ? Verdict::on : Verdict::none;
    }

    Verdict why(const char *cause, const Evidence &seen, double figure) {
        if (voted != Verdict::back)
            log((std::string("back for ") + cause + ": %.0f of %.0f, %.2f").c_str(), seen.all.failed,
                seen.all.picks, figure);
        return Verdict::back;
    }

    Decision vote() {
        const bool open_case = has_news && (known.phase == Phase::on_trial || known.phase == Phase::released);
        if (!open_case || now < voted_at + kVoteRetry) return {};
        Verdict verdict = judgement();
        if (verdict == Verdict::none && voted != Verdict::on && voted != Verdict::hold) return {};
        if (verdict == voted && vote_counts &&
            now < voted_at + std::min(kVoteRenewal, terms.rollout.vote_life))
            return {};
        voted = verdict;
        voted_at = now;
        vote_counts = false;
        Decision d{Act::vote};
        d.build = known.build;
        d.stage = known.stage;
        d.verdict = verdict;
        return d;
    }

    Decision ask_for_list() {
        if (!terms.list_by_asking || (asked && ask_at > now) || (asked && ask_at < 0)) return {};
        asked = true;
        ask_at = -1;
        return Decision{Act::watch_list};
    }

    void list_failed() {
        ask_at = now + ask_wait + static_cast<Ticks>(ask_wait * 0.25 * rng.unit());
        ask_wait = std::min(kAskMost, ask_wait * 2);
    }

    Decision next() {
        while (!todo.empty()) {
            const auto found = rpcs.find(todo.front());
            if (found != rpcs.end()) {
                Rpc &rpc = found->second;
                Decision d = advance(rpc);
                if (d.act != Act::none) return d;
                rpc.queued = false;
                const bool still_out = std::any_of(rpc.picks.begin(), rpc.picks.end(),
                                                   [](const Pick &pick) { return pick.open; });
                if (rpc.done && !still_out) rpcs.erase(found);
            }
            todo.pop_front();
        }
        if (Decision d = vote(); d.act != Act::none) return d;
        if (Decision d = ask_for_list(); d.act != Act::none) return d;
        if (!lines.empty()) {
            Decision d{Act::log};
            d.text = std::move(lines.front());
            lines.pop_front();
            return d;
        }
        const Ticks wanted = std::max(now + 1, due.empty() ? beat_at : std::min(beat_at, due.top().first));
        if (armed >= 0 && armed <= wanted) return {};
        armed = wanted;
        Decision d{Act::wake};
        d.span = armed;
        return d;
    }
};

Router::Router(Terms terms, std::uint64_t seed) : state_(std::make_unique<State>(std::move(terms), seed)) {}
Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

void Router::clock(Ticks now) {
    state_->clock(now);
}
void Router::hosts(const std::vector<HostEntry> &entries, bool whole) {
    state_->list(entries, whole);
}
void Router::list_failed() {
    state_->list_failed();
}
void Router::arrived(Arrival arrival) {
    state_->arrive(std::move(arrival));
}
void Router::streaming(const std::string &rpc) {
    const auto found = state_->rpcs.find(rpc);
    if (found != state_->rpcs.end()) found->second.done = true;
}
void Router::ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                   const std::vector<double> &report) {
    state_->end(rpc, pick, outcome, took, complete, report);
}
void Router::expired(const std::string &rpc) {
    const auto found = state_->rpcs.find(rpc);
    if (found == state_->rpcs.end()) return;
    found->second.done = true;
    state_->enqueue(found->second);
}
void Router::probed(const std::string &host, Outcome, const std::vector<double> &report) {
    const auto at = state_->host_at.find(host);
    if (at != state_->host_at.end()) state_->note_report(state_->hosts[at->second], report);
}
void Router::flagged(const std::string &host, int, Ticks age) {
    state_->flag(host, age);
}
void Router::news(const News &news) {
    state_->take_news(news);
}
void Router::tally(const Tally &tally) {
    state_->tallies.push_back({state_->now - tally.age, tally});
}
void Router::told(int, const std::string &) {}

Decision Router::next() {
    return state_->next();
}

} // namespace pineridge
