// How the decision module applies the release plan's shares: each test sets shares and counts the picks at
// the build on trial.
#undef NDEBUG
#include "../helpers.hpp"
#include "random.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::test;

namespace {

DeploymentConfig config_with_cells() {
    DeploymentConfig given = deployment_config(RepeatPolicy::idempotent);
    given.default_cell_share = 0;
    given.rollout.stage_shares = {1, 1};
    given.rollout.stage_caps = {1, 1};
    given.second_copies = false;
    return given;
}

// One host of the released build, one of the build on trial, and RPCs by cell.
struct CellFixture : DecisionFixture {
    explicit CellFixture(DeploymentConfig given = config_with_cells()) : DecisionFixture(std::move(given)) {
        add_host("old", 1);
        add_host("new", 2);
        update_rollout(2, 1, Phase::on_trial, 1);
    }
    // Sends RPCs of a cell, `interval` ticks apart, and returns how many of their picks went to the build on
    // trial.
    int picks_on_trial(int rpcs, int cell, Ticks interval = 10) {
        int on_trial = 0;
        for (int i = 0; i < rpcs; ++i) {
            set_time(now + interval);
            const std::string id = std::to_string(next_id++) + "c";
            router->rpc_arrived({id, 0, 0, "", now + 9000, false, cell});
            const auto picks = take_decisions(Action::pick);
            for (std::size_t pick = 0; pick < picks.size(); ++pick) {
                on_trial += picks[pick].host == "new";
                router->pick_ended(id, static_cast<int>(pick), Outcome::ok, 100, true, {});
            }
        }
        return on_trial;
    }
};

void a_build_on_trial_gets_no_picks_before_its_share_is_set() {
    CellFixture fixture;
    assert(fixture.picks_on_trial(100, 0) == 0);
    fixture.router->set_cell_share(2, 0, 1);
    assert(fixture.picks_on_trial(100, 0) > 50 && fixture.picks_on_trial(100, 1) == 0);
}

void a_cell_keeps_to_its_share_within_the_window() {
    CellFixture fixture;
    fixture.router->set_cell_share(2, 0, 0.25);
    fixture.router->set_cell_share(2, 1, 0.05);
    const int wide = fixture.picks_on_trial(200, 0);
    const int narrow = fixture.picks_on_trial(200, 1);
    assert(wide <= 50 && wide >= 35 && narrow <= 10 && narrow >= 6);
}

void the_plan_never_raises_the_cap() {
    DeploymentConfig given = config_with_cells();
    given.rollout.picks_above_cap = 0;
    CellFixture fixture(given);
    fixture.update_rollout(2, 1, Phase::on_trial, 0.1);
    fixture.router->set_cell_share(2, -1, 1);
    assert(fixture.picks_on_trial(200, 0) <= 20);
}

void a_share_for_all_cells_replaces_those_of_single_cells() {
    CellFixture fixture;
    fixture.router->set_cell_share(2, 0, 1);
    fixture.router->set_cell_share(2, -1, 0);
    assert(fixture.picks_on_trial(50, 0) == 0);
    fixture.router->set_cell_share(2, -1, 1);
    assert(fixture.picks_on_trial(50, 3) > 25);
}

// The RPCs of a burst count in the same window as their picks, so that earlier idle time allows no extra
// picks.
void a_burst_after_idle_time_keeps_to_the_share() {
    CellFixture fixture;
    fixture.router->set_cell_share(2, 0, 0.25);
    fixture.picks_on_trial(40, 0);
    fixture.set_time(fixture.now + 600000);
    assert(fixture.picks_on_trial(3, 0, 0) == 0); // a quarter of three RPCs allows no pick
    assert(fixture.picks_on_trial(97, 0, 0) <= 25);
}

// A key stays with its host only while the cell's share allows that host's build.
void keys_move_when_the_build_leaves_the_cell() {
    DeploymentConfig given = config_with_cells();
    given.rollout.sticky_keys = true;
    CellFixture fixture(given);
    fixture.router->set_cell_share(2, 0, 1);
    const auto picked_host = [&] {
        fixture.set_time(fixture.now + 10);
        const std::string id = std::to_string(fixture.next_id++) + "k";
        fixture.router->rpc_arrived({id, 0, 0, "key", fixture.now + 9000, false, 0});
        const auto picks = fixture.take_decisions(Action::pick);
        if (!picks.empty()) fixture.router->pick_ended(id, 0, Outcome::ok, 100, true, {});
        return picks.empty() ? std::string() : picks[0].host;
    };
    assert(picked_host() == "new");
    fixture.router->set_cell_share(2, 0, 0);
    assert(picked_host() == "old");
}

void shares_are_ignored_without_cells() {
    DeploymentConfig given = config_with_cells();
    given.default_cell_share = 1;
    CellFixture fixture(given);
    fixture.router->set_cell_share(2, -1, 0);
    assert(fixture.picks_on_trial(100, 0) > 50);
}

// Equal inputs give identical decisions with no plan and with a plan that allows everything.
void a_plan_that_allows_everything_changes_no_decision() {
    std::vector<std::string> decisions[2];
    for (const int plan : {0, 1}) {
        DeploymentConfig given = deployment_config(RepeatPolicy::idempotent);
        given.default_cell_share = plan ? 0 : 1;
        DecisionFixture bench(given);
        for (int i = 0; i < 6; ++i) bench.add_host("h" + std::to_string(i), 1 + i % 2);
        bench.update_rollout(2, 0, Phase::on_trial, 0.3);
        if (plan) bench.router->set_cell_share(2, -1, 1);
        Pcg32 random{99};
        for (int i = 0; i < 4000; ++i) {
            bench.set_time(bench.now + 1 + random.draw() % 60);
            if (i == 1500) bench.update_rollout(2, 1, Phase::on_trial, 1);
            if (i == 3000) bench.update_rollout(2, 1, Phase::withdrawn, 0);
            const std::string id = std::to_string(i);
            bench.send_rpc(id, bench.now + 3000,
                           random.draw() % 3 ? "" : "k" + std::to_string(random.draw() % 50));
            int picks = 0;
            for (const Decision &decision : bench.take_decisions()) {
                decisions[plan].push_back(std::to_string(int(decision.action)) + decision.rpc +
                                          decision.host + std::to_string(decision.duration) +
                                          std::to_string(int(decision.verdict)) + decision.text);
                picks += decision.action == Action::pick;
            }
            for (int pick = 0; pick < picks; ++pick)
                bench.router->pick_ended(id, pick, random.draw() % 9 ? Outcome::ok : Outcome::error,
                                         20 + random.draw() % 200, pick + 1 == picks, {});
        }
    }
    assert(decisions[0].size() > 4000 && decisions[0] == decisions[1]);
}

} // namespace

int main() {
    a_build_on_trial_gets_no_picks_before_its_share_is_set();
    a_cell_keeps_to_its_share_within_the_window();
    the_plan_never_raises_the_cap();
    a_share_for_all_cells_replaces_those_of_single_cells();
    a_burst_after_idle_time_keeps_to_the_share();
    keys_move_when_the_build_leaves_the_cell();
    shares_are_ignored_without_cells();
    a_plan_that_allows_everything_changes_no_decision();
}
