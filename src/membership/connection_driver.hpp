// Runs a protocol on a network connection: one connection at a time, in plaintext or TLS. It passes bytes
// between the socket and the protocol, and sets the protocol's time while nothing is received.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "membership/protocol.hpp"
#include "net/tls/tls.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>

namespace pineridge::membership {

namespace asio = boost::asio;

class ConnectionDriver {
  public:
    using Clock = std::function<Ticks()>;

    // `tls` may be null: plaintext. What is passed by reference must outlive the driver. Single-threaded.
    ConnectionDriver(asio::io_context &io, const Limits &limits, Clock clock, tls::EngineFactory *tls,
                     std::string protocol)
        : io_(io), limits_(limits), clock_(std::move(clock)), tls_(tls), protocol_(std::move(protocol)) {}

    // Runs until the connection closes or fails, and returns the reason. `on_progress` is called whenever the
    // protocol may have read something: after received bytes, on each timer tick, and at the end.
    asio::awaitable<std::string> run(const Address &address, std::shared_ptr<Protocol> protocol,
                                     std::function<void()> on_progress);
    void stop(); // closes the connection at once
    void flush_output(); // sends what the protocol has to send now
    std::size_t received_bytes() const { return received_bytes_; } // over all connections

  private:
    struct Connection;
    asio::awaitable<void> run_timer(std::shared_ptr<Connection> connection);
    asio::awaitable<void> write(std::shared_ptr<Connection> connection);
    void flush_output(const std::shared_ptr<Connection> &connection);

    asio::io_context &io_;
    const Limits &limits_;
    const Clock clock_;
    tls::EngineFactory *const tls_;
    const std::string protocol_;
    std::shared_ptr<Connection> connection_;
    std::size_t received_bytes_ = 0;
};

} // namespace pineridge::membership
