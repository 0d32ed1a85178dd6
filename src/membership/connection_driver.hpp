// The thin driver of a conversation: one connection at a time, in plaintext or TLS, bytes to and from a
// protocol, and the time told to it while nothing comes.
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

    // `tls` may be none: plaintext. What is handed over must outlive the pump. One thread.
    ConnectionDriver(asio::io_context &io, const Limits &limits, Clock clock, tls::EngineFactory *tls,
                     std::string protocol)
        : io_(io), limits_(limits), clock_(std::move(clock)), tls_(tls), protocol_(std::move(protocol)) {}

    // Until the connection is of no further use: why. `on_progress` is called whenever the protocol may have
    // learnt something, before and after bytes and on each beat.
    asio::awaitable<std::string> run(const Address &address, std::shared_ptr<Protocol> protocol,
                                     std::function<void()> on_progress);
    void stop(); // ends the connection at once
    void flush_output(); // the protocol may have something to say: it goes out now
    std::size_t received_bytes() const { return received_bytes_; } // bytes, over all connections

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
