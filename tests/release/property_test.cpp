// Random histories of the plan: votes, freezes, pulls, restarts, lost, late and repeated words. After every
// step each invariant, by its name, must hold. RC_PARAMS="max_success=..." plays more; a failing history is
// cut to its least.
#include "helpers.hpp"

#include <rapidcheck.h>

#include <iostream>

using namespace pineridge;
using namespace pineridge::release;
using namespace pineridge::release::test;

namespace {

constexpr int kCells = 4, kBuilds = 4, kReleased = 3;
const BuildName kNames[kBuilds] = {{"donor", 1}, {"booking", 1}, {"booking", 2}, {"login", 1}};
const char *const kFreezeIds[] = {"a", "b", "c"};

// What one step does: a kind and some small numbers, so that histories shrink well.
struct Move {
    int kind, build, cell, stage, way;
};
std::ostream &operator<<(std::ostream &out, const Move &move) {
    return out << "{" << move.kind << "," << move.build << "," << move.cell << "," << move.stage << ","
               << move.way << "}";
}

rc::Gen<Move> moves() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, kBuilds), rc::gen::inRange(0, kCells),
                       rc::gen::inRange(0, kReleased + 1), rc::gen::inRange(0, 12)),
        [](const auto &t) {
            return Move{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t), std::get<4>(t)};
        });
}

Scheme small() {
    Scheme given = scheme(2, 2);
    given.zones[0].cap = 0.5;
    given.customers[1].cap = 0.2;
    given.most_builds = kBuilds;
    given.silent_after = 30000;
    given.needs = {{{"booking", 2}, {"donor", 1}, 2, false}};
    given.freezes = {{"window", "z1", "", "", 1200000, 1300000}};
    return given;
}

// The desk as it truly is.
struct Truth {
    std::int64_t rev = 10;
    struct Build {
        bool offered = false, pulled = false, strict = false;
        int stages[kCells] = {};
    } builds[kBuilds];
    std::map<std::string, Freeze> freezes;
    double cap = 1;
};

struct World {
    Truth truth;
    std::vector<Truth> past; // older states, for a desk that has forgotten
    std::vector<Notice> sent; // all words so far
    Ticks now = 1000000;
    bool up = true;
};

Notice named(Notice::Kind kind, int build, int cell = -1, int stage = 0) {
    Notice word;
    word.kind = kind;
    word.build = kNames[build];
    if (cell >= 0) word.zone = "z" + std::to_string(cell / 2), word.customer = "c" + std::to_string(cell % 2);
    word.stage = stage;
    return word;
}

std::vector<Need> needs_of(int build, bool strict) {
    if (build == 3) return {{kNames[3], kNames[1], Need::kMatch, strict}};
    return {};
}

Snapshot snapshot_of(const Truth &truth) {
    Snapshot told{truth.rev, {}};
    for (int build = 0; build < kBuilds; ++build) {
        if (!truth.builds[build].offered) continue;
        told.entries.push_back(named(Notice::Kind::offer, build));
        told.entries.back().needs = needs_of(build, truth.builds[build].strict);
        if (truth.builds[build].pulled) told.entries.push_back(named(Notice::Kind::pull, build));
        for (int cell = 0; cell < kCells; ++cell)
            if (truth.builds[build].stages[cell] > 0)
                told.entries.push_back(
                    named(Notice::Kind::stage, build, cell, truth.builds[build].stages[cell]));
    }
    for (const auto &[id, freeze] : truth.freezes) {
        Notice word;
        word.kind = Notice::Kind::freeze;
        word.freeze = freeze;
        told.entries.push_back(word);
    }
    Notice cap;
    cap.kind = Notice::Kind::cap;
    cap.cap = truth.cap;
    told.entries.push_back(cap);
    return told;
}

