// What a pick and a change of the list cost the module with 10, 150 and 1,024 hosts, as ratios to 10 hosts.
// No argument; a line each: hosts, microseconds for a pick and for a change of one entry, their ratios.
#include "logic.hpp"

#include <chrono>
#include <cstdio>
#include <string>

using namespace pineridge;

namespace {

DeploymentConfig terms() {
    DeploymentConfig given{};
    given.instances = 300;
    given.may_cancel = given.second_copies = true;
    given.max_picks = 5;
    given.warm_up_time = given.overload_window = 30000;
    given.cold_capacity_share = 0.3;
    given.overload_multiple = 4;
    given.methods = {{RepeatPolicy::idempotent, TokenScope::all, 6000, 10000, 1, false}};
    given.rollout.votes_to_advance = 1;
    given.rollout.exposure_window = 30000;
    given.rollout.vote_lifetime = 60000;
    given.rollout.key_affinity = true;
    given.rollout.stage_shares = given.rollout.stage_caps = {1};
    return given;
}

double micros(const std::chrono::steady_clock::time_point since, int times) {
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - since;
    return took.count() / times;
}

void drain(Router &router) {
    while (router.next_decision().action != Action::none) {
    }
}

} // namespace

int main() {
    constexpr int kRpcs = 20000, kChanges = 2000;
    double pick_at_ten = 0, change_at_ten = 0;
    for (const int hosts : {10, 150, 1024}) {
        const auto router = make_router(terms(), 1);
        const auto entry = [](int i) {
            return HostEntry{"s-" + std::to_string(i), 0, 0, 0, 1, HostStatus::ready, 1, 0};
        };
        std::vector<HostEntry> all;
        for (int i = 0; i < hosts; ++i) all.push_back(entry(i));
        Ticks now = 1000;
        router->set_time(now);
        router->update_hosts(all, true);
        router->update_rollout({1, 0, Phase::released, false, true, 1, 0});
        drain(*router);
        const auto picks_since = std::chrono::steady_clock::now();
        for (int i = 0; i < kRpcs; ++i) { // 50 a second
            router->set_time(now += 200);
            const std::string id = "r" + std::to_string(i);
            router->rpc_arrived({id, 0, 0, "k" + std::to_string(i % 500), now + 20000, false});
            for (Decision made = router->next_decision(); made.action != Action::none;
                 made = router->next_decision())
                if (made.action == Action::pick)
                    router->pick_ended(id, made.pick, Outcome::ok, 1000, true, {});
        }
        const double pick = micros(picks_since, kRpcs);
        const auto changes_since = std::chrono::steady_clock::now();
        for (int i = 0; i < kChanges; ++i) {
            HostEntry one = entry(i % hosts);
            one.started = ++now;
            router->update_hosts({one}, false);
            drain(*router);
        }
        const double change = micros(changes_since, kChanges);
        if (hosts == 10) pick_at_ten = pick, change_at_ten = change;
        std::printf("%d hosts: pick %.2f us, x%.1f; change %.2f us, x%.1f\n", hosts, pick, pick / pick_at_ten,
                    change, change / change_at_ten);
    }
}
