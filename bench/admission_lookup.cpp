// What looking an address up costs with 10, 1,000 and 100,000 networks, what a door costs for each connection
// of a flood from a million sources, and what it holds then.
//
//   build/tests/bench_admission_lookup
#include "admission/connection_limiter.hpp"
#include "standins/program/program.hpp"

#include <chrono>
#include <iostream>
#include <random>
#include <set>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

using Clock = std::chrono::steady_clock;

double ns_since(Clock::time_point began, int count) {
    return std::chrono::duration<double, std::nano>(Clock::now() - began).count() / count;
}

NetworkTable random_networks(int count, std::mt19937_64 &chance) {
    std::vector<NetworkTable::Entry> entries;
    std::set<Network> seen;
    while (static_cast<int>(entries.size()) < count) {
        const bool four = chance() % 2 == 0;
        const int bits =
            four ? 96 + 12 + static_cast<int>(chance() % 17) : 24 + static_cast<int>(chance() % 41);
        const AddressBits at = four ? AddressBits{0, 0xffff00000000 | (chance() & 0xffffffff)}
                                    : AddressBits{0x2000000000000000 | chance() >> 4, chance()};
        const Network network{mask_to_prefix(at, bits), bits};
        if (seen.insert(network).second) entries.push_back({network, static_cast<int>(chance() % 100)});
    }
    return NetworkTable(std::move(entries));
}

} // namespace

int main() {
    std::mt19937_64 chance(1);
    for (const int count : {10, 1000, 100000}) {
        const auto built = Clock::now();
        const NetworkTable networks = random_networks(count, chance);
        const double build_ms = ns_since(built, 1) / 1e6;
        std::vector<AddressBits> asked;
        for (int i = 0; i < 1 << 16; ++i)
            asked.push_back(i % 2 ? AddressBits{0, 0xffff00000000 | (chance() & 0xffffffff)}
                                  : AddressBits{0x2000000000000000 | chance() >> 4, chance()});
        long sum = 0;
        constexpr int kRounds = 20;
        const auto began = Clock::now();
        for (int round = 0; round < kRounds; ++round)
            for (const AddressBits &one : asked) sum += networks.group_of(one);
        std::cout << count << " networks: " << ns_since(began, kRounds * static_cast<int>(asked.size()))
                  << " ns a look-up, made in " << build_ms << " ms" << (sum == 0 ? " " : "") << "\n";
    }
    AdmissionSettings rules;
    rules.crowds[0].max_per_address = 20;
    const long before = standins::resident_kb("self");
    ConnectionLimiter limiter(rules, 586, 1);
    std::vector<ClientConnection> guests(586);
    for (std::size_t i = 0; i < guests.size(); ++i)
        limiter.try_admit(guests[i], {0, 0xffff0a000000 + i}, 0), limiter.rpc_started(guests[i]);
    constexpr int kSources = 1000000;
    ClientConnection passing;
    const auto began = Clock::now();
    for (int i = 0; i < kSources; ++i)
        limiter.try_admit(passing, {0, 0xffff20000000 + static_cast<std::uint64_t>(i)}, i);
    std::cout << "flood from " << kSources << " sources: " << ns_since(began, kSources)
              << " ns a connection, " << limiter.source_count() << " addresses kept, "
              << standins::resident_kb("self") - before << " KiB more, refused "
              << limiter.refusals(RefusalReason::no_capacity) << "\n";
}
