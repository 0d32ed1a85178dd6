// Many instances of the real module against one platform: what is harmless in one and adds up in all.
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
    DeploymentConfig given = deployment_config(RepeatPolicy::idempotent);
    given.instances = instances;
    given.requests_host_list = true;
    return given;
}

std::vector<DecisionFixture> fleet(const DeploymentConfig &given) {
    std::vector<DecisionFixture> routers;
    for (int i = 0; i < given.instances; ++i) {
        routers.emplace_back(given);
        routers.back().router = make_router(given, 1000 + i);
    }
    return routers;
}

// Discovery: one call after the other, those given up too; a caller gives up after two seconds.
struct Discovery {
    static constexpr Ticks kCall = 500, kPatience = 20000;
    struct Call {
        int router;
        Ticks at;
    };
    std::deque<Call> line;
    Ticks free_at = 0;
    int calls = 0, given_up = 0;
    std::vector<Ticks> answered;

    explicit Discovery(std::size_t routers) : answered(routers, -1) {}

    void step(std::vector<DecisionFixture> &routers, Ticks now) {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i].set_time(now);
            if (routers[i].take_decisions(Action::request_host_list).empty()) continue;
            line.push_back({static_cast<int>(i), now});
            ++calls;
        }
        for (const Call &call : line)
            if (now - call.at == kPatience) ++given_up, routers[call.router].router->host_list_failed(-1);
        while (!line.empty() && free_at <= now) {
            const Call call = line.front();
            line.pop_front();
            free_at = std::max(free_at, now - kStep) + kCall;
            if (now - call.at >= kPatience) continue; // worked through for nobody
            answered[call.router] = now;
            routers[call.router].router->update_hosts({}, false);
        }
    }
    Ticks wait(Ticks now) const { return std::max<Ticks>(0, free_at - now) + line.size() * kCall; }
};

// A hundred routers start in one instant where discovery takes twenty calls a second: hardly one is given up,
// and what changes seconds later does not wait behind calls that nobody waits for any more.
void a_fleets_start_leaves_discoverys_line_short() {
    std::vector<DecisionFixture> routers = fleet(fleet_config(100));
    Discovery discovery(routers.size());
    Ticks longest = 0;
    for (Ticks now = 0; now <= 200000; now += kStep) {
        discovery.step(routers, now);
        if (now >= 60000) longest = std::max(longest, discovery.wait(now));
    }
    assert(discovery.given_up <= 30 && discovery.calls <= 130 && longest <= 10000);
    for (const Ticks at : discovery.answered) assert(at >= 0 && at < 120000);
}

// One or two routers ask at once, and again soon after a call that failed.
void few_routers_ask_at_once() {
    std::vector<DecisionFixture> routers = fleet(fleet_config(2));
    for (DecisionFixture &one : routers) {
        one.set_time(0);
        one.set_time(600);
        assert(one.take_decisions(Action::request_host_list).size() == 1);
        one.router->host_list_failed(-1);
        one.set_time(11000);
        assert(one.take_decisions(Action::request_host_list).size() == 1);
    }
}

PlatformStats row(int build, int method, int picks, int failed) {
    return {.build = build, .method = method, .picks = picks, .failed = failed, .age = 0, .latency = 0.1};
}

// A trial whose traffic grows on half of sixty hosts; in the last of three periods a quarter of its picks
// fail, and so many of the earlier build's. The votes of one router of a hundred on that.
std::vector<Decision> votes_on_tallies(DecisionFixture &one, int earlier_failed) {
    one.set_time(0);
    for (int i = 0; i < 60; ++i) one.add_host(std::to_string(i), 1 + i % 2);
    one.update_rollout(2, 1, Phase::on_trial, 1);
    for (const bool last : {false, false, true}) {
        one.set_time(one.now + 20000);
        one.router->add_platform_stats(row(1, 0, last ? 400 : 700, last ? earlier_failed : 0));
        one.router->add_platform_stats(row(2, 0, last ? 400 : 60, last ? 100 : 0));
    }
    one.set_time(one.now + 1000);
    return one.take_decisions(Action::vote);
}

// Hosts begin to fail, of either build alike, as the trial's traffic grows: in each period it fails no more
// than the earlier build does beside it, though over all periods together it does. Nobody of a hundred votes
// back.
void hosts_that_fail_send_no_good_build_back() {
    std::vector<DecisionFixture> routers = fleet(fleet_config(100));
    for (DecisionFixture &one : routers)
        for (const Decision &made : votes_on_tallies(one, 100)) assert(made.verdict != Verdict::roll_back);
}

