// Each test tells a plan what a desk would and looks at what it allows.
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::release;
using namespace pineridge::release::test;

namespace {

using Stages = std::vector<int>;

// --- caps ---

void the_least_of_stage_and_caps_counts() {
    Scheme given = scheme();
    given.zones[0].cap = 0.5;
    given.customers[1].cap = 0.1;
    given.cap = 0.6;
    Bench bench(given);
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 1);
    assert(bench.plan.share(kSeven, 0) == 0.05);
    bench.stage(kSeven, 1, 2);
    assert(bench.plan.share(kSeven, 1) == 0.1); // the customer's
    bench.stage(kSeven, 0, 3);
    assert(bench.plan.share(kSeven, 0) == 0.5); // the zone's
    bench.stage(kSeven, 2, 3);
    assert(bench.plan.share(kSeven, 2) == 0.6); // that of all
}

void caps_end_with_the_release_in_all_cells() {
    Scheme given = scheme();
    given.cap = 0.4;
    Bench bench(given);
    bench.offer(kSeven);
    bench.stage_all(kSeven, 3);
    assert(bench.plan.share(kSeven, 0) == 1);
    bench.stage(kSeven, 3, 2);
    assert(bench.plan.share(kSeven, 0) == 0.4);
}

void a_lower_cap_binds_at_once_and_a_higher_one_waits_for_the_thaw() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 3);
    bench.freeze("f", "z0");
    bench.cap(0.3, "z0");
    assert(bench.plan.share(kSeven, 0) == 0.3);
    bench.cap(0.8, "z0");
    bench.pass(100000);
    assert(bench.plan.share(kSeven, 0) == 0.3);
    bench.lift("f");
    bench.pass(49999);
    assert(bench.plan.share(kSeven, 0) == 0.3);
    bench.pass(1001);
    assert(bench.plan.share(kSeven, 0) == 0.8);
}

// --- freezes ---

void a_step_already_voted_waits_in_a_freeze_and_resumes_after_settling() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 2);
    const Notice voted = bench.stage_word(kSeven, 0, 3);
    bench.plan.notice([&] {
        Notice freeze = voted;
        freeze.kind = Notice::Kind::freeze;
        freeze.freeze = {"f", "z0", "", ""};
        return freeze;
    }());
    bench.stage(kSeven, 0, 3); // the answer to the vote comes after the freeze
    bench.pass(1000000);
    assert(bench.plan.stage(kSeven, 0) == 2 && bench.plan.told(kSeven, 0) == 3);
    bench.lift("f");
    bench.pass(49000);
    assert(bench.plan.stage(kSeven, 0) == 2);
    bench.pass(2000);
    assert(bench.plan.stage(kSeven, 0) == 3);
}

void steps_back_go_through_a_freeze() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 3);
    bench.freeze("f");
    bench.stage(kSeven, 0, 1);
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.pull(kSeven);
    assert(bench.plan.stage(kSeven, 0) == 0);
}

void freezes_add_up() {
    Bench bench;
    bench.offer(kSeven);
    bench.freeze("zone", "z0");
    bench.freeze("customer", "", "c0");
    bench.stage_all(kSeven, 1);
    bench.pass(1000);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 1})); // z1/c1 alone is under neither
    bench.lift("zone");
    bench.pass(60000);
    assert(bench.stages(kSeven) == (Stages{0, 1, 0, 1}));
    bench.lift("customer");
    bench.pass(60000);
    assert(bench.stages(kSeven) == (Stages{1, 1, 1, 1}));
}

void a_freeze_of_another_service_stops_only_that() {
    Bench bench;
    bench.offer(kSeven);
    bench.offer(kThree);
    bench.freeze("f", "", "", "donor");
    bench.stage(kSeven, 0, 1);
    bench.stage(kThree, 0, 1);
    assert(bench.plan.stage(kSeven, 0) == 1 && bench.plan.stage(kThree, 0) == 0);
}

