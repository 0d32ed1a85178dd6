// What the module remembers, grouped by how long it lives: one pick, one RPC, one host, one build, the
// instance; and the bookkeeping that only notes what was told. No decision and no tuned value is here:
// src/logic.cpp sets what does not start at nothing.
#pragma once

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

inline bool diverges(Outcome end) {
    return end == Outcome::error || end == Outcome::timed_out || end == Outcome::connection_lost;
}

inline bool same_group(TokenScope group, const HostEntry &a, const HostEntry &b) {
    return group == TokenScope::all || (group == TokenScope::zone ? a.zone == b.zone : a.cell == b.cell);
}

struct Pick {
    int host;
    int build;
    Ticks sent;
    bool on_trial;
    bool copy;
    bool aged; // its host was past the cold skip
    bool fresh; // it needed a connection of its own
    bool open = true;
    bool cut = false;
    bool keeps_key = false; // counts in its build's open_keys
    Outcome outcome = Outcome::ok;
    Ticks took = 0;
};

struct Rpc {
    Arrival from;
    double place; // where its key (or a draw) falls in the trial's range
    double size = 1; // its guessed work over the usual
    bool over_share = false;
    bool done = false;
    bool queued = false;
    bool want_copy = false;
    bool paired = false;
    Ticks look_at = 0; // when it may look elsewhere
    std::vector<Pick> picks{};
};

struct Host {
    HostEntry entry;
    bool listed = true;
    int open = 0;
    double excess = 0; // log of its latency over the usual
    double fails = 0;
    Ticks fails_at = 0;
    double heard = 0; // its outcomes that tell of it, older ones for less
    Ticks heard_at = 0;
    int misses = 0; // picks in a row that it failed or took no connection for
    Ticks missed_at = 0;
    Ticks quiet_since = 0;
    Ticks linked_until = -1; // a connection to it stands, unless it has closed it early
    double weight = 0; // what it can do beside the others
    double others = 0; // RPCs of other routers there, as reported
    Ticks others_at = -1; // never: below 0
    std::deque<Ticks> pushed{}; // picks of late, also those to the process before
    double dice = 0; // which of a fleet of routers may send where the part of each is under one pick
    double rank = 0; // its place in this router's own order of hosts
};

// The hosts that may be picked of one side, and where keys fall among them.
struct Pool {
    std::vector<int> hosts;
    std::vector<double> upto; // weight of the hosts up to this one
    std::vector<std::pair<std::uint64_t, int>> ring; // some places for each host
    double others = 0; // RPCs of other routers for each unit of weight
    double load = 0; // of all routers

    double total() const { return upto.empty() ? 0 : upto.back(); }
    int drawn(double unit, std::size_t first) const { // of the first so many
        const auto at = std::upper_bound(upto.begin(), upto.begin() + first - 1, unit * upto[first - 1]);
        return hosts[at - upto.begin()];
    }
    int keeper(std::uint64_t key) const {
        const auto at = std::lower_bound(ring.begin(), ring.end(), std::pair{key, 0});
        return (at == ring.end() ? ring.front() : *at).second;
    }
};

struct Sample {
    Ticks at;
    int method;
    int host;
    bool failed;
    bool timed;
    double excess;
};

struct Build {
    std::deque<Sample> samples{};
    std::vector<double> range{}; // by method: share of keys that it has
    std::vector<int> proven{}; // by method: ok picks
    std::vector<std::deque<Ticks>> picked{}; // by method: picks within the exposure window
    std::set<std::string> keys{}; // that it has answered or may have, where they must stay
    std::unordered_map<std::string, int> open_keys{}; // picks out there by key, where they must stay
    double answers = 0;
    double flags = 0;
    PickCounts tried{}; // own picks of it, failed: not taken by their hosts
};

// What the release plan allows a build of each cell's RPCs, and elsewhere.
struct Allowed {
    double rest = 0;
    boost::unordered_flat_map<int, double> by_cell{};
};

// A cell's RPCs taken and its picks by build, within the exposure window.
struct Flow {
    int taken = 0;
    std::vector<std::pair<int, int>> picked{}; // build, picks: a few

    int &at(int build) {
        for (auto &[number, count] : picked)
            if (number == build) return count;
        return picked.emplace_back(build, 0).second;
    }
};
struct Room { // the last answer to whether a cell has room, while nothing of it has changed
    int cell = 0;
    int build = -1;
    bool held = false;
};
struct Passed { // one of them, by when it leaves the window
    Ticks until;
    int cell;
    int build; // a pick's; below 0: an RPC taken
};

