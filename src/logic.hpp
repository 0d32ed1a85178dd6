// Interface of the decision module: declarations and plain types only. src/logic.cpp tells how to call it.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace pineridge {

using Ticks = std::int64_t; // tenths of a millisecond

enum class Repeat { idempotent, tokened, non_idempotent };
enum class Group { all, zone, cell };
enum class Advance { any_vote, share_of_votes, timer };
enum class Outcome { ok, fault, no_room, too_slow, no_route, cut, undone, stale };
enum class Phase { on_trial, going_back, released, withdrawn };
enum class Standing { gone = 1, draining = 2, ready = 3 };

inline bool proves_unrun(Outcome end) {
    return end == Outcome::no_room || end == Outcome::no_route || end == Outcome::stale;
}

// Known not to have been answered with a value. After any other end the answer may have been lost on its way.
inline bool proves_unanswered(Outcome end) { return proves_unrun(end) || end == Outcome::fault; }

struct Method {
    Repeat repeat;
    Group group;
    Ticks soft_deadline;
    Ticks window;
    double utility;
    bool stream;
};

struct Rollout {
    Advance advance;
    bool replaces;
    bool cap_by_method;
    bool keys_stay;
    bool warm_keys;
    int guarded_stages;
    int on_votes; // routers that must stand for going on; 0 under a timer
    double free_picks;
    double flag_share;
    Ticks window;
    Ticks vote_life;
    double votes_per_s = 0; // that the platform takes of all instances; 0: not told
    std::vector<double> places;
    std::vector<double> caps;
};

// What the deployment tells an instance when it starts.
struct Terms {
    int instances;
    int ordinal = -1; // its number among them; below 0: not told, and it hears and tells no peer by number
    bool list_by_asking;
    bool may_cut;
    bool second_copies;
    bool peers; // may tell each other
    bool advise_pause;
    bool utility_by_work;
    int max_picks;
    int room = 1 << 30; // picks that this instance can hold open at once: without bound, unless told
    Ticks max_pause;
    Ticks keepalive = 0; // for which an idle connection to a host stands; 0: not told
    Ticks cold_for;
    Ticks overload_for;
    double cold_share;
    double overload_multiple;
    double cell_share = 1; // of a cell's RPCs for a build on trial of which no share was told; 1: no cells
    std::vector<Method> methods;
    std::vector<double> tenant_quotas; // RPCs a second over all instances; 0: none
    std::vector<std::string> report_fields;
    Rollout rollout;
};

struct HostEntry {
    std::string id;
    int zone;
    int kind;
    int cell;
    int build;
    Standing standing;
    double rating;
    Ticks started;
};

struct Arrival {
    std::string id;
    int method;
    int tenant;
    std::string key;
    Ticks deadline;
    bool retry;
    int cell = -1; // of the release plan; shares are told by cell
    Ticks size = 0; // its work as its client guesses it; 0: no guess
};

struct News {
    int build;
    int stage;
    Phase phase;
    bool answers_vote;
    bool valid;
    double cap;
    Ticks age;
};

struct Tally {
    int build;
    int method;
    int picks;
    int failed;
    Ticks age;
    double latency; // seconds
};

enum class Act { none, pick, cut, push_back, abort, vote, tell, watch_list, wake, log };
enum class Verdict { none, on, hold, back };

// One decision; `act` tells which fields hold.
struct Decision {
    Act act = Act::none;
    std::string rpc{};
    std::string host{};
    int pick = 0;
    Ticks span = 0; // pick: time-out; push back: pause; wake: the time itself
    int build = 0;
    int stage = 0;
    Verdict verdict = Verdict::none;
    std::string text{}; // log line; tell: the bytes
    int peer = -1; // tell: its number; below 0: every peer
};

class Router {
  public:
    virtual ~Router() = default;

    // Inputs: each only updates what is known.
    virtual void clock(Ticks now) = 0;
    virtual void list(const std::vector<HostEntry> &entries, bool whole) = 0;
    // A call for the list has failed; its lease leaves so long (below 0: it is over, or none is kept).
    virtual void list_failed(Ticks lease_left) = 0;
    // The list holds up to then: past it each host may have been drained unheard. Not told: for good. Past it
    // and up to `outage_until` discovery is presumed to be down, and to drain nothing.
    virtual void list_lease(Ticks until, Ticks outage_until) = 0;
    virtual void arrived(Arrival arrival) = 0;
    virtual void ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                       const std::vector<double> &report) = 0;
    // The client left (streams < 0), or owns the pick whose stream has started.
    virtual void finished(const std::string &rpc, int streams) = 0;
    virtual void flagged(const std::string &host, Ticks age) = 0;
    virtual void news(const News &told) = 0;
    virtual void tally(const Tally &row) = 0;
    virtual void heard(int peer, const std::string &bytes) = 0;
    // The release plan's share of a cell's RPCs (below 0: of all cells not told of since) for a build.
    virtual void allow(int build, int cell, double share) = 0;

    // The next decision, until one of act none.
    virtual Decision next() = 0;
};

std::unique_ptr<Router> make_router(Terms terms, std::uint64_t seed);

} // namespace pineridge
