// Compares longest-prefix lookup with a linear search, and checks the errors for texts that are not networks.
#undef NDEBUG
#include "base/bad_input.hpp"
#include "base/networks.hpp"

#include <cassert>
#include <rapidcheck.h>

using namespace pineridge;

namespace {

AddressBits bits_of(const std::string &text) { return to_address_bits(boost::asio::ip::make_address(text)); }

std::string error_of(const std::string &text) {
    try {
        read_network(text);
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void the_longest_prefix_applies() {
    const NetworkTable networks({{read_network("10.0.0.0/8"), 1},
                                 {read_network("10.1.0.0/16"), 2},
                                 {read_network("10.1.2.3"), 3},
                                 {read_network("2001:db8::/32"), 4},
                                 {read_network("2001:db8:0:1::/64"), 5},
                                 {read_network("255.255.255.0/24"), 6},
                                 {read_network("ffff::/16"), 7}});
    assert(networks.group_of(bits_of("10.0.0.1")) == 1 && networks.group_of(bits_of("10.1.0.0")) == 2);
    assert(networks.group_of(bits_of("10.1.2.3")) == 3 && networks.group_of(bits_of("10.1.2.4")) == 2);
    assert(networks.group_of(bits_of("10.2.0.0")) == 1 &&
           networks.group_of(bits_of("11.0.0.0")) == NetworkTable::kNone);
    assert(networks.group_of(bits_of("9.255.255.255")) == NetworkTable::kNone);
    assert(networks.group_of(bits_of("2001:db8::1")) == 4 &&
           networks.group_of(bits_of("2001:db8:0:1::")) == 5);
    assert(networks.group_of(bits_of("::ffff:10.1.2.3")) == 3);
    assert(networks.group_of(bits_of("255.255.255.255")) == 6);
    assert(networks.group_of(bits_of("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")) == 7);
    assert(networks.entry_of(bits_of("10.1.9.9"))->network.text() == "10.1.0.0/16");
    assert(NetworkTable().group_of(bits_of("10.0.0.1")) == NetworkTable::kNone);
}

void a_network_may_cover_an_address_family() {
    const NetworkTable networks({{read_network("0.0.0.0/0"), 1}, {read_network("::/0"), 2}});
    assert(networks.group_of(bits_of("1.2.3.4")) == 1 && networks.group_of(bits_of("::1")) == 2);
    assert(networks.group_of(bits_of("::ffff:1.2.3.4")) == 1);
}

void invalid_networks_are_rejected() {
    for (const char *text : {"", "10.0.0.0/33", "10.0.0/8", "2001::/129", "ten", "10.0.0.1/", "10.0.0.0/-1"})
        assert(error_of(text).find(text) != std::string::npos && error_of(text).size() > 10);
    assert(error_of("10.0.0.1/8").find("is it 10.0.0.0/8?") != std::string::npos);
    assert(error_of("2001:db8::1/32").find("is it 2001:db8::/32?") != std::string::npos);
    bool rejected = false;
    try {
        NetworkTable({{read_network("10.0.0.0/8"), 1}, {read_network("10.0.0.0/8"), 2}});
    } catch (const BadInput &bad) {
        rejected = std::string(bad.what()).find("in two groups: 10.0.0.0/8") != std::string::npos;
    }
    assert(rejected);
}

// Looks up addresses at and next to the ends of random networks, many of which are nested.
void lookup_agrees_with_a_linear_search() {
    const auto byte = rc::gen::inRange<std::uint64_t>(0, 256);
    const bool passed = rc::check("the table agrees with a linear search", [&] {
        std::vector<NetworkTable::Entry> entries;
        const int count = *rc::gen::inRange(0, 40);
        std::vector<AddressBits> addresses{{0, 0}, {~std::uint64_t{0}, ~std::uint64_t{0}}};
        for (int i = 0; i < count; ++i) {
            const int prefix_length = *rc::gen::element(0, 1, 56, 60, 62, 64, 66, 120, 124, 126, 127, 128);
            const AddressBits first =
                mask_to_prefix({*byte << 56 | *byte, *byte << 56 | *byte}, prefix_length);
            const Network network{first, prefix_length};
            bool is_new = true;
            for (const auto &entry : entries) is_new = is_new && entry.network != network;
            if (!is_new) continue;
            entries.push_back({network, i});
            const AddressBits last = network.last();
            for (const AddressBits &edge : {first, last}) {
                addresses.push_back(edge);
                addresses.push_back({edge.high, edge.low - 1});
                addresses.push_back({edge.high, edge.low + 1});
            }
        }
        const NetworkTable networks(entries);
        for (const AddressBits &address : addresses) {
            int expected = NetworkTable::kNone;
            int longest = -1;
            for (const auto &entry : entries)
                if (entry.network.contains(address) && entry.network.prefix_length > longest) {
                    longest = entry.network.prefix_length;
                    expected = entry.group;
                }
            RC_ASSERT(networks.group_of(address) == expected);
        }
    });
    assert(passed);
}

} // namespace

int main() {
    the_longest_prefix_applies();
    a_network_may_cover_an_address_family();
    invalid_networks_are_rejected();
    lookup_agrees_with_a_linear_search();
}
