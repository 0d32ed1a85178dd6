// Checks whether an idle connection can be used again.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace pineridge {

// True if the connection is open and there is nothing to read: the peer has neither closed it nor sent bytes
// that nobody asked for. Does not block and consumes nothing.
inline bool is_open_and_idle(boost::asio::ip::tcp::socket &socket) {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace pineridge
