// Tests of the connection limiter: which connections it admits, refuses and evicts. Times are ticks.
#undef NDEBUG
#include "admission/connection_limiter.hpp"

#include <cassert>
#include <memory>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

AddressBits parse_address(const std::string &text) {
    return to_address_bits(boost::asio::ip::make_address(text));
}

// Two crowds: desks are the clients in 10.0.0.0/8, others are all the rest.
AdmissionSettings rules_of(Crowd others, Crowd desks) {
    AdmissionSettings rules;
    rules.crowds = {std::move(others), std::move(desks)};
    rules.networks = NetworkTable({{read_network("10.0.0.0/8"), 1}});
    return rules;
}

struct Fixture {
    Fixture(AdmissionSettings initial_rules, std::size_t capacity)
        : rules(std::move(initial_rules)), limiter(rules, capacity, 7) {}
    // Opens a connection, and closes the one evicted for it.
    ConnectionDecision open(const std::string &from, Ticks now = 0) {
        connections.push_back(std::make_unique<ClientConnection>());
        const ConnectionDecision decision = limiter.try_admit(*connections.back(), parse_address(from), now);
        if (decision.evicted) limiter.closed(*decision.evicted);
        if (!decision.admitted()) connections.pop_back();
        return decision;
    }
    // The connection admitted last.
    ClientConnection &last() { return *connections.back(); }
    // One RPC of the connection starts and is served.
    void serve(ClientConnection &connection, Ticks now) {
        limiter.rpc_started(connection);
        limiter.rpc_finished(connection, true, now);
    }
    AdmissionSettings rules;
    ConnectionLimiter limiter;
    std::vector<std::unique_ptr<ClientConnection>> connections;
};

void reserved_connections_are_kept_for_their_crowd() {
    Fixture fixture(rules_of({"others"}, {"desks", 1, 4}), 10);
    for (int i = 0; i < 6; ++i) assert(fixture.open("1.0.0." + std::to_string(i)).admitted());
    const ConnectionDecision seventh = fixture.open("1.0.0.9");
    assert(seventh.reason == RefusalReason::no_capacity && seventh.retry_after > 0);
    for (int i = 0; i < 4; ++i) {
        const ConnectionDecision decision = fixture.open("10.0.0." + std::to_string(i));
        assert(decision.admitted() && !decision.evicted);
    }
}

void a_crowd_below_its_share_evicts_from_one_above() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 10);
    for (int i = 0; i < 10; ++i) assert(fixture.open("1.0.0." + std::to_string(i), i).admitted());
    ClientConnection &oldest = *fixture.connections.front();
    for (int i = 0; i < 5; ++i) {
        const ConnectionDecision decision = fixture.open("10.0.0." + std::to_string(i), 1000);
        assert(decision.admitted() && decision.evicted);
        assert(i > 0 || decision.evicted == &oldest);
    }
    assert(fixture.limiter.open_connections(1) == 5 && fixture.limiter.open_connections(0) == 5);
    // At its share, a crowd evicts only its own connections.
    const ConnectionDecision decision = fixture.open("10.0.0.99", 2000);
    assert(!decision.evicted || decision.evicted->crowd == 1);
    assert(fixture.limiter.open_connections(1) == 5);
}

void capacity_is_shared_by_weight() {
    Fixture fixture(rules_of({"others", 1}, {"desks", 3}), 100);
    for (int i = 0; i < 300; ++i) {
        fixture.open("1.0." + std::to_string(i / 200) + "." + std::to_string(i % 200), i * 100);
        fixture.open("10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200), i * 100);
    }
    assert(fixture.limiter.open_connections(1) == 75 && fixture.limiter.open_connections(0) == 25);
}

void a_connection_with_an_open_rpc_is_never_evicted() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 3);
    for (int i = 0; i < 3; ++i) {
        assert(fixture.open("1.0.0." + std::to_string(i)).admitted());
        fixture.limiter.rpc_started(fixture.last());
    }
    assert(fixture.open("10.0.0.1", 100000).reason == RefusalReason::no_capacity);
    assert(fixture.limiter.next_to_evict(100000, 0) == nullptr);
    fixture.limiter.rpc_finished(*fixture.connections[1], true, 100000);
    // A connection whose RPC finished just now is not evicted either.
    assert(fixture.open("10.0.0.1", 100000).reason == RefusalReason::no_capacity);
    assert(fixture.open("10.0.0.1", 100000 + ConnectionLimiter::kMinIdleBeforeEviction).evicted != nullptr);
}