struct Evidence {
    PickCounts all, stage, before; // before: the earlier build's
    std::vector<PickCounts> by_method, before_by; // before_by: the earlier build's
    double alone = 0; // share of its picks in periods that tell too little of the earlier build
    std::map<int, PickCounts> by_host;
    std::vector<double> medians; // of hosts: log latency over the earlier hosts'
    double timed = 0; // picks that the latency stands on
    double usual = 0; // the earlier build's failure share
    double slow = 0; // log of its latency over the earlier build's
    double slow_bar = 0;
    PickCounts answers; // of all routers heard; failed: found wrong

    double on_worst_third() const { // of its hosts, at least of one: their failures
        std::vector<double> hit;
        for (const auto &[host, count] : by_host) hit.push_back(count.failed);
        std::sort(hit.rbegin(), hit.rend());
        const auto few = hit.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, hit.size() / 3));
        return std::accumulate(hit.begin(), few, 0.0);
    }
    long struck() const { // hosts
        return std::count_if(by_host.begin(), by_host.end(),
                             [](const auto &one) { return one.second.failed > 0; });
    }
    // Log odds that some one method fails such a share, against the most of what the earlier build fails of
    // it, what the others fail here, and that least; with so many picks of prior belief.
    double method_odds(double share, double least, double prior) const {
        double most = 0;
        for (std::size_t i = 0; i < by_method.size() && i < before_by.size(); ++i) {
            const PickCounts &one = by_method[i], &before_one = before_by[i];
            const double beside = (before_one.failed + prior * usual) / (before_one.picks + prior);
            const double others = (all.failed - one.failed + least * prior) / (all.picks - one.picks + prior);
            const double chance = std::min(share, std::max({beside, others, least}));
            most = std::max(most, one.failed * std::log(share / chance) +
                                      one.succeeded() * std::log((1 - share) / (1 - chance)));
        }
        return most;
    }

    double routers = 0; // heard, this one too
    double witnesses = 0; // of them, those that saw the trial begin
    double more = 0; // traffic now, over that when the trial began
    double pace = 0; // log latency over the usual, of either build: of the middle method, or as tallied
};

// What is watched of the fleet: its traffic's peak, the earlier hosts' excess, the weight of sound hosts.
struct Figures {
    double traffic = 0;
    double fleet = 0; // middle host
    double sound = 0;
    bool limited = false;
};

// One instance, with the inputs that decide nothing.
struct Instance : Router {
    Instance(DeploymentConfig given, std::uint64_t seed) : terms(std::move(given)) {
        rng.state = seed * 2862933555777941757ULL + 3037000493ULL;
        own_order = rng.state;
        usual.assign(terms.methods.size(), 0);
        usual_count.assign(terms.methods.size(), 0);
        taken.resize(terms.methods.size());
        lateness.resize(terms.methods.size() + terms.tenant_quotas.size());
        if (!terms.advise_retry_after) terms.max_retry_after = 0;
        for (double quota : terms.tenant_quotas) tokens.push_back(quota / terms.instances);
    }

