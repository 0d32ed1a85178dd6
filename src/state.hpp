// What the module remembers, grouped by how long it lives: one pick, one RPC, one host, one build, the
// instance. No decision and no tuned value is here; src/logic.cpp sets what does not start at nothing.
#pragma once

#include "chance.hpp"
#include "logic.hpp"

#include <deque>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>

namespace pineridge {

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
struct Instance {
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
    double traffic = 0, calm_traffic = 0; // arrivals a second: of late, and when the trial began
    Ticks traffic_at = 0;
    int arrivals = 0;
    double fleet_excess = 0, better_excess = 0, calm_excess = 0; // of the earlier hosts: median, best quarter
    double peak_traffic = 0, sound = 0, calm_sound = 0;
    Ticks suspect_since = -1;
    double earlier_fails = 0;
    News known{};
    bool has_news = false;
    Ticks stage_at = 0, voted_at = 0;
    Verdict voted = Verdict::none;
    bool vote_counts = false;
    Ticks ask_at = 0, ask_wait = 0; // ask_at < 0: a call is out or a subscription stands
};

} // namespace pineridge
