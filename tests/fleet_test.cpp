// Tests of many instances of the decision module against one discovery service or one platform: load and
// errors that are harmless at one router and add up over a fleet.
#undef NDEBUG
#include "helpers.hpp"

#include "random.hpp"
#include "state.hpp"

#include <cassert>
#include <cmath>
#include <deque>
#include <set>
#include <tuple>

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr Ticks kStep = 100; // 10 ms

DeploymentConfig fleet_config(int instances) {
    DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    config.instances = instances;
    config.requests_host_list = true;
    return config;
}

std::vector<DecisionFixture> make_fleet(const DeploymentConfig &config) {
    std::vector<DecisionFixture> routers;
    for (int i = 0; i < config.instances; ++i) {
        routers.emplace_back(config);
        routers.back().router = make_router(config, 1000 + i);
    }
    return routers;
}

// A discovery service that serves one call at a time. A caller gives up after two seconds, but the service
// still works on the abandoned call.
struct Discovery {
    static constexpr Ticks kServiceTime = 500;
    static constexpr Ticks kCallTimeout = 20000;
    struct Call {
        int router;
        Ticks called_at;
    };
    std::deque<Call> queue;
    Ticks free_at = 0;
    int calls = 0;
    int timed_out = 0;
    std::vector<Ticks> answered_at; // by router; below 0: not answered

    explicit Discovery(std::size_t routers) : answered_at(routers, -1) {}

    void step(std::vector<DecisionFixture> &routers, Ticks now) {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i].set_time(now);
            if (routers[i].take_decisions(Action::request_host_list).empty()) continue;
            queue.push_back({static_cast<int>(i), now});
            ++calls;
        }
        for (const Call &call : queue)
            if (now - call.called_at == kCallTimeout) {
                ++timed_out;
                routers[call.router].router->host_list_failed(-1);
            }
        while (!queue.empty() && free_at <= now) {
            const Call call = queue.front();
            queue.pop_front();
            free_at = std::max(free_at, now - kStep) + kServiceTime;
            if (now - call.called_at >= kCallTimeout) continue; // its caller no longer waits
            answered_at[call.router] = now;
            routers[call.router].router->update_hosts({}, false);
        }
    }
    // Returns the time that a call made now would wait in the queue.
    Ticks queueing_time(Ticks now) const {
        return std::max<Ticks>(0, free_at - now) + queue.size() * kServiceTime;
    }
};

// A hundred routers start at the same time, while discovery serves twenty calls per second. Few calls time
// out, and later calls do not queue behind calls whose callers no longer wait.
void fleet_start_does_not_overload_discovery() {
    std::vector<DecisionFixture> routers = make_fleet(fleet_config(100));
    Discovery discovery(routers.size());
    Ticks longest_queueing_time = 0;
    for (Ticks now = 0; now <= 200000; now += kStep) {
        discovery.step(routers, now);
        if (now >= 60000)
            longest_queueing_time = std::max(longest_queueing_time, discovery.queueing_time(now));
    }
    assert(discovery.timed_out <= 30 && discovery.calls <= 130 && longest_queueing_time <= 10000);
    for (const Ticks answered_at : discovery.answered_at) assert(answered_at >= 0 && answered_at < 120000);
}

// The routers of a fleet of two request the host list at once, and again soon after a request that failed.
void small_fleet_requests_the_list_at_once() {
    std::vector<DecisionFixture> routers = make_fleet(fleet_config(2));
    for (DecisionFixture &fixture : routers) {
        fixture.set_time(0);
        fixture.set_time(600);
        assert(fixture.take_decisions(Action::request_host_list).size() == 1);
        fixture.router->host_list_failed(-1);
        fixture.set_time(11000);
        assert(fixture.take_decisions(Action::request_host_list).size() == 1);
    }
}

PlatformStats platform_stats(int build, int method, int picks, int failed) {
    return {.build = build, .method = method, .picks = picks, .failed = failed, .age = 0, .latency = 0.1};
}

