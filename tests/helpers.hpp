// A deployment configuration and a router fixture for tests of the decision module. All durations and points
// in time are in Ticks.
#pragma once
#include "logic.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace pineridge::test {

// Returns a configuration with one instance, two stages and one method of this policy.
inline DeploymentConfig deployment_config(RepeatPolicy repeat_policy) {
    DeploymentConfig config{};
    config.instances = 1;
    config.may_cancel = config.second_copies = true;
    config.max_picks = 5;
    config.warm_up_time = 40000;
    config.overload_window = 20000;
    config.cold_capacity_share = 0.4;
    config.overload_multiple = 3;
    config.methods = {{repeat_policy, TokenScope::all, 4000, 10000, 1, false}};
    config.rollout.advance_policy = AdvancePolicy::any_vote;
    config.rollout.picks_above_cap = 2;
    config.rollout.votes_to_advance = 1;
    config.rollout.exposure_window = 30000;
    config.rollout.vote_lifetime = 60000;
    config.rollout.flag_share = 0.15;
    config.rollout.stage_shares = {0.1, 1};
    config.rollout.stage_caps = {0.1, 1};
    return config;
}

inline DeploymentConfig idempotent_config() { return deployment_config(RepeatPolicy::idempotent); }

inline long count(const std::vector<Decision> &decisions, Action action) {
    return std::count_if(decisions.begin(), decisions.end(),
                         [&](const Decision &decision) { return decision.action == action; });
}

// A router with a simulated clock. Unless stated otherwise, RPCs are of the first method and the first
// tenant, and picks take 100 ticks.
struct DecisionFixture {
    explicit DecisionFixture(DeploymentConfig config) : router(make_router(std::move(config), 7)) {
        router->set_time(0);
    }

    void set_time(Ticks time) { router->set_time(now = time); }
    // Adds a ready host, or updates its entry in the host list.
    void add_host(const std::string &id, int build, Ticks started = 0, int cell = 0) {
        router->update_hosts({{id, 0, 0, cell, build, HostStatus::ready, 1, started}}, false);
    }
    // Marks a host as draining, with build 1.
    void drain_host(const std::string &id) {
        router->update_hosts({{id, 0, 0, 0, 1, HostStatus::draining, 1, 0}}, false);
    }
    void send_rpc(const std::string &id, Ticks deadline, const std::string &key = "") {
        router->rpc_arrived({id, 0, 0, key, deadline, false});
    }
    void end_pick(const std::string &id, int pick, Outcome outcome, bool rpc_complete = false) {
        router->pick_ended(id, pick, outcome, 100, rpc_complete, {});
    }
    void update_rollout(int build, int stage, Phase phase, double cap) {
        router->update_rollout({build, stage, phase, false, true, cap, 0});
    }
    // Returns all decisions that are due.
    std::vector<Decision> take_decisions() {
        std::vector<Decision> decisions;
        for (Decision decision = router->next_decision(); decision.action != Action::none;
             decision = router->next_decision())
            decisions.push_back(decision);
        return decisions;
    }
    // Returns the due decisions with this action and discards the others.
    std::vector<Decision> take_decisions(Action action) {
        std::vector<Decision> decisions = take_decisions();
        std::erase_if(decisions, [&](const Decision &decision) { return decision.action != action; });
        return decisions;
    }
    // Serves RPCs one after another; each of their picks ends with `outcome` after `duration`.
    void serve_rpcs(int rpcs, Outcome outcome, Ticks duration = 100) {
        for (int i = 0; i < rpcs; ++i) {
            const std::string id = std::to_string(next_id++) + "p";
            send_rpc(id, now + 9000);
            for (std::size_t pick = take_decisions(Action::pick).size(); pick-- > 0;)
                router->pick_ended(id, static_cast<int>(pick), outcome, duration, true, {});
        }
    }
    // Puts build 2 on trial with two hosts and serves RPCs there, of which the first `failing` fail. Then
    // sets the time to that of the next judgement of the build.
    void run_trial(int rpcs, int failing) {
        add_host("new", 2);
        add_host("newer", 2);
        update_rollout(2, 0, Phase::on_trial, 1);
        Ticks elapsed = 0;
        for (int i = 0; i < rpcs; ++i) {
            const std::string id = std::to_string(next_id++) + "t";
            send_rpc(id, now + 9000);
            for (Decision decision = router->next_decision(); decision.action != Action::none;
                 decision = router->next_decision())
                if (decision.action == Action::pick) last_pick = decision;
            router->pick_ended(id, 0, i < failing ? Outcome::error : Outcome::ok, 100, true, {});
            elapsed += 1;
        }
        set_time(now + 1000 + elapsed);
    }
    // Serves one RPC, whose first pick fails if it goes to this host. Returns whether it did.
    bool serve_rpc_failing_at(const std::string &failing_host) {
        const std::string id = std::to_string(next_id++) + "s";
        set_time(now + 50);
        send_rpc(id, now + 9000);
        const auto picks = take_decisions(Action::pick);
        if (picks.empty()) return false;
        const bool at_failing_host = picks[0].host == failing_host;
        router->pick_ended(id, 0, at_failing_host ? Outcome::error : Outcome::ok, 100, true, {});
        return at_failing_host;
    }

    std::unique_ptr<Router> router;
    Ticks now = 0;
    int next_id = 0;
    Decision last_pick;
};

} // namespace pineridge::test
