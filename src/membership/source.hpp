// The driver of an etcd v3 registry: one connection at a time to one of its endpoints, bytes to and from a
// follower.
#pragma once

#include "base/limits.hpp"
#include "base/log.hpp"
#include "membership/endpoints.hpp"
#include "membership/etcd/follower.hpp"
#include "net/fuse.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <memory>

namespace pineridge::membership::etcd {

namespace asio = boost::asio;

struct Plot {
    std::vector<Address> endpoints;
    std::string prefix;
    std::string token; // never logged
    std::string known_file; // the last known list; empty: none is kept
    Ticks save_each = 50000;
    ViewRules view;
    EndpointRules ends;
    Times times;
    std::size_t page = 500;
};

class Source {
  public:
    using Clock = std::function<Ticks()>;
    using Told = std::function<void(const Listing &)>;

    Source(asio::io_context &io, Plot plot, ReadValue read, const Limits &limits, const Log &log,
           std::uint64_t seed, Clock clock, Told told);

    void begin();
    void stop(); // ends the connection; nothing is told any more
    const View &view() const { return view_; }

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> follow(int at); // why it ended
    asio::awaitable<void> pause(Ticks span);
    struct Line; // one connection and its follower
    asio::awaitable<void> beat(std::shared_ptr<Line> line);
    asio::awaitable<void> write(std::shared_ptr<Line> line);
    void kick(const std::shared_ptr<Line> &line); // what the follower has to say goes out
    void flush();
    void start_from_known();
    void save_known();

    asio::io_context &io_;
    const Plot plot_;
    const ReadValue read_;
    const Limits &limits_;
    const Log &log_;
    const Clock clock_;
    const Told told_;
    View view_;
    Endpoints ends_;
    std::shared_ptr<Line> line_;
    asio::steady_timer timer_;
    Ticks saved_at_ = 0;
    bool save_due_ = false;
    bool stopped_ = false;
};

} // namespace pineridge::membership::etcd