    DeploymentConfig terms;
    Pcg32 rng;
    std::uint64_t own_order = 0; // what its order of hosts is drawn by
    Ticks now = 0, armed = -1, beat_at = 0;
    std::vector<Host> hosts;
    std::unordered_map<std::string, int> host_at;
    std::vector<int> in_order; // hosts by rank
    int least_build = 0; // of the usable ones
    Pool pools[2]; // the earlier builds' and the trial's
    bool pools_due = true;
    double sound[2] = {0, 0}; // weight of the well ones on either side
    std::unordered_map<std::string, Rpc> rpcs; // looked up, never walked
    std::deque<std::string> todo, lines;
    using Due = std::pair<Ticks, std::string>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
    std::map<int, Build> builds;
    std::deque<Sample> earlier; // the earlier build's picks of late
    std::deque<std::pair<Ticks, PlatformStats>> tallies;
    double calm_rate = 0; // tallied picks of a period when the trial began
    std::vector<PickCounts> calm_pace; // by method: tallied log latency when the trial began
    double early_rise = 0; // of tallied log latency over that, in stage one
    std::vector<PickCounts> shown; // by method: the trial's picks that all routers heard of saw
    std::map<int, TrialSummary> words; // by peer, the last one of its own; by its complement, the last sum
    Ticks tell_at = 0, tell_round = -1; // rounds are counted from the stage's begin
    int tell_left = 0; // peers to tell in this round
    std::vector<double> usual; // by method: log latency at the earlier build, still while one is on trial
    std::vector<int> usual_count;
    std::map<int, double> kind_excess;
    std::vector<std::deque<Ticks>> taken; // by method: arrivals within the exposure window
    std::map<int, Allowed> allowed; // by build
    boost::unordered_flat_map<int, Flow> flows; // by cell
    std::deque<Passed> passed[2]; // RPCs taken; picks
    Room room_seen;
    std::vector<double> tokens; // by tenant: RPCs left within its quota
    Ticks tokens_at = 0;
    double budget = 0;
    int earned = 0; // RPCs since it was last filled
    int open = 0; // picks
    std::vector<std::pair<double, Ticks>> lateness; // by method, then by tenant: mean lateness, and when seen
    double limit = 0; // of open picks; 0: none needed so far
    double pace = 0; // picks a second at warm hosts, for each unit of rating
    int paced = 0; // beats that it stands on, where routers are many
    double untried = 0; // tries a second, less the part of those turned away that comes again
    int turned_away = 0; // since it was last counted
    double places = 0; // rating of the hosts of a whole side, as many as there were of late
    std::deque<Ticks> warm_served;
    double traffic = 0; // first tries a second
    Ticks traffic_at = 0;
    int arrivals = 0;
    double usual_size = 0; // of guessed work
    double guesses = 0;
    Figures lately, calm; // calm: when the trial began
    std::deque<Ticks> answered; // ok
    double best_rate = 0; // of them a second
    double wait = 0; // of an RPC sent now, expected
    Ticks born = -1; // its first RPC came
    int pending = 0; // RPCs without a final answer
    double yielding = 0; // share of the draws for the trial that went elsewhere
    Ticks slow_since = -1, suspect_since = -1, struck_since = -1, shared_since = -1, released_at = -1;
    Ticks proven_since = -1; // the vote that would release the build has been due
    double earlier_fails = 0;
    double barred = 0; // share of new connections that were not had, of late
    double breaks = 0; // share of the earlier builds' picks whose connection broke, of late
    std::set<int> sent_back; // builds withdrawn: their hosts drain, though a late list shows them
    RolloutUpdate known{};
    bool has_news = false;
    Ticks stage_at = 0, voted_at = 0, judge_at = 0;
    Verdict voted = Verdict::none;
    bool vote_counts = false;
    double vote_draw = 1; // spreads the next try
    Ticks ask_at = 0; // below 0: a call is out or a subscription stands
    int failed_calls = 0; // for the list, in a row
    Ticks list_until = std::numeric_limits<Ticks>::max(); // its lease
    Ticks outage_until = std::numeric_limits<Ticks>::min(); // discovery is presumed to be down
    int staying_build = 0; // no release step so far takes its hosts away

    bool on_trial(int build) const {
        return has_news && (build > known.build || (build == known.build && known.phase != Phase::released));
    }
    bool going_back(int build) const {
        return has_news && build == known.build &&
               (known.phase == Phase::rolling_back || known.phase == Phase::withdrawn);
    }
    bool trial_runs() const { return has_news && known.phase == Phase::on_trial; }
    bool watching() const { return has_news && known.phase == Phase::released; }
    bool usable(const Host &host) const {
        return host.listed && host.entry.status == HostStatus::ready &&
               sent_back.count(host.entry.build) == 0;
    }
    bool list_holds() const { return now <= list_until; }
    bool outage() const { return !list_holds() && now <= outage_until; }
    bool usable_earlier(const Host &host) const { return usable(host) && !on_trial(host.entry.build); }
    const Method &method_of(const Rpc &rpc) const { return terms.methods[rpc.from.method]; }

    Build &of(int number) {
        Build &build = builds[number];
        build.range.resize(terms.methods.size());
        build.proven.resize(terms.methods.size());
        build.picked.resize(terms.methods.size());
        return build;
    }

    void log(const std::string &form, double a, double b, double c) {
        char line[120];
        std::snprintf(line, sizeof line, form.c_str(), a, b, c);
        lines.emplace_back(line);
    }

    void settle(Rpc &rpc) {
        pending -= !rpc.done;
        rpc.done = true;
    }

    void enqueue(Rpc &rpc) {
        if (!rpc.queued) todo.push_back(rpc.from.id);
        rpc.queued = true;
    }

    void update_hosts(const std::vector<HostEntry> &entries, bool whole) override {
        for (Host &host : hosts) host.listed = host.listed && !whole;
        for (const HostEntry &entry : entries) {
            const auto [at, fresh] = host_at.try_emplace(entry.id, static_cast<int>(hosts.size()));
            if (fresh) hosts.push_back(Host{entry});
            Host &host = hosts[at->second];
            if (fresh || entry.started != host.entry.started || entry.build != host.entry.build) {
                Host next{entry};
                next.open = host.open;
                next.pushed = std::move(host.pushed);
                next.dice = rng.uniform();
                const double unit = (salted_hash(entry.id, own_order) >> 11) * 0x1p-53;
                next.rank = -std::log(1 - unit) / rating(next);
                next.quiet_since = now;
                host = std::move(next);
            }
            host.entry = entry;
            host.listed = entry.status != HostStatus::gone;
        }
        in_order.resize(hosts.size());
        std::iota(in_order.begin(), in_order.end(), 0);
        std::sort(in_order.begin(), in_order.end(),
                  [&](int a, int b) { return hosts[a].rank < hosts[b].rank; });
        failed_calls = 0;
        pools_due = true;
    }

