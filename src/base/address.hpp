// Parses TCP addresses as configuration and messages write them: an IP address, a colon and a port.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace pineridge {

using Address = boost::asio::ip::tcp::endpoint;

// Parses "ADDRESS:PORT". Throws BadInput that names the key.
Address read_address(const std::string &text, const char *key);

} // namespace pineridge