// Returns the votes of a router on a trial at half of sixty hosts whose traffic grows over three periods of
// platform stats. In the last period a quarter of its picks fail, and `earlier_failed` of the 400 picks at
// the earlier build.
std::vector<Decision> votes_on_platform_stats(DecisionFixture &fixture, int earlier_failed) {
    fixture.set_time(0);
    for (int i = 0; i < 60; ++i) fixture.add_host(std::to_string(i), 1 + i % 2);
    fixture.update_rollout(2, 1, Phase::on_trial, 1);
    for (const bool last_period : {false, false, true}) {
        fixture.set_time(fixture.now + 20000);
        fixture.router->add_platform_stats(
            platform_stats(1, 0, last_period ? 400 : 700, last_period ? earlier_failed : 0));
        fixture.router->add_platform_stats(
            platform_stats(2, 0, last_period ? 400 : 60, last_period ? 100 : 0));
    }
    fixture.set_time(fixture.now + 1000);
    return fixture.take_decisions(Action::vote);
}

// Hosts of both builds begin to fail while the trial's traffic grows. In each period the trial's failure
// share is no higher than that of the earlier build, although it is higher over all periods together. None of
// a hundred routers votes to roll back.
void host_failures_do_not_roll_back_a_good_build() {
    std::vector<DecisionFixture> routers = make_fleet(fleet_config(100));
    for (DecisionFixture &fixture : routers)
        for (const Decision &decision : votes_on_platform_stats(fixture, 100))
            assert(decision.verdict != Verdict::roll_back);
}

// A good build was rolled back for picks that its full hosts had turned away, since platform stats count such
// picks as failures: the trial's first hosts are few and cold, and a whole fleet sends picks there. In
// a simulated run, scenario calm+mass, seed 70340217494, 294 routers voted to roll back good build 198 for 12
// failures in 411 sampled picks; of the fleet's picks 30 had been turned away and 3 had failed (sampling rate
// 0.4):
//
//     14.350 n1 TALLY build 198 method 0 picks 145 failed 6
//     14.350 n1 TALLY build 198 method 1 picks 157 failed 6
//
// A router with failures of its own acts on the same stats. So does a router whose vote takes effect only if
// others agree.
void picks_turned_away_do_not_roll_back_a_good_build() {
    enum { no_own_failures, own_failures, others_must_agree };
    for (const int variant : {no_own_failures, own_failures, others_must_agree}) {
        const bool has_own_failures = variant == own_failures;
        DeploymentConfig config = fleet_config(100);
        if (variant == others_must_agree) config.rollout.advance_policy = AdvancePolicy::share_of_votes;
        DecisionFixture fixture(config);
        fixture.set_time(0);
        for (int i = 0; i < 60; ++i) fixture.add_host(std::to_string(i), 1 + i % 2);
        fixture.update_rollout(2, 1, Phase::on_trial, 1);
        fixture.set_time(20000);
        fixture.router->add_platform_stats(platform_stats(1, 0, 1400, 0));
        fixture.router->add_platform_stats(platform_stats(2, 0, 20, 0));
        for (int picks_at_trial = 0; picks_at_trial < 4;) {
            const std::string id = std::to_string(fixture.next_id++);
            fixture.send_rpc(id, fixture.now + 9000);
            for (const Decision &decision : fixture.take_decisions(Action::pick)) {
                const bool on_trial = std::stoi(decision.host) % 2 == 1;
                picks_at_trial += on_trial;
                const bool fails = has_own_failures && on_trial && picks_at_trial > 2;
                fixture.end_pick(id, 0, fails ? Outcome::error : Outcome::ok, true);
            }
        }
        fixture.set_time(40000);
        fixture.router->add_platform_stats(platform_stats(1, 0, 1000, 0));
        fixture.router->add_platform_stats(platform_stats(2, 0, 302, 12));
        fixture.set_time(41000);
        bool voted_to_roll_back = false;
        for (const Decision &decision : fixture.take_decisions(Action::vote))
            voted_to_roll_back = voted_to_roll_back || decision.verdict == Verdict::roll_back;
        assert(voted_to_roll_back == (variant != no_own_failures));
    }
}

// The same failures of the trial are due to the build if the earlier build has none.
void hundred_routers_roll_back_a_failing_build() {
    std::vector<DecisionFixture> routers = make_fleet(fleet_config(100));
    for (DecisionFixture &fixture : routers) {
        const auto votes = votes_on_platform_stats(fixture, 0);
        assert(votes.size() == 1 && votes[0].verdict == Verdict::roll_back);
    }
}

