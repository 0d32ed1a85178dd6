// Addresses by longest prefix: the table against a plain search, and what is no network.
#undef NDEBUG
#include "base/bad_input.hpp"
#include "base/networks.hpp"

#include <cassert>
#include <rapidcheck.h>

using namespace pineridge;

namespace {

Number at(const std::string &text) { return number_of(boost::asio::ip::make_address(text)); }

std::string fault(const std::string &text) {
    try {
        read_network(text);
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void the_longest_prefix_holds() {
    const Networks networks({{read_network("10.0.0.0/8"), 1},
                             {read_network("10.1.0.0/16"), 2},
                             {read_network("10.1.2.3"), 3},
                             {read_network("2001:db8::/32"), 4},
                             {read_network("2001:db8:0:1::/64"), 5},
                             {read_network("255.255.255.0/24"), 6},
                             {read_network("ffff::/16"), 7}});
    assert(networks.group_of(at("10.0.0.1")) == 1 && networks.group_of(at("10.1.0.0")) == 2);
    assert(networks.group_of(at("10.1.2.3")) == 3 && networks.group_of(at("10.1.2.4")) == 2);
    assert(networks.group_of(at("10.2.0.0")) == 1 && networks.group_of(at("11.0.0.0")) == Networks::kNone);
    assert(networks.group_of(at("9.255.255.255")) == Networks::kNone);
    assert(networks.group_of(at("2001:db8::1")) == 4 && networks.group_of(at("2001:db8:0:1::")) == 5);
    assert(networks.group_of(at("::ffff:10.1.2.3")) == 3);
    assert(networks.group_of(at("255.255.255.255")) == 6);
    assert(networks.group_of(at("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")) == 7);
    assert(networks.entry_of(at("10.1.9.9"))->network.text() == "10.1.0.0/16");
    assert(Networks().group_of(at("10.0.0.1")) == Networks::kNone);
}

void all_of_one_family_is_a_network() {
    const Networks networks({{read_network("0.0.0.0/0"), 1}, {read_network("::/0"), 2}});
    assert(networks.group_of(at("1.2.3.4")) == 1 && networks.group_of(at("::1")) == 2);
    assert(networks.group_of(at("::ffff:1.2.3.4")) == 1);
}

void what_is_no_network_is_told() {
    for (const char *text : {"", "10.0.0.0/33", "10.0.0/8", "2001::/129", "ten", "10.0.0.1/", "10.0.0.0/-1"})
        assert(fault(text).find(text) != std::string::npos && fault(text).size() > 10);
    assert(fault("10.0.0.1/8").find("is it 10.0.0.0/8?") != std::string::npos);
    assert(fault("2001:db8::1/32").find("is it 2001:db8::/32?") != std::string::npos);
    bool told = false;
    try {
        Networks({{read_network("10.0.0.0/8"), 1}, {read_network("10.0.0.0/8"), 2}});
    } catch (const BadInput &bad) {
        told = std::string(bad.what()).find("in two groups: 10.0.0.0/8") != std::string::npos;
    }
    assert(told);
}

// Random networks, many of them nested, looked up near their edges.
void it_agrees_with_a_search() {
    const auto small = rc::gen::inRange<std::uint64_t>(0, 256);
    const bool held = rc::check("the table is the plain search", [&] {
        std::vector<Networks::Entry> entries;
        const int count = *rc::gen::inRange(0, 40);
        std::vector<Number> asked{{0, 0}, {~std::uint64_t{0}, ~std::uint64_t{0}}};
        for (int i = 0; i < count; ++i) {
            const int bits = *rc::gen::element(0, 1, 56, 60, 62, 64, 66, 120, 124, 126, 127, 128);
            const Number first = cut({*small << 56 | *small, *small << 56 | *small}, bits);
            const Network network{first, bits};
            bool fresh = true;
            for (const auto &entry : entries) fresh = fresh && entry.network != network;
            if (!fresh) continue;
            entries.push_back({network, i});
            const Number last = network.last();
            for (const Number &edge : {first, last}) {
                asked.push_back(edge);
                asked.push_back({edge.high, edge.low - 1});
                asked.push_back({edge.high, edge.low + 1});
            }
        }
        const Networks networks(entries);
        for (const Number &one : asked) {
            int best = Networks::kNone, longest = -1;
            for (const auto &entry : entries)
                if (entry.network.holds(one) && entry.network.bits > longest)
                    longest = entry.network.bits, best = entry.group;
            RC_ASSERT(networks.group_of(one) == best);
        }
    });
    assert(held);
}

} // namespace

int main() {
    the_longest_prefix_holds();
    all_of_one_family_is_a_network();
    what_is_no_network_is_told();
    it_agrees_with_a_search();
}
