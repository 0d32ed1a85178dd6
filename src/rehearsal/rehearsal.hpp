// Compares the decisions of two module configurations before a switch. Beside the decision module runs a
// second one, the shadow, with the settings of another deployment shape and the same inputs. The shadow's
// decisions are never carried out: they leave this class only as counts by kind. Not thread-safe. Costs: the
// state of a second module, one entry for each open RPC, and about twice the module's CPU time.
//
// The shadow's picks are never sent. Where both modules have a pick at the same index of an RPC, the shadow's
// pick ends as the real one does, even if it went to another host. The shadow's remaining picks end as
// cancelled, from which a module learns nothing.
#pragma once

#include "logic.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pineridge::rehearsal {

// Counts of RPCs and of stages for which the two modules decided differently.
struct Differences {
    std::uint64_t rpcs = 0; // all compared RPCs
    std::uint64_t builds = 0; // the first picks went to hosts of different builds
    std::uint64_t hosts = 0; // the first picks went to different hosts of the same build
    std::uint64_t extra_picks = 0; // only one module made more than one pick
    std::uint64_t push_backs = 0; // only one module pushed back or aborted the RPC before any pick
    std::uint64_t votes_on = 0, votes_back = 0; // stages in which only one module voted so

    bool operator==(const Differences &) const = default;
};

class Rehearsal final : public Router {
  public:
    Rehearsal(std::unique_ptr<Router> module, std::unique_ptr<Router> shadow);

    void set_time(Ticks now) override;
    void update_hosts(const std::vector<HostEntry> &entries, bool whole) override;
    void host_list_failed(Ticks lease_left) override;
    void set_host_list_lease(Ticks until, Ticks outage_until) override;
    void rpc_arrived(Arrival arrival) override;
    void pick_ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                    const std::vector<double> &report) override;
    void rpc_finished(const std::string &rpc, int streams) override;
    void answer_flagged(const std::string &host, Ticks age) override;
    void update_rollout(const RolloutUpdate &update) override;
    void add_platform_stats(const PlatformStats &row) override;
    void receive_summary(int peer, const std::string &bytes) override;
    void set_cell_share(int build, int cell, double share) override;
    Decision next_decision() override; // decisions of the real module only

    const Differences &differences() const { return differences_; }
    std::size_t open_rpcs() const { return open_.size(); }

  private:
    struct Side { // one module's decisions on an RPC
        std::string host{}; // of the first pick
        bool rejected = false; // pushed back or aborted before any pick
        bool answered = false; // the RPC has ended for this module
        std::vector<bool> picks{}; // by pick index: whether it is open
    };
    struct OpenRpc {
        Side real{}, shadow{};
        bool ended = false, compared = false;
    };
    struct Votes {
        int build = -1, stage = -1;
        bool on[2] = {false, false}, back[2] = {false, false}; // index 0: real, 1: shadow
    };

    void record(const Decision &decision, bool shadow);
    void run_shadow();
    void compare(const std::string &rpc);
    void erase_if_done(const std::string &rpc); // an RPC that has been compared and has no open real pick
    void count_votes(int build, int stage); // of the previous stage, when the stage changes
    void mark_ended(const std::string &rpc);
    int build_of(const std::string &host) const;

    std::unique_ptr<Router> module_, shadow_;
    std::unordered_map<std::string, OpenRpc> open_;
    std::vector<std::string> ended_; // RPCs that have ended since the last decision was requested
    std::unordered_map<std::string, int> builds_; // by host ID
    Votes votes_;
    Differences differences_;
};

} // namespace pineridge::rehearsal
