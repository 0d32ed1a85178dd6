// The header that a front puts before its client's bytes, so that clients are told apart: the PROXY protocol,
// versions 1 and 2 (haproxy.org, proxy-protocol.txt, 2020). Fed bytes; knows no socket.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pineridge::proxy {

enum class Scan { more, whole, bad };

struct Header {
    std::size_t size = 0; // bytes of the header
    std::optional<boost::asio::ip::address> client; // none: the front speaks for itself, or cannot say
    std::string fault; // where it is bad
};

// Reads the header from the front of the bytes. Given fewer than it needs it answers `more`, and is then
// called again with the same bytes and those after them; it needs kMost at most.
inline constexpr std::size_t kMost = 16 + 2048;
Scan scan(std::string_view bytes, Header &header);

// Could these bytes, from the start of a connection, be a header?
bool begins_like_one(std::string_view bytes);

} // namespace pineridge::proxy