    void set_host_list_lease(Ticks until, Ticks outage) override {
        list_until = until, outage_until = outage;
    }

    void receive_summary(int peer, const std::string &bytes) override {
        std::optional<TrialSummary> word = TrialSummary::decode(bytes, terms.methods.size());
        if (!word || peer < 0 || peer >= terms.instances || peer == terms.ordinal) return;
        if (word->routers > terms.instances) return;
        word->received_at = now;
        words[word->routers > 1 ? ~peer : peer] = std::move(*word);
    }

    void add_platform_stats(const PlatformStats &row) override {
        tallies.emplace_back(now - row.age, row);
        if (!trial_runs() || known.stage > 0) return;
        note_calm(row);
    }
    // Tallied picks of a period, over those that ended since then and so far apart.
    double tallied_rate(Ticks since, Ticks apart) const {
        double picks = 0, periods = 0;
        Ticks ended = -1;
        for (const auto &[at, row] : tallies) {
            if (at < since) continue;
            periods += ended < 0 || at > ended + apart;
            ended = at;
            picks += row.picks;
        }
        return periods > 0 ? picks / periods : 0;
    }
    void note_calm(const PlatformStats &row) {
        if (row.build < known.build && row.method < static_cast<int>(calm_pace.size()))
            calm_pace[row.method].add_latency(row.picks - row.failed, std::log(std::max(1e-4, row.latency)));
    }
    // Log latency of all tallied picks since then over that when the trial began.
    double tallied_rise(Ticks since) const {
        double rise = 0, picks = 0;
        for (const auto &[at, row] : tallies) {
            if (at < since || row.failed >= row.picks || calm_pace[row.method].timed <= 0) continue;
            const double ok = row.picks - row.failed;
            rise += ok * (std::log(std::max(1e-4, row.latency)) - calm_pace[row.method].mean_log_latency());
            picks += ok;
        }
        return picks > 0 ? rise / picks : 0;
    }

    void rpc_arrived(Arrival from) override {
        if (born < 0) born = now;
        taken.at(from.method).push_back(now);
        arrivals += !from.retry;
        ++earned;
        if (terms.default_cell_share < 1) note_flow(from.cell, -1);
        Rpc rpc{std::move(from), 0};
        rpc.place = rpc.from.key.empty() ? rng.uniform() : (salted_hash(rpc.from.key, 7) >> 11) * 0x1p-53;
        rpc.over_share = !within_quota(rpc.from.tenant);
        if (const auto size = static_cast<double>(rpc.from.size_hint); size > 0) {
            usual_size += (size - usual_size) / ++guesses;
            rpc.size = size / usual_size;
        }
        due.emplace(rpc.from.deadline, rpc.from.id);
        ++pending;
        const std::string id = rpc.from.id;
        enqueue(rpcs.insert_or_assign(id, std::move(rpc)).first->second);
    }

    void set_cell_share(int build, int cell, double share) override {
        room_seen = {};
        if (cell < 0)
            allowed[build] = {share, {}};
        else
            allowed[build].by_cell[cell] = share;
    }

    double share_in_cell(int build, int cell) const {
        const auto told = allowed.find(build);
        if (told == allowed.end()) return on_trial(build) ? terms.default_cell_share : 1;
        const auto at = told->second.by_cell.find(cell);
        return at == told->second.by_cell.end() ? told->second.rest : at->second;
    }

    // An RPC taken or, where a build is named, a pick sent. As the rule counts, picks stay a moment longer.
    void note_flow(int cell, int build) {
        Flow &flow = flows[cell];
        ++(build < 0 ? flow.taken : flow.at(build));
        room_seen = {};
        passed[build >= 0].push_back(
            {now + terms.rollout.exposure_window + (build < 0 ? -1 : 1), cell, build});
    }

    // RPCs of a cell taken and picks of them sent to a build within the window.
    std::pair<double, double> cell_exposure(int build, int cell) {
        const auto flow = flows.find(cell);
        if (flow == flows.end()) return {0, 0};
        return {flow->second.taken, flow->second.at(build)};
    }

    void forget_flows() {
        for (std::deque<Passed> &of : passed)
            for (; !of.empty() && of.front().until < now; of.pop_front()) {
                const Passed &gone = of.front();
                const auto at = flows.find(gone.cell);
                Flow &flow = at->second;
                if (gone.build < 0) --flow.taken;
                if (gone.build >= 0) --flow.at(gone.build);
                const auto none = [](const auto &one) { return one.second == 0; };
                if (flow.taken == 0 && std::all_of(flow.picked.begin(), flow.picked.end(), none))
                    flows.erase(at);
                room_seen = {};
            }
    }

