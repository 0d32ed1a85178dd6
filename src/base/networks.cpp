#include "base/networks.hpp"

#include "base/bad_input.hpp"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace pineridge {

namespace ip = boost::asio::ip;

namespace {

constexpr int kBits = 128, kBitsBeforeV4 = 96;

Number mask(int bits) {
    const auto upper = [](int count) { return count <= 0 ? 0 : ~std::uint64_t{0} << (64 - count); };
    return {upper(std::min(bits, 64)), upper(bits - 64)};
}

Number next(Number number) {
    if (++number.low == 0) ++number.high;
    return number;
}

} // namespace

Number number_of(const ip::address &address) {
    const ip::address_v6 wide =
        address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
    const auto bytes = wide.to_bytes();
    Number number;
    for (int i = 0; i < 8; ++i) {
        number.high = number.high << 8 | bytes[static_cast<std::size_t>(i)];
        number.low = number.low << 8 | bytes[static_cast<std::size_t>(i + 8)];
    }
    return number;
}

ip::address address_of(const Number &number) {
    ip::address_v6::bytes_type bytes;
    for (int i = 0; i < 8; ++i) {
        bytes[static_cast<std::size_t>(i)] = static_cast<unsigned char>(number.high >> (56 - 8 * i));
        bytes[static_cast<std::size_t>(i + 8)] = static_cast<unsigned char>(number.low >> (56 - 8 * i));
    }
    const ip::address_v6 wide(bytes);
    if (wide.is_v4_mapped()) return ip::make_address_v4(ip::v4_mapped, wide);
    return wide;
}

Number cut(const Number &number, int bits) {
    const Number kept = mask(bits);
    return {number.high & kept.high, number.low & kept.low};
}

Number Network::last() const {
    const Number kept = mask(bits);
    return {first.high | ~kept.high, first.low | ~kept.low};
}

std::string Network::text() const {
    const ip::address address = address_of(first);
    return address.to_string() + "/" +
           std::to_string(address.is_v4() && bits >= kBitsBeforeV4 ? bits - kBitsBeforeV4 : bits);
}

Network read_network(const std::string &text) {
    boost::system::error_code failed;
    if (text.find('/') == std::string::npos) {
        const ip::address address = ip::make_address(text, failed);
        if (failed) throw BadInput("neither an address nor a network: " + text);
        return {number_of(address), kBits};
    }
    Network read;
    if (text.find(':') == std::string::npos) {
        const ip::network_v4 network = ip::make_network_v4(text, failed);
        if (failed) throw BadInput("not a network of IPv4: " + text);
        read = {number_of(network.address()), network.prefix_length() + kBitsBeforeV4};
    } else {
        const ip::network_v6 network = ip::make_network_v6(text, failed);
        if (failed) throw BadInput("not a network of IPv6: " + text);
        read = {number_of(network.address()), network.prefix_length()};
    }
    if (cut(read.first, read.bits) != read.first)
        throw BadInput("bits set behind the prefix: " + text + ", is it " +
                       Network{cut(read.first, read.bits), read.bits}.text() + "?");
    return read;
}

// Networks are nested or apart, never crossed: going through them by their first address, those that are open
// form a stack, and the innermost holds.
Networks::Networks(std::vector<Entry> entries) : entries_(std::move(entries)) {
    std::sort(entries_.begin(), entries_.end(),
              [](const Entry &a, const Entry &b) { return a.network < b.network; });
    for (std::size_t i = 1; i < entries_.size(); ++i)
        if (entries_[i].network == entries_[i - 1].network && entries_[i].group != entries_[i - 1].group)
            throw BadInput("in two groups: " + entries_[i].network.text());
    std::vector<std::int32_t> open;
    const auto mark = [&](const Number &from, std::int32_t entry) {
        if (!starts_.empty() && starts_.back() == from)
            at_.back() = entry;
        else
            starts_.push_back(from), at_.push_back(entry);
    };
    const auto close_before = [&](const Number *first) {
        while (!open.empty()) {
            const Number last = entries_[static_cast<std::size_t>(open.back())].network.last();
            if (first && last >= *first) return;
            open.pop_back();
            if (const Number behind = next(last); behind != Number{})
                mark(behind, open.empty() ? kNone : open.back());
        }
    };
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        close_before(&entries_[i].network.first);
        mark(entries_[i].network.first, static_cast<std::int32_t>(i));
        open.push_back(static_cast<std::int32_t>(i));
    }
    close_before(nullptr);
}

const Networks::Entry *Networks::entry_of(const Number &address) const {
    const auto behind = std::upper_bound(starts_.begin(), starts_.end(), address);
    if (behind == starts_.begin()) return nullptr;
    const std::int32_t at = at_[static_cast<std::size_t>(behind - starts_.begin() - 1)];
    return at == kNone ? nullptr : &entries_[static_cast<std::size_t>(at)];
}

int Networks::group_of(const Number &address) const {
    const Entry *const entry = entry_of(address);
    return entry ? entry->group : kNone;
}

} // namespace pineridge
