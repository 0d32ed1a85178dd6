// Each test applies a desk's updates to a plan and checks the stages and shares that the plan allows.
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::release;
using namespace pineridge::release::test;

namespace {

using Stages = std::vector<int>;

// --- caps ---

void share_is_the_minimum_of_stage_and_caps() {
    ReleaseSettings given = scheme();
    given.zones[0].cap = 0.5;
    given.customers[1].cap = 0.1;
    given.cap = 0.6;
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 1);
    assert(fixture.plan.share(kBuild, 0) == 0.05);
    fixture.stage(kBuild, 1, 2);
    assert(fixture.plan.share(kBuild, 1) == 0.1); // the customer's cap
    fixture.stage(kBuild, 0, 3);
    assert(fixture.plan.share(kBuild, 0) == 0.5); // the zone's cap
    fixture.stage(kBuild, 2, 3);
    assert(fixture.plan.share(kBuild, 2) == 0.6); // the cap of all cells
}

void caps_do_not_apply_once_released_in_all_cells() {
    ReleaseSettings given = scheme();
    given.cap = 0.4;
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.stage_all(kBuild, 3);
    assert(fixture.plan.share(kBuild, 0) == 1);
    fixture.stage(kBuild, 3, 2);
    assert(fixture.plan.share(kBuild, 0) == 0.4);
}

void a_lower_cap_applies_at_once_and_a_higher_one_after_the_freeze() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 3);
    fixture.freeze("f", "z0");
    fixture.cap(0.3, "z0");
    assert(fixture.plan.share(kBuild, 0) == 0.3);
    fixture.cap(0.8, "z0");
    fixture.advance(100000);
    assert(fixture.plan.share(kBuild, 0) == 0.3);
    fixture.lift("f");
    fixture.advance(49999);
    assert(fixture.plan.share(kBuild, 0) == 0.3);
    fixture.advance(1001);
    assert(fixture.plan.share(kBuild, 0) == 0.8);
}

// --- freezes ---

void an_advance_waits_for_the_freeze_and_its_settling_time() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 2);
    const Update voted_stage = fixture.stage_update(kBuild, 0, 3);
    fixture.plan.apply_update([&] {
        Update freeze = voted_stage;
        freeze.kind = Update::Kind::freeze;
        freeze.freeze = {"f", "z0", "", ""};
        return freeze;
    }());
    fixture.stage(kBuild, 0, 3); // the stage that was voted for arrives after the freeze
    fixture.advance(1000000);
    assert(fixture.plan.stage(kBuild, 0) == 2 && fixture.plan.desk_stage(kBuild, 0) == 3);
    fixture.lift("f");
    fixture.advance(49000);
    assert(fixture.plan.stage(kBuild, 0) == 2);
    fixture.advance(2000);
    assert(fixture.plan.stage(kBuild, 0) == 3);
}

void rollbacks_apply_during_a_freeze() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 3);
    fixture.freeze("f");
    fixture.stage(kBuild, 0, 1);
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.pull(kBuild);
    assert(fixture.plan.stage(kBuild, 0) == 0);
}

void freezes_add_up() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.freeze("zone", "z0");
    fixture.freeze("customer", "", "c0");
    fixture.stage_all(kBuild, 1);
    fixture.advance(1000);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 1})); // only z1/c1 is covered by neither
    fixture.lift("zone");
    fixture.advance(60000);
    assert(fixture.stages(kBuild) == (Stages{0, 1, 0, 1}));
    fixture.lift("customer");
    fixture.advance(60000);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 1, 1}));
}

void a_freeze_of_one_service_does_not_affect_another() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.offer(kRequiredBuild);
    fixture.freeze("f", "", "", "donor");
    fixture.stage(kBuild, 0, 1);
    fixture.stage(kRequiredBuild, 0, 1);
    assert(fixture.plan.stage(kBuild, 0) == 1 && fixture.plan.stage(kRequiredBuild, 0) == 0);
}

void configured_freezes_follow_the_clock_and_cannot_be_lifted() {
    ReleaseSettings given = scheme();
    given.freezes = {{"w", "", "", "", 1100000, 1200000}};
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 1);
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.set_time(1100000);
    fixture.lift("w");
    fixture.stage(kBuild, 0, 2);
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.set_time(1250000 - 1);
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.set_time(1251000);
    assert(fixture.plan.stage(kBuild, 0) == 2);
}

