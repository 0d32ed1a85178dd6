#include "net/proxy/proxy.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

namespace pineridge::proxy {

namespace ip = boost::asio::ip;

namespace {

constexpr std::string_view kVersion1Prefix = "PROXY ";
constexpr std::string_view kVersion2Signature("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr std::size_t kMaxVersion1Bytes = 107;
constexpr std::size_t kVersion2FixedBytes = 16; // up to and including the length of the rest

ScanResult malformed(Header &header, const char *reason) {
    header.error = reason;
    return ScanResult::malformed;
}

bool is_port(std::string_view text) {
    unsigned value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() &&
           value <= 65535 && (text.size() == 1 || text[0] != '0');
}

ScanResult scan_version_1(std::string_view bytes, Header &header) {
    const std::size_t end = bytes.substr(0, kMaxVersion1Bytes).find("\r\n");
    if (end == std::string_view::npos)
        return bytes.size() >= kMaxVersion1Bytes
                   ? malformed(header, "version 1: no line end within 107 bytes")
                   : ScanResult::incomplete;
    header.size = end + 2;
    std::vector<std::string_view> fields;
    for (std::string_view rest = bytes.substr(0, end);;) {
        const std::size_t space = rest.find(' ');
        fields.push_back(rest.substr(0, space));
        if (space == std::string_view::npos) break;
        rest.remove_prefix(space + 1);
    }
    if (fields[1] == "UNKNOWN") return ScanResult::complete;
    const bool is_v4 = fields[1] == "TCP4";
    if (!is_v4 && fields[1] != "TCP6") return malformed(header, "version 1: neither TCP4, TCP6 nor UNKNOWN");
    if (fields.size() != 6) return malformed(header, "version 1: does not have two addresses and two ports");
    for (const std::size_t index : {std::size_t{2}, std::size_t{3}}) {
        boost::system::error_code failed;
        const ip::address address = ip::make_address(std::string(fields[index]), failed);
        if (failed || address.is_v4() != is_v4)
            return malformed(header, "version 1: invalid address, or not of the stated family");
        if (index == 2) header.client = address;
    }
    if (!is_port(fields[4]) || !is_port(fields[5])) return malformed(header, "version 1: invalid port");
    return ScanResult::complete;
}

ScanResult scan_version_2(std::string_view bytes, Header &header) {
    if (bytes.size() < kVersion2FixedBytes) return ScanResult::incomplete;
    const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(bytes[at]); };
    const unsigned version = byte(12) >> 4;
    const unsigned command = byte(12) & 15;
    const unsigned family = byte(13) >> 4;
    const unsigned transport = byte(13) & 15;
    const std::size_t length = byte(14) * 256u + byte(15);
    if (version != 2) return malformed(header, "version 2: unsupported version");
    if (command > 1) return malformed(header, "version 2: neither LOCAL nor PROXY");
    if (family > 3 || transport > 2)
        return malformed(header, "version 2: unknown address family or transport");
    if (kVersion2FixedBytes + length > kMaxHeaderBytes)
        return malformed(header, "version 2: longer than 2048 bytes");
    const std::size_t min_length = command == 0 || transport == 0 ? 0
                                   : family == 1                  ? 12
                                   : family == 2                  ? 36
                                   : family == 3                  ? 216
                                                                  : 0;
    if (length < min_length) return malformed(header, "version 2: too short for its address family");
    if (bytes.size() < kVersion2FixedBytes + length) return ScanResult::incomplete;
    header.size = kVersion2FixedBytes + length;
    if (command == 0 || transport != 1) return ScanResult::complete; // LOCAL, or not a stream transport
    if (family == 1) {
        ip::address_v4::bytes_type address;
        std::copy_n(bytes.begin() + kVersion2FixedBytes, address.size(), address.begin());
        header.client = ip::address_v4(address);
    } else if (family == 2) {
        ip::address_v6::bytes_type address;
        std::copy_n(bytes.begin() + kVersion2FixedBytes, address.size(), address.begin());
        header.client = ip::address_v6(address);
    }
    return ScanResult::complete;
}

// Whether the bytes begin with the prefix, or are too few to tell and agree with it so far.
bool shares_prefix(std::string_view bytes, std::string_view prefix) {
    const std::size_t shared_size = std::min(bytes.size(), prefix.size());
    return bytes.substr(0, shared_size) == prefix.substr(0, shared_size);
}

} // namespace

bool may_be_header(std::string_view bytes) {
    return !bytes.empty() &&
           (shares_prefix(bytes, kVersion1Prefix) || shares_prefix(bytes, kVersion2Signature));
}

ScanResult scan(std::string_view bytes, Header &header) {
    header = {};
    if (bytes.empty()) return ScanResult::incomplete;
    const bool is_version_1 = shares_prefix(bytes, kVersion1Prefix);
    const bool is_version_2 = shares_prefix(bytes, kVersion2Signature);
    if (!is_version_1 && !is_version_2) return malformed(header, "no PROXY header");
    if (bytes.size() < (is_version_1 ? kVersion1Prefix : kVersion2Signature).size())
        return ScanResult::incomplete;
    return is_version_1 ? scan_version_1(bytes, header) : scan_version_2(bytes, header);
}

} // namespace pineridge::proxy
