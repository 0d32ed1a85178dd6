// Interface of the decision module: plain types and the Router interface. The module performs no I/O, starts
// no threads and never blocks; src/logic.cpp describes the order in which the functions of Router are called.
// All times are in Ticks.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace pineridge {

using Ticks = std::int64_t; // tenths of a millisecond

// Whether an RPC may be executed more than once. A tokened RPC carries an idempotency token, which the hosts
// of one TokenScope recognise for a limited time.
enum class RepeatPolicy { idempotent, tokened, non_idempotent };
enum class TokenScope { all, zone, cell };

// What moves a trial to its next stage: one vote, a share of the routers' votes, or the passing of time.
enum class AdvancePolicy { any_vote, share_of_votes, timer };

// How a pick ended.
enum class Outcome {
    ok,
    error, // the host answered with an error, or its answer was malformed
    host_busy, // the host refused the RPC because it is at capacity
    timed_out,
    connect_failed,
    connection_lost, // after the RPC was sent
    cancelled, // by this router, after the RPC was sent
    not_sent, // not executed: withdrawn before it was sent, or the host list was out of date
};

// Phase of the rollout of a build.
enum class Phase { on_trial, rolling_back, released, withdrawn };

// Status of a host in the list from discovery.
enum class HostStatus { gone = 1, draining = 2, ready = 3 };

// Returns whether a pick that ended this way is known not to have been executed by its host.
inline bool proves_not_executed(Outcome outcome) {
    return outcome == Outcome::host_busy || outcome == Outcome::connect_failed ||
           outcome == Outcome::not_sent;
}

// Returns whether a pick that ended this way is known not to have been answered with a value. After any other
// outcome an answer may have been sent and lost.
inline bool proves_no_answer(Outcome outcome) {
    return proves_not_executed(outcome) || outcome == Outcome::error;
}

// Configuration of one RPC method.
struct Method {
    RepeatPolicy repeat_policy;
    TokenScope token_scope; // hosts that recognise a token of one another
    Ticks soft_deadline; // latency that answers should not exceed
    Ticks token_window; // time after a pick during which hosts recognise its token
    double utility; // value of an answer; see DeploymentConfig::utility_per_work
    bool streams_answer;
};

// Configuration of staged rollouts. A build on trial passes through the stages in turn.
struct RolloutConfig {
    AdvancePolicy advance_policy;
    bool replaces_hosts; // the hosts of the new build replace those of the earlier one
    bool cap_by_method; // the exposure cap applies to each method on its own
    bool sticky_keys; // a key that a newer build has answered is not sent to an earlier one
    bool key_affinity; // prefer the host that is likely to have served the key before
    int guarded_stages; // number of first stages in which the trial takes only idempotent RPCs
    int votes_to_advance; // routers that must vote to advance; 0 with AdvancePolicy::timer
    double picks_above_cap; // picks that the trial may have in addition to its exposure cap
    double flag_share; // share of wrong answers that clients flag
    Ticks exposure_window; // over which RPCs and picks are counted for the exposure cap
    Ticks vote_lifetime; // time for which the platform counts a vote
    double votes_per_s = 0; // votes that the platform accepts from all routers together; 0: not configured
    std::vector<double> stage_shares; // by stage: largest share of a method's RPCs drawn for the trial
    std::vector<double> stage_caps; // by stage: largest share of the RPCs that may be sent to the trial
};

// Configuration that the deployment gives to a router instance when it starts.
struct DeploymentConfig {
    int instances; // router instances in the fleet
    int ordinal = -1; // number of this instance; below 0: not configured, so no peer is addressed by number
    bool requests_host_list; // the host list has to be requested; otherwise discovery pushes it
    bool may_cancel; // picks may be cancelled
    bool second_copies; // an idempotent RPC may have two picks open at once
    bool exchanges_summaries; // routers may send trial summaries to each other
    bool advise_retry_after; // a pushback may tell the client when to retry
    bool utility_per_work; // utilities are stated per unit of work; otherwise per RPC
    int max_picks; // per RPC
    int max_open_picks = 1 << 30; // over all RPCs of this instance; the default stands for no limit
    Ticks max_retry_after; // longest advice when to retry
    Ticks keepalive = 0; // time for which hosts keep an idle connection open; 0: not configured
    Ticks warm_up_time; // time after its start until a host has its full capacity
    Ticks overload_window; // over which the load of a cold host is counted
    double cold_capacity_share; // capacity of a host at its start, as a share of its full capacity
    double overload_multiple; // load, as a multiple of its capacity, that overloads a cold host
    double default_cell_share = 1; // share of a cell's RPCs for a trial without a received share; 1: no cells
    std::vector<Method> methods;
    std::vector<double> tenant_quotas; // RPCs per second over all instances, by tenant; 0: no quota
    std::vector<std::string> report_fields; // names of the values in a host's load report
    RolloutConfig rollout;
};