void windows_of_the_settings_hold_by_time_and_no_word_lifts_them() {
    Scheme given = scheme();
    given.freezes = {{"w", "", "", "", 1100000, 1200000}};
    Bench bench(given);
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 1);
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.at(1100000);
    bench.lift("w");
    bench.stage(kSeven, 0, 2);
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.at(1250000 - 1);
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.at(1251000);
    assert(bench.plan.stage(kSeven, 0) == 2);
}

void more_freezes_than_can_be_kept_stop_everything() {
    Scheme given = scheme();
    given.most_freezes = 2;
    Bench bench(given);
    bench.offer(kSeven);
    for (const char *id : {"a", "b", "c"}) bench.freeze(id, "z1");
    bench.stage(kSeven, 0, 1);
    assert(bench.plan.stage(kSeven, 0) == 0);
}

void a_lifted_freeze_that_had_not_begun_settles_nothing() {
    Bench bench;
    bench.offer(kSeven);
    Notice word = bench.freeze_word("later");
    word.freeze.from = bench.now + 5000;
    bench.plan.notice(word);
    bench.lift("later");
    bench.pass(6000);
    bench.stage(kSeven, 0, 1);
    assert(bench.plan.stage(kSeven, 0) == 1);
}

// --- dependencies ---

void a_cell_opens_only_where_the_needed_build_is_far_enough() {
    Bench bench;
    bench.offer(kThree);
    bench.offer(kSeven, {need(kThree, 3)});
    bench.stage_all(kSeven, 1);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 0}));
    bench.stage(kThree, 2, 3);
    assert(bench.stages(kSeven) == (Stages{0, 0, 1, 0}));
}

void a_match_goes_no_further_than_the_needed_build() {
    Bench bench;
    bench.offer(kThree);
    bench.offer(kSeven, {need(kThree, Need::kMatch)});
    bench.stage(kThree, 0, 2);
    bench.stage(kSeven, 0, 2);
    assert(bench.plan.stage(kSeven, 0) == 2);
    bench.stage(kThree, 0, 1);
    bench.pass(20000);
    assert(bench.plan.stage(kSeven, 0) == 1);
}

void refusals_name_the_way() {
    Bench bench;
    bench.offer(kSeven, {need(kSeven, 1)});
    assert(bench.plan.refusal(kSeven) == "needs itself: booking/7 -> booking/7");
    bench.offer({"a", 1}, {need({"b", 1}, 1)});
    assert(bench.plan.refusal({"a", 1}) == "needs an unknown build: a/1 -> b/1");
    bench.offer({"b", 1}, {need({"c", 1}, 1)});
    bench.offer({"c", 1}, {need({"a", 1}, 1)});
    assert(bench.plan.refusal({"c", 1}) == "needs itself: c/1 -> a/1 -> b/1 -> c/1");
    bench.stage({"c", 1}, 0, 1);
    assert(bench.plan.stage({"c", 1}, 0) == 0);
}

// The dependent holds first, then leaves cell by cell, the last to come first.
void a_lost_need_takes_cells_back_in_reverse() {
    Bench bench;
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.offer(kSeven, {need(kThree, 3)});
    bench.stage(kSeven, 2, 1);
    bench.stage(kSeven, 0, 1);
    bench.stage(kSeven, 1, 1);
    bench.pull(kThree);
    assert(bench.stages(kSeven) == (Stages{1, 1, 1, 0}));
    bench.stage(kSeven, 0, 2); // held: no step forward anywhere
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.pass(20000);
    assert(bench.stages(kSeven) == (Stages{1, 0, 1, 0}));
    bench.pass(10000);
    assert(bench.stages(kSeven) == (Stages{0, 0, 1, 0}));
    bench.pass(10000);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 0}));
}

void a_strict_need_takes_all_back_at_once() {
    Bench bench;
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.offer(kSeven, {need(kThree, 3, true)});
    bench.stage_all(kSeven, 2);
    bench.stage(kThree, 1, 2); // lost in one cell alone
    assert(bench.stages(kSeven) == (Stages{2, 0, 2, 2}));
    bench.pull(kThree);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 0}));
}

