// Is a kept connection open, with nothing to read: neither an end nor stray bytes?
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace pineridge {

inline bool quiet(boost::asio::ip::tcp::socket &socket) {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace pineridge
