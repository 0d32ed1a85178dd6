// A parser for the PROXY protocol, versions 1 and 2 (haproxy.org, proxy-protocol.txt, 2020): the header with
// which a proxy tells the router the address of the client whose connection it forwards. It is given bytes
// and does no I/O.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace pineridge::proxy {

enum class ScanResult { incomplete, complete, malformed };

struct Header {
    std::size_t size = 0; // bytes of the header
    // Empty for a connection of the proxy itself, such as a health check, and where the address is unknown.
    std::optional<boost::asio::ip::address> client;
    std::string error; // the reason why the header is malformed
};

// The most bytes that `scan` needs for a result.
inline constexpr std::size_t kMaxHeaderBytes = 16 + 2048;

// Parses a header from the front of the bytes. Returns `incomplete` where it has not arrived whole; the
// caller then calls again with the same bytes followed by more.
ScanResult scan(std::string_view bytes, Header &header);

// Whether these bytes, received at the start of a connection, are a header or the beginning of one.
bool may_be_header(std::string_view bytes);

} // namespace pineridge::proxy
