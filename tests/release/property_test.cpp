// Checks the plan's invariants after every step of random histories: votes, freezes, pulls, restarts, and
// lost, late and repeated updates. A failure prints the invariant's name and the history, shrunk to a
// minimum. RC_PARAMS="max_success=..." sets the number of histories.
#include "helpers.hpp"

#include <rapidcheck.h>

#include <iostream>

using namespace pineridge;
using namespace pineridge::release;
using namespace pineridge::release::test;

namespace {

constexpr int kCells = 4, kBuilds = 4, kReleased = 3;
const BuildName kBuildNames[kBuilds] = {{"donor", 1}, {"booking", 1}, {"booking", 2}, {"login", 1}};
const char *const kFreezeIds[] = {"a", "b", "c"};

// One step of a history. Small numbers select its details, so that histories shrink well. By kind: 0 to 4
// offer or stage a build, 5 pull, 6 freeze, 7 lift, 8 cap, 9 to 11 time passes, 12 the decision module's
// inputs, 13 the desk connects or disconnects, 14 snapshot, 15 restart of the router.
struct Step {
    int kind, build, cell, stage, variant;
};
std::ostream &operator<<(std::ostream &out, const Step &step) {
    return out << "{" << step.kind << "," << step.build << "," << step.cell << "," << step.stage << ","
               << step.variant << "}";
}

rc::Gen<Step> steps() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, kBuilds), rc::gen::inRange(0, kCells),
                       rc::gen::inRange(0, kReleased + 1), rc::gen::inRange(0, 12)),
        [](const auto &t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t), std::get<4>(t)};
        });
}

ReleaseSettings small_scheme() {
    ReleaseSettings given = scheme(2, 2);
    given.zones[0].cap = 0.5;
    given.customers[1].cap = 0.2;
    given.max_builds = kBuilds;
    given.silent_after = 30000;
    given.dependencies = {{{"booking", 2}, {"donor", 1}, 2, false}};
    given.freezes = {{"window", "z1", "", "", 1200000, 1300000}};
    return given;
}

// The state of the desk.
struct DeskState {
    std::int64_t rev = 10;
    struct Build {
        bool offered = false, pulled = false, strict = false;
        int stages[kCells] = {};
    } builds[kBuilds];
    std::map<std::string, Freeze> freezes;
    double cap = 1;
};

struct World {
    DeskState desk;
    std::vector<DeskState> earlier; // earlier states, for a desk that has lost updates
    std::vector<Update> sent; // all updates so far
    Ticks now = 1000000;
    bool connected = true;
};

Update make_update(Update::Kind kind, int build, int cell = -1, int stage = 0) {
    Update update;
    update.kind = kind;
    update.build = kBuildNames[build];
    if (cell >= 0) {
        update.zone = "z" + std::to_string(cell / 2);
        update.customer = "c" + std::to_string(cell % 2);
    }
    update.stage = stage;
    return update;
}

std::vector<Dependency> dependencies_of(int build, bool strict) {
    if (build == 3) return {{kBuildNames[3], kBuildNames[1], Dependency::kMatch, strict}};
    return {};
}

Snapshot snapshot_of(const DeskState &desk) {
    Snapshot snapshot{desk.rev, {}};
    for (int build = 0; build < kBuilds; ++build) {
        if (!desk.builds[build].offered) continue;
        snapshot.entries.push_back(make_update(Update::Kind::offer, build));
        snapshot.entries.back().dependencies = dependencies_of(build, desk.builds[build].strict);
        if (desk.builds[build].pulled) snapshot.entries.push_back(make_update(Update::Kind::pull, build));
        for (int cell = 0; cell < kCells; ++cell)
            if (desk.builds[build].stages[cell] > 0)
                snapshot.entries.push_back(
                    make_update(Update::Kind::stage, build, cell, desk.builds[build].stages[cell]));
    }
    for (const auto &[id, freeze] : desk.freezes) {
        Update update;
        update.kind = Update::Kind::freeze;
        update.freeze = freeze;
        snapshot.entries.push_back(update);
    }
    Update cap;
    cap.kind = Update::Kind::cap;
    cap.cap = desk.cap;
    snapshot.entries.push_back(cap);
    return snapshot;
}