// A router of a hundred sees seven failures at the trial. If they strike five of nine hosts they may be due
// to these hosts, since some router of a hundred sees that by chance; if they strike seven hosts they are due
// to the build. For a single router five failures at four hosts are enough.
void failures_of_few_hosts_do_not_roll_back_in_a_large_fleet() {
    for (const auto &[instances, failing_hosts, failures, rolls_back] :
         {std::tuple{100, 5, 7, false}, {100, 7, 7, true}, {1, 4, 5, true}}) {
        DecisionFixture fixture(fleet_config(instances));
        for (int i = 0; i < 9; ++i) fixture.add_host(std::to_string(i), 2);
        fixture.update_rollout(2, 0, Phase::on_trial, 1);
        std::vector<Decision> picks;
        for (int i = 0; i < 40; ++i) {
            fixture.send_rpc(std::to_string(i) + "f", 9000);
            const auto decisions = fixture.take_decisions(Action::pick);
            assert(!decisions.empty());
            picks.push_back(decisions[0]);
        }
        std::set<std::string> struck_hosts;
        int failed = 0;
        for (const Decision &decision : picks) {
            const bool strikes_new_host = struck_hosts.size() < static_cast<std::size_t>(failing_hosts) &&
                                          !struck_hosts.count(decision.host);
            const bool fails =
                failed < failures &&
                (strikes_new_host || (failed >= failing_hosts && struck_hosts.count(decision.host)));
            failed += fails;
            if (fails) struck_hosts.insert(decision.host);
            fixture.end_pick(decision.rpc, 0, fails ? Outcome::error : Outcome::ok, true);
        }
        assert(failed == failures && static_cast<int>(struck_hosts.size()) == failing_hosts);
        fixture.set_time(fixture.now + 1000);
        const auto votes = fixture.take_decisions(Action::vote);
        const auto votes_to_roll_back = [](const Decision &decision) {
            return decision.verdict == Verdict::roll_back;
        };
        assert(std::any_of(votes.begin(), votes.end(), votes_to_roll_back) == rolls_back);
    }
}

// A platform that accepts `rate` votes per second, in bursts of up to twice that. An accepted vote counts for
// its lifetime.
struct Platform {
    explicit Platform(double rate) : rate(rate), tokens(2 * rate) {}
    double rate; // votes per second
    double tokens; // of the token bucket
    int votes = 0;
    int rejected = 0;
    std::vector<Ticks> valid_until; // by router: end of its vote's lifetime

    void step(std::vector<DecisionFixture> &routers, Ticks now, Ticks lifetime) {
        valid_until.resize(routers.size(), 0);
        tokens = std::min(2 * rate, tokens + rate * kStep / 10000.0);
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i].set_time(now);
            for (const Decision &decision : routers[i].take_decisions(Action::vote)) {
                ++votes;
                const bool accepted = tokens >= 1;
                if (accepted) {
                    tokens -= 1;
                    valid_until[i] = now + lifetime;
                }
                if (!accepted) ++rejected;
                routers[i].router->update_rollout(
                    {decision.build, decision.stage, Phase::on_trial, true, accepted, 1, 0});
            }
        }
    }
    long valid_votes(Ticks now) const {
        return std::count_if(valid_until.begin(), valid_until.end(), [&](Ticks at) { return at > now; });
    }
};

// The platform accepts 16 votes per second (80 for the largest fleet), votes count for ten seconds, and the
// votes of six in ten routers must count at the same time.
void votes_of_a_fleet_fit_the_accepted_rate() {
    for (const int instances : {100, 273, 1024}) {
        DeploymentConfig config = fleet_config(instances);
        config.rollout.votes_per_s = instances > 300 ? 80 : 16;
        config.rollout.vote_lifetime = 100000;
        config.rollout.advance_policy = AdvancePolicy::share_of_votes;
        config.rollout.votes_to_advance = instances * 6 / 10;
        std::vector<DecisionFixture> routers = make_fleet(config);
        for (DecisionFixture &fixture : routers) {
            fixture.set_time(0);
            for (int i = 0; i < 4; ++i) fixture.add_host(std::to_string(i), 1 + i % 2);
            fixture.update_rollout(2, 0, Phase::on_trial, 1);
        }
        Platform platform(config.rollout.votes_per_s);
        long most_valid_votes = 0;
        for (Ticks now = kStep; now <= 250000; now += kStep) {
            platform.step(routers, now, config.rollout.vote_lifetime);
            most_valid_votes = std::max(most_valid_votes, platform.valid_votes(now));
        }
        assert(most_valid_votes >= config.rollout.votes_to_advance &&
               platform.rejected * 2 <= platform.votes + instances);
    }
}