    void update_rollout(const RolloutUpdate &told) override {
        if (told.answers_vote) vote_counts = told.valid;
        if (!told.valid) return;
        const bool other = !has_news || told.build != known.build;
        if (other || told.stage != known.stage || told.phase != known.phase) {
            if (trial_runs() && told.phase == Phase::released && !other) released_at = now;
            if (other || (told.phase != known.phase && told.phase != Phase::released)) {
                calm = lately;
                shown.clear();
                yielding = 0;
                suspect_since = slow_since = struck_since = shared_since = -1;
            }
            stage_at = now - told.age;
            voted = Verdict::none;
            proven_since = -1;
            log("news: build %.0f stage %.0f phase %.0f", told.build, told.stage, int(told.phase));
            if (told.phase != Phase::on_trial) of(told.build).range.clear();
            if (told.phase == Phase::rolling_back || told.phase == Phase::withdrawn)
                of(told.build).keys.clear();
            // Numbers only grow: it is done with.
            if (told.phase == Phase::withdrawn) sent_back.insert(told.build);
        }
        known = told;
        has_news = true;
        if (other) {
            calm_rate = 0;
            calm_pace.assign(terms.methods.size(), {});
            for (const auto &[at, row] : tallies) note_calm(row);
        }
        pools_due = true;
    }

    void note_report(Host &host, const std::vector<double> &report) {
        for (std::size_t i = 0; i < report.size() && i < terms.report_fields.size(); ++i) {
            const bool waiting = terms.report_fields[i] == "backlog";
            if (!waiting && terms.report_fields[i] != "outstanding") continue;
            host.others = waiting ? report[i] : std::max(0.0, report[i] - host.open);
            host.others_at = now;
        }
    }

    void answer_flagged(const std::string &id, Ticks age) override {
        const auto at = host_at.find(id);
        if (at == host_at.end()) return;
        const HostEntry &entry = hosts[at->second].entry;
        if (entry.started <= now - age) of(entry.build).flags += 1; // else another process answered
    }

    double rating(const Host &host) const { return std::max(0.05, host.entry.rating); }
    double rating_of(bool trial) const { // of a side's usable hosts
        double sum = 0;
        for (const Host &host : hosts)
            if (usable(host) && on_trial(host.entry.build) == trial) sum += rating(host);
        return sum;
    }
    double warm_rating() const {
        double sum = 0;
        for (const Host &host : hosts)
            if (usable(host) && warmth(host) >= 1) sum += rating(host);
        return sum;
    }
    double warmth(const Host &host) const {
        if (host.entry.started <= 0) return 1;
        const double grown = double(now - host.entry.started) / std::max<Ticks>(1, terms.warm_up_time);
        return std::clamp(terms.cold_capacity_share + (1 - terms.cold_capacity_share) * grown,
                          terms.cold_capacity_share, 1.0);
    }

    // The released build; while one is on trial, or was withdrawn, the newest before it.
    void note_staying_build() {
        staying_build = has_news && watching() ? known.build : least_build;
        if (watching()) return;
        for (const Host &host : hosts)
            if (usable(host) && host.entry.build < known.build)
                staying_build = std::max(staying_build, host.entry.build);
    }

    // Sorts the usable hosts by side. What others hold comes from reports since `fresh`, else from own picks.
    void fill_pools(Ticks fresh, int points, double rate, double slow_rate) {
        pools_due = false;
        least_build = hosts.empty() ? 0 : hosts.front().entry.build;
        for (const Host &host : hosts)
            if (usable(host)) least_build = std::min(least_build, host.entry.build);
        note_staying_build();
        double told[2] = {0, 0}, there[2] = {0, 0}, own[2] = {0, 0};
        for (Pool &pool : pools) pool.hosts.clear(), pool.upto.clear(), pool.ring.clear();
        for (const int i : in_order) {
            const Host &host = hosts[i];
            if (!usable(host)) continue;
            const bool trial = on_trial(host.entry.build);
            Pool &pool = pools[trial];
            pool.hosts.push_back(i);
            pool.upto.push_back(pool.total() + host.weight);
            for (int point = 0; point < points; ++point)
                pool.ring.emplace_back(salted_hash(host.entry.id, 3 + point), i);
            own[trial] += host.open;
            if (host.others_at >= 0 && host.others_at >= fresh)
                told[trial] += host.others, there[trial] += host.weight;
        }
        const double rest = terms.instances - 1.0;
        for (int side = 0; side < 2; ++side) {
            Pool &pool = pools[side];
            std::sort(pool.ring.begin(), pool.ring.end());
            if (pool.hosts.empty()) continue;
            const double shown = there[side] > 0 ? rest / terms.instances * told[side] / there[side]
                                                 : rest * own[side] / pool.total();
            pool.others += (shown - pool.others) * rate;
            pool.load += (shown + own[side] / pool.total() - pool.load) * slow_rate;
        }
    }

