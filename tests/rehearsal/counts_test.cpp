// A second module beside the first: what it counts, and that nothing it decides leaves it.
#undef NDEBUG
#include "../helpers.hpp"
#include "chance.hpp"
#include "rehearsal/rehearsal.hpp"

#include <cassert>
#include <map>

using namespace pineridge;
using namespace pineridge::test;
using rehearsal::Differences;
using rehearsal::Rehearsal;

namespace {

std::string line(const Decision &d) {
    return std::to_string(static_cast<int>(d.act)) + " " + d.rpc + " " + d.host + " " +
           std::to_string(d.pick) + " " + std::to_string(d.span) + " " + std::to_string(d.build) + " " +
           std::to_string(d.stage) + " " + std::to_string(static_cast<int>(d.verdict)) + " " + d.text;
}

// Four minutes' worth of one script: RPCs with keys, answers of every kind, a trial that moves on, drains.
// Its answers follow the decisions that the router gives out. All decisions as text.
std::vector<std::string> play(Router &router, const Terms &terms) {
    std::vector<std::string> made;
    Pcg chance{.state = 11};
    std::vector<std::pair<std::string, int>> out;
    std::map<std::string, int> picks;
    const auto hosts = [&](int from, int to, int build, Ticks started) {
        for (int i = from; i < to; ++i)
            router.list({{"h" + std::to_string(i), 0, 0, i % 3, build, Standing::ready, 1, started}}, false);
    };
    Ticks now = 1000;
    router.clock(now);
    hosts(0, 6, 1, 0);
    router.news({1, 1, Phase::released, false, true, 1, 0});
    for (int step = 0; step < 4000; ++step) {
        router.clock(now += 20 + chance.draw() % 60);
        if (step == 500) router.news({2, 0, Phase::on_trial, false, true, 0.5, 0});
        if (step == 520) hosts(6, 9, 2, now);
        if (step == 2000) router.news({2, 1, Phase::on_trial, false, true, 1, 0});
        if (step == 3000) router.list({{"h0", 0, 0, 0, 1, Standing::draining, 1, 0}}, false);
        const std::string id = std::to_string(step) + "r";
        router.arrived({id, int(chance.draw() % terms.methods.size()), 0,
                        "k" + std::to_string(chance.draw() % 50), now + 9000, false});
        for (int i = chance.draw() % 3; i > 0 && !out.empty(); --i) {
            const auto [rpc, pick] = out[chance.draw() % out.size()];
            std::erase(out, std::pair{rpc, pick});
            const Outcome ends[] = {Outcome::ok,    Outcome::ok,      Outcome::ok,       Outcome::ok,
                                    Outcome::fault, Outcome::no_room, Outcome::too_slow, Outcome::no_route};
            router.ended(rpc, pick, ends[chance.draw() % 8], 200, false, {});
        }
        for (Decision d = router.next(); d.act != Act::none; d = router.next()) {
            made.push_back(line(d));
            if (d.act == Act::pick) out.emplace_back(d.rpc, picks[d.rpc]++);
        }
    }
    return made;
}

Terms shape() {
    Terms given = terms(Repeat::idempotent);
    given.methods.push_back(given.methods[0]);
    given.methods[1].repeat = Repeat::non_idempotent;
    return given;
}

// The decisions with a rehearsal of those other terms, its counts and what it holds at the end.
struct Played {
    std::vector<std::string> made;
    Differences seen;
    std::size_t under_way;
};
Played rehearsed(const Terms &terms, const Terms &other) {
    Rehearsal both(make_router(terms, 7), make_router(other, 7));
    std::vector<std::string> made = play(both, terms);
    return {std::move(made), both.differences(), both.under_way()};
}

void the_same_terms_differ_in_nothing() {
    const Terms given = shape();
    const auto alone = make_router(given, 7);
    const Played with = rehearsed(given, given);
    assert(with.made == play(*alone, given));
    Differences none;
    none.rpcs = with.seen.rpcs;
    assert(with.seen == none && none.rpcs > 1000);
}

// Other terms never show in a decision, and count under their kind.
void other_terms_count_and_change_nothing() {
    const Terms given = shape();
    const auto alone = make_router(given, 7);
    const std::vector<std::string> before = play(*alone, given);

    Terms crowd = given;
    crowd.room = 1; // one pick fills half of it
    Played with = rehearsed(given, crowd);
    assert(with.made == before);
    assert(with.seen.push_backs > with.seen.rpcs / 2 && with.seen.votes_back == 0);

    Terms single = given;
    single.second_copies = false;
    with = rehearsed(given, single);
    assert(with.made == before && with.seen.copies > 0);

    Terms closed = given;
    closed.rollout.guarded_stages = 2; // no real RPC of a method with an effect goes to the trial
    with = rehearsed(given, closed);
    assert(with.made == before && with.seen.builds > 0);
}

// A stage is compared once it has passed: the clean build is voted on by one alone where a timer moves the
// other.
void votes_of_one_alone_count() {
    Terms given = trial_terms(), timed = given;
    timed.rollout.advance = Advance::timer;
    Bench bench(given);
    auto both = std::make_unique<Rehearsal>(make_router(given, 7), make_router(timed, 7));
    const Rehearsal &counts = *both;
    bench.router = std::move(both);
    bench.router->clock(0);
    bench.trial_with(40, 0);
    const auto votes = bench.pull(Act::vote);
    assert(votes.size() == 1 && votes[0].verdict == Verdict::on);
    assert(counts.differences().votes_on == 0);
    bench.news(2, 1, Phase::on_trial, 1);
    assert(counts.differences().votes_on == 1 && counts.differences().votes_back == 0);
}

// What names an unknown RPC or pick changes neither module, and nothing is held of what is over.
void odd_ends_change_nothing() {
    const Terms given = shape();
    Rehearsal both(make_router(given, 7), make_router(given, 7));
    both.clock(0);
    both.list({{"a", 0, 0, 0, 1, Standing::ready, 1, 0}}, false);
    both.arrived({"r", 0, 0, "k", 5000, false});
    while (both.next().act != Act::none) {
    }
    both.ended("r", 7, Outcome::ok, 10, false, {});
    both.ended("r", -1, Outcome::ok, 10, false, {});
    both.ended("nobody", 0, Outcome::ok, 10, true, {});
    both.finished("nobody", -1);
    both.finished("r", -1);
    both.finished("r", -1);
    while (both.next().act != Act::none) {
    }
    assert(both.under_way() == 1 && both.differences().rpcs == 1); // its pick is out
    both.ended("r", 0, Outcome::undone, 10, true, {});
    while (both.next().act != Act::none) {
    }
    assert(both.under_way() == 0 && both.differences().rpcs == 1);
}

} // namespace

int main() {
    the_same_terms_differ_in_nothing();
    other_terms_count_and_change_nothing();
    votes_of_one_alone_count();
    odd_ends_change_nothing();
}
