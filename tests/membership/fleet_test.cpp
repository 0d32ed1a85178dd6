// Hard case 6 at a size that fits in CI: many sources follow one registry whose hosts change all the time.
// Every view receives every drain exactly once. The delays are measured in bench/.
#undef NDEBUG
#include "fleet.hpp"

#include <cassert>
#include <iostream>

using namespace pineridge;
using namespace pineridge::membership;

int main() {
    constexpr int kHosts = 1000, kRouters = 30, kChanges = 300, kDrains = 20;
    standins::Registry registry;
    std::vector<standins::KeyChange> updates;
    for (int i = 0; i < kHosts; ++i)
        updates.push_back(
            {0, "/hosts/h" + std::to_string(i), R"({"state":"in_service","started_ms":0})", false});
    registry.write(updates);
    SourceFleet fleet(registry, kRouters, 2, 0);
    const auto until = [&](const std::function<bool()> &held) {
        const auto end = Clock::now() + std::chrono::seconds(60);
        while (!held()) {
            assert(Clock::now() < end);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    };
    until([&] {
        return fleet.received_entries() == std::size_t{kHosts} * kRouters && registry.watches() >= kRouters;
    });
    for (int i = 0; i < kChanges; ++i) {
        fleet.ready("h" + std::to_string(i * 7 % 500));
        if (i % (kChanges / kDrains) == 0) fleet.drain("h" + std::to_string(500 + i));
        if (i == kChanges / 2) registry.cancel_streams();
    }
    std::size_t drains_seen = 0;
    until(
        [&] { return (drains_seen += fleet.take_drain_delays().size()) >= std::size_t{kDrains} * kRouters; });
    assert(drains_seen == std::size_t{kDrains} * kRouters); // each drain once in each view
}
