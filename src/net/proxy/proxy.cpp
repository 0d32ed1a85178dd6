#include "net/proxy/proxy.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

namespace pineridge::proxy {

namespace ip = boost::asio::ip;

namespace {

constexpr std::string_view kFirst = "PROXY ";
constexpr std::string_view kSecond("\r\n\r\n\0\r\nQUIT\n", 12);
constexpr std::size_t kMostFirst = 107, kHead = 16;

Scan bad(Header &header, const char *why) {
    header.fault = why;
    return Scan::bad;
}

bool is_port(std::string_view text) {
    unsigned value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && read.ec == std::errc{} && read.ptr == text.data() + text.size() &&
           value <= 65535 && (text.size() == 1 || text[0] != '0');
}

Scan scan_first(std::string_view bytes, Header &header) {
    const std::size_t end = bytes.substr(0, kMostFirst).find("\r\n");
    if (end == std::string_view::npos)
        return bytes.size() >= kMostFirst ? bad(header, "version 1: no end of line in 107 bytes")
                                          : Scan::more;
    header.size = end + 2;
    std::vector<std::string_view> words;
    for (std::string_view rest = bytes.substr(0, end);;) {
        const std::size_t blank = rest.find(' ');
        words.push_back(rest.substr(0, blank));
        if (blank == std::string_view::npos) break;
        rest.remove_prefix(blank + 1);
    }
    if (words[1] == "UNKNOWN") return Scan::whole;
    const bool four = words[1] == "TCP4";
    if (!four && words[1] != "TCP6") return bad(header, "version 1: neither TCP4, TCP6 nor UNKNOWN");
    if (words.size() != 6) return bad(header, "version 1: not two addresses and two ports");
    for (const std::size_t at : {std::size_t{2}, std::size_t{3}}) {
        boost::system::error_code failed;
        const ip::address read = ip::make_address(std::string(words[at]), failed);
        if (failed || read.is_v4() != four) return bad(header, "version 1: not an address of its family");
        if (at == 2) header.client = read;
    }
    if (!is_port(words[4]) || !is_port(words[5])) return bad(header, "version 1: not a port");
    return Scan::whole;
}

Scan scan_second(std::string_view bytes, Header &header) {
    if (bytes.size() < kHead) return Scan::more;
    const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(bytes[at]); };
    const unsigned version = byte(12) >> 4, command = byte(12) & 15, family = byte(13) >> 4,
                   kind = byte(13) & 15;
    const std::size_t length = byte(14) * 256u + byte(15);
    if (version != 2) return bad(header, "version 2: another version in its head");
    if (command > 1) return bad(header, "version 2: neither LOCAL nor PROXY");
    if (family > 3 || kind > 2) return bad(header, "version 2: a family that there is not");
    if (kHead + length > kMost) return bad(header, "version 2: over 2048 bytes");
    const std::size_t needed = command == 0 || kind == 0 ? 0
                               : family == 1             ? 12
                               : family == 2             ? 36
                               : family == 3             ? 216
                                                         : 0;
    if (length < needed) return bad(header, "version 2: too short for its family");
    if (bytes.size() < kHead + length) return Scan::more;
    header.size = kHead + length;
    if (command == 0 || kind != 1) return Scan::whole; // LOCAL, or not a stream
    if (family == 1) {
        ip::address_v4::bytes_type read;
        std::copy_n(bytes.begin() + kHead, read.size(), read.begin());
        header.client = ip::address_v4(read);
    } else if (family == 2) {
        ip::address_v6::bytes_type read;
        std::copy_n(bytes.begin() + kHead, read.size(), read.begin());
        header.client = ip::address_v6(read);
    }
    return Scan::whole;
}

bool begins(std::string_view bytes, std::string_view mark) {
    const std::size_t known = std::min(bytes.size(), mark.size());
    return bytes.substr(0, known) == mark.substr(0, known);
}

} // namespace

bool begins_like_one(std::string_view bytes) {
    return !bytes.empty() && (begins(bytes, kFirst) || begins(bytes, kSecond));
}

Scan scan(std::string_view bytes, Header &header) {
    header = {};
    if (bytes.empty()) return Scan::more;
    const bool first = begins(bytes, kFirst), second = begins(bytes, kSecond);
    if (!first && !second) return bad(header, "no PROXY header");
    if (bytes.size() < (first ? kFirst : kSecond).size()) return Scan::more;
    return first ? scan_first(bytes, header) : scan_second(bytes, header);
}

} // namespace pineridge::proxy