void unserved_connections_are_evicted_before_served_ones() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 3);
    fixture.open("1.0.0.1");
    ClientConnection &served = fixture.last();
    fixture.serve(served, 10);
    fixture.open("1.0.0.2", 20);
    ClientConnection &unserved = fixture.last();
    fixture.open("1.0.0.3", 30);
    assert(fixture.limiter.next_to_evict(1000, 0) == &unserved);
    assert(fixture.open("1.0.0.4", 1000).evicted == &unserved);
}

void an_untrusted_newcomer_evicts_no_served_connection() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 2);
    for (const char *address : {"1.0.0.1", "1.0.0.2"}) {
        fixture.open(address);
        fixture.serve(fixture.last(), 10);
    }
    assert(fixture.open("1.0.0.3", 100000).reason == RefusalReason::no_capacity);
    // A newcomer from a trusted address does: the connection idle for longest is evicted.
    ClientConnection &first = *fixture.connections.front();
    for (int i = 0; i < 3; ++i) fixture.serve(*fixture.connections[1], 20 + i);
    assert(fixture.open("1.0.0.2", 100000).evicted == &first);
}

// A flood from the same address as a legitimate client must not cost that client its connection.
void connections_behind_one_gateway_are_tracked_separately() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 4);
    fixture.open("1.0.0.1");
    ClientConnection &legitimate = fixture.last();
    for (int i = 0; i < 5; ++i) fixture.serve(legitimate, i);
    for (int i = 0; i < 50; ++i) fixture.open("1.0.0.1", 100 + i * 100);
    assert(legitimate.address_source && fixture.limiter.open_connections() == 4);
    assert(fixture.limiter.next_to_evict(100000, 0) != &legitimate);
}

void each_limit_has_its_refusal_reason() {
    Crowd bounded{"others"};
    bounded.max_per_address = 2;
    bounded.max_per_network = 3;
    bounded.max_connections = 5;
    Fixture fixture(rules_of(bounded, {"desks"}), 100);
    fixture.open("1.0.0.1");
    fixture.open("1.0.0.1");
    assert(fixture.open("1.0.0.1").reason == RefusalReason::address_limit);
    // The IPv4-mapped IPv6 address is the same address.
    assert(fixture.open("::ffff:1.0.0.1").reason == RefusalReason::address_limit);
    assert(fixture.open("1.0.0.2").admitted());
    assert(fixture.open("1.0.0.3").reason == RefusalReason::network_limit);
    assert(fixture.open("2001:db8::1").admitted() && fixture.open("2001:db8:0:ff::1").admitted());
    assert(fixture.open("3.0.0.1").reason == RefusalReason::crowd_limit);
    assert(fixture.open("10.0.0.1").admitted());
    fixture.limiter.closed(*fixture.connections[0]);
    assert(fixture.open("1.0.0.1").admitted());
}

void the_rate_of_new_connections_is_limited() {
    Crowd rate_limited{"others"};
    rate_limited.opens_per_s = 10;
    rate_limited.open_burst = 3;
    Fixture fixture(rules_of(rate_limited, {"desks"}), 100);
    for (int i = 0; i < 3; ++i) assert(fixture.open("1.0.0.1", 0).admitted());
    const ConnectionDecision fourth = fixture.open("1.0.0.1", 0);
    assert(fourth.reason == RefusalReason::open_rate_limit && fourth.retry_after >= 1000);
    assert(fixture.open("1.0.0.2", 0).admitted());
    assert(fixture.open("1.0.0.1", 1001).admitted());
    assert(fixture.open("1.0.0.1", 1002).reason == RefusalReason::open_rate_limit);
}

