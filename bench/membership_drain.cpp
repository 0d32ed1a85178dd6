// Time from the writing of a drain into the registry to the last pick at its host: a whole router on loopback
// at 500 RPCs a second, a registry on grpc++; calm and in faults.
//
//   build/tests/bench_membership_drain [DRAINS]
#include "../tests/membership/world.hpp"

#include <algorithm>

int main(int argc, char **argv) {
    const int drains = argc > 1 ? std::atoi(argv[1]) : 20;
    pineridge::test::RegistryWorld world;
    auto host = world.town.hosts.begin();
    const auto nothing = [] {};
    const auto measure = [&](const char *name, const std::function<void()> &before,
                             const std::function<void()> &after) {
        std::vector<double> took;
        for (int i = 0; i < drains; ++i) {
            if (++host == world.town.hosts.end()) host = world.town.hosts.begin();
            took.push_back(world.drain(*host, before, after));
        }
        std::sort(took.begin(), took.end());
        const auto part = [&](double share) {
            return took[static_cast<std::size_t>(share * (took.size() - 1))];
        };
        std::cout << name << ": p50 " << part(0.5) << " ms, p99 " << part(0.99) << " ms, most " << took.back()
                  << " ms of " << drains << "\n";
    };
    measure("calm", nothing, nothing);
    measure(
        "stream cancelled just before", [&] { world.registry.drop(); }, nothing);
    measure(
        "told to nobody (a look each 0.4 s)", [&] { world.registry.pass_over(1); }, nothing);
}
