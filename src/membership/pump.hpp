// The thin driver of a conversation: one connection at a time, in plaintext or TLS, bytes to and from a peer,
// and the time told to it while nothing comes.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "membership/peer.hpp"
#include "net/tls/tls.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>

namespace pineridge::membership {

namespace asio = boost::asio;

class Pump {
  public:
    using Clock = std::function<Ticks()>;

    // `tls` may be none: plaintext. What is handed over must outlive the pump. One thread.
    Pump(asio::io_context &io, const Limits &limits, Clock clock, tls::EngineFactory *tls,
         std::string protocol)
        : io_(io), limits_(limits), clock_(std::move(clock)), tls_(tls), protocol_(std::move(protocol)) {}

    // Until the connection is of no further use: why. `moved` is called whenever the peer may have learnt
    // something, before and after bytes and on each beat.
    asio::awaitable<std::string> run(const Address &address, std::shared_ptr<Peer> peer,
                                     std::function<void()> moved);
    void stop(); // ends the connection at once
    void kick(); // the peer may have something to say: it goes out now
    std::size_t heard() const { return heard_; } // bytes, over all connections

  private:
    struct Line;
    asio::awaitable<void> beat(std::shared_ptr<Line> line);
    asio::awaitable<void> write(std::shared_ptr<Line> line);
    void kick(const std::shared_ptr<Line> &line);

    asio::io_context &io_;
    const Limits &limits_;
    const Clock clock_;
    tls::EngineFactory *const tls_;
    const std::string protocol_;
    std::shared_ptr<Line> line_;
    std::size_t heard_ = 0;
};

} // namespace pineridge::membership