// Pulled, offered again, pulled again: what has gone back stays until the desk has followed; the rest holds.
void a_need_that_comes_back_stops_the_way_back() {
    Bench bench;
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.offer(kSeven, {need(kThree, 3)});
    bench.stage_all(kSeven, 1);
    bench.pull(kThree);
    bench.pass(20000);
    assert(bench.stages(kSeven) == (Stages{1, 1, 1, 0}));
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.pass(100000);
    assert(bench.stages(kSeven) == (Stages{1, 1, 1, 0}));
    bench.pull(kThree);
    bench.pass(19999);
    assert(bench.stages(kSeven) == (Stages{1, 1, 1, 0})); // holds anew
    bench.pass(1);
    assert(bench.stages(kSeven) == (Stages{1, 1, 0, 0}));
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.stage(kSeven, 3, 0); // the desk follows
    bench.stage(kSeven, 3, 1);
    bench.pass(1000);
    assert(bench.stages(kSeven) == (Stages{1, 1, 0, 1}));
}

void a_freeze_lifted_during_the_way_back_moves_nothing_forward() {
    Bench bench;
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.offer(kSeven, {need(kThree, 3)});
    bench.stage_all(kSeven, 1);
    bench.freeze("f");
    bench.stage(kSeven, 0, 2);
    bench.pull(kThree);
    bench.pass(20000);
    bench.lift("f");
    bench.pass(10000);
    assert(bench.stages(kSeven) == (Stages{1, 1, 0, 0}));
    bench.pass(200000);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 0}));
}

// --- the desk's words ---

void late_and_repeated_words_change_nothing() {
    Bench bench;
    bench.offer(kSeven);
    const Notice low = bench.stage_word(kSeven, 0, 1), high = bench.stage_word(kSeven, 0, 2);
    bench.plan.notice(low);
    bench.plan.notice(high);
    bench.plan.notice(low);
    bench.plan.notice(high);
    assert(bench.plan.stage(kSeven, 0) == 2 && !bench.plan.wants_snapshot());
}

// Two words cross: the later one shows that one is missing. Nothing moves forward before the snapshot.
void a_gap_asks_for_the_snapshot_and_lets_only_steps_back_through() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 1);
    const Notice lost = bench.stage_word(kSeven, 1, 1), raise = bench.stage_word(kSeven, 0, 2);
    bench.plan.notice(raise);
    assert(bench.plan.wants_snapshot() && bench.plan.stage(kSeven, 0) == 1);
    bench.plan.notice(lost);
    assert(bench.plan.stage(kSeven, 1) == 0 && bench.plan.stage(kSeven, 0) == 1);
    bench.pull(kSeven);
    assert(bench.plan.stage(kSeven, 0) == 0);
}

Snapshot whole(std::int64_t rev, std::vector<std::pair<int, int>> cells) {
    Snapshot told{rev, {}};
    told.entries.emplace_back().build = kSeven;
    for (const auto &[cell, stage] : cells) {
        Notice &entry = told.entries.emplace_back();
        entry.kind = Notice::Kind::stage;
        entry.build = kSeven;
        entry.zone = cell < 2 ? "z0" : "z1";
        entry.customer = cell % 2 ? "c1" : "c0";
        entry.stage = stage;
    }
    return told;
}

void a_desk_that_lost_its_last_words_moves_nothing_forward() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 1);
    bench.stage(kSeven, 1, 2);
    bench.plan.snapshot(whole(bench.rev - 1, {{0, 2}, {1, 1}}));
    assert(bench.stages(kSeven) == (Stages{1, 1, 0, 0})); // the narrower of both
    assert(bench.plan.wants_snapshot());
    bench.stage(kSeven, 0, 2);
    assert(bench.plan.stage(kSeven, 0) == 1);
    bench.plan.snapshot(whole(bench.rev + 1, {{0, 2}, {1, 1}}));
    assert(bench.stages(kSeven) == (Stages{2, 1, 0, 0}) && !bench.plan.wants_snapshot());
}