// A good build is sent back for picks that its hosts turned away, on calm: all routers vote back on the
// tallies alone, which count such picks as failures. Its first hosts are few and cold, and a fleet's picks at
// them crowd. Seen in a play of calm+mass, seed 70340217494 (build 198 is good; of the fleet's picks at it 30
// were turned away, 3 failed; sampled 0.4):
//
//     14.350 n1 TALLY build 198 method 0 picks 145 failed 6
//     14.350 n1 TALLY build 198 method 1 picks 157 failed 6
//     14.4   294 routers: back for failures: 12 of 411
//
// A router that has met failures of its own believes the same tallies; so does one whose vote needs others to
// agree.
void a_crowd_at_its_first_hosts_sends_no_good_build_back() {
    enum { nothing_met, failures_met, others_must_agree };
    for (const int what : {nothing_met, failures_met, others_must_agree}) {
        const bool met = what == failures_met;
        DeploymentConfig given = fleet_config(100);
        if (what == others_must_agree) given.rollout.advance_policy = AdvancePolicy::share_of_votes;
        DecisionFixture one(given);
        one.set_time(0);
        for (int i = 0; i < 60; ++i) one.add_host(std::to_string(i), 1 + i % 2);
        one.update_rollout(2, 1, Phase::on_trial, 1);
        one.set_time(20000);
        one.router->add_platform_stats(row(1, 0, 1400, 0));
        one.router->add_platform_stats(row(2, 0, 20, 0));
        for (int at_trial = 0; at_trial < 4;) {
            const std::string id = std::to_string(one.next_id++);
            one.send_rpc(id, one.now + 9000);
            for (const Decision &made : one.take_decisions(Action::pick)) {
                const bool trial = std::stoi(made.host) % 2 == 1;
                at_trial += trial;
                const bool fails = met && trial && at_trial > 2;
                one.end_pick(id, 0, fails ? Outcome::error : Outcome::ok, true);
            }
        }
        one.set_time(40000);
        one.router->add_platform_stats(row(1, 0, 1000, 0));
        one.router->add_platform_stats(row(2, 0, 302, 12));
        one.set_time(41000);
        bool back = false;
        for (const Decision &made : one.take_decisions(Action::vote))
            back = back || made.verdict == Verdict::roll_back;
        assert(back == (what != nothing_met));
    }
}

// The same figures where the earlier build does not fail are the build's.
void a_failing_build_is_found_by_a_hundred() {
    std::vector<DecisionFixture> routers = fleet(fleet_config(100));
    for (DecisionFixture &one : routers) {
        const auto votes = votes_on_tallies(one, 0);
        assert(votes.size() == 1 && votes[0].verdict == Verdict::roll_back);
    }
}

// Seven of its picks fail. Where one of a hundred routers meets five bad hosts among nine, that is chance;
// where seven hosts are struck it is the build. A lone router is not one of many.
void failures_of_one_of_many_speak_where_they_strike_widely() {
    for (const auto &[instances, bad, failures, back] :
         {std::tuple{100, 5, 7, false}, {100, 7, 7, true}, {1, 4, 5, true}}) {
        DecisionFixture fixture(fleet_config(instances));
        for (int i = 0; i < 9; ++i) fixture.add_host(std::to_string(i), 2);
        fixture.update_rollout(2, 0, Phase::on_trial, 1);
        std::vector<Decision> picks;
        for (int i = 0; i < 40; ++i) {
            fixture.send_rpc(std::to_string(i) + "f", 9000);
            const auto made = fixture.take_decisions(Action::pick);
            assert(!made.empty());
            picks.push_back(made[0]);
        }
        std::set<std::string> struck;
        int failed = 0;
        for (const Decision &made : picks) {
            const bool fresh = struck.size() < static_cast<std::size_t>(bad) && !struck.count(made.host);
            const bool fails = failed < failures && (fresh || (failed >= bad && struck.count(made.host)));
            failed += fails;
            if (fails) struck.insert(made.host);
            fixture.end_pick(made.rpc, 0, fails ? Outcome::error : Outcome::ok, true);
        }
        assert(failed == failures && static_cast<int>(struck.size()) == bad);
        fixture.set_time(fixture.now + 1000);
        const auto votes = fixture.take_decisions(Action::vote);
        const auto is_back = [](const Decision &made) { return made.verdict == Verdict::roll_back; };
        assert(std::any_of(votes.begin(), votes.end(), is_back) == back);
    }
}

// The platform takes some votes a second and no more, with twice that at once; a vote stands for its life.
struct Platform {
    explicit Platform(double rate) : rate(rate), left(2 * rate) {}
    double rate, left;
    int calls = 0, turned_away = 0;
    std::vector<Ticks> stands_until;

    void step(std::vector<DecisionFixture> &routers, Ticks now, Ticks life) {
        stands_until.resize(routers.size(), 0);
        left = std::min(2 * rate, left + rate * kStep / 10000.0);
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i].set_time(now);
            for (const Decision &made : routers[i].take_decisions(Action::vote)) {
                ++calls;
                const bool taken = left >= 1;
                if (taken) left -= 1, stands_until[i] = now + life;
                if (!taken) ++turned_away;
                routers[i].router->update_rollout(
                    {made.build, made.stage, Phase::on_trial, true, taken, 1, 0});
            }
        }
    }
    long standing(Ticks now) const {
        return std::count_if(stands_until.begin(), stands_until.end(), [&](Ticks at) { return at > now; });
    }
};

