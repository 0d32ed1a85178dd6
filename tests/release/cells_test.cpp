// What the module makes of the release plan's shares: each test tells them and looks at the picks.
#undef NDEBUG
#include "../helpers.hpp"
#include "random.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::test;

namespace {

DeploymentConfig in_cells() {
    DeploymentConfig given = terms(RepeatPolicy::idempotent);
    given.default_cell_share = 0;
    given.rollout.stage_shares = {1, 1};
    given.rollout.stage_caps = {1, 1};
    given.second_copies = false;
    return given;
}

// An earlier host and a trial's; RPCs by cell.
struct Cells : Bench {
    explicit Cells(DeploymentConfig given = in_cells()) : Bench(std::move(given)) {
        host("old", 1);
        host("new", 2);
        news(2, 1, Phase::on_trial, 1);
    }
    // Sends RPCs of a cell one after another, a tick apart; how many of their picks went to the trial?
    int sent(int rpcs, int cell, Ticks apart = 10) {
        int there = 0;
        for (int i = 0; i < rpcs; ++i) {
            at(clock + apart);
            const std::string id = std::to_string(next++) + "c";
            router->rpc_arrived({id, 0, 0, "", clock + 9000, false, cell});
            const auto picks = pull(Action::pick);
            for (std::size_t pick = 0; pick < picks.size(); ++pick) {
                there += picks[pick].host == "new";
                router->pick_ended(id, static_cast<int>(pick), Outcome::ok, 100, true, {});
            }
        }
        return there;
    }
};

void nothing_goes_to_a_trial_before_its_share_is_told() {
    Cells cells;
    assert(cells.sent(100, 0) == 0);
    cells.router->set_cell_share(2, 0, 1);
    assert(cells.sent(100, 0) > 50 && cells.sent(100, 1) == 0);
}

void a_cell_keeps_to_its_share_within_the_window() {
    Cells cells;
    cells.router->set_cell_share(2, 0, 0.25);
    cells.router->set_cell_share(2, 1, 0.05);
    const int wide = cells.sent(200, 0), narrow = cells.sent(200, 1);
    assert(wide <= 50 && wide >= 35 && narrow <= 10 && narrow >= 6);
}

void the_plan_never_widens_the_cap() {
    DeploymentConfig given = in_cells();
    given.rollout.picks_above_cap = 0;
    Cells cells(given);
    cells.news(2, 1, Phase::on_trial, 0.1);
    cells.router->set_cell_share(2, -1, 1);
    assert(cells.sent(200, 0) <= 20);
}

void what_is_told_of_all_cells_takes_the_place_of_each() {
    Cells cells;
    cells.router->set_cell_share(2, 0, 1);
    cells.router->set_cell_share(2, -1, 0);
    assert(cells.sent(50, 0) == 0);
    cells.router->set_cell_share(2, -1, 1);
    assert(cells.sent(50, 3) > 25);
}

// A burst after silence is counted within the same window as its picks.
void a_burst_overflows_no_window() {
    Cells cells;
    cells.router->set_cell_share(2, 0, 0.25);
    cells.sent(40, 0);
    cells.at(cells.clock + 600000);
    assert(cells.sent(3, 0, 0) == 0); // a quarter of three is none
    assert(cells.sent(97, 0, 0) <= 25);
}

// A cell that may have nothing of a build is held by none of its keys.
void keys_do_not_stay_where_the_build_has_left() {
    DeploymentConfig given = in_cells();
    given.rollout.sticky_keys = true;
    Cells cells(given);
    cells.router->set_cell_share(2, 0, 1);
    const auto ask = [&] {
        cells.at(cells.clock + 10);
        const std::string id = std::to_string(cells.next++) + "k";
        cells.router->rpc_arrived({id, 0, 0, "key", cells.clock + 9000, false, 0});
        const auto picks = cells.pull(Action::pick);
        if (!picks.empty()) cells.router->pick_ended(id, 0, Outcome::ok, 100, true, {});
        return picks.empty() ? std::string() : picks[0].host;
    };
    assert(ask() == "new");
    cells.router->set_cell_share(2, 0, 0);
    assert(ask() == "old");
}

void without_cells_shares_are_not_asked() {
    DeploymentConfig given = in_cells();
    given.default_cell_share = 1;
    Cells cells(given);
    cells.router->set_cell_share(2, -1, 0);
    assert(cells.sent(100, 0) > 50);
}

// The same inputs with and without a plan that allows all: the same decisions, to the bit.
void one_cell_that_allows_all_decides_as_none() {
    std::vector<std::string> said[2];
    for (const int plan : {0, 1}) {
        DeploymentConfig given = terms(RepeatPolicy::idempotent);
        given.default_cell_share = plan ? 0 : 1;
        Bench bench(given);
        for (int i = 0; i < 6; ++i) bench.host("h" + std::to_string(i), 1 + i % 2);
        bench.news(2, 0, Phase::on_trial, 0.3);
        if (plan) bench.router->set_cell_share(2, -1, 1);
        Pcg32 chance{99};
        for (int i = 0; i < 4000; ++i) {
            bench.at(bench.clock + 1 + chance.draw() % 60);
            if (i == 1500) bench.news(2, 1, Phase::on_trial, 1);
            if (i == 3000) bench.news(2, 1, Phase::withdrawn, 0);
            const std::string id = std::to_string(i);
            bench.arrive(id, bench.clock + 3000,
                         chance.draw() % 3 ? "" : "k" + std::to_string(chance.draw() % 50));
            int picks = 0;
            for (const Decision &made : bench.pull()) {
                said[plan].push_back(std::to_string(int(made.action)) + made.rpc + made.host +
                                     std::to_string(made.duration) + std::to_string(int(made.verdict)) +
                                     made.text);
                picks += made.action == Action::pick;
            }
            for (int pick = 0; pick < picks; ++pick)
                bench.router->pick_ended(id, pick, chance.draw() % 9 ? Outcome::ok : Outcome::error,
                                         20 + chance.draw() % 200, pick + 1 == picks, {});
        }
    }
    assert(said[0].size() > 4000 && said[0] == said[1]);
}

} // namespace

int main() {
    nothing_goes_to_a_trial_before_its_share_is_told();
    a_cell_keeps_to_its_share_within_the_window();
    the_plan_never_widens_the_cap();
    what_is_told_of_all_cells_takes_the_place_of_each();
    a_burst_overflows_no_window();
    keys_do_not_stay_where_the_build_has_left();
    without_cells_shares_are_not_asked();
    one_cell_that_allows_all_decides_as_none();
}