void nothing_moves_forward_while_the_desk_is_silent() {
    Scheme given = scheme();
    given.freezes = {{"w", "", "", "", 1000000, 1010000}};
    Bench bench(given);
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 1);
    bench.plan.linked(false);
    bench.pass(200000); // the window has passed, but who knows what the desk has said since
    assert(bench.plan.stage(kSeven, 0) == 0);
    bench.plan.linked(true);
    assert(bench.plan.stage(kSeven, 0) == 1);
}

void before_the_snapshot_nothing_is_allowed() {
    Plan plan(scheme());
    plan.clock(1);
    plan.linked(true);
    Notice word;
    word.rev = 1;
    word.build = kSeven;
    plan.notice(word);
    assert(plan.share(kSeven, 0) == 0 && plan.take_changes().empty() && plan.wants_snapshot());
}

// A restart within a freeze: each cell is where it stood when the freeze began.
void a_restart_does_not_carry_a_build_past_a_freeze() {
    Scheme given = scheme();
    given.freezes = {{"w", "z1", "", "", 900000, 1500000}};
    Plan plan(given);
    plan.clock(1000000);
    Snapshot told = whole(20, {{0, 3}, {1, 2}, {2, 2}, {3, 2}});
    told.entries[1].held = 1;
    told.entries[3].told = 950000; // z1: within the window, so where it stood is not known
    told.entries[4].told = 800000;
    Notice &freeze = told.entries.emplace_back();
    freeze.kind = Notice::Kind::freeze;
    freeze.freeze = {"f", "z0", "", ""};
    plan.snapshot(told);
    plan.linked(true);
    plan.clock(1010000);
    const auto at = [&](int cell) { return plan.stage(kSeven, cell); };
    assert(at(0) == 1 && at(1) == 2 && at(2) == 0 && at(3) == 2);
    plan.clock(1600000);
    assert(at(0) == 1 && at(2) == 2); // the window is over, the desk's freeze is not
}

void a_build_that_the_desk_no_longer_names_is_gone() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage(kSeven, 0, 2);
    bench.plan.snapshot({bench.rev + 5, {}});
    assert(bench.plan.stage(kSeven, 0) == 0 && bench.plan.pulled(kSeven));
}

void words_of_cells_that_are_not_there_change_nothing() {
    Bench bench;
    bench.offer(kSeven);
    Notice word = bench.stage_word(kSeven, 0, 1);
    word.zone = "nowhere";
    bench.plan.notice(word);
    bench.stage(kSeven, 1, 9);
    assert(bench.stages(kSeven) == (Stages{0, 0, 0, 0}) && !bench.plan.wants_snapshot());
    int unknown = 0;
    for (const Line &line : bench.plan.take_lines()) unknown += line.name == "desk.unknown";
    assert(unknown == 2);
}

void builds_are_bounded() {
    Scheme given = scheme();
    given.most_builds = 3;
    Bench bench(given);
    for (int i = 1; i <= 3; ++i) bench.offer({"booking", i});
    bench.offer({"booking", 4});
    assert(bench.plan.builds().size() == 3 && bench.plan.share(BuildName{"booking", 4}, 0) == 0);
    bench.pull({"booking", 2});
    bench.offer({"booking", 4});
    assert((bench.plan.builds() == std::vector<BuildName>{{"booking", 1}, {"booking", 3}, {"booking", 4}}));
}

// --- what is told to the module ---

void changes_add_up_to_the_shares() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage_all(kSeven, 2);
    double rest = -1;
    std::map<int, double> shares;
    const auto take = [&] {
        for (const Change &change : bench.plan.take_changes()) {
            if (change.cell < 0)
                rest = change.share, shares.clear();
            else
                shares[change.cell] = change.share;
        }
    };
    take();
    assert(rest == 0 && (shares == std::map<int, double>{{0, 0.25}, {1, 0.25}})); // its own zone alone
    bench.stage_all(kSeven, 3);
    take();
    assert(rest == 1 && shares.empty());
    bench.stage(kSeven, 3, 2);
    take();
    assert(rest == 0 && shares.at(0) == 1);
    bench.pull(kSeven);
    take();
    assert(rest == 0 && shares.empty());
}