// The desk's next update, applied to its state; nullopt if the step causes none.
std::optional<Update> next_update(World &world, const Step &step) {
    DeskState &desk = world.desk;
    DeskState::Build &build = desk.builds[step.build];
    Update update;
    const DeskState before = desk;
    if (step.kind <= 4) {
        if (!build.offered || build.pulled) {
            update = make_update(Update::Kind::offer, step.build);
            if (build.pulled) std::fill(std::begin(build.stages), std::end(build.stages), 0);
            build.offered = true;
            build.pulled = false;
            build.strict = step.variant % 3 == 0;
            update.dependencies = dependencies_of(step.build, build.strict);
        } else {
            update = make_update(Update::Kind::stage, step.build, step.cell, step.stage);
            build.stages[step.cell] = step.stage;
        }
    } else if (step.kind == 5) {
        if (!build.offered || build.pulled) return std::nullopt;
        update = make_update(Update::Kind::pull, step.build);
        build.pulled = true;
        std::fill(std::begin(build.stages), std::end(build.stages), 0);
    } else if (step.kind == 6) {
        update.kind = Update::Kind::freeze;
        const std::string id = kFreezeIds[step.variant % 3];
        update.freeze = {id, step.cell == 0 ? "z0" : "", step.cell == 1 ? "c1" : "",
                         step.cell == 2 ? "booking" : ""};
        desk.freezes[id] = update.freeze;
    } else if (step.kind == 7) {
        update.kind = Update::Kind::lift;
        update.freeze.id = kFreezeIds[step.variant % 3];
        if (desk.freezes.erase(update.freeze.id) == 0) return std::nullopt;
    } else {
        update.kind = Update::Kind::cap;
        update.cap = desk.cap = 0.25 * (1 + step.stage);
    }
    world.earlier.push_back(before);
    update.prev = desk.rev;
    update.rev = ++desk.rev;
    world.sent.push_back(update);
    return update;
}

// The stage and the share of each cell, and whether it is frozen; taken before and after each step.
struct PlanView {
    int stage[kBuilds][kCells];
    double share[kBuilds][kCells];
    bool frozen[kBuilds][kCells];
};

PlanView view_of(const Plan &plan) {
    PlanView view{};
    for (int build = 0; build < kBuilds; ++build)
        for (int cell = 0; cell < kCells; ++cell) {
            view.stage[build][cell] = plan.stage(kBuildNames[build], cell);
            view.share[build][cell] = plan.share(kBuildNames[build], cell);
            view.frozen[build][cell] = plan.frozen(kBuildNames[build].service, cell);
        }
    return view;
}

struct Shares { // the shares that the decision module has received
    std::map<int, double> default_shares; // by build, for cells that are not in `cells`
    std::map<std::pair<int, int>, double> cells;
    void apply_changes(Plan &plan) {
        for (const ShareChange &change : plan.take_share_changes()) {
            if (change.cell >= 0) {
                cells[{change.build, change.cell}] = change.share;
                continue;
            }
            default_shares[change.build] = change.share;
            std::erase_if(cells, [&](const auto &entry) { return entry.first.first == change.build; });
        }
    }
    double of(int build, int cell) const {
        if (const auto at = cells.find({build, cell}); at != cells.end()) return at->second;
        const auto at = default_shares.find(build);
        return at == default_shares.end() ? 0 : at->second;
    }
};

void check(bool holds, const char *name) {
    if (!holds) RC_FAIL(name);
}

void check_invariants(const Plan &plan, const PlanView &before, const PlanView &after, const Shares &shares,
                      bool out_of_sync, bool check_desk_stage) {
    const ReleaseSettings &given = plan.scheme();
    check(plan.builds().size() <= given.max_builds, "state is bounded");
    for (int build = 0; build < kBuilds; ++build) {
        const BuildName &name = kBuildNames[build];
        bool released_everywhere = true;
        for (int cell = 0; cell < kCells; ++cell)
            released_everywhere = released_everywhere && after.stage[build][cell] == kReleased;
        for (int cell = 0; cell < kCells; ++cell) {
            const int previous = before.stage[build][cell];
            const int current = after.stage[build][cell];
            const bool advanced = current > previous;
            check(current <= plan.desk_stage(name, cell) || !check_desk_stage,
                  "no stage is above the desk's stage");
            check(!(advanced && after.frozen[build][cell]), "no cell advances while frozen");
            check(!(advanced && out_of_sync), "no cell advances while the desk's state is not current");
            check(!(plan.pulled(name) && current > 0), "a pulled build leaves every cell at once");
            check(!(!plan.refusal(name).empty() && current > 0), "a refused build enters no cell");
            check(after.share[build][cell] <= given.stages[current], "no share is above the stage's share");
            if (!released_everywhere) {
                check(after.share[build][cell] <= given.zones[cell / 2].cap,
                      "no share is above the zone's cap");
                check(after.share[build][cell] <= given.customers[cell % 2].cap,
                      "no share is above the customer's cap");
            }
            if (advanced && build == 2)
                check(after.stage[0][cell] >= 2,
                      "a cell advances only where the required build has reached its stage");
            if (advanced && build == 3)
                check(after.stage[1][cell] >= current,
                      "a match dependency limits the stage to the required build's");
            if (cell < 2 && name.service == given.service)
                check(shares.of(name.number, cell) == after.share[build][cell],
                      "the decision module receives every share");
        }
    }
}