void everything_is_frozen_beyond_the_freeze_limit() {
    ReleaseSettings given = scheme();
    given.max_freezes = 2;
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    for (const char *id : {"a", "b", "c"}) fixture.freeze(id, "z1");
    fixture.stage(kBuild, 0, 1);
    assert(fixture.plan.stage(kBuild, 0) == 0);
}

void a_freeze_lifted_before_its_start_has_no_settling_time() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    Update update = fixture.freeze_update("later");
    update.freeze.from = fixture.now + 5000;
    fixture.plan.apply_update(update);
    fixture.lift("later");
    fixture.advance(6000);
    fixture.stage(kBuild, 0, 1);
    assert(fixture.plan.stage(kBuild, 0) == 1);
}

// --- dependencies ---

void a_cell_advances_only_where_the_required_build_has_its_stage() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3)});
    fixture.stage_all(kBuild, 1);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 0}));
    fixture.stage(kRequiredBuild, 2, 3);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 1, 0}));
}

void a_match_dependency_limits_the_build_to_the_required_builds_stage() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.offer(kBuild, {dependency(kRequiredBuild, Dependency::kMatch)});
    fixture.stage(kRequiredBuild, 0, 2);
    fixture.stage(kBuild, 0, 2);
    assert(fixture.plan.stage(kBuild, 0) == 2);
    fixture.stage(kRequiredBuild, 0, 1);
    fixture.advance(20000);
    assert(fixture.plan.stage(kBuild, 0) == 1);
}

void refusals_name_the_dependency_cycle_or_unknown_build() {
    PlanFixture fixture;
    fixture.offer(kBuild, {dependency(kBuild, 1)});
    assert(fixture.plan.refusal(kBuild) == "needs itself: booking/7 -> booking/7");
    fixture.offer({"a", 1}, {dependency({"b", 1}, 1)});
    assert(fixture.plan.refusal({"a", 1}) == "needs an unknown build: a/1 -> b/1");
    fixture.offer({"b", 1}, {dependency({"c", 1}, 1)});
    fixture.offer({"c", 1}, {dependency({"a", 1}, 1)});
    assert(fixture.plan.refusal({"c", 1}) == "needs itself: c/1 -> a/1 -> b/1 -> c/1");
    fixture.stage({"c", 1}, 0, 1);
    assert(fixture.plan.stage({"c", 1}, 0) == 0);
}

// The dependent build holds first, then rolls back cell by cell; the cell that advanced last is rolled back
// first.
void cells_roll_back_in_reverse_order_when_a_dependency_is_lost() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3)});
    fixture.stage(kBuild, 2, 1);
    fixture.stage(kBuild, 0, 1);
    fixture.stage(kBuild, 1, 1);
    fixture.pull(kRequiredBuild);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 1, 0}));
    fixture.stage(kBuild, 0, 2); // on hold: no cell advances
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.advance(20000);
    assert(fixture.stages(kBuild) == (Stages{1, 0, 1, 0}));
    fixture.advance(10000);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 1, 0}));
    fixture.advance(10000);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 0}));
}

void a_lost_strict_dependency_rolls_back_at_once() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3, true)});
    fixture.stage_all(kBuild, 2);
    fixture.stage(kRequiredBuild, 1, 2); // the dependency is lost in one cell only
    assert(fixture.stages(kBuild) == (Stages{2, 0, 2, 2}));
    fixture.pull(kRequiredBuild);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 0}));
}

// The required build is pulled, offered and pulled again. A rolled-back cell stays back until the desk has
// lowered its stage too; the other cells keep their stages.
void the_rollback_stops_when_the_dependency_is_met_again() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3)});
    fixture.stage_all(kBuild, 1);
    fixture.pull(kRequiredBuild);
    fixture.advance(20000);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 1, 0}));
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.advance(100000);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 1, 0}));
    fixture.pull(kRequiredBuild);
    fixture.advance(19999);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 1, 0})); // a new hold has begun
    fixture.advance(1);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 0, 0}));
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.stage(kBuild, 3, 0); // the desk lowers its stage too
    fixture.stage(kBuild, 3, 1);
    fixture.advance(1000);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 0, 1}));
}

