#include "base/address.hpp"
#include "base/bad_input.hpp"

#include <charconv>

namespace pineridge {

Address read_address(const std::string &text, const char *key) {
    const auto fail = [&](const char *what) { throw BadInput(std::string(key) + ": " + what); };
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos) fail("not an address with a port");
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535) fail("invalid port");
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error) fail("invalid address");
    return {host, static_cast<std::uint16_t>(port)};
}

} // namespace pineridge
