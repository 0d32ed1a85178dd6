// A router with hosts, news and RPCs at hand. Shared by the tests.
#pragma once
#include "logic.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace pineridge::test {

inline Terms terms(Repeat repeat) {
    Terms given{};
    given.instances = 1;
    given.may_cut = given.second_copies = true;
    given.max_picks = 5;
    given.cold_for = 40000;
    given.overload_for = 20000;
    given.cold_share = 0.4;
    given.overload_multiple = 3;
    given.methods = {{repeat, Group::all, 4000, 10000, 1, false}};
    given.rollout.advance = Advance::any_vote;
    given.rollout.free_picks = 2;
    given.rollout.on_votes = 1;
    given.rollout.window = 30000;
    given.rollout.vote_life = 60000;
    given.rollout.flag_share = 0.15;
    given.rollout.places = {0.1, 1};
    given.rollout.caps = {0.1, 1};
    return given;
}

// Only the trial's hosts stand, so that every RPC goes there.
inline Terms trial_terms() { return terms(Repeat::idempotent); }

inline long count(const std::vector<Decision> &made, Act act) {
    return std::count_if(made.begin(), made.end(), [&](const Decision &d) { return d.act == act; });
}

struct Bench {
    explicit Bench(Terms given) : router(make_router(std::move(given), 7)) { router->clock(0); }

    void at(Ticks now) { router->clock(clock = now); }
    void host(const std::string &id, int build, Ticks started = 0, int cell = 0) {
        router->list({{id, 0, 0, cell, build, Standing::ready, 1, started}}, false);
    }
    void drain(const std::string &id) { router->list({{id, 0, 0, 0, 1, Standing::draining, 1, 0}}, false); }
    void arrive(const std::string &id, Ticks deadline, const std::string &key = "") {
        router->arrived({id, 0, 0, key, deadline, false});
    }
    void end(const std::string &id, int pick, Outcome outcome, bool complete = false) {
        router->ended(id, pick, outcome, 100, complete, {});
    }
    void news(int build, int stage, Phase phase, double cap) {
        router->news({build, stage, phase, false, true, cap, 0});
    }
    std::vector<Decision> pull() {
        std::vector<Decision> made;
        for (Decision d = router->next(); d.act != Act::none; d = router->next()) made.push_back(d);
        return made;
    }
    std::vector<Decision> pull(Act act) {
        std::vector<Decision> made = pull();
        std::erase_if(made, [&](const Decision &d) { return d.act != act; });
        return made;
    }
    void more(int picks, Outcome outcome, Ticks took = 100) {
        for (int i = 0; i < picks; ++i) {
            const std::string id = std::to_string(next++) + "p";
            arrive(id, clock + 9000);
            for (std::size_t out = pull(Act::pick).size(); out-- > 0;)
                router->ended(id, static_cast<int>(out), outcome, took, true, {});
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
            for (Decision d = router->next(); d.act != Act::none; d = router->next())
                if (d.act == Act::pick) last = d;
            router->ended(id, 0, i < failing ? Outcome::fault : Outcome::ok, 100, true, {});
            step += 1;
        }
        at(clock + 1000 + step);
    }
    // One RPC whose picks fail at one host only; tells whether its first pick went there.
    bool serve_failing_at(const std::string &bad) {
        const std::string id = std::to_string(next++) + "s";
        at(clock + 50);
        arrive(id, clock + 9000);
        const auto picks = pull(Act::pick);
        if (picks.empty()) return false;
        const bool there = picks[0].host == bad;
        router->ended(id, 0, there ? Outcome::fault : Outcome::ok, 100, true, {});
        return there;
    }

    std::unique_ptr<Router> router;
    Ticks clock = 0;
    int next = 0;
    Decision last;
};

} // namespace pineridge::test