void lifting_a_freeze_during_a_rollback_advances_no_cell() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3)});
    fixture.stage_all(kBuild, 1);
    fixture.freeze("f");
    fixture.stage(kBuild, 0, 2);
    fixture.pull(kRequiredBuild);
    fixture.advance(20000);
    fixture.lift("f");
    fixture.advance(10000);
    assert(fixture.stages(kBuild) == (Stages{1, 1, 0, 0}));
    fixture.advance(200000);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 0}));
}

// --- the desk's updates ---

void late_and_repeated_updates_are_ignored() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    const Update lower = fixture.stage_update(kBuild, 0, 1), higher = fixture.stage_update(kBuild, 0, 2);
    fixture.plan.apply_update(lower);
    fixture.plan.apply_update(higher);
    fixture.plan.apply_update(lower);
    fixture.plan.apply_update(higher);
    assert(fixture.plan.stage(kBuild, 0) == 2 && !fixture.plan.needs_snapshot());
}

// Two updates arrive in the wrong order: the first to arrive shows that one is missing. No cell advances
// before the snapshot.
void a_missing_update_requests_a_snapshot_and_blocks_advances() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 1);
    const Update delayed = fixture.stage_update(kBuild, 1, 1);
    const Update raised = fixture.stage_update(kBuild, 0, 2);
    fixture.plan.apply_update(raised);
    assert(fixture.plan.needs_snapshot() && fixture.plan.stage(kBuild, 0) == 1);
    fixture.plan.apply_update(delayed);
    assert(fixture.plan.stage(kBuild, 1) == 0 && fixture.plan.stage(kBuild, 0) == 1);
    fixture.pull(kBuild);
    assert(fixture.plan.stage(kBuild, 0) == 0);
}

// A snapshot that offers the build with these (cell, stage) pairs.
Snapshot stage_snapshot(std::int64_t rev, std::vector<std::pair<int, int>> cells) {
    Snapshot snapshot{rev, {}};
    snapshot.entries.emplace_back().build = kBuild;
    for (const auto &[cell, stage] : cells) {
        Update &entry = snapshot.entries.emplace_back();
        entry.kind = Update::Kind::stage;
        entry.build = kBuild;
        entry.zone = cell < 2 ? "z0" : "z1";
        entry.customer = cell % 2 ? "c1" : "c0";
        entry.stage = stage;
    }
    return snapshot;
}

void a_desk_that_lost_updates_cannot_advance_cells() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 1);
    fixture.stage(kBuild, 1, 2);
    fixture.plan.apply_snapshot(stage_snapshot(fixture.rev - 1, {{0, 2}, {1, 1}}));
    assert(fixture.stages(kBuild) == (Stages{1, 1, 0, 0})); // the lower of both stages
    assert(fixture.plan.needs_snapshot());
    fixture.stage(kBuild, 0, 2);
    assert(fixture.plan.stage(kBuild, 0) == 1);
    fixture.plan.apply_snapshot(stage_snapshot(fixture.rev + 1, {{0, 2}, {1, 1}}));
    assert(fixture.stages(kBuild) == (Stages{2, 1, 0, 0}) && !fixture.plan.needs_snapshot());
}

void no_cell_advances_while_the_desk_is_disconnected() {
    ReleaseSettings given = scheme();
    given.freezes = {{"w", "", "", "", 1000000, 1010000}};
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 1);
    fixture.plan.set_desk_connected(false);
    fixture.advance(200000); // the window has passed, but updates may have been missed since
    assert(fixture.plan.stage(kBuild, 0) == 0);
    fixture.plan.set_desk_connected(true);
    assert(fixture.plan.stage(kBuild, 0) == 1);
}

void shares_are_zero_before_the_first_snapshot() {
    Plan plan(scheme());
    plan.set_time(1);
    plan.set_desk_connected(true);
    Update update;
    update.rev = 1;
    update.build = kBuild;
    plan.apply_update(update);
    assert(plan.share(kBuild, 0) == 0 && plan.take_share_changes().empty() && plan.needs_snapshot());
}

