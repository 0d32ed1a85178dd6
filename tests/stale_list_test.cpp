// Tests of the decision module after the lease of the host list has expired: how it answers RPCs, to which
// hosts it sends picks while discovery is presumed to be unavailable, and when it requests the list again.
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>
#include <limits>

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr Ticks kNoOutage = std::numeric_limits<Ticks>::min(); // an outage_until that presumes no outage
constexpr int kRpcs = 60;

// A router with two hosts of each of two builds. The newer build is in this phase and, of two, this stage.
DecisionFixture two_builds(Phase newer_build_phase, int stage = 1) {
    DecisionFixture fixture(deployment_config(RepeatPolicy::non_idempotent));
    for (const char *id : {"old-1", "old-2"}) fixture.add_host(id, 1);
    for (const char *id : {"new-1", "new-2"}) fixture.add_host(id, 2);
    fixture.update_rollout(2, stage, newer_build_phase, 1);
    fixture.set_time(1000);
    fixture.take_decisions();
    return fixture;
}

// Sends RPCs one after another; each pick succeeds. Returns the hosts of the picks, in order.
std::vector<std::string> hosts_serving_rpcs(DecisionFixture &fixture) {
    std::vector<std::string> hosts;
    for (int i = 0; i < kRpcs; ++i) {
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

bool all_have_prefix(const std::vector<std::string> &hosts, const std::string &prefix) {
    return std::all_of(hosts.begin(), hosts.end(),
                       [&](const std::string &host) { return host.rfind(prefix, 0) == 0; });
}

// After the lease has expired an RPC is pushed back at once. With a new lease RPCs are served again.
void expired_lease_pushes_back_at_once() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, kNoOutage);
    fixture.send_rpc("held", fixture.now + 9000);
    assert(fixture.take_decisions(Action::pick).size() == 1);
    fixture.set_time(fixture.now + 1);
    fixture.send_rpc("over", fixture.now + 9000);
    const std::vector<Decision> decisions = fixture.take_decisions();
    assert(count(decisions, Action::pick) == 0 && count(decisions, Action::push_back) == 1);
    fixture.router->set_host_list_lease(fixture.now + 60000, kNoOutage);
    assert(hosts_serving_rpcs(fixture).size() == kRpcs);
}

// In an outage picks go to the hosts of the released build, and not to those of the build that it replaces.
void outage_uses_hosts_of_the_released_build() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 60000);
    fixture.set_time(fixture.now + 1000);
    const std::vector<std::string> hosts = hosts_serving_rpcs(fixture);
    assert(hosts.size() == kRpcs && all_have_prefix(hosts, "new"));
    // Once these drain, the other hosts serve RPCs under a lease, and no host does in an outage.
    for (const char *id : {"new-1", "new-2"})
        fixture.router->update_hosts({{id, 0, 0, 0, 2, HostStatus::draining, 1, 0}}, false);
    assert(hosts_serving_rpcs(fixture).empty());
    fixture.router->set_host_list_lease(fixture.now + 60000, kNoOutage);
    assert(hosts_serving_rpcs(fixture).size() == kRpcs);
}

// In an outage while a build is on trial, or called back from a stage in which it cannot have been released,
// picks go to the hosts of the build before it.
void outage_uses_hosts_of_the_build_before_the_trial() {
    for (const Phase phase : {Phase::on_trial, Phase::rolling_back, Phase::withdrawn}) {
        DecisionFixture fixture = two_builds(phase, 0);
        fixture.router->set_host_list_lease(fixture.now, fixture.now + 60000);
        fixture.set_time(fixture.now + 1000);
        const std::vector<std::string> hosts = hosts_serving_rpcs(fixture);
        assert(hosts.size() == kRpcs && all_have_prefix(hosts, "old"));
    }
}

// Guards against the failure of review/6: a build is released and called back in an outage. The release
// drained the hosts of the build before it, so that neither build has a host for RPCs, which are pushed back
// at once. A list received after that shows which hosts are left.
void outage_after_a_release_that_was_called_back_uses_no_host() {
    DecisionFixture fixture = two_builds(Phase::on_trial);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 600000);
    fixture.update_rollout(2, 1, Phase::released, 1);
    fixture.set_time(fixture.now + 1000);
    assert(all_have_prefix(hosts_serving_rpcs(fixture), "new"));
    fixture.update_rollout(2, 1, Phase::rolling_back, 0);
    fixture.set_time(fixture.now + 1000);
    fixture.send_rpc("last", fixture.now + 9000);
    const std::vector<Decision> decisions = fixture.take_decisions();
    assert(count(decisions, Action::pick) == 0 && count(decisions, Action::push_back) == 1);
    fixture.router->update_hosts({{"old-1", 0, 0, 0, 1, HostStatus::draining, 1, 0}}, false);
    fixture.update_rollout(2, 1, Phase::rolling_back, 0); // the same again, as the platform repeats it
    const std::vector<std::string> hosts = hosts_serving_rpcs(fixture);
    assert(hosts.size() == kRpcs && all_have_prefix(hosts, "old-2"));
}

