#include "base/address.hpp"
#include "base/bad_input.hpp"

#include <charconv>

namespace pineridge {

Address read_address(const std::string &text, const char *key) {
    const auto wrong = [&](const char *what) { throw BadInput(std::string(key) + ": " + what); };
    const std::size_t colon = text.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos) wrong("not an address and a port");
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end || port == 0 || port > 65535) wrong("a bad port");
    boost::system::error_code failed;
    const auto host = boost::asio::ip::make_address(text.substr(0, colon), failed);
    if (failed) wrong("a bad address");
    return {host, static_cast<std::uint16_t>(port)};
}

} // namespace pineridge
