// Who comes in and who goes: each test states rules and guests, and asks the door once.
#undef NDEBUG
#include "admission/connection_limiter.hpp"

#include <cassert>
#include <memory>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

Number at(const std::string &text) { return number_of(boost::asio::ip::make_address(text)); }

// Others, and desks at 10.0.0.0/8.
Entrance rules_of(Crowd others, Crowd desks) {
    Entrance rules;
    rules.crowds = {std::move(others), std::move(desks)};
    rules.networks = Networks({{read_network("10.0.0.0/8"), 1}});
    return rules;
}

struct House {
    House(Entrance its_rules, std::size_t room) : rules(std::move(its_rules)), limiter(rules, room, 7) {}
    ConnectionDecision come(const std::string &from, Ticks now = 0) {
        guests.push_back(std::make_unique<ClientConnection>());
        const ConnectionDecision verdict = limiter.try_admit(*guests.back(), at(from), now);
        if (verdict.evicted) limiter.closed(*verdict.evicted);
        if (!verdict.admitted()) guests.pop_back();
        return verdict;
    }
    ClientConnection &last() { return *guests.back(); }
    void serve(ClientConnection &guest, Ticks now) {
        limiter.rpc_started(guest);
        limiter.rpc_finished(guest, true, now);
    }
    Entrance rules;
    ConnectionLimiter limiter;
    std::vector<std::unique_ptr<ClientConnection>> guests;
};

void a_reserve_is_taken_by_no_other() {
    House house(rules_of({"others"}, {"desks", 1, 4}), 10);
    for (int i = 0; i < 6; ++i) assert(house.come("1.0.0." + std::to_string(i)).admitted());
    const ConnectionDecision seventh = house.come("1.0.0.9");
    assert(seventh.reason == RefusalReason::no_capacity && seventh.retry_after > 0);
    for (int i = 0; i < 4; ++i) {
        const ConnectionDecision desk = house.come("10.0.0." + std::to_string(i));
        assert(desk.admitted() && !desk.evicted);
    }
}

void a_crowd_below_its_share_takes_back_what_another_has_above() {
    House house(rules_of({"others"}, {"desks"}), 10);
    for (int i = 0; i < 10; ++i) assert(house.come("1.0.0." + std::to_string(i), i).admitted());
    ClientConnection &oldest = *house.guests.front();
    for (int i = 0; i < 5; ++i) {
        const ConnectionDecision desk = house.come("10.0.0." + std::to_string(i), 1000);
        assert(desk.admitted() && desk.evicted);
        assert(i > 0 || desk.evicted == &oldest);
    }
    assert(house.limiter.open_connections(1) == 5 && house.limiter.open_connections(0) == 5);
    // From then on each changes places with its own.
    const ConnectionDecision desk = house.come("10.0.0.99", 2000);
    assert(!desk.evicted || desk.evicted->crowd == 1);
    assert(house.limiter.open_connections(1) == 5);
}