    bool within_quota(int tenant) {
        for (std::size_t i = 0; i < tokens.size(); ++i) {
            const double quota = terms.tenant_quotas[i] / terms.instances;
            // At least one is saved up. Stops a part under one a second from making all its RPCs excess.
            tokens[i] = std::min(std::max(1.0, quota), tokens[i] + quota * (now - tokens_at) / 10000.0);
        }
        tokens_at = now;
        if (tokens.empty() || terms.tenant_quotas.at(tenant) <= 0) return true;
        if (tokens[tenant] < 1) return false;
        tokens[tenant] -= 1;
        return true;
    }

    bool unrun(const Rpc &rpc) const {
        return std::all_of(rpc.picks.begin(), rpc.picks.end(),
                           [](const Pick &pick) { return !pick.open && proves_not_executed(pick.outcome); });
    }

    bool used(const Rpc &rpc, int target) const {
        return std::any_of(rpc.picks.begin(), rpc.picks.end(),
                           [&](const Pick &p) { return p.host == target; });
    }

    // Own picks of the trial's build; latency set against the earlier hosts' by method, at least `calm`. Of
    // methods with so many picks there, and hosts with so many here, the hosts' medians.
    Evidence collect(const Build &build, Ticks since, Ticks of_late, std::size_t besides, std::size_t least,
                     double calm_excess) const {
        Evidence seen;
        seen.by_method.resize(terms.methods.size());
        seen.before_by.resize(terms.methods.size());
        for (const Sample &sample : earlier) seen.before_by[sample.method].add(1, sample.failed);
        std::vector<std::vector<double>> beside(terms.methods.size());
        for (const Sample &sample : earlier)
            if (sample.timed && sample.at > of_late) beside[sample.method].push_back(sample.excess);
        std::vector<double> baseline;
        for (std::vector<double> &values : beside)
            baseline.push_back(values.size() < besides ? 0 : std::max(median(values), calm_excess));
        std::map<int, std::vector<double>> excess;
        for (const Sample &sample : build.samples) {
            if (sample.at < since) continue;
            seen.all.add(1, sample.failed);
            seen.by_method[sample.method].add(1, sample.failed);
            seen.by_host[sample.host].add(1, sample.failed);
            if (sample.at >= stage_at) seen.stage.add(1, sample.failed);
            if (sample.timed && sample.at > of_late && beside[sample.method].size() >= besides)
                excess[sample.host].push_back(sample.excess - baseline[sample.method]);
        }
        for (auto &[host, values] : excess)
            if (values.size() >= least) seen.medians.push_back(median(values));
        std::sort(seen.medians.begin(), seen.medians.end());
        return seen;
    }

    // Own picks of late, as peers are told of them.
    TrialSummary own_word(Ticks since) {
        TrialSummary word;
        word.build = known.build;
        word.first_tries = lately.traffic;
        if (calm.traffic > 0) { // else it started since and knows no calm
            word.with_baseline = 1;
            word.baseline_first_tries = calm.traffic;
        }
        word.trial.resize(terms.methods.size());
        word.earlier.resize(terms.methods.size());
        const auto add = [&](std::vector<PickCounts> &to, const Sample &sample) {
            if (sample.at < since) return;
            to[sample.method].add(1, sample.failed);
            if (sample.timed) to[sample.method].add_latency(1, sample.excess);
        };
        const Build &build = of(known.build);
        for (const Sample &sample : build.samples) add(word.trial, sample);
        for (const Sample &sample : earlier) add(word.earlier, sample);
        word.answers.add(build.answers, build.flags);
        return word;
    }

    // Where keys stay, is this a build newer than another that still takes picks?
    bool keeps_keys(int build) const {
        return terms.rollout.sticky_keys && !going_back(build) && (on_trial(build) || build > least_build);
    }

    // A key stays with a newer build from when it is sent there: its host may have answered before that is
    // known here.
    void keep_key(const Rpc &rpc, Pick &pick) {
        if (rpc.from.key.empty() || !keeps_keys(pick.build)) return;
        pick.keeps_key = true;
        ++of(pick.build).open_keys[rpc.from.key];
    }

    // A pick has ended, a copy's too. Unless it is known to have had no answer its build holds the key from
    // then on: an answer that was lost on its way is one all the same. The list may tell of another process
    // there by now, whose build counts; one that goes back holds none.
    void settle_key(const Rpc &rpc, Pick &pick) {
        if (std::exchange(pick.keeps_key, false)) {
            auto &open_keys = of(pick.build).open_keys;
            const auto at = open_keys.find(rpc.from.key);
            if (at != open_keys.end() && --at->second == 0) open_keys.erase(at);
        }
        if (rpc.from.key.empty() || proves_no_answer(pick.outcome)) return;
        const int build = std::max(pick.build, hosts[pick.host].entry.build);
        if (keeps_keys(build)) of(build).keys.insert(rpc.from.key);
    }