void run_history(const std::vector<Step> &history) {
    World world;
    auto plan = std::make_unique<Plan>(small_scheme());
    auto twin = std::make_unique<Plan>(small_scheme());
    Shares shares, twin_shares;
    bool out_of_sync = true;
    const auto for_both = [&](const auto &action) {
        action(*plan);
        action(*twin);
    };
    for_both([&](Plan &each) {
        each.set_time(world.now);
        each.apply_snapshot(snapshot_of(world.desk));
        each.set_desk_connected(true);
    });
    for (const Step &step : history) {
        const PlanView before = view_of(*plan);
        bool restarted = false;
        // The step's variant selects whether the update is lost (11), repeated (9), or followed by an older
        // one (10).
        if (step.kind <= 8) {
            const std::optional<Update> update = next_update(world, step);
            const bool lost = !world.connected || step.variant == 11;
            if (update && !lost) for_both([&](Plan &each) { each.apply_update(*update); });
            if (step.variant == 10 && world.sent.size() > 2)
                for_both([&](Plan &each) { each.apply_update(world.sent[world.sent.size() - 3]); });
            if (update && step.variant == 9) for_both([&](Plan &each) { each.apply_update(*update); });
        } else if (step.kind <= 11) {
            static constexpr Ticks kDurations[] = {1,     900,   1000,  9999,   10000, 20000,
                                                   30000, 50000, 51000, 100000, 5000,  25};
            world.now += kDurations[step.variant];
            for_both([&](Plan &each) { each.set_time(world.now); });
        } else if (step.kind == 12) {
            for_both([&](Plan &each) {
                each.set_verdict(1 + step.cell % 2, static_cast<Verdict>(step.stage));
                each.record_pick(1 + step.cell % 2, step.cell);
                each.record_arrival(step.cell);
            });
        } else if (step.kind == 13) {
            world.connected = step.variant % 2 == 0;
            for_both([&](Plan &each) { each.set_desk_connected(world.connected); });
        } else if (step.kind == 14) {
            // The current snapshot, or the one of a desk that has lost its latest updates.
            const bool old = step.variant < 3 && !world.earlier.empty();
            const DeskState &from =
                old ? world.earlier[world.earlier.size() -
                                    std::min<std::size_t>(world.earlier.size(), 1 + step.variant)]
                    : world.desk;
            for_both([&](Plan &each) { each.apply_snapshot(snapshot_of(from)); });
        } else if (step.variant < 4) {
            // The router restarts with the snapshot as its only state.
            restarted = true;
            plan = std::make_unique<Plan>(small_scheme());
            twin = std::make_unique<Plan>(small_scheme());
            shares = twin_shares = {};
            for_both([&](Plan &each) {
                each.set_time(world.now);
                each.apply_snapshot(snapshot_of(world.desk));
                each.set_desk_connected(world.connected);
            });
        }
        shares.apply_changes(*plan);
        twin_shares.apply_changes(*twin);
        out_of_sync = plan->needs_snapshot() || !world.connected;
        const PlanView after = view_of(*plan);
        // A snapshot or a reconnection may bring the plan back in sync and advance cells within the same
        // step.
        const bool back_in_sync = step.kind == 14 || step.kind == 13;
        if (!restarted) check_invariants(*plan, before, after, shares, out_of_sync && !back_in_sync, true);
        check(shares.default_shares == twin_shares.default_shares && shares.cells == twin_shares.cells,
              "the same history gives the same shares");
        std::vector<std::pair<int, int>> given_opinions;
        std::vector<std::pair<int, int>> twin_opinions;
        while (const auto opinion = plan->next_opinion())
            given_opinions.emplace_back(opinion->cell, opinion->stage);
        while (const auto opinion = twin->next_opinion())
            twin_opinions.emplace_back(opinion->cell, opinion->stage);
        check(given_opinions == twin_opinions, "the same history gives the same opinions");
        for (const auto &[cell, stage] : given_opinions)
            check(cell < 0 || !out_of_sync, "no opinion on a cell while the desk's state is not current");
    }
    // Once the faults end, the plan converges to the state of the desk as far as the dependencies allow.
    world.desk.freezes.clear();
    plan->set_desk_connected(true);
    for (int i = 0; i < 2; ++i) {
        ++world.desk.rev;
        plan->apply_snapshot(snapshot_of(world.desk));
        for (int step = 0; step < 40; ++step) plan->set_time(world.now += 10000);
    }
    for (int build = 0; build < 2; ++build) // the builds without dependencies
        for (int cell = 0; cell < kCells; ++cell)
            check(plan->stage(kBuildNames[build], cell) == world.desk.builds[build].stages[cell],
                  "the plan converges to the desk's state after the faults");
    for (int cell = 0; cell < kCells; ++cell)
        if (plan->stage(kBuildNames[0], cell) < 2)
            check(plan->stage(kBuildNames[2], cell) == 0,
                  "a dependent build leaves the cells where its dependency is not met");
}

} // namespace

int main() {
    const bool passed = rc::check("every invariant holds over random histories",
                                  [] { run_history(*rc::gen::container<std::vector<Step>>(steps())); });
    return passed ? 0 : 1;
}
