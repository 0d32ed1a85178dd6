// The PROXY header by its bytes: whole, in two parts at every place, byte by byte, and broken.
#undef NDEBUG
#include "net/proxy/proxy.hpp"

#include <cassert>

using namespace pineridge;
using proxy::Header;
using proxy::Scan;

namespace {

std::string second(int command, int family, const std::string &body) {
    std::string bytes("\r\n\r\n\0\r\nQUIT\n", 12);
    bytes += static_cast<char>(0x20 | command);
    bytes += static_cast<char>(family);
    bytes += static_cast<char>(body.size() >> 8);
    bytes += static_cast<char>(body.size() & 255);
    return bytes + body;
}

const std::string kFour("\x01\x02\x03\x04\x05\x06\x07\x08\x12\x34\x1b\x58", 12);
const std::string kSix =
    std::string("\x20\x01\x0d\xb8", 4) + std::string(11, '\0') + "\x09" + std::string(16, '\1') + "abcd";

// Whatever comes behind it, and in whatever pieces: the same header.
void reads(const std::string &bytes, const std::string &client) {
    for (const std::string &behind : {std::string(), std::string("*1\r\n"), std::string("PROXY ")}) {
        Header header;
        assert(proxy::scan(bytes + behind, header) == Scan::whole && header.size == bytes.size());
        assert(header.client ? header.client->to_string() == client : client.empty());
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        Header header;
        assert(proxy::scan(std::string_view(bytes).substr(0, at), header) == Scan::more);
        assert(at == 0 || proxy::begins_like_one(std::string_view(bytes).substr(0, at)));
    }
}

void is_bad(const std::string &bytes, const std::string &why) {
    Header header;
    assert(proxy::scan(bytes, header) == Scan::bad && header.fault.find(why) != std::string::npos);
}

} // namespace

int main() {
    reads("PROXY TCP4 1.2.3.4 5.6.7.8 65535 0\r\n", "1.2.3.4");
    reads("PROXY TCP6 2001:db8::9 ::1 1 80\r\n", "2001:db8::9");
    reads("PROXY UNKNOWN\r\n", "");
    reads("PROXY UNKNOWN ffff:f::1 ffff::2 65535 65535\r\n", "");
    reads(second(1, 0x11, kFour), "1.2.3.4");
    reads(second(1, 0x11, kFour + "more fields that are passed over"), "1.2.3.4");
    reads(second(1, 0x21, kSix), "2001:db8::9");
    reads(second(0, 0x00, ""), "");
    reads(second(0, 0x11, kFour), ""); // LOCAL: the front speaks for itself
    reads(second(1, 0x31, std::string(216, 'u')), "");
    is_bad("GET / HTTP/1.1\r\n", "no PROXY header");
    is_bad("*4\r\n", "no PROXY header");
    is_bad("PROXY TCP4 1.2.3.4 5.6.7.8 65536 0\r\n", "not a port");
    is_bad("PROXY TCP4 1.2.3.4 5.6.7.8 01 0\r\n", "not a port");
    is_bad("PROXY TCP4 ::1 ::2 1 2\r\n", "not an address of its family");
    is_bad("PROXY TCP4 1.2.3.4 5.6.7.8 1\r\n", "two addresses");
    is_bad("PROXY UDP4 1.2.3.4 5.6.7.8 1 2\r\n", "neither TCP4");
    is_bad("PROXY " + std::string(101, 'a'), "no end of line");
    is_bad(second(2, 0x11, kFour), "neither LOCAL nor PROXY");
    is_bad(second(1, 0x51, kFour), "a family that there is not");
    is_bad(second(1, 0x21, kFour), "too short");
    is_bad(second(1, 0x11, std::string(3000, 'x')), "over 2048");
    std::string third = second(1, 0x11, kFour);
    third[12] = 0x31;
    is_bad(third, "another version");
    assert(!proxy::begins_like_one("*4\r\n") && !proxy::begins_like_one(""));
}