    // Is the key held by a build above this one? A build that the plan allows its cell nothing of is going
    // back there: it holds none of its keys.
    bool held_by_newer(const std::string &key, int number, int cell) const {
        return std::any_of(builds.upper_bound(number), builds.end(), [&](const auto &build) {
            const bool held = build.second.keys.count(key) > 0 || build.second.open_keys.count(key) > 0;
            return held && !going_back(build.first) && share_in_cell(build.first, cell) > 0;
        });
    }

    // The own word and what peers told of themselves since then; or one's sum of more of them.
    TrialSummary pooled(Ticks told_since, TrialSummary own) const {
        const TrialSummary *sum = nullptr;
        for (const auto &[peer, word] : words) {
            if (word.build != known.build || word.received_at < told_since) continue;
            if (peer >= 0)
                own.add(word);
            else if (!sum || word.routers > sum->routers)
                sum = &word;
        }
        return sum && sum->routers > own.routers ? *sum : own;
    }

    // What all routers saw of the trial's build beside those before it, as tallied or else as peers told;
    // latency by method, from so many picks on. Tallies that end so far apart are of two periods.
    Evidence compare_all(const TrialSummary &word, double least, Ticks apart, Ticks late) {
        Evidence told;
        std::vector<PickCounts> before = word.earlier;
        told.by_method = word.trial;
        told.answers = word.answers;
        told.routers = word.routers;
        told.more = word.first_tries / std::max(1e-9, word.baseline_first_tries);
        told.witnesses = word.with_baseline;
        std::vector<double> paces; // of methods with so many timed picks, of either build
        for (std::size_t i = 0; i < before.size(); ++i) {
            PickCounts both = word.earlier[i];
            both.add(word.trial[i]);
            if (both.timed >= least) paces.push_back(both.mean_log_latency());
        }
        std::sort(paces.begin(), paces.end());
        if (!paces.empty()) told.pace = paces[(paces.size() - 1) / 2];
        if (!tallies.empty()) {
            if (known.stage == 0 || calm_rate <= 0) calm_rate = tallied_rate(0, apart);
            told.pace = tallied_rise(late);
            told.more = tallied_rate(late, apart) / std::max(1e-9, calm_rate);
        }
        if (!tallies.empty()) told.by_method.assign(before.size(), {}), before.assign(before.size(), {});
        std::vector<std::array<PickCounts, 2>> periods; // the earlier builds' and the trial's
        Ticks ended = -1;
        for (const auto &[at, row] : tallies) {
            if (row.build > known.build) continue;
            if (periods.empty() || at > ended + apart) periods.emplace_back();
            ended = at;
            periods.back()[row.build == known.build].add(row.picks, row.failed);
            PickCounts &count = (row.build == known.build ? told.by_method : before).at(row.method);
            count.add(row.picks, row.failed);
            count.add_latency(row.picks - row.failed, std::log(std::max(1e-4, row.latency)));
        }
        for (std::size_t i = 0; i < before.size(); ++i) {
            const PickCounts &one = told.by_method[i], &other = before[i];
            told.all.add(one.picks, one.failed);
            told.before.add(other.picks, other.failed);
            if (other.timed < least) continue;
            const double before_pace = other.mean_log_latency();
            told.slow += one.log_latency_sum -
                         one.timed * (tallies.empty() ? std::max(0.0, before_pace) : before_pace);
            told.timed += one.timed;
        }
        told.usual = told.before.failure_share();
        // What strikes hosts of either build strikes most of a growing trial's picks, and few of the others'.
        double usual = 0, beside = told.usual, alone = 0;
        for (const auto &[others, trial] : periods) {
            if (others.picks >= least) beside = others.failure_share();
            if (others.picks < least) alone += trial.picks;
            usual += trial.picks * beside;
        }
        if (told.all.picks > 0 && !periods.empty()) told.usual = usual / told.all.picks;
        if (told.all.picks > 0) told.alone = alone / told.all.picks;
        told.before_by = before;
        told.slow /= std::max(1.0, told.timed);
        return told;
    }

    double excess_of(const Pick &pick, int method, double size) {
        return std::log(std::max<Ticks>(1, pick.took) / size) - usual[method] -
               kind_excess[hosts[pick.host].entry.kind];
    }

    double cap(int build) const {
        return build == known.build ? known.cap : terms.rollout.stage_caps.front();
    }

