// Property test of the connection limiter: random sequences of connections, RPCs and rule changes, with the
// invariants checked after each step. Times are ticks.
#include "admission/connection_limiter.hpp"

#include <memory>
#include <rapidcheck.h>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

// One step of a sequence; `kind` selects what happens (see run).
struct Step {
    int kind;
    int connection; // index among the admitted ones, modulo their number
    int source; // of a new connection: selects its address
};
std::ostream &operator<<(std::ostream &out, const Step &step) {
    return out << "{" << step.kind << "," << step.connection << "," << step.source << "}";
}

rc::Gen<Step> steps() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 24)),
        [](const auto &values) {
            return Step{std::get<0>(values), std::get<1>(values), std::get<2>(values)};
        });
}

// Three crowds: 10.0.0.0/8, 11.0.0.0/8 and the others.
AdmissionSettings random_rules() {
    AdmissionSettings rules;
    rules.crowds.clear();
    for (const char *name : {"others", "desks", "kiosks"}) {
        Crowd crowd{name};
        crowd.weight = *rc::gen::inRange(1, 5);
        crowd.reserved_connections = *rc::gen::inRange(0, 4);
        crowd.max_connections = *rc::gen::element(0, 5, 12);
        crowd.max_per_address = *rc::gen::element(0, 2, 4);
        crowd.max_per_network = *rc::gen::element(0, 3, 6);
        if (crowd.max_connections > 0)
            crowd.max_connections = std::max(crowd.max_connections, crowd.reserved_connections);
        rules.crowds.push_back(crowd);
    }
    rules.networks = NetworkTable({{read_network("10.0.0.0/8"), 1}, {read_network("11.0.0.0/8"), 2}});
    rules.max_addresses = 64;
    return rules;
}

AddressBits address_of_source(int source) {
    const std::uint32_t bases[] = {0x01000000, 0x0a000000, 0x0b000000};
    return to_address_bits(
        boost::asio::ip::address_v4(bases[source % 3] + static_cast<std::uint32_t>(source / 3) * 100));
}

void require(bool satisfied, const char *name) {
    if (!satisfied) RC_FAIL(name);
}

void run(const std::vector<Step> &steps) {
    constexpr std::size_t kCapacity = 12;
    std::vector<AdmissionSettings> rules{random_rules(), random_rules()};
    std::size_t current_rules = 0;
    ConnectionLimiter limiter(rules[0], kCapacity, 1);
    std::vector<std::unique_ptr<ClientConnection>> connections;
    std::vector<int> open_rpcs; // of each connection
    Ticks now = 0;
    const auto close = [&](std::size_t index) {
        limiter.closed(*connections[index]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        open_rpcs.erase(open_rpcs.begin() + static_cast<std::ptrdiff_t>(index));
    };
    for (const Step &step : steps) {
        now += 20;
        const std::size_t selected =
            connections.empty() ? 0 : static_cast<std::size_t>(step.connection) % connections.size();
        if (step.kind < 6) {
            const AdmissionSettings &active = rules[current_rules];
            auto connection = std::make_unique<ClientConnection>();
            const int crowd = std::max(0, active.networks.group_of(address_of_source(step.source)));
            const int crowd_before = limiter.open_connections(crowd);
            const std::size_t total_before = limiter.open_connections();
            const ConnectionDecision decision =
                limiter.try_admit(*connection, address_of_source(step.source), now);
            if (decision.evicted) {
                std::size_t evicted = 0;
                while (connections[evicted].get() != decision.evicted) ++evicted;
                require(open_rpcs[evicted] == 0, "a connection with an open RPC was evicted");
                close(evicted);
            }
            if (decision.admitted()) {
                const Crowd &rule = active.crowds[static_cast<std::size_t>(crowd)];
                require(rule.max_connections == 0 || crowd_before < rule.max_connections,
                        "a connection over the crowd limit was admitted");
                connections.push_back(std::move(connection));
                open_rpcs.push_back(0);
            } else {
                require(decision.retry_after >= 2000 && decision.retry_after <= 400000,
                        "the retry-after time is out of bounds");
                // While connections are free, a crowd below its reserve is not refused for lack of capacity.
                if (decision.reason == RefusalReason::no_capacity && total_before < kCapacity)
                    require(crowd_before >=
                                active.crowds[static_cast<std::size_t>(crowd)].reserved_connections,
                            "a connection within the reserve was refused");
            }
        } else if (connections.empty()) {
            continue;
        } else if (step.kind < 8) {
            limiter.rpc_started(*connections[selected]);
            ++open_rpcs[selected];
        } else if (step.kind < 10) {
            if (open_rpcs[selected] == 0) continue;
            limiter.rpc_finished(*connections[selected], step.source % 2 == 0, now);
            --open_rpcs[selected];
        } else if (step.kind == 10) {
            close(selected);
        } else {
            current_rules = 1 - current_rules;
            limiter.set_rules(rules[current_rules]);
        }
        require(limiter.open_connections() == connections.size() && limiter.open_connections() <= kCapacity,
                "admitted connections are not all counted");
        int by_crowd = 0;
        for (int i = 0; i < 3; ++i) by_crowd += limiter.open_connections(i);
        require(by_crowd == static_cast<int>(connections.size()), "crowds do not add up to all connections");
        require(limiter.source_count() <= 64 + 2 * kCapacity + 2, "more sources are kept than allowed");
        const ClientConnection *const candidate = limiter.next_to_evict(now + 100000, 0);
        for (std::size_t i = 0; i < connections.size(); ++i)
            require(connections[i].get() != candidate || open_rpcs[i] == 0,
                    "the next connection to evict has an open RPC");
    }
    while (!connections.empty()) close(0);
    require(limiter.open_connections() == 0, "closed connections are still counted");
}

} // namespace

int main() {
    return rc::check("the invariants of the connection limiter hold",
                     [] { run(*rc::gen::container<std::vector<Step>>(steps())); })
               ? 0
               : 1;
}
