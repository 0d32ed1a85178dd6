#include "base/networks.hpp"

#include "base/bad_input.hpp"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace pineridge {

namespace ip = boost::asio::ip;

namespace {

constexpr int kAddressBits = 128, kBitsBeforeV4 = 96;

AddressBits prefix_mask(int prefix_length) {
    const auto upper_bits = [](int count) { return count <= 0 ? 0 : ~std::uint64_t{0} << (64 - count); };
    return {upper_bits(std::min(prefix_length, 64)), upper_bits(prefix_length - 64)};
}

AddressBits next(AddressBits address) {
    if (++address.low == 0) ++address.high;
    return address;
}

} // namespace

AddressBits to_address_bits(const ip::address &address) {
    const ip::address_v6 v6 =
        address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
    const auto bytes = v6.to_bytes();
    AddressBits bits;
    for (int i = 0; i < 8; ++i) {
        bits.high = bits.high << 8 | bytes[static_cast<std::size_t>(i)];
        bits.low = bits.low << 8 | bytes[static_cast<std::size_t>(i + 8)];
    }
    return bits;
}

ip::address to_address(const AddressBits &bits) {
    ip::address_v6::bytes_type bytes;
    for (int i = 0; i < 8; ++i) {
        bytes[static_cast<std::size_t>(i)] = static_cast<unsigned char>(bits.high >> (56 - 8 * i));
        bytes[static_cast<std::size_t>(i + 8)] = static_cast<unsigned char>(bits.low >> (56 - 8 * i));
    }
    const ip::address_v6 v6(bytes);
    if (v6.is_v4_mapped()) return ip::make_address_v4(ip::v4_mapped, v6);
    return v6;
}

AddressBits mask_to_prefix(const AddressBits &bits, int prefix_length) {
    const AddressBits mask = prefix_mask(prefix_length);
    return {bits.high & mask.high, bits.low & mask.low};
}

AddressBits Network::last() const {
    const AddressBits mask = prefix_mask(prefix_length);
    return {first.high | ~mask.high, first.low | ~mask.low};
}

std::string Network::text() const {
    const ip::address address = to_address(first);
    return address.to_string() + "/" +
           std::to_string(address.is_v4() && prefix_length >= kBitsBeforeV4 ? prefix_length - kBitsBeforeV4
                                                                            : prefix_length);
}

Network read_network(const std::string &text) {
    boost::system::error_code error;
    if (text.find('/') == std::string::npos) {
        const ip::address address = ip::make_address(text, error);
        if (error) throw BadInput("neither an address nor a network: " + text);
        return {to_address_bits(address), kAddressBits};
    }
    Network read;
    if (text.find(':') == std::string::npos) {
        const ip::network_v4 network = ip::make_network_v4(text, error);
        if (error) throw BadInput("not an IPv4 network: " + text);
        read = {to_address_bits(network.address()), network.prefix_length() + kBitsBeforeV4};
    } else {
        const ip::network_v6 network = ip::make_network_v6(text, error);
        if (error) throw BadInput("not an IPv6 network: " + text);
        read = {to_address_bits(network.address()), network.prefix_length()};
    }
    if (mask_to_prefix(read.first, read.prefix_length) != read.first)
        throw BadInput("host bits set behind the prefix: " + text + ", is it " +
                       Network{mask_to_prefix(read.first, read.prefix_length), read.prefix_length}.text() +
                       "?");
    return read;
}

// Two networks are either nested or disjoint. Visited in the order of their first addresses, the networks
// that contain the current address form a stack, and the innermost one applies.
NetworkTable::NetworkTable(std::vector<Entry> entries) : entries_(std::move(entries)) {
    std::sort(entries_.begin(), entries_.end(),
              [](const Entry &a, const Entry &b) { return a.network < b.network; });
    for (std::size_t i = 1; i < entries_.size(); ++i)
        if (entries_[i].network == entries_[i - 1].network && entries_[i].group != entries_[i - 1].group)
            throw BadInput("in two groups: " + entries_[i].network.text());
    std::vector<std::int32_t> open;
    const auto start_range = [&](const AddressBits &from, std::int32_t entry) {
        if (!starts_.empty() && starts_.back() == from)
            entry_indices_.back() = entry;
        else {
            starts_.push_back(from);
            entry_indices_.push_back(entry);
        }
    };
    const auto close_networks_before = [&](const AddressBits *first) {
        while (!open.empty()) {
            const AddressBits last = entries_[static_cast<std::size_t>(open.back())].network.last();
            if (first && last >= *first) return;
            open.pop_back();
            if (const AddressBits following = next(last); following != AddressBits{})
                start_range(following, open.empty() ? kNone : open.back());
        }
    };
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        close_networks_before(&entries_[i].network.first);
        start_range(entries_[i].network.first, static_cast<std::int32_t>(i));
        open.push_back(static_cast<std::int32_t>(i));
    }
    close_networks_before(nullptr);
}

const NetworkTable::Entry *NetworkTable::entry_of(const AddressBits &address) const {
    const auto next_start = std::upper_bound(starts_.begin(), starts_.end(), address);
    if (next_start == starts_.begin()) return nullptr;
    const std::int32_t index = entry_indices_[static_cast<std::size_t>(next_start - starts_.begin() - 1)];
    return index == kNone ? nullptr : &entries_[static_cast<std::size_t>(index)];
}

int NetworkTable::group_of(const AddressBits &address) const {
    const Entry *const entry = entry_of(address);
    return entry ? entry->group : kNone;
}

} // namespace pineridge
