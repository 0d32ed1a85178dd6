// What the module remembers, grouped by how long it lives: one pick, one RPC, one host, one build, the
// instance; and the bookkeeping that only notes what was told. No decision and no tuned value is here:
// src/logic.cpp sets what does not start at nothing.
#pragma once

#include "chance.hpp"
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>

namespace pineridge {

inline bool proves_unrun(Outcome end) {
    return end == Outcome::no_room || end == Outcome::no_route || end == Outcome::stale;
}

inline bool diverges(Outcome end) {
    return end == Outcome::fault || end == Outcome::too_slow || end == Outcome::cut;
}

inline bool same_group(Group group, const HostEntry &a, const HostEntry &b) {
    return group == Group::all || (group == Group::zone ? a.zone == b.zone : a.cell == b.cell);
}

struct Pick {
    int host;
    int build;
    Ticks sent;
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
    int streak = 0;
    Ticks rest_until = 0;
    Ticks rest = 0; // its next one; 0: the first
    Ticks quiet_since = 0;
    Ticks full_until = 0;
    double held = 0;            // RPCs there, as reported
    Ticks held_at = -1;         // never: below 0
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
    void add(double more, double bad) { picks += more, failed += bad; }
};

struct Build {
    std::deque<Sample> samples{};
    std::vector<double> range{};             // by method: share of keys that it has
    std::vector<int> proven{};               // by method: ok picks
    std::vector<std::deque<Ticks>> picked{}; // by method: picks within the exposure window
    std::set<std::string> keys{};            // keys it has answered, where they must stay
    double answers = 0;
    double flags = 0;
};

struct Evidence {
    Count all, stage;
    std::vector<Count> by_method;
    std::map<int, Count> by_host;
    double slow = 0; // log of the better hosts' median latency over the earlier hosts'
    double slow_bar = 0;
};
// What is watched of the fleet: its traffic's peak, the earlier hosts' excess, the weight of sound hosts.
struct Figures {
    double traffic = 0;
    double fleet = 0;  // middle host
    double better = 0; // best quarter
    double sound = 0;
    bool limited = false;
};

struct Instance {
    Instance(Terms given, std::uint64_t seed) : terms(std::move(given)) {
        rng.state = seed * 2862933555777941757ULL + 3037000493ULL;
        usual.assign(terms.methods.size(), 0);
        usual_count.assign(terms.methods.size(), 0);
        taken.resize(terms.methods.size());
        for (double quota : terms.tenant_quotas) tokens.push_back(quota / terms.instances);
    }

    Terms terms;
    Pcg rng;
    Ticks now = 0, armed = -1, beat_at = 0;
    std::vector<Host> hosts;
    std::unordered_map<std::string, int> host_at;
    std::unordered_map<std::string, Rpc> rpcs; // looked up, never walked
    std::deque<std::string> todo, lines;
    using Due = std::pair<Ticks, std::string>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
    std::map<int, Build> builds;
    std::deque<Sample> earlier; // the earlier build's picks of late
    std::deque<std::pair<Ticks, Tally>> tallies;
    std::vector<double> usual; // by method: log latency at the earlier build, still while one is on trial
    std::vector<int> usual_count;
    std::map<int, double> kind_excess;
    std::vector<std::deque<Ticks>> taken; // by method: arrivals within the exposure window
    std::vector<double> tokens;           // by tenant: RPCs left within its quota
    Ticks tokens_at = 0;
    double budget = 0;
    int open = 0; // picks
    double late = 0;
    double limit = 0; // of open picks; 0: none needed so far
    double pace = 0;  // picks a second at warm hosts, for each unit of rating
    std::deque<Ticks> warm_picks;
    double traffic = 0; // first tries a second
    Ticks traffic_at = 0;
    int arrivals = 0;
    Figures lately, calm; // calm: when the trial began
    double yielding = 0;  // share of the draws for the trial that went elsewhere
    Ticks slow_since = -1, suspect_since = -1, released_at = -1;
    double earlier_fails = 0;
    News known{};
    bool has_news = false;
    Ticks stage_at = 0, voted_at = 0, judge_at = 0;
    Verdict voted = Verdict::none;
    bool vote_counts = false;
    Ticks ask_at = 0, ask_wait = 0; // ask_at < 0: a call is out or a subscription stands