// After a restart during a freeze each cell has the stage that it had when the freeze began.
void a_restart_does_not_advance_a_build_past_a_freeze() {
    ReleaseSettings given = scheme();
    given.freezes = {{"w", "z1", "", "", 900000, 1500000}};
    Plan plan(given);
    plan.set_time(1000000);
    Snapshot snapshot = stage_snapshot(20, {{0, 3}, {1, 2}, {2, 2}, {3, 2}});
    snapshot.entries[1].held = 1;
    // z1/c0: announced within the window of the settings, so its stage before is unknown.
    snapshot.entries[3].announced_at = 950000;
    snapshot.entries[4].announced_at = 800000;
    Update &freeze = snapshot.entries.emplace_back();
    freeze.kind = Update::Kind::freeze;
    freeze.freeze = {"f", "z0", "", ""};
    plan.apply_snapshot(snapshot);
    plan.set_desk_connected(true);
    plan.set_time(1010000);
    const auto stage = [&](int cell) { return plan.stage(kBuild, cell); };
    assert(stage(0) == 1 && stage(1) == 2 && stage(2) == 0 && stage(3) == 2);
    plan.set_time(1600000);
    assert(stage(0) == 1 && stage(2) == 2); // the window is over, the desk's freeze still holds
}

void a_build_missing_from_the_snapshot_is_pulled() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage(kBuild, 0, 2);
    fixture.plan.apply_snapshot({fixture.rev + 5, {}});
    assert(fixture.plan.stage(kBuild, 0) == 0 && fixture.plan.pulled(kBuild));
}

void updates_for_unknown_cells_or_stages_are_ignored() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    Update update = fixture.stage_update(kBuild, 0, 1);
    update.zone = "nowhere";
    fixture.plan.apply_update(update);
    fixture.stage(kBuild, 1, 9);
    assert(fixture.stages(kBuild) == (Stages{0, 0, 0, 0}) && !fixture.plan.needs_snapshot());
    int unknown = 0;
    for (const LogEvent &event : fixture.plan.take_log_events()) unknown += event.name == "desk.unknown";
    assert(unknown == 2);
}

void the_number_of_builds_is_bounded() {
    ReleaseSettings given = scheme();
    given.max_builds = 3;
    PlanFixture fixture(given);
    for (int i = 1; i <= 3; ++i) fixture.offer({"booking", i});
    fixture.offer({"booking", 4});
    assert(fixture.plan.builds().size() == 3 && fixture.plan.share(BuildName{"booking", 4}, 0) == 0);
    fixture.pull({"booking", 2});
    fixture.offer({"booking", 4});
    assert((fixture.plan.builds() == std::vector<BuildName>{{"booking", 1}, {"booking", 3}, {"booking", 4}}));
}

// --- share changes ---

void share_changes_add_up_to_the_shares() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage_all(kBuild, 2);
    double default_share = -1; // of the cells that are not in `shares`
    std::map<int, double> shares;
    const auto apply_changes = [&] {
        for (const ShareChange &change : fixture.plan.take_share_changes()) {
            if (change.cell < 0) {
                default_share = change.share;
                shares.clear();
            } else {
                shares[change.cell] = change.share;
            }
        }
    };
    apply_changes();
    // Only cells of the router's own zone.
    assert(default_share == 0 && (shares == std::map<int, double>{{0, 0.25}, {1, 0.25}}));
    fixture.stage_all(kBuild, 3);
    apply_changes();
    assert(default_share == 1 && shares.empty());
    fixture.stage(kBuild, 3, 2);
    apply_changes();
    assert(default_share == 0 && shares.at(0) == 1);
    fixture.pull(kBuild);
    apply_changes();
    assert(default_share == 0 && shares.empty());
}

// --- waves and opinions ---

using CellVerdicts = std::vector<std::pair<int, Verdict>>;

// The cells and verdicts of the opinions that the plan gives at its next check.
CellVerdicts next_opinions(PlanFixture &fixture) {
    fixture.advance(1000);
    CellVerdicts result;
    for (const Opinion &opinion : fixture.opinions()) result.emplace_back(opinion.cell, opinion.verdict);
    return result;
}

