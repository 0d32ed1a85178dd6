// Measures the time from the write of a host's drain to the registry until the last pick at that host,
// without faults and under registry faults. A complete router on loopback serves 500 RPCs per second; the
// registry is implemented with gRPC C++.
//
//   build/tests/bench_membership_drain [DRAINS]
#include "../tests/membership/world.hpp"

#include <algorithm>

int main(int argc, char **argv) {
    const int drains = argc > 1 ? std::atoi(argv[1]) : 20;
    pineridge::test::RegistryWorld world;
    auto host = world.town.hosts.begin();
    const auto no_action = [] {};
    const auto measure = [&](const char *name, const std::function<void()> &before,
                             const std::function<void()> &after) {
        std::vector<double> delays_ms;
        for (int i = 0; i < drains; ++i) {
            if (++host == world.town.hosts.end()) host = world.town.hosts.begin();
            delays_ms.push_back(world.drain_delay_ms(*host, before, after));
        }
        std::sort(delays_ms.begin(), delays_ms.end());
        const auto quantile = [&](double share) {
            return delays_ms[static_cast<std::size_t>(share * (delays_ms.size() - 1))];
        };
        std::cout << name << ": p50 " << quantile(0.5) << " ms, p99 " << quantile(0.99) << " ms, most "
                  << delays_ms.back() << " ms of " << drains << "\n";
    };
    measure("no faults", no_action, no_action);
    measure(
        "watch cancelled just before the drain", [&] { world.registry.cancel_streams(); }, no_action);
    measure(
        "watch event lost (audit every 0.4 s)", [&] { world.registry.skip_events(1); }, no_action);
}
