// A router with hosts, news and RPCs at hand. Shared by the tests.
#pragma once
#include "logic.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace pineridge::test {

inline DeploymentConfig terms(RepeatPolicy repeat) {
    DeploymentConfig given{};
    given.instances = 1;
    given.may_cancel = given.second_copies = true;
    given.max_picks = 5;
    given.warm_up_time = 40000;
    given.overload_window = 20000;
    given.cold_capacity_share = 0.4;
    given.overload_multiple = 3;
    given.methods = {{repeat, TokenScope::all, 4000, 10000, 1, false}};
    given.rollout.advance_policy = AdvancePolicy::any_vote;
    given.rollout.picks_above_cap = 2;
    given.rollout.votes_to_advance = 1;
    given.rollout.exposure_window = 30000;
    given.rollout.vote_lifetime = 60000;
    given.rollout.flag_share = 0.15;
    given.rollout.stage_shares = {0.1, 1};
    given.rollout.stage_caps = {0.1, 1};
    return given;
}

// Only the trial's hosts stand, so that every RPC goes there.
inline DeploymentConfig trial_terms() { return terms(RepeatPolicy::idempotent); }

inline long count(const std::vector<Decision> &made, Action act) {
    return std::count_if(made.begin(), made.end(), [&](const Decision &d) { return d.action == act; });
}

struct Bench {
    explicit Bench(DeploymentConfig given) : router(make_router(std::move(given), 7)) { router->set_time(0); }

    void at(Ticks now) { router->set_time(clock = now); }
    void host(const std::string &id, int build, Ticks started = 0, int cell = 0) {
        router->update_hosts({{id, 0, 0, cell, build, HostStatus::ready, 1, started}}, false);
    }
    void drain(const std::string &id) {
        router->update_hosts({{id, 0, 0, 0, 1, HostStatus::draining, 1, 0}}, false);
    }
    void arrive(const std::string &id, Ticks deadline, const std::string &key = "") {
        router->rpc_arrived({id, 0, 0, key, deadline, false});
    }
    void end(const std::string &id, int pick, Outcome outcome, bool complete = false) {
        router->pick_ended(id, pick, outcome, 100, complete, {});
    }
    void news(int build, int stage, Phase phase, double cap) {
        router->update_rollout({build, stage, phase, false, true, cap, 0});
    }
    std::vector<Decision> pull() {
        std::vector<Decision> made;
        for (Decision d = router->next_decision(); d.action != Action::none; d = router->next_decision())
            made.push_back(d);
        return made;
    }
    std::vector<Decision> pull(Action act) {
        std::vector<Decision> made = pull();
        std::erase_if(made, [&](const Decision &d) { return d.action != act; });
        return made;
    }
    void more(int picks, Outcome outcome, Ticks took = 100) {
        for (int i = 0; i < picks; ++i) {
            const std::string id = std::to_string(next++) + "p";
            arrive(id, clock + 9000);
            for (std::size_t out = pull(Action::pick).size(); out-- > 0;)
                router->pick_ended(id, static_cast<int>(out), outcome, took, true, {});
        }
    }
    // Real picks at the trial's two hosts, so many of them failing, then the time of the next judgement.
    void trial_with(int picks, int failing) {
        host("new", 2);
        host("newer", 2);
        news(2, 0, Phase::on_trial, 1);
        Ticks step = 0;
        for (int i = 0; i < picks; ++i) {
            const std::string id = std::to_string(next++) + "t";
            arrive(id, clock + 9000);
            for (Decision d = router->next_decision(); d.action != Action::none; d = router->next_decision())
                if (d.action == Action::pick) last = d;
            router->pick_ended(id, 0, i < failing ? Outcome::error : Outcome::ok, 100, true, {});
            step += 1;
        }
        at(clock + 1000 + step);
    }
    // One RPC whose picks fail at one host only; tells whether its first pick went there.
    bool serve_failing_at(const std::string &bad) {
        const std::string id = std::to_string(next++) + "s";
        at(clock + 50);
        arrive(id, clock + 9000);
        const auto picks = pull(Action::pick);
        if (picks.empty()) return false;
        const bool there = picks[0].host == bad;
        router->pick_ended(id, 0, there ? Outcome::error : Outcome::ok, 100, true, {});
        return there;
    }

    std::unique_ptr<Router> router;
    Ticks clock = 0;
    int next = 0;
    Decision last;
};

} // namespace pineridge::test