// Sixteen calls a second, votes that stand ten seconds, six in ten routers that must stand at once.
void votes_of_a_fleet_fit_what_is_taken() {
    for (const int instances : {100, 273, 1024}) {
        DeploymentConfig given = fleet_config(instances);
        given.rollout.votes_per_s = instances > 300 ? 80 : 16;
        given.rollout.vote_lifetime = 100000;
        given.rollout.advance_policy = AdvancePolicy::share_of_votes;
        given.rollout.votes_to_advance = instances * 6 / 10;
        std::vector<DecisionFixture> routers = fleet(given);
        for (DecisionFixture &one : routers) {
            one.set_time(0);
            for (int i = 0; i < 4; ++i) one.add_host(std::to_string(i), 1 + i % 2);
            one.update_rollout(2, 0, Phase::on_trial, 1);
        }
        Platform platform(given.rollout.votes_per_s);
        long most = 0;
        for (Ticks now = kStep; now <= 250000; now += kStep) {
            platform.step(routers, now, given.rollout.vote_lifetime);
            most = std::max(most, platform.standing(now));
        }
        assert(most >= given.rollout.votes_to_advance &&
               platform.turned_away * 2 <= platform.calls + instances);
    }
}

// Hosts that all return cold at once, and a fleet that knows no other: each router keeps to its part, one of
// them with five times the others' traffic, and the sum stays under what a cold host stands, with its slack
// for chance, while most are served.
void a_cold_zone_is_served_within_its_parts() {
    constexpr int kHosts = 60;
    constexpr double kRate = 5; // RPCs a second of each router but one
    DeploymentConfig given = fleet_config(100);
    given.cold_capacity_share = 0.4, given.overload_multiple = 4, given.overload_window = 30000,
    given.warm_up_time = 40000;
    std::vector<DecisionFixture> routers = fleet(given);
    constexpr Ticks kStart = 1000000;
    for (DecisionFixture &one : routers) {
        one.set_time(kStart);
        std::vector<HostEntry> hosts;
        for (int i = 0; i < kHosts; ++i)
            hosts.push_back({std::to_string(i), 0, 0, 0, 1, HostStatus::ready, 1, kStart});
        one.router->update_hosts(hosts, true);
    }
    std::vector<std::deque<Ticks>> sent(kHosts);
    // What a warm host serves a second where this traffic is 0.6 of what all can do.
    const double full = kRate * 104 / kHosts / 0.6;
    long asked = 0, picked = 0;
    Pcg32 rng;
    rng.state = 5;
    for (Ticks now = kStart + kStep; now <= kStart + 50000; now += kStep)
        for (std::size_t i = 0; i < routers.size(); ++i) {
            DecisionFixture &one = routers[i];
            one.set_time(now);
            for (int n = i == 0 ? 5 : 1; n-- > 0;) {
                if (rng.uniform() >= kRate * kStep / 10000) continue;
                const std::string id = std::to_string(one.next_id++) + "r";
                one.send_rpc(id, now + 20000);
                asked += now > kStart + 20000;
                for (const Decision &made : one.take_decisions(Action::pick)) {
                    std::deque<Ticks> &at = sent[std::stoi(made.host)];
                    at.push_back(now);
                    while (at.front() < now - given.overload_window) at.pop_front();
                    const double grown = std::min(1.0, double(now - kStart) / given.warm_up_time);
                    const double n = 4 * (0.4 + 0.6 * grown) * full * given.overload_window / 10000;
                    assert(at.size() <= n + 3 * std::sqrt(n) + 3);
                    picked += now > kStart + 20000;
                    one.router->pick_ended(id, made.pick, Outcome::ok, 800, true, {});
                }
            }
        }
    assert(picked >= asked * 8 / 10);
}

// An instance with nothing that decides.
struct Bare : Instance {
    using Instance::Instance;
    void set_time(Ticks at) override { now = at; }
    void host_list_failed(Ticks) override {}
    void pick_ended(const std::string &, int, Outcome, Ticks, bool, const std::vector<double> &) override {}
    Decision next_decision() override { return {}; }
};

// A customer's quota, split among many routers, is under one RPC a second at each: what keeps within it
// counts so, what goes beyond does not.
void a_part_of_a_quota_under_one_adds_up() {
    DeploymentConfig given = fleet_config(300);
    given.tenant_quotas = {75};
    Bare one(given, 7);
    int within = 0;
    for (int i = 1; i <= 20; ++i) one.set_time(i * 40000), within += one.within_quota(0);
    assert(within >= 19);
    for (int i = 1; i <= 20; ++i) one.set_time(800000 + i * 4000), within += one.within_quota(0);
    assert(within <= 22);
}

} // namespace

int main() {
    a_part_of_a_quota_under_one_adds_up();
    hosts_that_fail_send_no_good_build_back();
    a_failing_build_is_found_by_a_hundred();
    a_crowd_at_its_first_hosts_sends_no_good_build_back();
    failures_of_one_of_many_speak_where_they_strike_widely();
    votes_of_a_fleet_fit_what_is_taken();
    a_cold_zone_is_served_within_its_parts();
    a_fleets_start_leaves_discoverys_line_short();
    few_routers_ask_at_once();
}