void a_cell_needs_evidence_of_its_own() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.plan.set_verdict(7, Verdict::advance);
    assert(next_opinions(fixture) == (CellVerdicts{{0, Verdict::advance}, {1, Verdict::advance}}));
    fixture.stage_all(kBuild, 1);
    for (int i = 0; i < 5; ++i) fixture.plan.record_pick(7, 0);
    assert(next_opinions(fixture) == (CellVerdicts{{0, Verdict::advance}}));
    assert(next_opinions(fixture).empty()); // an opinion is given again only after the renewal time
    fixture.advance(40000);
    assert(fixture.opinions().size() == 1);
}

void no_opinion_to_advance_during_a_freeze_or_a_hold() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.plan.set_verdict(7, Verdict::hold);
    assert(next_opinions(fixture).empty());
    fixture.plan.set_verdict(7, Verdict::advance);
    fixture.freeze("f", "", "c0");
    assert(next_opinions(fixture) == (CellVerdicts{{1, Verdict::advance}}));
}

void a_verdict_to_roll_back_gives_an_opinion_for_all_cells() {
    PlanFixture fixture;
    fixture.offer(kBuild);
    fixture.stage_all(kBuild, 1);
    fixture.plan.set_verdict(7, Verdict::roll_back);
    assert(next_opinions(fixture) == (CellVerdicts{{-1, Verdict::roll_back}}));
}

void a_rolled_back_cell_gives_an_opinion_to_roll_back() {
    PlanFixture fixture;
    fixture.offer(kRequiredBuild);
    fixture.stage_all(kRequiredBuild, 3);
    fixture.offer(kBuild, {dependency(kRequiredBuild, 3, true)});
    fixture.stage(kBuild, 0, 1);
    fixture.pull(kRequiredBuild);
    assert(next_opinions(fixture) == (CellVerdicts{{0, Verdict::roll_back}}));
}

void a_wave_waits_for_the_preceding_one() {
    ReleaseSettings given = scheme();
    given.order = WaveOrder::customers;
    given.wave_gate_stage = 2;
    given.min_picks = 0;
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.plan.set_verdict(7, Verdict::advance);
    assert(next_opinions(fixture) == (CellVerdicts{{0, Verdict::advance}}));
    fixture.stage(kBuild, 0, 2);
    assert(next_opinions(fixture) ==
           (CellVerdicts{{0, Verdict::advance}})); // z1/c0 has not reached the stage yet
    fixture.stage(kBuild, 2, 2);
    assert(next_opinions(fixture) == (CellVerdicts{{1, Verdict::advance}}));
}

// A customer without RPCs does not block the other customers, and its own cell does not advance without
// evidence once its RPCs resume.
void a_silent_cell_does_not_block_later_waves() {
    ReleaseSettings given = scheme(1, 2);
    given.order = WaveOrder::customers;
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    fixture.plan.set_verdict(7, Verdict::advance);
    fixture.stage(kBuild, 0, 1);
    fixture.advance(599000);
    assert(fixture.opinions().empty());
    assert(next_opinions(fixture) == (CellVerdicts{{1, Verdict::advance}}));
    fixture.plan.record_arrival(0);
    fixture.advance(50000);
    assert(
        fixture.opinions().empty()); // no longer silent: the next wave waits, and its own cell lacks evidence
}

void canaries_go_first() {
    ReleaseSettings given = scheme();
    given.order = WaveOrder::canary;
    given.canaries = {1};
    PlanFixture fixture(given);
    fixture.offer(kBuild);
    assert(fixture.plan.wave(kBuild, 1) == 0 && fixture.plan.wave(kBuild, 0) == 1 &&
           fixture.plan.wave(kBuild, 3) == 2);
}