// --- orders and opinions ---

std::vector<std::pair<int, Verdict>> said(Bench &bench) {
    bench.pass(1000);
    std::vector<std::pair<int, Verdict>> all;
    for (const Opinion &one : bench.opinions()) all.emplace_back(one.cell, one.verdict);
    return all;
}

using Said = std::vector<std::pair<int, Verdict>>;

void a_cell_advances_only_by_evidence_of_its_own() {
    Bench bench;
    bench.offer(kSeven);
    bench.plan.verdict(7, Verdict::advance);
    assert(said(bench) == (Said{{0, Verdict::advance}, {1, Verdict::advance}}));
    bench.stage_all(kSeven, 1);
    for (int i = 0; i < 5; ++i) bench.plan.seen(7, 0);
    assert(said(bench) == (Said{{0, Verdict::advance}}));
    assert(said(bench).empty()); // given again after the renewal time
    bench.pass(40000);
    assert(bench.opinions().size() == 1);
}

void no_opinion_on_in_a_freeze_or_under_a_hold() {
    Bench bench;
    bench.offer(kSeven);
    bench.plan.verdict(7, Verdict::hold);
    assert(said(bench).empty());
    bench.plan.verdict(7, Verdict::advance);
    bench.freeze("f", "", "c0");
    assert(said(bench) == (Said{{1, Verdict::advance}}));
}

void a_verdict_back_asks_for_all_cells() {
    Bench bench;
    bench.offer(kSeven);
    bench.stage_all(kSeven, 1);
    bench.plan.verdict(7, Verdict::roll_back);
    assert(said(bench) == (Said{{-1, Verdict::roll_back}}));
}

void a_cell_that_went_back_by_itself_asks_the_desk_to_follow() {
    Bench bench;
    bench.offer(kThree);
    bench.stage_all(kThree, 3);
    bench.offer(kSeven, {need(kThree, 3, true)});
    bench.stage(kSeven, 0, 1);
    bench.pull(kThree);
    assert(said(bench) == (Said{{0, Verdict::roll_back}}));
}

void a_wave_waits_for_the_one_before() {
    Scheme given = scheme();
    given.order = Order::customers;
    given.follow = 2;
    given.evidence = 0;
    Bench bench(given);
    bench.offer(kSeven);
    bench.plan.verdict(7, Verdict::advance);
    assert(said(bench) == (Said{{0, Verdict::advance}}));
    bench.stage(kSeven, 0, 2);
    assert(said(bench) == (Said{{0, Verdict::advance}})); // z1/c0 has not followed
    bench.stage(kSeven, 2, 2);
    assert(said(bench) == (Said{{1, Verdict::advance}}));
}

// A customer that asks nothing holds up nobody, and gets no stage without evidence when it comes back.
void a_silent_cell_holds_up_no_other() {
    Scheme given = scheme(1, 2);
    given.order = Order::customers;
    Bench bench(given);
    bench.offer(kSeven);
    bench.plan.verdict(7, Verdict::advance);
    bench.stage(kSeven, 0, 1);
    bench.pass(599000);
    assert(bench.opinions().empty());
    assert(said(bench) == (Said{{1, Verdict::advance}}));
    bench.plan.arrived(0);
    bench.pass(50000);
    assert(bench.opinions().empty()); // it is heard again: the next wave waits, its own stage lacks evidence
}

void canaries_go_first() {
    Scheme given = scheme();
    given.order = Order::canary;
    given.canaries = {1};
    Bench bench(given);
    bench.offer(kSeven);
    assert(bench.plan.wave(kSeven, 1) == 0 && bench.plan.wave(kSeven, 0) == 1 &&
           bench.plan.wave(kSeven, 3) == 2);
}