// The desk's next word, written into its truth; nothing where the move makes none.
std::optional<Notice> next_word(World &world, const Move &move) {
    Truth &truth = world.truth;
    Truth::Build &build = truth.builds[move.build];
    Notice word;
    const Truth before = truth;
    if (move.kind <= 4) {
        if (!build.offered || build.pulled) {
            word = named(Notice::Kind::offer, move.build);
            if (build.pulled) std::fill(std::begin(build.stages), std::end(build.stages), 0);
            build.offered = true, build.pulled = false, build.strict = move.way % 3 == 0;
            word.needs = needs_of(move.build, build.strict);
        } else {
            word = named(Notice::Kind::stage, move.build, move.cell, move.stage);
            build.stages[move.cell] = move.stage;
        }
    } else if (move.kind == 5) {
        if (!build.offered || build.pulled) return std::nullopt;
        word = named(Notice::Kind::pull, move.build);
        build.pulled = true;
        std::fill(std::begin(build.stages), std::end(build.stages), 0);
    } else if (move.kind == 6) {
        word.kind = Notice::Kind::freeze;
        const std::string id = kFreezeIds[move.way % 3];
        word.freeze = {id, move.cell == 0 ? "z0" : "", move.cell == 1 ? "c1" : "",
                       move.cell == 2 ? "booking" : ""};
        truth.freezes[id] = word.freeze;
    } else if (move.kind == 7) {
        word.kind = Notice::Kind::lift;
        word.freeze.id = kFreezeIds[move.way % 3];
        if (truth.freezes.erase(word.freeze.id) == 0) return std::nullopt;
    } else {
        word.kind = Notice::Kind::cap;
        word.cap = truth.cap = 0.25 * (1 + move.stage);
    }
    world.past.push_back(before);
    word.prev = truth.rev;
    word.rev = ++truth.rev;
    world.sent.push_back(word);
    return word;
}

// What stands of each cell, and whether it is frozen: taken before and after a step.
struct Look {
    int at[kBuilds][kCells];
    double share[kBuilds][kCells];
    bool frozen[kBuilds][kCells];
};

Look look(const Plan &plan) {
    Look seen{};
    for (int build = 0; build < kBuilds; ++build)
        for (int cell = 0; cell < kCells; ++cell) {
            seen.at[build][cell] = plan.stage(kNames[build], cell);
            seen.share[build][cell] = plan.share(kNames[build], cell);
            seen.frozen[build][cell] = plan.frozen(kNames[build].service, cell);
        }
    return seen;
}

struct Shares { // what the module has been told
    std::map<int, double> rest;
    std::map<std::pair<int, int>, double> cells;
    void take(Plan &plan) {
        for (const Change &change : plan.take_changes()) {
            if (change.cell >= 0) {
                cells[{change.build, change.cell}] = change.share;
                continue;
            }
            rest[change.build] = change.share;
            std::erase_if(cells, [&](const auto &one) { return one.first.first == change.build; });
        }
    }
    double of(int build, int cell) const {
        if (const auto at = cells.find({build, cell}); at != cells.end()) return at->second;
        const auto at = rest.find(build);
        return at == rest.end() ? 0 : at->second;
    }
};

void hold(bool held, const char *name) {
    if (!held) RC_FAIL(name);
}

void invariants(const Plan &plan, const Look &before, const Look &after, const Shares &shares, bool in_doubt,
                bool any_back) {
    const Scheme &given = plan.scheme();
    hold(plan.builds().size() <= given.most_builds, "state is bounded");
    for (int build = 0; build < kBuilds; ++build) {
        const BuildName &name = kNames[build];
        bool whole = true;
        for (int cell = 0; cell < kCells; ++cell) whole = whole && after.at[build][cell] == kReleased;
        for (int cell = 0; cell < kCells; ++cell) {
            const int was = before.at[build][cell], is = after.at[build][cell];
            const bool forward = is > was;
            hold(is <= plan.told(name, cell) || !any_back, "never beyond what the desk told");
            hold(!(forward && after.frozen[build][cell]), "nothing moves forward while frozen");
            hold(!(forward && in_doubt), "no step forward on doubt");
            hold(!(plan.pulled(name) && is > 0), "a pulled build is out of every cell at once");
            hold(!(!plan.refusal(name).empty() && is > 0), "a refused build enters no cell");
            hold(after.share[build][cell] <= given.stages[is], "no share over the stage's");
            if (!whole) {
                hold(after.share[build][cell] <= given.zones[cell / 2].cap, "no share over the zone's cap");
                hold(after.share[build][cell] <= given.customers[cell % 2].cap,
                     "no share over the customer's cap");
            }
            if (forward && build == 2)
                hold(after.at[0][cell] >= 2, "a cell opens only where what it needs stands");
            if (forward && build == 3)
                hold(after.at[1][cell] >= is, "a match goes no further than what it needs");
            if (cell < 2 && name.service == given.service)
                hold(shares.of(name.number, cell) == after.share[build][cell],
                     "the module is told every share");
        }
    }
}