void source_state_is_bounded_and_a_flood_evicts_its_own() {
    AdmissionSettings rules = rules_of({"others"}, {"desks"});
    rules.max_addresses = 1000;
    Fixture fixture(rules, 50);
    fixture.open("1.2.3.4");
    ClientConnection &served = fixture.last();
    for (int i = 0; i < 10; ++i) fixture.serve(served, i);
    fixture.limiter.closed(served);
    ClientConnection passing;
    for (std::uint32_t i = 0; i < 1000000; ++i) {
        const AddressBits from = to_address_bits(boost::asio::ip::address_v4(0x20000000 + i));
        if (fixture.limiter.try_admit(passing, from, 100 + i).admitted()) fixture.limiter.closed(passing);
        assert(fixture.limiter.source_count() <= 1010);
    }
    const std::string explanation = fixture.limiter.explain(parse_address("1.2.3.4"), 200);
    assert(explanation.find("trusted: its connections are closed after") != std::string::npos);
    assert(fixture.limiter.explain(parse_address("32.0.0.1"), 200).find("untrusted: ") != std::string::npos);
}

void trust_decays() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 50);
    fixture.open("1.2.3.4");
    for (int i = 0; i < 4; ++i) fixture.serve(fixture.last(), 0);
    assert(fixture.limiter.explain(parse_address("1.2.3.4"), 0)
               .find("trusted: its connections are closed after") != std::string::npos);
    assert(fixture.limiter.explain(parse_address("1.2.3.4"), fixture.rules.trust_half_life)
               .find("untrusted: ") != std::string::npos);
}

void new_rules_count_admitted_connections() {
    Fixture fixture(rules_of({"others"}, {"desks"}), 10);
    for (int i = 0; i < 4; ++i) fixture.open("1.0.0." + std::to_string(i));
    fixture.limiter.rpc_started(*fixture.connections[0]);
    Crowd limited{"guests"};
    limited.max_connections = 4;
    AdmissionSettings next = rules_of({"others"}, limited);
    next.networks = NetworkTable({{read_network("1.0.0.0/24"), 1}});
    fixture.limiter.set_rules(next);
    assert(fixture.limiter.open_connections(1) == 4 && fixture.limiter.open_connections(0) == 0 &&
           fixture.limiter.open_connections() == 4);
    assert(fixture.open("1.0.0.9").reason == RefusalReason::crowd_limit);
    // The first connection has an open RPC.
    assert(fixture.limiter.next_to_evict(1000, 0) == fixture.connections[1].get());
    fixture.limiter.rpc_finished(*fixture.connections[0], true, 5);
    for (const auto &connection : fixture.connections) fixture.limiter.closed(*connection);
    assert(fixture.limiter.open_connections() == 0);
    fixture.connections.clear();
    fixture.limiter.set_rules(fixture.rules);
}

// Otherwise clients that are refused together would all come back at the same time.
void retry_after_times_of_refused_connections_are_spread() {
    Crowd limited{"others"};
    limited.max_connections = 1;
    Fixture fixture(rules_of(limited, {"desks"}), 10);
    fixture.open("1.0.0.1");
    Ticks least = 1000000, most = 0;
    for (int i = 0; i < 200; ++i) {
        const Ticks retry_after = fixture.open("1.0.1." + std::to_string(i)).retry_after;
        least = std::min(least, retry_after);
        most = std::max(most, retry_after);
    }
    assert(least >= 2000 && most <= 4000 && most - least > 1500);
}

} // namespace

int main() {
    reserved_connections_are_kept_for_their_crowd();
    a_crowd_below_its_share_evicts_from_one_above();
    capacity_is_shared_by_weight();
    a_connection_with_an_open_rpc_is_never_evicted();
    unserved_connections_are_evicted_before_served_ones();
    an_untrusted_newcomer_evicts_no_served_connection();
    connections_behind_one_gateway_are_tracked_separately();
    each_limit_has_its_refusal_reason();
    the_rate_of_new_connections_is_limited();
    source_state_is_bounded_and_a_flood_evicts_its_own();
    trust_decays();
    new_rules_count_admitted_connections();
    retry_after_times_of_refused_connections_are_spread();
}
