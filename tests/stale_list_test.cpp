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
DecisionFixture two_builds(Phase phase_of_newer) {
    DecisionFixture fixture(deployment_config(RepeatPolicy::non_idempotent));
    for (const char *id : {"old-1", "old-2"}) fixture.add_host(id, 1);
    for (const char *id : {"new-1", "new-2"}) fixture.add_host(id, 2);
    fixture.update_rollout(2, 1, phase_of_newer, 1);
    fixture.set_time(1000);
    fixture.take_decisions();
    return fixture;
}

// RPCs one after another, each served by the host it was sent to; the hosts, in order.
std::vector<std::string> served_by(DecisionFixture &fixture) {
    std::vector<std::string> hosts;
    for (int i = 0; i < kPicks; ++i) {
        fixture.set_time(fixture.now + 20);
        const std::string id = std::to_string(fixture.next_id++) + "r";
        fixture.send_rpc(id, fixture.now + 9000);
        for (const Decision &pick : fixture.take_decisions(Action::pick)) {
            hosts.push_back(pick.host);
            fixture.end_pick(id, pick.pick, Outcome::ok, true);
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
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, kNever);
    fixture.send_rpc("held", fixture.now + 9000);
    assert(fixture.take_decisions(Action::pick).size() == 1);
    fixture.set_time(fixture.now + 1);
    fixture.send_rpc("over", fixture.now + 9000);
    const std::vector<Decision> made = fixture.take_decisions();
    assert(count(made, Action::pick) == 0 && count(made, Action::push_back) == 1);
    fixture.router->set_host_list_lease(fixture.now + 60000, kNever);
    assert(served_by(fixture).size() == kPicks);
}

// In an outage the hosts of the released build go on, and not those of the one before, which is going.
void an_outage_leaves_the_released_builds_hosts() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 60000);
    fixture.set_time(fixture.now + 1000);
    const std::vector<std::string> hosts = served_by(fixture);
    assert(hosts.size() == kPicks && all_begin_with(hosts, "new"));
    // Where none of them is left the others serve under a lease, and in an outage nobody does.
    for (const char *id : {"new-1", "new-2"})
        fixture.router->update_hosts({{id, 0, 0, 0, 2, HostStatus::draining, 1, 0}}, false);
    assert(served_by(fixture).empty());
    fixture.router->set_host_list_lease(fixture.now + 60000, kNever);
    assert(served_by(fixture).size() == kPicks);
}

// While a build is on trial, or was withdrawn, those of the build before it go on, and not the trial's.
void an_outage_leaves_the_hosts_before_the_trial() {
    for (const Phase phase : {Phase::on_trial, Phase::rolling_back, Phase::withdrawn}) {
        DecisionFixture fixture = two_builds(phase);
        fixture.router->set_host_list_lease(fixture.now, fixture.now + 60000);
        fixture.set_time(fixture.now + 1000);
        const std::vector<std::string> hosts = served_by(fixture);
        assert(hosts.size() == kPicks && all_begin_with(hosts, "old"));
    }
}

// A host that failed a pick in an outage may have gone: it gets no further one until a list has come.
void a_host_that_fails_in_an_outage_is_left() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 600000);
    fixture.set_time(fixture.now + 1000);
    fixture.send_rpc("fails", fixture.now + 9000);
    const std::string failed = fixture.take_decisions(Action::pick).at(0).host;
    fixture.end_pick("fails", 0, Outcome::connection_lost, true);
    for (const std::string &host : served_by(fixture)) assert(host != failed && host.rfind("new", 0) == 0);
}

// Past the outage's presumed end nothing is sent either.
void an_outage_ends_with_its_presumption() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 1000);
    fixture.set_time(fixture.now + 1001);
    assert(served_by(fixture).empty());
}

// When a router of three hundred asks again after a failed call, in ticks.
Ticks asked_after(DecisionFixture &fixture, Ticks lease_left) {
    fixture.take_decisions();
    fixture.router->host_list_failed(lease_left);
    const Ticks failed = fixture.now;
    while (fixture.take_decisions(Action::request_host_list).empty()) fixture.set_time(fixture.now + 100);
    return fixture.now - failed;
}

// What is left of a lease bounds the wait; without one it is spread widely, and grows after several failures.
void the_next_call_comes_by_what_is_left_of_the_lease() {
    DeploymentConfig given = deployment_config(RepeatPolicy::idempotent);
    given.instances = 300;
    given.requests_host_list = true;
    Ticks longest_held = 0, longest_over = 0, longest_late = 0;
    for (int router = 0; router < 40; ++router) {
        DecisionFixture fixture(given);
        fixture.router = make_router(given, 100 + router);
        fixture.set_time(1);
        while (fixture.take_decisions(Action::request_host_list).empty()) fixture.set_time(fixture.now + 100);
        const Ticks held = asked_after(fixture, 35000), over = asked_after(fixture, -1);
        assert(held >= 8000 && held <= 35000 - 10000);
        assert(over >= 8000);
        longest_held = std::max(longest_held, held);
        longest_over = std::max(longest_over, over);
        for (int i = 0; i < 6; ++i) longest_late = std::max(longest_late, asked_after(fixture, -1));
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