void play(const std::vector<Move> &history) {
    World world;
    auto plan = std::make_unique<Plan>(small());
    auto twin = std::make_unique<Plan>(small());
    Shares shares, twins;
    bool in_doubt = true;
    const auto both = [&](const auto &act) { act(*plan), act(*twin); };
    both([&](Plan &one) {
        one.clock(world.now);
        one.snapshot(snapshot_of(world.truth));
        one.linked(true);
    });
    for (const Move &move : history) {
        const Look before = look(*plan);
        bool restarted = false;
        // Words lost on the way, late ones and repeated ones, by the move's way.
        if (move.kind <= 8) {
            const std::optional<Notice> word = next_word(world, move);
            const bool lost = !world.up || move.way == 11;
            if (word && !lost) both([&](Plan &one) { one.notice(*word); });
            if (move.way == 10 && world.sent.size() > 2)
                both([&](Plan &one) { one.notice(world.sent[world.sent.size() - 3]); });
            if (word && move.way == 9) both([&](Plan &one) { one.notice(*word); });
        } else if (move.kind <= 11) {
            static constexpr Ticks kSpans[] = {1,     900,   1000,  9999,   10000, 20000,
                                               30000, 50000, 51000, 100000, 5000,  25};
            world.now += kSpans[move.way];
            both([&](Plan &one) { one.clock(world.now); });
        } else if (move.kind == 12) {
            both([&](Plan &one) {
                one.verdict(1 + move.cell % 2, static_cast<Verdict>(move.stage));
                one.seen(1 + move.cell % 2, move.cell);
                one.arrived(move.cell);
            });
        } else if (move.kind == 13) {
            world.up = move.way % 2 == 0;
            both([&](Plan &one) { one.linked(world.up); });
        } else if (move.kind == 14) {
            // The snapshot as asked for; or that of a desk that has forgotten its last words.
            const bool old = move.way < 3 && !world.past.empty();
            const Truth &from =
                old ? world.past[world.past.size() - std::min<std::size_t>(world.past.size(), 1 + move.way)]
                    : world.truth;
            both([&](Plan &one) { one.snapshot(snapshot_of(from)); });
        } else if (move.way < 4) {
            // The router starts again and has nothing but the snapshot.
            restarted = true;
            plan = std::make_unique<Plan>(small());
            twin = std::make_unique<Plan>(small());
            shares = twins = {};
            both([&](Plan &one) {
                one.clock(world.now);
                one.snapshot(snapshot_of(world.truth));
                one.linked(world.up);
            });
        }
        shares.take(*plan);
        twins.take(*twin);
        in_doubt = plan->wants_snapshot() || !world.up;
        const Look after = look(*plan);
        // A snapshot that ends the doubt moves cells within the same step.
        const bool settled_doubt = move.kind == 14 || move.kind == 13;
        if (!restarted) invariants(*plan, before, after, shares, in_doubt && !settled_doubt, true);
        hold(shares.rest == twins.rest && shares.cells == twins.cells,
             "the same history gives the same shares");
        std::vector<std::pair<int, int>> said, twin_said;
        while (const auto one = plan->next_opinion()) said.emplace_back(one->cell, one->stage);
        while (const auto one = twin->next_opinion()) twin_said.emplace_back(one->cell, one->stage);
        hold(said == twin_said, "the same history gives the same opinions");
        for (const auto &[cell, stage] : said) hold(cell < 0 || !in_doubt, "no opinion of a cell in doubt");
    }
    // Once faults end the view equals the truth, as far as needs allow.
    world.truth.freezes.clear();
    plan->linked(true);
    for (int i = 0; i < 2; ++i) {
        ++world.truth.rev;
        plan->snapshot(snapshot_of(world.truth));
        for (int step = 0; step < 40; ++step) plan->clock(world.now += 10000);
    }
    for (int build = 0; build < 2; ++build) // those that need nothing
        for (int cell = 0; cell < kCells; ++cell)
            hold(plan->stage(kNames[build], cell) == world.truth.builds[build].stages[cell],
                 "after the faults the view equals the truth");
    for (int cell = 0; cell < kCells; ++cell)
        if (plan->stage(kNames[0], cell) < 2)
            hold(plan->stage(kNames[2], cell) == 0, "a dependent ends where its need ends");
}

} // namespace

int main() {
    const bool held = rc::check("every invariant holds over random histories",
                                [] { play(*rc::gen::container<std::vector<Move>>(moves())); });
    return held ? 0 : 1;
}