// The update that told of the release was missed: a build called back from its last stage may have had one.
void outage_after_a_call_back_from_the_last_stage_uses_no_host() {
    DecisionFixture fixture = two_builds(Phase::on_trial);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 600000);
    fixture.update_rollout(2, 1, Phase::rolling_back, 0);
    fixture.set_time(fixture.now + 1000);
    assert(hosts_serving_rpcs(fixture).empty());
}

// Where new hosts replace the earlier ones one by one, each stage drains some, so that none is known to stay.
void outage_in_a_trial_that_replaces_hosts_uses_no_host() {
    DeploymentConfig config = deployment_config(RepeatPolicy::non_idempotent);
    config.rollout.replaces_hosts = true;
    DecisionFixture fixture(config);
    fixture.add_host("old-1", 1);
    fixture.add_host("new-1", 2);
    fixture.update_rollout(2, 0, Phase::on_trial, 1);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 600000);
    fixture.set_time(fixture.now + 1000);
    assert(hosts_serving_rpcs(fixture).empty());
    fixture.update_rollout(2, 1, Phase::released, 1);
    const std::vector<std::string> hosts = hosts_serving_rpcs(fixture);
    assert(hosts.size() == kRpcs && all_have_prefix(hosts, "new"));
}

// A host that failed a pick in an outage may have shut down, so it gets no picks until the next host list.
void host_that_fails_in_an_outage_is_avoided() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 600000);
    fixture.set_time(fixture.now + 1000);
    fixture.send_rpc("fails", fixture.now + 9000);
    const std::string failed_host = fixture.take_decisions(Action::pick).at(0).host;
    fixture.end_pick("fails", 0, Outcome::connection_lost, true);
    for (const std::string &host : hosts_serving_rpcs(fixture))
        assert(host != failed_host && host.rfind("new", 0) == 0);
}

// After the presumed end of the outage no picks are sent.
void no_picks_after_the_presumed_outage() {
    DecisionFixture fixture = two_builds(Phase::released);
    fixture.router->set_host_list_lease(fixture.now, fixture.now + 1000);
    fixture.set_time(fixture.now + 1001);
    assert(hosts_serving_rpcs(fixture).empty());
}

// Lets a request for the host list fail. Returns the time until the router's next request, in ticks.
Ticks time_to_next_request(DecisionFixture &fixture, Ticks lease_left) {
    fixture.take_decisions();
    fixture.router->host_list_failed(lease_left);
    const Ticks failed_at = fixture.now;
    while (fixture.take_decisions(Action::request_host_list).empty()) fixture.set_time(fixture.now + 100);
    return fixture.now - failed_at;
}

// In a fleet of 300 the time to the next request is bounded by the remaining lease. Without a lease it is
// spread more widely, and grows after several failures.
void remaining_lease_bounds_the_time_to_the_next_request() {
    DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    config.instances = 300;
    config.requests_host_list = true;
    Ticks longest_under_lease = 0;
    Ticks longest_without_lease = 0;
    Ticks longest_after_failures = 0;
    for (int ordinal = 0; ordinal < 40; ++ordinal) {
        DecisionFixture fixture(config);
        fixture.router = make_router(config, 100 + ordinal);
        fixture.set_time(1);
        while (fixture.take_decisions(Action::request_host_list).empty()) fixture.set_time(fixture.now + 100);
        const Ticks under_lease = time_to_next_request(fixture, 35000);
        const Ticks without_lease = time_to_next_request(fixture, -1);
        assert(under_lease >= 8000 && under_lease <= 35000 - 10000);
        assert(without_lease >= 8000);
        longest_under_lease = std::max(longest_under_lease, under_lease);
        longest_without_lease = std::max(longest_without_lease, without_lease);
        for (int i = 0; i < 6; ++i)
            longest_after_failures = std::max(longest_after_failures, time_to_next_request(fixture, -1));
    }
    assert(longest_under_lease < longest_without_lease && longest_without_lease <= 61000 &&
           longest_after_failures > longest_without_lease);
}

} // namespace

int main() {
    expired_lease_pushes_back_at_once();
    outage_uses_hosts_of_the_released_build();
    outage_uses_hosts_of_the_build_before_the_trial();
    outage_after_a_release_that_was_called_back_uses_no_host();
    outage_after_a_call_back_from_the_last_stage_uses_no_host();
    outage_in_a_trial_that_replaces_hosts_uses_no_host();
    host_that_fails_in_an_outage_is_avoided();
    no_picks_after_the_presumed_outage();
    remaining_lease_bounds_the_time_to_the_next_request();
}
