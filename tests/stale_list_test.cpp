// The module with a list whose lease is over: what it answers, which hosts it still sends to while discovery
// is presumed to be down, and when it asks again.
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>
#include <limits>

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr Ticks kNever = std::numeric_limits<Ticks>::min(); // no outage is presumed
constexpr int kPicks = 60;

// Hosts of two builds, each with enough for a pick to go to either.
Bench two_builds(Phase phase_of_newer) {
    Bench bench(terms(RepeatPolicy::non_idempotent));
    for (const char *id : {"old-1", "old-2"}) bench.host(id, 1);
    for (const char *id : {"new-1", "new-2"}) bench.host(id, 2);
    bench.news(2, 1, phase_of_newer, 1);
    bench.at(1000);
    bench.pull();
    return bench;
}

// RPCs one after another, each served by the host it was sent to; the hosts, in order.
std::vector<std::string> served_by(Bench &bench) {
    std::vector<std::string> hosts;
    for (int i = 0; i < kPicks; ++i) {
        bench.at(bench.clock + 20);
        const std::string id = std::to_string(bench.next++) + "r";
        bench.arrive(id, bench.clock + 9000);
        for (const Decision &pick : bench.pull(Action::pick)) {
            hosts.push_back(pick.host);
            bench.end(id, pick.pick, Outcome::ok, true);
        }
    }
    return hosts;
}

bool all_begin_with(const std::vector<std::string> &hosts, const std::string &start) {
    return std::all_of(hosts.begin(), hosts.end(),
                       [&](const std::string &host) { return host.rfind(start, 0) == 0; });
}

// Past the lease an RPC is pushed back in the turn in which it came; a new lease has it served again.
void past_the_lease_all_are_pushed_back_at_once() {
    Bench bench = two_builds(Phase::released);
    bench.router->set_host_list_lease(bench.clock, kNever);
    bench.arrive("held", bench.clock + 9000);
    assert(bench.pull(Action::pick).size() == 1);
    bench.at(bench.clock + 1);
    bench.arrive("over", bench.clock + 9000);
    const std::vector<Decision> made = bench.pull();
    assert(count(made, Action::pick) == 0 && count(made, Action::push_back) == 1);
    bench.router->set_host_list_lease(bench.clock + 60000, kNever);
    assert(served_by(bench).size() == kPicks);
}

// In an outage the hosts of the released build go on, and not those of the one before, which is going.
void an_outage_leaves_the_released_builds_hosts() {
    Bench bench = two_builds(Phase::released);
    bench.router->set_host_list_lease(bench.clock, bench.clock + 60000);
    bench.at(bench.clock + 1000);
    const std::vector<std::string> hosts = served_by(bench);
    assert(hosts.size() == kPicks && all_begin_with(hosts, "new"));
    // Where none of them is left the others serve under a lease, and in an outage nobody does.
    for (const char *id : {"new-1", "new-2"})
        bench.router->update_hosts({{id, 0, 0, 0, 2, HostStatus::draining, 1, 0}}, false);
    assert(served_by(bench).empty());
    bench.router->set_host_list_lease(bench.clock + 60000, kNever);
    assert(served_by(bench).size() == kPicks);
}

// While a build is on trial, or was withdrawn, those of the build before it go on, and not the trial's.
void an_outage_leaves_the_hosts_before_the_trial() {
    for (const Phase phase : {Phase::on_trial, Phase::rolling_back, Phase::withdrawn}) {
        Bench bench = two_builds(phase);
        bench.router->set_host_list_lease(bench.clock, bench.clock + 60000);
        bench.at(bench.clock + 1000);
        const std::vector<std::string> hosts = served_by(bench);
        assert(hosts.size() == kPicks && all_begin_with(hosts, "old"));
    }
}

// A host that failed a pick in an outage may have gone: it gets no further one until a list has come.
void a_host_that_fails_in_an_outage_is_left() {
    Bench bench = two_builds(Phase::released);
    bench.router->set_host_list_lease(bench.clock, bench.clock + 600000);
    bench.at(bench.clock + 1000);
    bench.arrive("fails", bench.clock + 9000);
    const std::string failed = bench.pull(Action::pick).at(0).host;
    bench.end("fails", 0, Outcome::connection_lost, true);
    for (const std::string &host : served_by(bench)) assert(host != failed && host.rfind("new", 0) == 0);
}

// Past the outage's presumed end nothing is sent either.
void an_outage_ends_with_its_presumption() {
    Bench bench = two_builds(Phase::released);
    bench.router->set_host_list_lease(bench.clock, bench.clock + 1000);
    bench.at(bench.clock + 1001);
    assert(served_by(bench).empty());
}

// When a router of three hundred asks again after a failed call, in ticks.
Ticks asked_after(Bench &bench, Ticks lease_left) {
    bench.pull();
    bench.router->host_list_failed(lease_left);
    const Ticks failed = bench.clock;
    while (bench.pull(Action::request_host_list).empty()) bench.at(bench.clock + 100);
    return bench.clock - failed;
}

// What is left of a lease bounds the wait; without one it is spread widely, and grows after several failures.
void the_next_call_comes_by_what_is_left_of_the_lease() {
    DeploymentConfig given = terms(RepeatPolicy::idempotent);
    given.instances = 300;
    given.requests_host_list = true;
    Ticks longest_held = 0, longest_over = 0, longest_late = 0;
    for (int router = 0; router < 40; ++router) {
        Bench bench(given);
        bench.router = make_router(given, 100 + router);
        bench.at(1);
        while (bench.pull(Action::request_host_list).empty()) bench.at(bench.clock + 100);
        const Ticks held = asked_after(bench, 35000), over = asked_after(bench, -1);
        assert(held >= 8000 && held <= 35000 - 10000);
        assert(over >= 8000);
        longest_held = std::max(longest_held, held);
        longest_over = std::max(longest_over, over);
        for (int i = 0; i < 6; ++i) longest_late = std::max(longest_late, asked_after(bench, -1));
    }
    assert(longest_held < longest_over && longest_over <= 61000 && longest_late > longest_over);
}

} // namespace

int main() {
    past_the_lease_all_are_pushed_back_at_once();
    an_outage_leaves_the_released_builds_hosts();
    an_outage_leaves_the_hosts_before_the_trial();
    a_host_that_fails_in_an_outage_is_left();
    an_outage_ends_with_its_presumption();
    the_next_call_comes_by_what_is_left_of_the_lease();
}
