// Tests of the decision module for fleets of many routers with little traffic each, with platform stats from
// a small sample or none, summaries exchanged between routers, and sticky keys. Each test guards against one
// failure that occurred in such a deployment.
#undef NDEBUG
#include "helpers.hpp"

#include "state.hpp"

#include <cassert>
#include <cmath>
#include <map>
#include <set>

using namespace pineridge;
using namespace pineridge::test;

namespace {

DeploymentConfig large_fleet_config(int instances = 100, std::size_t methods = 2) {
    DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    config.instances = instances;
    config.methods.assign(methods, config.methods[0]);
    config.rollout.flag_share = 0;
    config.rollout.stage_shares = {0.05, 0.2, 0.5, 1};
    config.rollout.stage_caps = {0.07, 0.28, 0.7, 1};
    return config;
}

// Returns whether the router now votes to roll the build on trial back.
bool votes_to_roll_back(DecisionFixture &fixture) {
    bool voted_to_roll_back = false;
    for (const Decision &vote : fixture.take_decisions(Action::vote))
        voted_to_roll_back = voted_to_roll_back || vote.verdict == Verdict::roll_back;
    return voted_to_roll_back;
}

struct StatsRow {
    int build;
    int method;
    int picks;
    int failed;
    double latency = 0.1; // mean, in seconds
};

// Passes the platform stats of one period of two seconds to the router.
void report_period(DecisionFixture &fixture, const std::vector<StatsRow> &rows) {
    fixture.set_time(fixture.now + 20000);
    for (const StatsRow &row : rows)
        fixture.router->add_platform_stats({row.build, row.method, row.picks, row.failed, 0, row.latency});
}

// A router with eight hosts of the released build 1 and eight of build 2, which is on trial in this stage.
DecisionFixture fixture_on_trial(const DeploymentConfig &config, int stage = 1) {
    DecisionFixture fixture(config);
    for (int i = 0; i < 8; ++i) {
        fixture.add_host("o" + std::to_string(i), 1);
        fixture.add_host("n" + std::to_string(i), 2);
    }
    fixture.update_rollout(1, 3, Phase::released, 1);
    fixture.set_time(1000);
    report_period(fixture, {{1, 0, 50, 0}, {1, 1, 50, 0}});
    fixture.update_rollout(2, 0, Phase::on_trial, config.rollout.stage_caps[0]);
    report_period(fixture, {{1, 0, 50, 0}, {1, 1, 50, 0}});
    fixture.update_rollout(2, stage, Phase::on_trial, config.rollout.stage_caps[stage]);
    return fixture;
}

// Platform stats report three picks of a rare method, all failed, while the other method's succeed. That is
// due to the build. As many failures of the frequent method may be due to its hosts, and are too few for any
// router of a large fleet to vote to roll back.
void failures_of_one_rare_method_roll_back() {
    for (const bool rare_method_fails : {true, false}) {
        DecisionFixture fixture = fixture_on_trial(large_fleet_config());
        report_period(fixture, {{1, 0, 50, 0},
                                {1, 1, 10, 0},
                                {2, 0, 12, rare_method_fails ? 0 : 3},
                                {2, 1, 3, rare_method_fails ? 3 : 0}});
        fixture.set_time(fixture.now + 1000);
        assert(votes_to_roll_back(fixture) == rare_method_fails);
    }
}

// A method that fails as often at the earlier build, for instance as it times out at every host, does not
// roll the build back.
void method_failing_at_both_builds_does_not_roll_back() {
    DecisionFixture fixture = fixture_on_trial(large_fleet_config());
    report_period(fixture, {{1, 0, 50, 0}, {1, 1, 20, 18}, {2, 0, 12, 0}, {2, 1, 4, 4}});
    fixture.set_time(fixture.now + 1000);
    assert(!votes_to_roll_back(fixture));
}

// In the last stage the earlier build has no traffic to compare failures with, and hosts in trouble may cause
// a few of them.
void failures_without_baseline_need_a_larger_share() {
    for (const int failed : {9, 40}) {
        DecisionFixture fixture = fixture_on_trial(large_fleet_config(), 3);
        report_period(fixture, {{1, 0, 50, 0}, {1, 1, 50, 0}, {2, 0, 6, 0}, {2, 1, 7, 0}});
        for (int i = 0; i < 2; ++i)
            report_period(fixture, {{1, 0, 5, 0}, {2, 0, 50, failed / 2}, {2, 1, 50, failed / 2}});
        fixture.set_time(fixture.now + 1000);
        assert(votes_to_roll_back(fixture) == (failed == 40));
    }
}

// A good build in the last stage was rolled back because its latency was compared with that of earlier hosts,
// which are nearly idle by then. It occurred on muscat-league, big-2, once keys stayed with a build from the
// moment they were sent there: slow picks at the trial were no longer cancelled in favour of faster ones at
// the earlier hosts, and all routers voted "back for tallied latency: 5 of 100, 2.69". In a middle stage,
// with fewer trial hosts beside as many earlier hosts, the same latencies still roll the build back.
void idle_earlier_hosts_are_no_latency_baseline() {
    for (const bool earlier_hosts_idle : {true, false}) {
        DecisionFixture fixture(large_fleet_config());
        for (int i = 0; i < 8; ++i) fixture.add_host("o" + std::to_string(i), 1);
        for (int i = 0; i < (earlier_hosts_idle ? 8 : 3); ++i) fixture.add_host("n" + std::to_string(i), 2);
        fixture.update_rollout(1, 3, Phase::released, 1);
        fixture.set_time(1000);
        report_period(fixture, {{1, 0, 200, 0}, {1, 1, 200, 0}});
        fixture.update_rollout(2, earlier_hosts_idle ? 3 : 2, Phase::on_trial, 1);
        report_period(fixture, {{1, 0, 200, 0}, {1, 1, 200, 0}, {2, 0, 200, 0, 0.27}, {2, 1, 200, 0, 0.27}});
        fixture.set_time(fixture.now + 1000);
        assert(votes_to_roll_back(fixture) != earlier_hosts_idle);
    }
}

// All picks are three times as slow since the trial carries much of the traffic. Without more traffic the
// build slows all hosts and is rolled back. It is not if the growth of traffic explains the rise, or if
// latencies were as high before the trial had traffic.
void unexplained_rise_of_all_latencies_rolls_back() {
    enum { slowed, busier, slow_before };
    for (const int cause : {slowed, busier, slow_before}) {
        const double early_latency = cause == slow_before ? 0.3 : 0.1;
        const int picks = cause == busier ? 200 : 33;
        DecisionFixture fixture(large_fleet_config());
        for (int i = 0; i < 8; ++i) {
            fixture.add_host("o" + std::to_string(i), 1);
            fixture.add_host("n" + std::to_string(i), 2);
        }
        fixture.update_rollout(1, 3, Phase::released, 1);
        fixture.set_time(1000);
        report_period(fixture, {{1, 0, 50, 0}, {1, 1, 50, 0}});
        fixture.update_rollout(2, 0, Phase::on_trial, 0.07);
        for (int i = 0; i < 2; ++i) {
            report_period(fixture, {{1, 0, 50, 0, early_latency}, {1, 1, 50, 0, early_latency}});
            fixture.set_time(fixture.now + 1000);
            fixture.take_decisions();
        }
        fixture.update_rollout(2, 2, Phase::on_trial, 0.7);
        bool voted_to_roll_back = false;
        for (int i = 0; i < 3; ++i) {
            report_period(fixture, {{1, 0, picks, 0, 0.3}, {1, 1, picks, 0, 0.3}, {2, 0, picks, 0, 0.3}});
            for (int step = 0; step < 12; ++step) {
                fixture.set_time(fixture.now + 1000);
                voted_to_roll_back = votes_to_roll_back(fixture) || voted_to_roll_back;
            }
        }
        assert(voted_to_roll_back == (cause == slowed));
    }
}

// A host of which this router has only one outcome, slow or failed, does not count as in trouble.
void hosts_with_few_outcomes_are_not_evidence() {
    for (const int outcomes : {1, 12}) {
        DeploymentConfig config = large_fleet_config();
        DecisionFixture fixture(config);
        for (int i = 0; i < 60; ++i) fixture.add_host("o" + std::to_string(i), 1);
        for (int i = 0; i < 5; ++i) fixture.add_host("n" + std::to_string(i), 2);
        fixture.update_rollout(1, 3, Phase::released, 1);
        fixture.update_rollout(2, 1, Phase::on_trial, 1);
        // Each host ends this many picks, successfully at the earlier build and with an error at the trial.
        // All further picks are cancelled.
        int rpcs_sent = 0;
        std::map<std::string, int> outcomes_by_host;
        for (int i = 0; i < 6000; ++i) {
            fixture.set_time(fixture.now + 10);
            const std::string id = std::to_string(rpcs_sent++) + "w";
            fixture.send_rpc(id, fixture.now + 9000);
            const auto picks = fixture.take_decisions(Action::pick);
            for (std::size_t pick = 0; pick < picks.size(); ++pick) {
                const bool at_trial = picks[pick].host[0] == 'n';
                const bool counts = outcomes_by_host[picks[pick].host] < outcomes;
                outcomes_by_host[picks[pick].host] += counts;
                fixture.router->pick_ended(id, int(pick),
                                           counts && at_trial ? Outcome::error
                                           : counts           ? Outcome::ok
                                                              : Outcome::cancelled,
                                           100, true, {});
            }
        }
        bool voted_to_roll_back = false;
        for (int step = 0; step < 15; ++step) {
            fixture.set_time(fixture.now + 1000);
            voted_to_roll_back = votes_to_roll_back(fixture) || voted_to_roll_back;
        }
        assert(voted_to_roll_back == (outcomes == 12));
    }
}

DeploymentConfig summary_config(int instances, int ordinal) {
    DeploymentConfig config = large_fleet_config(instances);
    config.exchanges_summaries = true;
    config.ordinal = ordinal;
    return config;
}

// In each round every router sends its summary to the same few collectors, which send the sum to all routers
// in the next round. No router sends its own summary to all others.
void summaries_are_added_up_by_few_collectors() {
    constexpr int kRouters = 60;
    std::vector<DecisionFixture> routers;
    for (int i = 0; i < kRouters; ++i) {
        routers.emplace_back(summary_config(kRouters, i));
        routers.back().router = make_router(summary_config(kRouters, i), 50 + i);
        routers.back().router->set_time(0);
        routers.back().add_host("o", 1);
        routers.back().add_host("n", 2);
        routers.back().update_rollout(2, 1, Phase::on_trial, 1);
    }
    int to_one = 0;
    int to_all = 0;
    double most_routers = 0;
    std::set<int> collectors;
    for (Ticks now = 1000; now <= 31000; now += 1000) {
        std::vector<std::pair<int, Decision>> messages;
        for (int i = 0; i < kRouters; ++i) {
            routers[i].set_time(now);
            for (const Decision &decision : routers[i].take_decisions(Action::send_summary))
                messages.emplace_back(i, decision);
        }
        for (const auto &[from, decision] : messages) {
            assert(decision.peer != from && decision.peer < kRouters &&
                   decision.text.size() <= TrialSummary::kMaxBytes);
            const auto summary = TrialSummary::decode(decision.text, 2);
            assert(summary);
            decision.peer < 0 ? ++to_all : ++to_one;
            if (decision.peer >= 0) {
                collectors.insert(decision.peer);
                assert(summary->routers == 1);
            }
            if (decision.peer < 0) most_routers = std::max(most_routers, summary->routers);
            for (int receiver = 0; receiver < kRouters; ++receiver)
                if (receiver != from && (decision.peer < 0 || decision.peer == receiver))
                    routers[receiver].router->receive_summary(from, decision.text);
        }
    }
    assert(to_one <= 4 * 2 * kRouters && to_all <= 4 * 2);
    assert(most_routers > 0.9 * kRouters);
    assert(collectors.size() > 2 && collectors.size() <= 4 * 2); // collectors are drawn anew in each round
}

// The sum of other routers' summaries reveals a failing build to a router without picks of its own. Summaries
// that are malformed, come from an unknown peer or from the router itself, or claim more routers than the
// fleet has are ignored.
void only_valid_sums_are_evidence() {
    enum { valid, truncated, too_long, old_version, unknown_peer, own_ordinal, too_many_routers };
    for (const int variant :
         {valid, truncated, too_long, old_version, unknown_peer, own_ordinal, too_many_routers}) {
        DecisionFixture fixture(summary_config(60, 5));
        for (int i = 0; i < 8; ++i) {
            fixture.add_host("o" + std::to_string(i), 1);
            fixture.add_host("n" + std::to_string(i), 2);
        }
        fixture.update_rollout(2, 1, Phase::on_trial, 1);
        TrialSummary summary;
        summary.build = 2;
        summary.routers = variant == too_many_routers ? 61 : 50;
        summary.trial.resize(2);
        summary.earlier.resize(2);
        summary.trial[0].add(200, 90);
        summary.trial[1].add(200, 90);
        summary.earlier[0].add(400, 2);
        summary.earlier[1].add(400, 2);
        std::string bytes = summary.encode();
        if (variant == truncated) bytes.pop_back();
        if (variant == too_long) bytes += std::string(300, 'x');
        if (variant == old_version) bytes[0] = 1;
        fixture.set_time(1000);
        fixture.router->receive_summary(variant == unknown_peer ? 60 : variant == own_ordinal ? 5 : 7, bytes);
        fixture.set_time(2000);
        assert(votes_to_roll_back(fixture) == (variant == valid));
    }
}

// One method misses its soft deadline at every host and the other does not. RPCs of the late method are
// mostly pushed back, except for a few probes; those of the other are served.
void method_late_at_all_hosts_is_mostly_pushed_back() {
    DeploymentConfig config = large_fleet_config();
    config.max_retry_after = 10000;
    config.advise_retry_after = true;
    DecisionFixture fixture(config);
    for (int i = 0; i < 10; ++i) fixture.add_host("o" + std::to_string(i), 1);
    int pushed_back[2] = {0, 0}; // by method
    int arrived[2] = {0, 0}; // by method
    for (int i = 0; i < 400; ++i) {
        fixture.set_time(fixture.now + 500);
        const std::string id = std::to_string(i) + "m";
        const int method = i % 2;
        fixture.router->rpc_arrived({id, method, 0, "", fixture.now + 40000, false});
        const auto decisions = fixture.take_decisions();
        if (i >= 100) {
            ++arrived[method];
            pushed_back[method] += count(decisions, Action::push_back) > 0;
        }
        for (const Decision &decision : decisions)
            if (decision.action == Action::push_back) assert(decision.duration > 0);
        if (count(decisions, Action::pick) > 0)
            fixture.router->pick_ended(id, 0, Outcome::ok, method ? 6000 : 400, true, {});
    }
    assert(pushed_back[1] > arrived[1] * 0.6 && pushed_back[1] < arrived[1]);
    assert(pushed_back[0] < arrived[0] * 0.1);
}

// While new connections are refused, picks go to hosts that answered recently, since connections to them are
// open.
void connected_hosts_get_the_picks_while_connects_fail() {
    DeploymentConfig config = large_fleet_config();
    config.keepalive = 300000;
    DecisionFixture fixture(config);
    for (int i = 0; i < 30; ++i) fixture.add_host("o" + std::to_string(i), 1);
    std::set<std::string> connected_hosts;
    int refused = 0;
    int picks_sent = 0;
    for (int i = 0; i < 600; ++i) {
        fixture.set_time(fixture.now + 5000);
        const std::string id = std::to_string(i) + "q";
        fixture.send_rpc(id, fixture.now + 9000);
        auto picks = fixture.take_decisions(Action::pick);
        for (int pick = 0; !picks.empty(); ++pick) {
            const std::string host = picks[0].host;
            const bool connects = connected_hosts.count(host) > 0 ||
                                  connected_hosts.size() < 3; // the fourth connection is refused
            if (connects) connected_hosts.insert(host);
            ++picks_sent;
            refused += !connects;
            fixture.router->pick_ended(id, pick, connects ? Outcome::ok : Outcome::connect_failed, 100,
                                       connects, {});
            picks = connects ? std::vector<Decision>{} : fixture.take_decisions(Action::pick);
        }
    }
    assert(picks_sent >= 600 && refused < 60);
}

// Any build newer than another one holds its keys: one that no rollout update names yet, while the last
// update is about an earlier build that was withdrawn; and one that is released, while the list still shows
// older hosts. A build that is rolling back holds none.
void each_newer_build_holds_its_keys() {
    enum { unannounced, released, rolling_back };
    for (const int variant : {unannounced, released, rolling_back}) {
        DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
        config.rollout.sticky_keys = true;
        DecisionFixture fixture(config);
        fixture.update_rollout(variant == unannounced ? 3 : 4, 1,
                               variant == unannounced ? Phase::withdrawn : Phase::on_trial, 1);
        fixture.add_host("new", 4);
        if (variant == released) {
            fixture.add_host("old", 2);
            fixture.update_rollout(4, 1, Phase::released, 1);
        }
        if (variant == released)
            fixture.router->update_hosts({{"old", 0, 0, 0, 2, HostStatus::draining, 1, 0}}, false);
        if (variant == released) fixture.add_host("older", 1);
        fixture.send_rpc("r", 10000, "k");
        const auto first = fixture.take_decisions(Action::pick);
        assert(first.size() == 1);
        fixture.end_pick("r", 0, Outcome::ok, true);
        if (variant != released || first[0].host == "new") {
            if (variant == rolling_back) fixture.update_rollout(4, 1, Phase::rolling_back, 0);
            fixture.add_host("old", 2);
            fixture.drain_host("new");
            if (variant == released) fixture.drain_host("older");
            fixture.send_rpc("s", 10000, "k");
            assert(fixture.take_decisions(Action::pick).empty() == (variant != rolling_back));
        }
    }
}

// A build was withdrawn and the next one is on trial, while an outdated host list still shows the hosts of
// the withdrawn build as ready. They get no picks.
void hosts_of_a_withdrawn_build_get_no_picks() {
    DecisionFixture fixture(deployment_config(RepeatPolicy::idempotent));
    fixture.add_host("withdrawn", 2);
    fixture.update_rollout(2, 1, Phase::on_trial, 1);
    fixture.send_rpc("r", 10000);
    assert(fixture.take_decisions(Action::pick).size() == 1);
    fixture.update_rollout(2, 1, Phase::rolling_back, 0);
    fixture.update_rollout(2, 1, Phase::withdrawn, 0);
    fixture.update_rollout(3, 0, Phase::on_trial, 0.1);
    fixture.send_rpc("s", 10000);
    assert(fixture.take_decisions(Action::pick).empty());
    fixture.add_host("earlier", 1);
    fixture.send_rpc("t", 10000);
    const auto picks = fixture.take_decisions(Action::pick);
    assert(picks.size() == 1 && picks[0].host == "earlier");
}

// All hosts of a fleet fail, others start cold, and clients send eight times as many RPCs. The picks of all
// routers at a cold host stay below twice the load that a warm host of its size had before.
void failure_of_warm_hosts_does_not_raise_the_cold_allowance() {
    constexpr int kRouters = 20;
    constexpr int kWarmHosts = 20;
    constexpr int kColdHosts = 10;
    DeploymentConfig config = large_fleet_config(kRouters);
    config.cold_capacity_share = 0.41;
    config.overload_multiple = 2;
    config.overload_window = 15000;
    config.warm_up_time = 50000;
    int picks_at_cold = 0;
    for (int ordinal = 0; ordinal < kRouters; ++ordinal) {
        DecisionFixture fixture(config);
        fixture.router = make_router(config, ordinal);
        for (int i = 0; i < kWarmHosts; ++i) fixture.add_host("w" + std::to_string(i), 1);
        int rpcs_sent = 0;
        const auto run_second = [&](int rpcs, bool succeeds) {
            for (int i = 0; i < rpcs; ++i) {
                fixture.set_time(fixture.now + 10000 / rpcs);
                const std::string id = std::to_string(rpcs_sent++) + "c";
                fixture.send_rpc(id, fixture.now + 9000);
                int pick = 0;
                for (auto picks = fixture.take_decisions(Action::pick); !picks.empty();
                     picks = fixture.take_decisions(Action::pick)) {
                    picks_at_cold += picks[0].host[0] == 'c';
                    fixture.router->pick_ended(id, pick++, succeeds ? Outcome::ok : Outcome::error, 800,
                                               succeeds, {});
                }
            }
        };
        for (int second = 0; second < 30; ++second) run_second(1, true);
        for (int i = 0; i < kWarmHosts; ++i)
            fixture.router->update_hosts({{"w" + std::to_string(i), 0, 0, 0, 1, HostStatus::gone, 1, 0}},
                                         false);
        for (int second = 0; second < 10; ++second) run_second(8, true);
        for (int i = 0; i < kColdHosts; ++i) fixture.add_host("c" + std::to_string(i), 1, fixture.now);
        for (int second = 0; second < 4; ++second) run_second(8, false);
    }
    // One RPC per second for each host was 0.6 of its capacity. Over four seconds a host that starts at 0.41
    // of its capacity and is warm after five seconds has 0.65 of it on average, and is overloaded at twice as
    // much.
    assert(picks_at_cold <= 2 * 0.65 * 4 / 0.6 * kColdHosts);
}

} // namespace

int main() {
    each_newer_build_holds_its_keys();
    failure_of_warm_hosts_does_not_raise_the_cold_allowance();
    hosts_of_a_withdrawn_build_get_no_picks();
    failures_of_one_rare_method_roll_back();
    method_failing_at_both_builds_does_not_roll_back();
    failures_without_baseline_need_a_larger_share();
    idle_earlier_hosts_are_no_latency_baseline();
    unexplained_rise_of_all_latencies_rolls_back();
    hosts_with_few_outcomes_are_not_evidence();
    summaries_are_added_up_by_few_collectors();
    only_valid_sums_are_evidence();
    method_late_at_all_hosts_is_mostly_pushed_back();
    connected_hosts_get_the_picks_while_connects_fail();
}