void balanced_order_starts_with_the_lowest_withdrawn_share() {
    ReleaseSettings given = scheme(1, 3);
    given.order = WaveOrder::balanced;
    PlanFixture fixture(given);
    const auto add_traffic = [&](const std::string &customer, double traffic, double withdrawn) {
        Update update = fixture.next_update(Update::Kind::ledger);
        update.customer = customer;
        update.traffic = traffic;
        update.withdrawn = withdrawn;
        fixture.plan.apply_update(update);
    };
    add_traffic("c0", 500, 50); // 0.1 of its traffic went to withdrawn builds
    add_traffic("c1", 100, 2); // 0.02
    add_traffic("c2", 400, 20); // 0.05
    fixture.offer(kBuild);
    assert(fixture.plan.wave(kBuild, 1) == 0 && fixture.plan.wave(kBuild, 2) == 1 &&
           fixture.plan.wave(kBuild, 0) == 2);
}

// With 200 zones and 500 customers, share changes and opinions concern the router's own zone only, and an RPC
// adds to the state of its own cell only.
void state_and_outputs_stay_bounded_with_100000_cells() {
    ReleaseSettings given = scheme(200, 500);
    given.order = WaveOrder::customers;
    given.min_picks = 0;
    PlanFixture fixture(given);
    for (int build = 1; build <= 21; ++build) fixture.offer({"booking", build});
    assert(fixture.plan.builds().size() == 20);
    fixture.plan.take_share_changes();
    const BuildName first{"booking", 1};
    for (int cell = 0; cell < 100000; cell += 7) fixture.stage(first, cell, 1);
    const auto changes = fixture.plan.take_share_changes();
    assert(changes.size() == (500 + 6) / 7); // the cells of z0
    for (const ShareChange &change : changes) assert(change.cell < 500 && change.share == 0.05);
    fixture.plan.set_verdict(1, Verdict::advance);
    for (int i = 0; i < 100000; ++i) {
        fixture.plan.record_arrival(i % 500);
        fixture.plan.record_pick(1, i % 500);
    }
    fixture.advance(1000);
    for (const Opinion &opinion : fixture.opinions())
        assert(opinion.cell == 0); // the first customer's wave, in the own zone
    fixture.pull(first);
    assert(fixture.plan.stage(first, 0) == 0 && fixture.plan.stage(first, 99995) == 0);
}

} // namespace

int main() {
    state_and_outputs_stay_bounded_with_100000_cells();
    share_is_the_minimum_of_stage_and_caps();
    caps_do_not_apply_once_released_in_all_cells();
    a_lower_cap_applies_at_once_and_a_higher_one_after_the_freeze();
    an_advance_waits_for_the_freeze_and_its_settling_time();
    rollbacks_apply_during_a_freeze();
    freezes_add_up();
    a_freeze_of_one_service_does_not_affect_another();
    configured_freezes_follow_the_clock_and_cannot_be_lifted();
    everything_is_frozen_beyond_the_freeze_limit();
    a_freeze_lifted_before_its_start_has_no_settling_time();
    a_cell_advances_only_where_the_required_build_has_its_stage();
    a_match_dependency_limits_the_build_to_the_required_builds_stage();
    refusals_name_the_dependency_cycle_or_unknown_build();
    cells_roll_back_in_reverse_order_when_a_dependency_is_lost();
    a_lost_strict_dependency_rolls_back_at_once();
    the_rollback_stops_when_the_dependency_is_met_again();
    lifting_a_freeze_during_a_rollback_advances_no_cell();
    late_and_repeated_updates_are_ignored();
    a_missing_update_requests_a_snapshot_and_blocks_advances();
    a_desk_that_lost_updates_cannot_advance_cells();
    no_cell_advances_while_the_desk_is_disconnected();
    shares_are_zero_before_the_first_snapshot();
    a_restart_does_not_advance_a_build_past_a_freeze();
    a_build_missing_from_the_snapshot_is_pulled();
    updates_for_unknown_cells_or_stages_are_ignored();
    the_number_of_builds_is_bounded();
    share_changes_add_up_to_the_shares();
    a_cell_needs_evidence_of_its_own();
    no_opinion_to_advance_during_a_freeze_or_a_hold();
    a_verdict_to_roll_back_gives_an_opinion_for_all_cells();
    a_rolled_back_cell_gives_an_opinion_to_roll_back();
    a_wave_waits_for_the_preceding_one();
    a_silent_cell_does_not_block_later_waves();
    canaries_go_first();
    balanced_order_starts_with_the_lowest_withdrawn_share();
}
