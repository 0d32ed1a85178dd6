// Measures the time of a pick and of a host list change in the decision module with 10, 150 and 1,024 hosts.
// Prints a line for each number of hosts: microseconds for a pick and for the change of one list entry, each
// also as a ratio to its value with 10 hosts. Takes no arguments.
#include "logic.hpp"

#include <chrono>
#include <cstdio>
#include <string>

using namespace pineridge;

namespace {

DeploymentConfig deployment_config() {
    DeploymentConfig config{};
    config.instances = 300;
    config.may_cancel = config.second_copies = true;
    config.max_picks = 5;
    config.warm_up_time = config.overload_window = 30000;
    config.cold_capacity_share = 0.3;
    config.overload_multiple = 4;
    config.methods = {{RepeatPolicy::idempotent, TokenScope::all, 6000, 10000, 1, false}};
    config.rollout.votes_to_advance = 1;
    config.rollout.exposure_window = 30000;
    config.rollout.vote_lifetime = 60000;
    config.rollout.key_affinity = true;
    config.rollout.stage_shares = config.rollout.stage_caps = {1};
    return config;
}

double mean_microseconds(const std::chrono::steady_clock::time_point since, int repetitions) {
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - since;
    return elapsed.count() / repetitions;
}

void take_decisions(Router &router) {
    while (router.next_decision().action != Action::none) {
    }
}

} // namespace

int main() {
    constexpr int kRpcs = 20000;
    constexpr int kChanges = 2000;
    double pick_us_at_ten = 0;
    double change_us_at_ten = 0;
    for (const int hosts : {10, 150, 1024}) {
        const auto router = make_router(deployment_config(), 1);
        const auto entry = [](int i) {
            return HostEntry{"s-" + std::to_string(i), 0, 0, 0, 1, HostStatus::ready, 1, 0};
        };
        std::vector<HostEntry> entries;
        for (int i = 0; i < hosts; ++i) entries.push_back(entry(i));
        Ticks now = 1000;
        router->set_time(now);
        router->update_hosts(entries, true);
        router->update_rollout({1, 0, Phase::released, false, true, 1, 0});
        take_decisions(*router);
        const auto picks_began = std::chrono::steady_clock::now();
        for (int i = 0; i < kRpcs; ++i) { // 200 ticks apart: 50 RPCs per second
            router->set_time(now += 200);
            const std::string id = "r" + std::to_string(i);
            router->rpc_arrived({id, 0, 0, "k" + std::to_string(i % 500), now + 20000, false});
            for (Decision decision = router->next_decision(); decision.action != Action::none;
                 decision = router->next_decision())
                if (decision.action == Action::pick)
                    router->pick_ended(id, decision.pick, Outcome::ok, 1000, true, {});
        }
        const double pick = mean_microseconds(picks_began, kRpcs);
        const auto changes_began = std::chrono::steady_clock::now();
        for (int i = 0; i < kChanges; ++i) {
            HostEntry changed = entry(i % hosts);
            changed.started = ++now;
            router->update_hosts({changed}, false);
            take_decisions(*router);
        }
        const double change = mean_microseconds(changes_began, kChanges);
        if (hosts == 10) {
            pick_us_at_ten = pick;
            change_us_at_ten = change;
        }
        std::printf("%d hosts: pick %.2f us, x%.1f; change %.2f us, x%.1f\n", hosts, pick,
                    pick / pick_us_at_ten, change, change / change_us_at_ten);
    }
}