    bool on_trial(int build) const {
        return has_news && (build > known.build || (build == known.build && known.phase != Phase::released));
    }
    bool trial_runs() const { return has_news && known.phase == Phase::on_trial; }
    bool watching() const { return has_news && known.phase == Phase::released; }
    bool usable(const Host &host) const { return host.listed && host.entry.standing == Standing::ready; }
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

    void enqueue(Rpc &rpc) {
        if (!rpc.queued) todo.push_back(rpc.from.id);
        rpc.queued = true;
    }

    void take_list(const std::vector<HostEntry> &entries, bool whole) {
        for (Host &host : hosts) host.listed = host.listed && !whole;
        for (const HostEntry &entry : entries) {
            const auto [at, fresh] = host_at.try_emplace(entry.id, static_cast<int>(hosts.size()));
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
        ask_wait = 0;
    }

    void note_report(Host &host, const std::vector<double> &report) {
        for (std::size_t i = 0; i < report.size() && i < terms.report_fields.size(); ++i) {
            const bool waiting = terms.report_fields[i] == "backlog";
            if (!waiting && terms.report_fields[i] != "outstanding") continue;
            host.held = waiting ? host.open + report[i] : report[i];
            host.held_at = now;
        }
    }

    void take_flag(const std::string &id, Ticks age) {
        const auto at = host_at.find(id);
        if (at == host_at.end()) return;
        const HostEntry &entry = hosts[at->second].entry;
        if (entry.started <= now - age) of(entry.build).flags += 1; // else another process answered
    }

    bool unrun(const Rpc &rpc) const {
        return std::all_of(rpc.picks.begin(), rpc.picks.end(),
                           [](const Pick &pick) { return !pick.open && proves_unrun(pick.outcome); });
    }

    bool used(const Rpc &rpc, int target) const {
        return std::any_of(rpc.picks.begin(), rpc.picks.end(),
                           [&](const Pick &p) { return p.host == target; });
    }

    Count tallied(int build, int method) const {
        Count count;
        for (const auto &[at, row] : tallies)
            if (row.build == build && row.method == method) count.add(row.picks, row.failed);
        return count;
    }

    double excess_of(const Pick &pick, int method, Ticks took) {
        return std::log(std::max<Ticks>(1, took)) - usual[method] - kind_excess[hosts[pick.host].entry.kind];
    }

    double cap(int build) const { return build == known.build ? known.cap : terms.rollout.caps.front(); }

    static void forget(std::deque<Ticks> &times, Ticks before) {
        while (!times.empty() && times.front() < before) times.pop_front();
    }

    static auto open_picks(const Rpc &rpc) {
        return std::count_if(rpc.picks.begin(), rpc.picks.end(), [](const Pick &pick) { return pick.open; });
    }

    Rpc *close_pick(const std::string &id, int number, Outcome outcome) {
        const auto found = rpcs.find(id);
        if (found == rpcs.end() || number < 0) return nullptr;
        std::vector<Pick> &picks = found->second.picks;
        if (number >= static_cast<int>(picks.size()) || !picks[number].open) return nullptr;
        picks[number].open = false;
        picks[number].outcome = outcome;
        --hosts[picks[number].host].open;
        --open;
        return &found->second;
    }

    // A pick that streams is the client's now: it is left alone.
    void mark_done(const std::string &id, int streams) {
        const auto found = rpcs.find(id);
        if (found == rpcs.end()) return;
        std::vector<Pick> &picks = found->second.picks;
        if (streams >= 0 && streams < static_cast<int>(picks.size())) picks[streams].cut = true;
        found->second.done = true;
        enqueue(found->second);
    }
};

} // namespace pineridge
