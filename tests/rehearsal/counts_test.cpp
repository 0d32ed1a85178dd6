// A second module beside the first: what it counts, and that nothing it decides leaves it.
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

std::string line(const Decision &d) {
    return std::to_string(static_cast<int>(d.action)) + " " + d.rpc + " " + d.host + " " +
           std::to_string(d.pick) + " " + std::to_string(d.duration) + " " + std::to_string(d.build) + " " +
           std::to_string(d.stage) + " " + std::to_string(static_cast<int>(d.verdict)) + " " + d.text;
}

// Four minutes' worth of one script: RPCs with keys, answers of every kind, a trial that moves on, drains.
// Its answers follow the decisions that the router gives out. All decisions as text.
std::vector<std::string> play(Router &router, const DeploymentConfig &terms) {
    std::vector<std::string> made;
    Pcg32 chance{.state = 11};
    std::vector<std::pair<std::string, int>> out;
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
        router.set_time(now += 20 + chance.draw() % 60);
        if (step == 500) router.update_rollout({2, 0, Phase::on_trial, false, true, 0.5, 0});
        if (step == 520) hosts(6, 9, 2, now);
        if (step == 2000) router.update_rollout({2, 1, Phase::on_trial, false, true, 1, 0});
        if (step == 3000) router.update_hosts({{"h0", 0, 0, 0, 1, HostStatus::draining, 1, 0}}, false);
        const std::string id = std::to_string(step) + "r";
        router.rpc_arrived({id, int(chance.draw() % terms.methods.size()), 0,
                            "k" + std::to_string(chance.draw() % 50), now + 9000, false});
        for (int i = chance.draw() % 3; i > 0 && !out.empty(); --i) {
            const auto [rpc, pick] = out[chance.draw() % out.size()];
            std::erase(out, std::pair{rpc, pick});
            const Outcome ends[] = {
                Outcome::ok,    Outcome::ok,        Outcome::ok,        Outcome::ok,
                Outcome::error, Outcome::host_busy, Outcome::timed_out, Outcome::connect_failed};
            router.pick_ended(rpc, pick, ends[chance.draw() % 8], 200, false, {});
        }
        for (Decision d = router.next_decision(); d.action != Action::none; d = router.next_decision()) {
            made.push_back(line(d));
            if (d.action == Action::pick) out.emplace_back(d.rpc, picks[d.rpc]++);
        }
    }
    return made;
}

DeploymentConfig shape() {
    DeploymentConfig given = terms(RepeatPolicy::idempotent);
    given.methods.push_back(given.methods[0]);
    given.methods[1].repeat_policy = RepeatPolicy::non_idempotent;
    return given;
}

// The decisions with a rehearsal of those other terms, its counts and what it holds at the end.
struct Played {
    std::vector<std::string> made;
    Differences seen;
    std::size_t under_way;
};
Played rehearsed(const DeploymentConfig &terms, const DeploymentConfig &other) {
    Rehearsal both(make_router(terms, 7), make_router(other, 7));
    std::vector<std::string> made = play(both, terms);
    return {std::move(made), both.differences(), both.under_way()};
}

void the_same_terms_differ_in_nothing() {
    const DeploymentConfig given = shape();
    const auto alone = make_router(given, 7);
    const Played with = rehearsed(given, given);
    assert(with.made == play(*alone, given));
    Differences none;
    none.rpcs = with.seen.rpcs;
    assert(with.seen == none && none.rpcs > 1000);
}

// Other terms never show in a decision, and count under their kind.
void other_terms_count_and_change_nothing() {
    const DeploymentConfig given = shape();
    const auto alone = make_router(given, 7);
    const std::vector<std::string> before = play(*alone, given);

    DeploymentConfig crowd = given;
    crowd.max_open_picks = 1; // one pick fills half of it
    Played with = rehearsed(given, crowd);
    assert(with.made == before);
    assert(with.seen.push_backs > with.seen.rpcs / 2 && with.seen.votes_back == 0);

    DeploymentConfig single = given;
    single.second_copies = false;
    with = rehearsed(given, single);
    assert(with.made == before && with.seen.copies > 0);

    DeploymentConfig closed = given;
    closed.rollout.guarded_stages = 2; // no real RPC of a method with an effect goes to the trial
    with = rehearsed(given, closed);
    assert(with.made == before && with.seen.builds > 0);
}

// A stage is compared once it has passed: the clean build is voted on by one alone where a timer moves the
// other.
void votes_of_one_alone_count() {
    DeploymentConfig given = trial_terms(), timed = given;
    timed.rollout.advance_policy = AdvancePolicy::timer;
    Bench bench(given);
    auto both = std::make_unique<Rehearsal>(make_router(given, 7), make_router(timed, 7));
    const Rehearsal &counts = *both;
    bench.router = std::move(both);
    bench.router->set_time(0);
    bench.trial_with(40, 0);
    const auto votes = bench.pull(Action::vote);
    assert(votes.size() == 1 && votes[0].verdict == Verdict::advance);
    assert(counts.differences().votes_on == 0);
    bench.news(2, 1, Phase::on_trial, 1);
    assert(counts.differences().votes_on == 1 && counts.differences().votes_back == 0);
}

// What names an unknown RPC or pick changes neither module, and nothing is held of what is over.
void odd_ends_change_nothing() {
    const DeploymentConfig given = shape();
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
    assert(both.under_way() == 1 && both.differences().rpcs == 1); // its pick is out
    both.pick_ended("r", 0, Outcome::cancelled, 10, true, {});
    while (both.next_decision().action != Action::none) {
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