void balance_sends_the_least_burdened_first() {
    Scheme given = scheme(1, 3);
    given.order = Order::balanced;
    Bench bench(given);
    const auto burden = [&](const std::string &customer, double traffic, double withdrawn) {
        Notice word = bench.word(Notice::Kind::ledger);
        word.customer = customer, word.traffic = traffic, word.withdrawn = withdrawn;
        bench.plan.notice(word);
    };
    burden("c0", 500, 50); // 0.1 of its traffic
    burden("c1", 100, 2); // 0.02
    burden("c2", 400, 20); // 0.05
    bench.offer(kSeven);
    assert(bench.plan.wave(kSeven, 1) == 0 && bench.plan.wave(kSeven, 2) == 1 &&
           bench.plan.wave(kSeven, 0) == 2);
}

// Hard case 7: as many cells as there may be. What a router holds and is told of follows its own zone; an RPC
// adds nothing to the state of any cell but its own.
void as_many_cells_as_there_may_be() {
    Scheme given = scheme(200, 500);
    given.order = Order::customers;
    given.evidence = 0;
    Bench bench(given);
    for (int build = 1; build <= 21; ++build) bench.offer({"booking", build});
    assert(bench.plan.builds().size() == 20);
    bench.plan.take_changes();
    const BuildName first{"booking", 1};
    for (int cell = 0; cell < 100000; cell += 7) bench.stage(first, cell, 1);
    const auto changes = bench.plan.take_changes();
    assert(changes.size() == (500 + 6) / 7); // those of z0
    for (const Change &change : changes) assert(change.cell < 500 && change.share == 0.05);
    bench.plan.verdict(1, Verdict::advance);
    for (int i = 0; i < 100000; ++i) bench.plan.arrived(i % 500), bench.plan.seen(1, i % 500);
    bench.pass(1000);
    for (const Opinion &opinion : bench.opinions())
        assert(opinion.cell == 0); // the first customer's wave, own zone
    bench.pull(first);
    assert(bench.plan.stage(first, 0) == 0 && bench.plan.stage(first, 99995) == 0);
}

} // namespace

int main() {
    as_many_cells_as_there_may_be();
    the_least_of_stage_and_caps_counts();
    caps_end_with_the_release_in_all_cells();
    a_lower_cap_binds_at_once_and_a_higher_one_waits_for_the_thaw();
    a_step_already_voted_waits_in_a_freeze_and_resumes_after_settling();
    steps_back_go_through_a_freeze();
    freezes_add_up();
    a_freeze_of_another_service_stops_only_that();
    windows_of_the_settings_hold_by_time_and_no_word_lifts_them();
    more_freezes_than_can_be_kept_stop_everything();
    a_lifted_freeze_that_had_not_begun_settles_nothing();
    a_cell_opens_only_where_the_needed_build_is_far_enough();
    a_match_goes_no_further_than_the_needed_build();
    refusals_name_the_way();
    a_lost_need_takes_cells_back_in_reverse();
    a_strict_need_takes_all_back_at_once();
    a_need_that_comes_back_stops_the_way_back();
    a_freeze_lifted_during_the_way_back_moves_nothing_forward();
    late_and_repeated_words_change_nothing();
    a_gap_asks_for_the_snapshot_and_lets_only_steps_back_through();
    a_desk_that_lost_its_last_words_moves_nothing_forward();
    nothing_moves_forward_while_the_desk_is_silent();
    before_the_snapshot_nothing_is_allowed();
    a_restart_does_not_carry_a_build_past_a_freeze();
    a_build_that_the_desk_no_longer_names_is_gone();
    words_of_cells_that_are_not_there_change_nothing();
    builds_are_bounded();
    changes_add_up_to_the_shares();
    a_cell_advances_only_by_evidence_of_its_own();
    no_opinion_on_in_a_freeze_or_under_a_hold();
    a_verdict_back_asks_for_all_cells();
    a_cell_that_went_back_by_itself_asks_the_desk_to_follow();
    a_wave_waits_for_the_one_before();
    a_silent_cell_holds_up_no_other();
    canaries_go_first();
    balance_sends_the_least_burdened_first();
}