    void note_lateness(const Rpc &rpc, double ratio, double span, double most) {
        for (const std::size_t at : {std::size_t(rpc.from.method), terms.methods.size() + rpc.from.tenant}) {
            if (at >= lateness.size()) continue;
            auto &[mean, seen] = lateness[at];
            mean += (ratio - mean) * std::min(most, 1 - std::exp(static_cast<double>(seen - now) / span));
            seen = now;
        }
    }

    // Of the first so many of methods and tenants that were seen since: the least lateness.
    double least_late(std::size_t first, Ticks since) const {
        double least = -1;
        for (std::size_t i = 0; i < first; ++i)
            if (lateness[i].second > since && (least < 0 || lateness[i].first < least))
                least = lateness[i].first;
        return std::max(0.0, least);
    }

    // The chance that as many, struck blindly of all, are the eldest of these up to the last unwell one.
    static double chance_eldest(std::vector<std::pair<Ticks, bool>> trial, double struck, double all) {
        double chance = 1;
        std::sort(trial.begin(), trial.end());
        for (auto at = trial.begin(); at != trial.end() && at->second; ++at) chance *= struck-- / all--;
        return chance;
    }

    int drawn_peer(Ticks draw) const { // alike at all routers that know of the stage
        const auto salt = (std::uint64_t(known.build) << 32) + (std::uint64_t(known.stage) << 24) + draw;
        return static_cast<int>(salted_hash("", salt) % terms.instances);
    }

    static void forget(std::deque<Ticks> &times, Ticks before) {
        while (!times.empty() && times.front() < before) times.pop_front();
    }

    // RPCs taken and picks sent to a build within the window, as the cap counts them.
    std::pair<double, double> exposure(int number, int method) {
        double took = 0, sent = 0;
        for (std::size_t i = 0; i < taken.size(); ++i) {
            if (terms.rollout.cap_by_method && static_cast<int>(i) != method) continue;
            std::deque<Ticks> &picks = of(number).picked[i];
            forget(taken[i], now - terms.rollout.exposure_window + 1);
            forget(picks, now - terms.rollout.exposure_window - 1);
            took += static_cast<double>(taken[i].size());
            sent += static_cast<double>(picks.size());
        }
        return {took, sent};
    }

    // Latency over the usual of the earlier hosts older than so much: the middle.
    void measure_fleet(Ticks old) {
        std::vector<double> excess;
        for (const Host &host : hosts)
            if (usable_earlier(host) && now - host.entry.started >= old) excess.push_back(host.excess);
        if (!excess.empty()) lately.fleet = median(excess);
        lately.limited = limit > 0;
        lately.sound = sound[0] + sound[1];
    }

    void count_traffic(double rate, double again) {
        const double span = static_cast<double>(std::max<Ticks>(1, now - traffic_at)) / 10000;
        traffic += (arrivals / span - traffic) * rate;
        untried += ((arrivals - again * turned_away) / span - untried) * rate;
        arrivals = turned_away = 0;
        traffic_at = now;
        forget(warm_served, now - 10000);
        forget(answered, now - 10000);
    }

    // Of the tallies older ones stay while the rest hold fewer picks of the trial than wanted.
    void forget_evidence(Ticks before, double wanted) {
        while (!earlier.empty() && earlier.front().at < before) earlier.pop_front();
        double held = 0;
        for (const auto &[at, row] : tallies) held += row.build == known.build ? row.picks : 0;
        while (!tallies.empty() && tallies.front().first < before) {
            const PlatformStats &row = tallies.front().second;
            if (row.build == known.build && (held -= row.picks) < wanted) break;
            tallies.pop_front();
        }
    }

    PickCounts count_earlier() const {
        PickCounts count;
        for (const Sample &sample : earlier) count.add(1, sample.failed);
        return count;
    }

    static auto open_picks(const Rpc &rpc) {
        return std::count_if(rpc.picks.begin(), rpc.picks.end(), [](const Pick &pick) { return pick.open; });
    }

    Rpc *close_pick(const std::string &id, int number, Outcome outcome, Ticks took) {
        const auto found = rpcs.find(id);
        if (found == rpcs.end() || number < 0) return nullptr;
        std::vector<Pick> &picks = found->second.picks;
        if (number >= static_cast<int>(picks.size()) || !picks[number].open) return nullptr;
        picks[number].open = false;
        picks[number].outcome = outcome;
        picks[number].took = took;
        --hosts[picks[number].host].open;
        --open;
        return &found->second;
    }

    // A pick that streams is the client's now: it is left alone.
    void rpc_finished(const std::string &id, int streams) override {
        const auto found = rpcs.find(id);
        if (found == rpcs.end()) return;
        std::vector<Pick> &picks = found->second.picks;
        if (streams >= 0 && streams < static_cast<int>(picks.size())) picks[streams].cut = true;
        settle(found->second);
        enqueue(found->second);
    }
};

} // namespace pineridge
