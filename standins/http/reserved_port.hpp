// A loopback port that stays reserved for one server, also while nothing listens on it. The port is bound by
// a socket that does not listen, so the kernel assigns it to no outgoing connection; such a connection would
// make a later listen fail.
#pragma once

#include <boost/asio.hpp>

namespace pineridge::standins {

class ReservedPort {
  public:
    // Reserves a free port where `port` is 0.
    explicit ReservedPort(boost::asio::io_context &io, unsigned short port = 0) : socket_(io) {
        socket_.open(boost::asio::ip::tcp::v4());
        socket_.set_option(boost::asio::socket_base::reuse_address(true));
        socket_.bind({boost::asio::ip::address_v4::loopback(), port});
    }
    boost::asio::ip::tcp::endpoint endpoint() const { return socket_.local_endpoint(); }
    unsigned short port() const { return endpoint().port(); }

  private:
    boost::asio::ip::tcp::socket socket_;
};

} // namespace pineridge::standins
