// Measures the time of an address look-up with 10, 1,000 and 100,000 networks. Measures the time and memory
// that the connection limiter uses under a flood from a million source addresses.
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

NetworkTable random_networks(int count, std::mt19937_64 &random) {
    std::vector<NetworkTable::Entry> entries;
    std::set<Network> seen;
    while (static_cast<int>(entries.size()) < count) {
        const bool is_v4 = random() % 2 == 0;
        const int prefix_length =
            is_v4 ? 96 + 12 + static_cast<int>(random() % 17) : 24 + static_cast<int>(random() % 41);
        const AddressBits address = is_v4 ? AddressBits{0, 0xffff00000000 | (random() & 0xffffffff)}
                                          : AddressBits{0x2000000000000000 | random() >> 4, random()};
        const Network network{mask_to_prefix(address, prefix_length), prefix_length};
        if (seen.insert(network).second) entries.push_back({network, static_cast<int>(random() % 100)});
    }
    return NetworkTable(std::move(entries));
}

} // namespace

int main() {
    std::mt19937_64 random(1);
    for (const int count : {10, 1000, 100000}) {
        const auto build_began = Clock::now();
        const NetworkTable networks = random_networks(count, random);
        const double build_ms = ns_since(build_began, 1) / 1e6;
        std::vector<AddressBits> addresses;
        for (int i = 0; i < 1 << 16; ++i)
            addresses.push_back(i % 2 ? AddressBits{0, 0xffff00000000 | (random() & 0xffffffff)}
                                      : AddressBits{0x2000000000000000 | random() >> 4, random()});
        long group_sum = 0;
        constexpr int kRounds = 20;
        const auto began = Clock::now();
        for (int round = 0; round < kRounds; ++round)
            for (const AddressBits &address : addresses) group_sum += networks.group_of(address);
        std::cout << count << " networks: " << ns_since(began, kRounds * static_cast<int>(addresses.size()))
                  << " ns per look-up, built in " << build_ms << " ms" << (group_sum == 0 ? " " : "") << "\n";
    }
    AdmissionSettings rules;
    rules.crowds[0].max_per_address = 20;
    const long memory_before_kb = standins::resident_kb("self");
    ConnectionLimiter limiter(rules, 586, 1);
    std::vector<ClientConnection> clients(586);
    for (std::size_t i = 0; i < clients.size(); ++i) {
        limiter.try_admit(clients[i], {0, 0xffff0a000000 + i}, 0);
        limiter.rpc_started(clients[i]);
    }
    constexpr int kSources = 1000000;
    ClientConnection flood_connection;
    const auto began = Clock::now();
    for (int i = 0; i < kSources; ++i)
        limiter.try_admit(flood_connection, {0, 0xffff20000000 + static_cast<std::uint64_t>(i)}, i);
    std::cout << "flood from " << kSources << " sources: " << ns_since(began, kSources)
              << " ns per connection, " << limiter.source_count() << " addresses tracked, "
              << standins::resident_kb("self") - memory_before_kb << " KiB more, refused "
              << limiter.refusals(RefusalReason::no_capacity) << "\n";
}