// All hosts of a zone restart at once, and the routers know no other hosts. Each router keeps to its share of
// the cold capacity, one of them with five times the traffic of the others. The sum stays below the load that
// overloads a cold host, with a margin for random variation, and most RPCs are served.
void cold_zone_is_served_without_overload() {
    constexpr int kHosts = 60;
    constexpr double kRate = 5; // RPCs per second of each router; the first one has five times as many
    DeploymentConfig config = fleet_config(100);
    config.cold_capacity_share = 0.4;
    config.overload_multiple = 4;
    config.overload_window = 30000;
    config.warm_up_time = 40000;
    std::vector<DecisionFixture> routers = make_fleet(config);
    constexpr Ticks kStart = 1000000;
    for (DecisionFixture &fixture : routers) {
        fixture.set_time(kStart);
        std::vector<HostEntry> hosts;
        for (int i = 0; i < kHosts; ++i)
            hosts.push_back({std::to_string(i), 0, 0, 0, 1, HostStatus::ready, 1, kStart});
        fixture.router->update_hosts(hosts, true);
    }
    std::vector<std::deque<Ticks>> sent_at(kHosts);
    // RPCs per second of a warm host, if this traffic is 0.6 of the capacity of all hosts.
    const double full_rate = kRate * 104 / kHosts / 0.6;
    long rpcs_sent = 0; // after the first two seconds, as rpcs_picked
    long rpcs_picked = 0;
    Pcg32 random;
    random.state = 5;
    for (Ticks now = kStart + kStep; now <= kStart + 50000; now += kStep)
        for (std::size_t i = 0; i < routers.size(); ++i) {
            DecisionFixture &fixture = routers[i];
            fixture.set_time(now);
            for (int rpcs = i == 0 ? 5 : 1; rpcs-- > 0;) {
                if (random.uniform() >= kRate * kStep / 10000) continue;
                const std::string id = std::to_string(fixture.next_id++) + "r";
                fixture.send_rpc(id, now + 20000);
                rpcs_sent += now > kStart + 20000;
                for (const Decision &decision : fixture.take_decisions(Action::pick)) {
                    std::deque<Ticks> &picks = sent_at[std::stoi(decision.host)];
                    picks.push_back(now);
                    while (picks.front() < now - config.overload_window) picks.pop_front();
                    const double warm_up_share = std::min(1.0, double(now - kStart) / config.warm_up_time);
                    const double overload_picks =
                        4 * (0.4 + 0.6 * warm_up_share) * full_rate * config.overload_window / 10000;
                    assert(picks.size() <= overload_picks + 3 * std::sqrt(overload_picks) + 3);
                    rpcs_picked += now > kStart + 20000;
                    fixture.router->pick_ended(id, decision.pick, Outcome::ok, 800, true, {});
                }
            }
        }
    assert(rpcs_picked >= rpcs_sent * 8 / 10);
}

// An instance without decisions, which exposes the bookkeeping of src/state.hpp.
struct StateOnlyInstance : Instance {
    using Instance::Instance;
    void set_time(Ticks time) override { now = time; }
    void host_list_failed(Ticks) override {}
    void pick_ended(const std::string &, int, Outcome, Ticks, bool, const std::vector<double> &) override {}
    Decision next_decision() override { return {}; }
};

// A tenant's quota, divided among many routers, is below one RPC per second at each. RPCs at up to that rate
// are within the quota; of a ten times higher rate only a few are.
void quota_share_below_one_per_second_accumulates() {
    DeploymentConfig config = fleet_config(300);
    config.tenant_quotas = {75};
    StateOnlyInstance instance(config, 7);
    int within = 0;
    for (int i = 1; i <= 20; ++i) {
        instance.set_time(i * 40000);
        within += instance.within_quota(0);
    }
    assert(within >= 19);
    for (int i = 1; i <= 20; ++i) {
        instance.set_time(800000 + i * 4000);
        within += instance.within_quota(0);
    }
    assert(within <= 22);
}

} // namespace

int main() {
    quota_share_below_one_per_second_accumulates();
    host_failures_do_not_roll_back_a_good_build();
    hundred_routers_roll_back_a_failing_build();
    picks_turned_away_do_not_roll_back_a_good_build();
    failures_of_few_hosts_do_not_roll_back_in_a_large_fleet();
    votes_of_a_fleet_fit_the_accepted_rate();
    cold_zone_is_served_without_overload();
    fleet_start_does_not_overload_discovery();
    small_fleet_requests_the_list_at_once();
}