void weights_part_the_room() {
    House house(rules_of({"others", 1}, {"desks", 3}), 100);
    for (int i = 0; i < 300; ++i) {
        house.come("1.0." + std::to_string(i / 200) + "." + std::to_string(i % 200), i * 100);
        house.come("10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200), i * 100);
    }
    assert(house.limiter.open_connections(1) == 75 && house.limiter.open_connections(0) == 25);
}

void one_with_an_rpc_open_never_goes() {
    House house(rules_of({"others"}, {"desks"}), 3);
    for (int i = 0; i < 3; ++i) {
        assert(house.come("1.0.0." + std::to_string(i)).admitted());
        house.limiter.rpc_started(house.last());
    }
    assert(house.come("10.0.0.1", 100000).reason == RefusalReason::no_capacity);
    assert(house.limiter.next_to_evict(100000, 0) == nullptr);
    house.limiter.rpc_finished(*house.guests[1], true, 100000);
    assert(house.come("10.0.0.1", 100000).reason ==
           RefusalReason::no_capacity); // it has only just been answered
    assert(house.come("10.0.0.1", 100000 + ConnectionLimiter::kMinIdle).evicted != nullptr);
}

void strangers_go_before_those_that_were_served() {
    House house(rules_of({"others"}, {"desks"}), 3);
    house.come("1.0.0.1");
    ClientConnection &known = house.last();
    house.serve(known, 10);
    house.come("1.0.0.2", 20);
    ClientConnection &stranger = house.last();
    house.come("1.0.0.3", 30);
    assert(house.limiter.next_to_evict(1000, 0) == &stranger);
    assert(house.come("1.0.0.4", 1000).evicted == &stranger);
}

void a_stranger_puts_out_nobody_known() {
    House house(rules_of({"others"}, {"desks"}), 2);
    for (const char *from : {"1.0.0.1", "1.0.0.2"}) {
        house.come(from);
        house.serve(house.last(), 10);
    }
    assert(house.come("1.0.0.3", 100000).reason == RefusalReason::no_capacity);
    // One whose address has earned trust may: the one idle longest goes.
    ClientConnection &first = *house.guests.front();
    for (int i = 0; i < 3; ++i) house.serve(*house.guests[1], 20 + i);
    assert(house.come("1.0.0.2", 100000).evicted == &first);
}

void behind_a_gateway_connections_are_known_one_by_one() {
    House house(rules_of({"others"}, {"desks"}), 4);
    house.come("1.0.0.1");
    ClientConnection &victim = house.last();
    for (int i = 0; i < 5; ++i) house.serve(victim, i);
    for (int i = 0; i < 50; ++i) house.come("1.0.0.1", 100 + i * 100); // the same address
    assert(victim.address_source && house.limiter.open_connections() == 4);
    assert(house.limiter.next_to_evict(100000, 0) != &victim);
}

void each_bound_has_its_word() {
    Crowd bounded{"others"};
    bounded.per_address = 2, bounded.per_network = 3, bounded.most = 5;
    House house(rules_of(bounded, {"desks"}), 100);
    house.come("1.0.0.1"), house.come("1.0.0.1");
    assert(house.come("1.0.0.1").reason == RefusalReason::address_limit);
    assert(house.come("::ffff:1.0.0.1").reason == RefusalReason::address_limit); // mapped: the same
    assert(house.come("1.0.0.2").admitted());
    assert(house.come("1.0.0.3").reason == RefusalReason::network_limit);
    assert(house.come("2001:db8::1").admitted() && house.come("2001:db8:0:ff::1").admitted());
    assert(house.come("3.0.0.1").reason == RefusalReason::crowd_limit);
    assert(house.come("10.0.0.1").admitted());
    house.limiter.closed(*house.guests[0]);
    assert(house.come("1.0.0.1").admitted());
}

void opening_is_paced() {
    Crowd paced{"others"};
    paced.opens = 10, paced.burst = 3;
    House house(rules_of(paced, {"desks"}), 100);
    for (int i = 0; i < 3; ++i) assert(house.come("1.0.0.1", 0).admitted());
    const ConnectionDecision fourth = house.come("1.0.0.1", 0);
    assert(fourth.reason == RefusalReason::open_rate_limit && fourth.retry_after >= 1000);
    assert(house.come("1.0.0.2", 0).admitted());
    assert(house.come("1.0.0.1", 1001).admitted());
    assert(house.come("1.0.0.1", 1002).reason == RefusalReason::open_rate_limit);
}

void state_is_bounded_and_a_flood_forgets_itself() {
    Entrance rules = rules_of({"others"}, {"desks"});
    rules.addresses = 1000;
    House house(rules, 50);
    house.come("1.2.3.4");
    ClientConnection &known = house.last();
    for (int i = 0; i < 10; ++i) house.serve(known, i);
    house.limiter.closed(known);
    ClientConnection passing;
    for (std::uint32_t i = 0; i < 1000000; ++i) {
        const Number from = number_of(boost::asio::ip::address_v4(0x20000000 + i));
        if (house.limiter.try_admit(passing, from, 100 + i).admitted()) house.limiter.closed(passing);
        assert(house.limiter.source_count() <= 1010);
    }
    const std::string told = house.limiter.explain(at("1.2.3.4"), 200);
    assert(told.find("trusted: its connections are closed after") != std::string::npos);
    assert(house.limiter.explain(at("32.0.0.1"), 200).find("untrusted: ") != std::string::npos);
}

void trust_fades() {
    House house(rules_of({"others"}, {"desks"}), 50);
    house.come("1.2.3.4");
    for (int i = 0; i < 4; ++i) house.serve(house.last(), 0);
    assert(house.limiter.explain(at("1.2.3.4"), 0).find("trusted: its connections are closed after") !=
           std::string::npos);
    assert(house.limiter.explain(at("1.2.3.4"), house.rules.trust_half).find("untrusted: ") !=
           std::string::npos);
}

void new_rules_count_those_inside() {
    House house(rules_of({"others"}, {"desks"}), 10);
    for (int i = 0; i < 4; ++i) house.come("1.0.0." + std::to_string(i));
    house.limiter.rpc_started(*house.guests[0]);
    Crowd few{"guests"};
    few.most = 4;
    Entrance next = rules_of({"others"}, few);
    next.networks = Networks({{read_network("1.0.0.0/24"), 1}});
    house.limiter.set_rules(next);
    assert(house.limiter.open_connections(1) == 4 && house.limiter.open_connections(0) == 0 &&
           house.limiter.open_connections() == 4);
    assert(house.come("1.0.0.9").reason == RefusalReason::crowd_limit);
    assert(house.limiter.next_to_evict(1000, 0) == house.guests[1].get()); // the first has an RPC open
    house.limiter.rpc_finished(*house.guests[0], true, 5);
    for (const auto &guest : house.guests) house.limiter.closed(*guest);
    assert(house.limiter.open_connections() == 0);
    house.guests.clear();
    house.limiter.set_rules(house.rules);
}

// Times to come back are spread, so that those refused together do not come together.
void refused_ones_come_back_apart() {
    Crowd none{"others"};
    none.most = 1;
    House house(rules_of(none, {"desks"}), 10);
    house.come("1.0.0.1");
    Ticks least = 1000000, most = 0;
    for (int i = 0; i < 200; ++i) {
        const Ticks back = house.come("1.0.1." + std::to_string(i)).retry_after;
        least = std::min(least, back), most = std::max(most, back);
    }
    assert(least >= 2000 && most <= 4000 && most - least > 1500);
}

} // namespace

int main() {
    a_reserve_is_taken_by_no_other();
    a_crowd_below_its_share_takes_back_what_another_has_above();
    weights_part_the_room();
    one_with_an_rpc_open_never_goes();
    strangers_go_before_those_that_were_served();
    a_stranger_puts_out_nobody_known();
    behind_a_gateway_connections_are_known_one_by_one();
    each_bound_has_its_word();
    opening_is_paced();
    state_is_bounded_and_a_flood_forgets_itself();
    trust_fades();
    new_rules_count_those_inside();
    refused_ones_come_back_apart();
}
