// Which group an address belongs to: networks of IPv4 and IPv6 by longest prefix, in a table that is built
// once and never changed. IPv4 and what IPv6 writes for it (::ffff:a.b.c.d, RFC 4291 section 2.5.5.2) are
// one.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace pineridge {

// An address as a number of 128 bits.
struct Number {
    std::uint64_t high = 0, low = 0;
    auto operator<=>(const Number &) const = default;
};

Number number_of(const boost::asio::ip::address &address);
boost::asio::ip::address address_of(const Number &number);

// The number with all but its first bits cleared. IPv4 lies in the last 32 of 128 bits.
Number cut(const Number &number, int bits);

struct Network {
    Number first;
    int bits = 0; // 0 to 128
    auto operator<=>(const Network &) const = default;
    Number last() const;
    bool holds(const Number &at) const { return cut(at, bits) == first; }
    std::string text() const;
};

// "10.0.0.0/8", "2001:db8::/32", or an address alone. Throws BadInput that says what is wrong; bits set
// behind the prefix are an error, as they mostly mean another network than the one written.
Network read_network(const std::string &text);

class Networks {
  public:
    struct Entry {
        Network network;
        int group = 0;
    };

    Networks() = default;
    // Throws BadInput where one network stands in two groups.
    explicit Networks(std::vector<Entry> entries);

    static constexpr int kNone = -1;
    int group_of(const Number &address) const; // that of the longest prefix; kNone
    const Entry *entry_of(const Number &address) const; // it lies in this; null
    std::size_t size() const { return entries_.size(); }

  private:
    std::vector<Entry> entries_; // by first address, the wider first
    // From each start on, up to the next, addresses are of one entry: looked up by binary search. Starts
    // stand alone, so that a search touches few lines of the cache.
    std::vector<Number> starts_;
    std::vector<std::int32_t> at_; // into entries_; kNone
};

} // namespace pineridge
