// Watches before a switch: beside the module that decides stands a second one, told the settings of another
// shape of deployment and the same inputs. What it decides leaves this class only as counts, by kind. Not
// safe for threads. Bounds: a second module's state, and one entry for each RPC under way; twice the module's
// time. The other module's picks are not sent. Those that stand at the same place in their RPC as a real one
// end with it, also where they went to another host; the rest end as cancelled, which tells it nothing.
#pragma once

#include "logic.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pineridge::rehearsal {

// RPCs and stages for which the two decided otherwise.
struct Differences {
    std::uint64_t rpcs = 0; // compared
    std::uint64_t builds = 0; // first pick to a host of another build
    std::uint64_t hosts = 0; // to another host of the same build
    std::uint64_t copies = 0; // further picks by one of the two alone
    std::uint64_t push_backs = 0; // pushed back or aborted without a pick by one alone
    std::uint64_t votes_on = 0, votes_back = 0; // in a stage, by one alone

    bool operator==(const Differences &) const = default;
};

class Rehearsal final : public Router {
  public:
    Rehearsal(std::unique_ptr<Router> module, std::unique_ptr<Router> other);

    void set_time(Ticks now) override;
    void update_hosts(const std::vector<HostEntry> &entries, bool whole) override;
    void host_list_failed(Ticks lease_left) override;
    void set_host_list_lease(Ticks until, Ticks outage_until) override;
    void rpc_arrived(Arrival arrival) override;
    void pick_ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                    const std::vector<double> &report) override;
    void rpc_finished(const std::string &rpc, int streams) override;
    void answer_flagged(const std::string &host, Ticks age) override;
    void update_rollout(const RolloutUpdate &told) override;
    void add_platform_stats(const PlatformStats &row) override;
    void receive_summary(int peer, const std::string &bytes) override;
    void set_cell_share(int build, int cell, double share) override;
    Decision next_decision() override; // the first module's alone

    const Differences &differences() const { return seen_; }
    std::size_t under_way() const { return open_.size(); }

  private:
    struct Side {
        std::string host{}; // of the first pick
        bool turned_away = false; // before any pick
        bool settled = false; // has had its final answer
        std::vector<bool> picks{}; // open
    };
    struct Open {
        Side real{}, other{};
        bool over = false, compared = false;
    };
    struct Votes {
        int build = -1, stage = -1;
        bool on[2] = {false, false}, back[2] = {false, false}; // real, other
    };

    void note(const Decision &made, bool other);
    void hear_other();
    void compare(const std::string &rpc);
    void release(const std::string &rpc); // once it has been compared and no real pick of it is out
    void close_votes(int build, int stage);
    void end(const std::string &rpc);
    int build_of(const std::string &host) const;

    std::unique_ptr<Router> module_, other_;
    std::unordered_map<std::string, Open> open_;
    std::vector<std::string> over_; // since decisions were last pulled
    std::unordered_map<std::string, int> builds_; // by host, as listed
    Votes votes_;
    Differences seen_;
};

} // namespace pineridge::rehearsal