// A host in the list from discovery.
struct HostEntry {
    std::string id;
    int zone;
    int kind; // machine type
    int cell;
    int build;
    HostStatus status;
    double rating; // nominal capacity relative to other hosts
    Ticks started; // start time of its process; 0 or less: not known
};

// An RPC that a client has sent.
struct Arrival {
    std::string id;
    int method;
    int tenant;
    std::string key;
    Ticks deadline;
    bool retry; // the client has sent it before
    int cell = -1; // in the release plan, which sets shares by cell
    Ticks size_hint = 0; // the client's estimate of its work; 0: none
};

// Status of a rollout, as the platform reports it.
struct RolloutUpdate {
    int build;
    int stage;
    Phase phase;
    bool answers_vote; // it is the response to a vote of this router
    bool valid; // false: the vote was not counted, and the other fields are not set
    double cap; // largest share of the RPCs that may be sent to the build
    Ticks age; // time since the stage began
};

// What the platform counted at all routers for one build and method during one period.
struct PlatformStats {
    int build;
    int method;
    int picks;
    int failed;
    Ticks age; // time since the period ended
    double latency; // mean, in seconds
};

enum class Action { none, pick, cancel, push_back, abort, vote, send_summary, request_host_list, wake, log };
enum class Verdict { none, advance, hold, roll_back };

// One decision. `action` determines which of the other fields are set.
struct Decision {
    Action action = Action::none;
    std::string rpc{};
    std::string host{};
    int pick = 0;
    Ticks duration = 0; // pick: time-out; push_back: time until the retry; wake: the absolute time
    int build = 0;
    int stage = 0;
    Verdict verdict = Verdict::none;
    std::string text{}; // log: the line; send_summary: the encoded summary
    int peer = -1; // send_summary: number of the recipient; below 0: every peer
};

// The decisions of one router instance.
class Router {
  public:
    virtual ~Router() = default;

    // Inputs. They only update the state.

    virtual void set_time(Ticks now) = 0;
    // If `complete`, hosts that are not among the entries leave the list.
    virtual void update_hosts(const std::vector<HostEntry> &entries, bool complete) = 0;
    // A request for the host list has failed. `lease_left` is the time until the lease of the present list
    // ends; below 0 the lease has expired, or there is none.
    virtual void host_list_failed(Ticks lease_left) = 0;
    // The host list is valid until `until`; after that any host may have been drained without notice. Without
    // this call the list does not expire. From `until` to `outage_until` discovery is presumed to be
    // unavailable, and so not to drain any host.
    virtual void set_host_list_lease(Ticks until, Ticks outage_until) = 0;
    virtual void rpc_arrived(Arrival arrival) = 0;
    // `rpc_complete` tells that the client has its final answer.
    virtual void pick_ended(const std::string &rpc, int pick, Outcome outcome, Ticks duration,
                            bool rpc_complete, const std::vector<double> &report) = 0;
    // The client has disconnected (`streaming_pick` below 0), or receives the stream of that pick.
    virtual void rpc_finished(const std::string &rpc, int streaming_pick) = 0;
    // A client has flagged as wrong an answer that the host gave `age` ago.
    virtual void answer_flagged(const std::string &host, Ticks age) = 0;
    virtual void update_rollout(const RolloutUpdate &update) = 0;
    virtual void add_platform_stats(const PlatformStats &stats) = 0;
    // `bytes` is an encoded TrialSummary; other bytes are ignored.
    virtual void receive_summary(int peer, const std::string &bytes) = 0;
    // Sets the share of a cell's RPCs that the release plan allows the build. With a cell below 0 it is the
    // share of all cells, until they are set again.
    virtual void set_cell_share(int build, int cell, double share) = 0;

    // Returns the next decision; Action::none when there are no more.
    virtual Decision next_decision() = 0;
};

std::unique_ptr<Router> make_router(DeploymentConfig config, std::uint64_t seed);

} // namespace pineridge
