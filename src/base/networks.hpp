// Represents IP networks, and maps an address to a group by longest prefix. The table is built once and
// never changed. An IPv4 address and its IPv4-mapped IPv6 form (::ffff:a.b.c.d, RFC 4291 section 2.5.5.2) are
// equal.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace pineridge {

// An address as 128 bits in host order; IPv4 addresses are stored in their IPv4-mapped form.
struct AddressBits {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const AddressBits &) const = default;
};

AddressBits to_address_bits(const boost::asio::ip::address &address);
boost::asio::ip::address to_address(const AddressBits &bits);

// Clears all but the first `prefix_length` bits, which count from 0 to 128 for IPv4 as well.
AddressBits mask_to_prefix(const AddressBits &bits, int prefix_length);

struct Network {
    AddressBits first;
    int prefix_length = 0; // 0 to 128; IPv4 prefixes start at 96
    auto operator<=>(const Network &) const = default;
    AddressBits last() const; // the highest address in the network
    bool contains(const AddressBits &address) const {
        return mask_to_prefix(address, prefix_length) == first;
    }
    std::string text() const; // in CIDR notation
};

// Parses "10.0.0.0/8", "2001:db8::/32" or a single address. Throws BadInput that states the fault. Host bits
// behind the prefix are an error, because such a text usually means another network than the one written.
Network read_network(const std::string &text);

class NetworkTable {
  public:
    struct Entry {
        Network network;
        int group = 0;
    };

    NetworkTable() = default;
    // Throws BadInput if one network is in two groups.
    explicit NetworkTable(std::vector<Entry> entries);

    static constexpr int kNone = -1;
    int group_of(const AddressBits &address) const; // by longest prefix; kNone outside all networks
    const Entry *entry_of(const AddressBits &address) const; // by longest prefix; null outside all networks
    std::size_t size() const { return entries_.size(); }

  private:
    std::vector<Entry> entries_; // sorted by first address, wider networks first
    // Address ranges, found by binary search: addresses from one start up to the next belong to one entry.
    // The starts are stored apart from the indices, so that a search touches few cache lines.
    std::vector<AddressBits> starts_;
    std::vector<std::int32_t> entry_indices_; // by range, into entries_; kNone outside all networks
};

} // namespace pineridge
