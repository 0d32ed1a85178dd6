// Tests of the PROXY protocol parser: complete headers, headers cut off at every byte, and invalid ones.
#undef NDEBUG
#include "net/proxy/proxy.hpp"

#include <cassert>

using namespace pineridge;
using proxy::Header;
using proxy::ScanResult;

namespace {

// A header of version 2.
std::string version_2(int command, int family, const std::string &body) {
    std::string bytes("\r\n\r\n\0\r\nQUIT\n", 12);
    bytes += static_cast<char>(0x20 | command);
    bytes += static_cast<char>(family);
    bytes += static_cast<char>(body.size() >> 8);
    bytes += static_cast<char>(body.size() & 255);
    return bytes + body;
}

const std::string kIpv4Body("\x01\x02\x03\x04\x05\x06\x07\x08\x12\x34\x1b\x58", 12);
const std::string kIpv6Body =
    std::string("\x20\x01\x0d\xb8", 4) + std::string(11, '\0') + "\x09" + std::string(16, '\1') + "abcd";

// Checks that the header is parsed whatever bytes follow it, and that each proper prefix of it is incomplete.
void parses(const std::string &bytes, const std::string &client) {
    for (const std::string &following : {std::string(), std::string("*1\r\n"), std::string("PROXY ")}) {
        Header header;
        assert(proxy::scan(bytes + following, header) == ScanResult::complete && header.size == bytes.size());
        assert(header.client ? header.client->to_string() == client : client.empty());
    }
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        Header header;
        assert(proxy::scan(std::string_view(bytes).substr(0, size), header) == ScanResult::incomplete);
        assert(size == 0 || proxy::may_be_header(std::string_view(bytes).substr(0, size)));
    }
}

void is_rejected(const std::string &bytes, const std::string &reason) {
    Header header;
    assert(proxy::scan(bytes, header) == ScanResult::malformed &&
           header.error.find(reason) != std::string::npos);
}

} // namespace

int main() {
    parses("PROXY TCP4 1.2.3.4 5.6.7.8 65535 0\r\n", "1.2.3.4");
    parses("PROXY TCP6 2001:db8::9 ::1 1 80\r\n", "2001:db8::9");
    parses("PROXY UNKNOWN\r\n", "");
    parses("PROXY UNKNOWN ffff:f::1 ffff::2 65535 65535\r\n", "");
    parses(version_2(1, 0x11, kIpv4Body), "1.2.3.4");
    parses(version_2(1, 0x11, kIpv4Body + "more fields that are passed over"), "1.2.3.4");
    parses(version_2(1, 0x21, kIpv6Body), "2001:db8::9");
    parses(version_2(0, 0x00, ""), "");
    parses(version_2(0, 0x11, kIpv4Body), ""); // LOCAL: a connection of the proxy itself
    parses(version_2(1, 0x31, std::string(216, 'u')), "");
    is_rejected("GET / HTTP/1.1\r\n", "no PROXY header");
    is_rejected("*4\r\n", "no PROXY header");
    is_rejected("PROXY TCP4 1.2.3.4 5.6.7.8 65536 0\r\n", "invalid port");
    is_rejected("PROXY TCP4 1.2.3.4 5.6.7.8 01 0\r\n", "invalid port");
    is_rejected("PROXY TCP4 ::1 ::2 1 2\r\n", "invalid address, or not of the stated family");
    is_rejected("PROXY TCP4 1.2.3.4 5.6.7.8 1\r\n", "two addresses");
    is_rejected("PROXY UDP4 1.2.3.4 5.6.7.8 1 2\r\n", "neither TCP4");
    is_rejected("PROXY " + std::string(101, 'a'), "no line end within 107 bytes");
    is_rejected(version_2(2, 0x11, kIpv4Body), "neither LOCAL nor PROXY");
    is_rejected(version_2(1, 0x51, kIpv4Body), "unknown address family or transport");
    is_rejected(version_2(1, 0x21, kIpv4Body), "too short");
    is_rejected(version_2(1, 0x11, std::string(3000, 'x')), "longer than 2048");
    std::string unknown_version = version_2(1, 0x11, kIpv4Body);
    unknown_version[12] = 0x31;
    is_rejected(unknown_version, "unsupported version");
    assert(!proxy::may_be_header("*4\r\n") && !proxy::may_be_header(""));
}
