// The counts of a rehearsal, and that its second module never affects the decisions.
#undef NDEBUG
#include "../helpers.hpp"
#include "random.hpp"
#include "rehearsal/rehearsal.hpp"

#include <cassert>
#include <map>

using namespace pineridge;
using namespace pineridge::test;
using rehearsal::Differences;
using rehearsal::Rehearsal;

namespace {

std::string text_of(const Decision &decision) {
    return std::to_string(static_cast<int>(decision.action)) + " " + decision.rpc + " " + decision.host +
           " " + std::to_string(decision.pick) + " " + std::to_string(decision.duration) + " " +
           std::to_string(decision.build) + " " + std::to_string(decision.stage) + " " +
           std::to_string(static_cast<int>(decision.verdict)) + " " + decision.text;
}

// Runs a fixed scenario and returns all decisions as text: RPCs with keys, outcomes of every kind, a build on
// trial that advances, and a host that drains. Picks end in response to the router's decisions.
std::vector<std::string> run_scenario(Router &router, const DeploymentConfig &config) {
    std::vector<std::string> decisions;
    Pcg32 random{.state = 11};
    std::vector<std::pair<std::string, int>> open_picks;
    std::map<std::string, int> picks;
    const auto hosts = [&](int from, int to, int build, Ticks started) {
        for (int i = from; i < to; ++i)
            router.update_hosts(
                {{"h" + std::to_string(i), 0, 0, i % 3, build, HostStatus::ready, 1, started}}, false);
    };
    Ticks now = 1000;
    router.set_time(now);
    hosts(0, 6, 1, 0);
    router.update_rollout({1, 1, Phase::released, false, true, 1, 0});
    for (int step = 0; step < 4000; ++step) {
        router.set_time(now += 20 + random.draw() % 60);
        if (step == 500) router.update_rollout({2, 0, Phase::on_trial, false, true, 0.5, 0});
        if (step == 520) hosts(6, 9, 2, now);
        if (step == 2000) router.update_rollout({2, 1, Phase::on_trial, false, true, 1, 0});
        if (step == 3000) router.update_hosts({{"h0", 0, 0, 0, 1, HostStatus::draining, 1, 0}}, false);
        const std::string id = std::to_string(step) + "r";
        router.rpc_arrived({id, int(random.draw() % config.methods.size()), 0,
                            "k" + std::to_string(random.draw() % 50), now + 9000, false});
        for (int i = random.draw() % 3; i > 0 && !open_picks.empty(); --i) {
            const auto [rpc, pick] = open_picks[random.draw() % open_picks.size()];
            std::erase(open_picks, std::pair{rpc, pick});
            const Outcome ends[] = {
                Outcome::ok,    Outcome::ok,        Outcome::ok,        Outcome::ok,
                Outcome::error, Outcome::host_busy, Outcome::timed_out, Outcome::connect_failed};
            router.pick_ended(rpc, pick, ends[random.draw() % 8], 200, false, {});
        }
        for (Decision decision = router.next_decision(); decision.action != Action::none;
             decision = router.next_decision()) {
            decisions.push_back(text_of(decision));
            if (decision.action == Action::pick) open_picks.emplace_back(decision.rpc, picks[decision.rpc]++);
        }
    }
    return decisions;
}

DeploymentConfig two_methods() {
    DeploymentConfig given = deployment_config(RepeatPolicy::idempotent);
    given.methods.push_back(given.methods[0]);
    given.methods[1].repeat_policy = RepeatPolicy::non_idempotent;
    return given;
}

// The decisions of a router that rehearses another configuration, the counts, and the number of RPCs still
// open at the end.
struct Result {
    std::vector<std::string> decisions;
    Differences differences;
    std::size_t open_rpcs;
};
Result run_rehearsal(const DeploymentConfig &config, const DeploymentConfig &other) {
    Rehearsal both(make_router(config, 7), make_router(other, 7));
    std::vector<std::string> decisions = run_scenario(both, config);
    return {std::move(decisions), both.differences(), both.open_rpcs()};
}

void equal_configurations_give_no_differences() {
    const DeploymentConfig given = two_methods();
    const auto alone = make_router(given, 7);
    const Result rehearsed = run_rehearsal(given, given);
    assert(rehearsed.decisions == run_scenario(*alone, given));
    Differences none;
    none.rpcs = rehearsed.differences.rpcs;
    assert(rehearsed.differences == none && none.rpcs > 1000);
}

// Another configuration affects no decision, and each difference is counted under its kind.
void differences_are_counted_and_change_no_decision() {
    const DeploymentConfig given = two_methods();
    const auto alone = make_router(given, 7);
    const std::vector<std::string> before = run_scenario(*alone, given);

    DeploymentConfig small_capacity = given;
    small_capacity.max_open_picks = 1; // one open pick reaches the overload threshold, half of this capacity
    Result rehearsed = run_rehearsal(given, small_capacity);
    assert(rehearsed.decisions == before);
    assert(rehearsed.differences.push_backs > rehearsed.differences.rpcs / 2 &&
           rehearsed.differences.votes_back == 0);

    DeploymentConfig single_pick = given;
    single_pick.second_copies = false;
    rehearsed = run_rehearsal(given, single_pick);
    assert(rehearsed.decisions == before && rehearsed.differences.extra_picks > 0);

    DeploymentConfig guarded = given;
    guarded.rollout.guarded_stages = 2; // the shadow sends no non-idempotent RPC to the build on trial
    rehearsed = run_rehearsal(given, guarded);
    assert(rehearsed.decisions == before && rehearsed.differences.builds > 0);
}

// The votes of a stage are compared when the stage changes. The module whose rollout advances by a timer does
// not vote, so the other one's vote counts as a difference.
void votes_of_only_one_module_are_counted() {
    DeploymentConfig given = idempotent_config();
    DeploymentConfig timed = given;
    timed.rollout.advance_policy = AdvancePolicy::timer;
    DecisionFixture bench(given);
    auto both = std::make_unique<Rehearsal>(make_router(given, 7), make_router(timed, 7));
    const Rehearsal &rehearsal = *both;
    bench.router = std::move(both);
    bench.router->set_time(0);
    bench.run_trial(40, 0);
    const auto votes = bench.take_decisions(Action::vote);
    assert(votes.size() == 1 && votes[0].verdict == Verdict::advance);
    assert(rehearsal.differences().votes_on == 0);
    bench.update_rollout(2, 1, Phase::on_trial, 1);
    assert(rehearsal.differences().votes_on == 1 && rehearsal.differences().votes_back == 0);
}

// Ends of unknown RPCs or picks change neither module, and no state of a finished RPC is kept.
void unknown_rpcs_and_picks_are_ignored() {
    const DeploymentConfig given = two_methods();
    Rehearsal both(make_router(given, 7), make_router(given, 7));
    both.set_time(0);
    both.update_hosts({{"a", 0, 0, 0, 1, HostStatus::ready, 1, 0}}, false);
    both.rpc_arrived({"r", 0, 0, "k", 5000, false});
    while (both.next_decision().action != Action::none) {
    }
    both.pick_ended("r", 7, Outcome::ok, 10, false, {});
    both.pick_ended("r", -1, Outcome::ok, 10, false, {});
    both.pick_ended("nobody", 0, Outcome::ok, 10, true, {});
    both.rpc_finished("nobody", -1);
    both.rpc_finished("r", -1);
    both.rpc_finished("r", -1);
    while (both.next_decision().action != Action::none) {
    }
    assert(both.open_rpcs() == 1 && both.differences().rpcs == 1); // its pick is still open
    both.pick_ended("r", 0, Outcome::cancelled, 10, true, {});
    while (both.next_decision().action != Action::none) {
    }
    assert(both.open_rpcs() == 0 && both.differences().rpcs == 1);
}

} // namespace

int main() {
    equal_configurations_give_no_differences();
    differences_are_counted_and_change_no_decision();
    votes_of_only_one_module_are_counted();
    unknown_rpcs_and_picks_are_ignored();
}
