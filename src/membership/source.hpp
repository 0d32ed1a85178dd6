// The driver of a registry of whatever kind: one connection at a time to one of its endpoints, the last known
// list, and the view that both feed.
#pragma once

#include "base/log.hpp"
#include "membership/endpoints.hpp"
#include "membership/pump.hpp"
#include "membership/value.hpp"
#include "membership/view.hpp"

namespace pineridge::membership {

struct Plot {
    std::vector<Address> endpoints;
    std::string prefix;
    std::string known_file; // the last known list; empty: none is kept
    Ticks save_each = 50000;
    ViewRules view;
    EndpointRules ends;
    Ticks quiet = 25000; // a view without a word for longer waits its turn with the others, if all were away
    tls::EngineFactory *tls = nullptr; // plaintext
    std::string protocol = "h2"; // told in the TLS handshake
    // A conversation that follows the prefix on one connection and feeds the view.
    std::function<std::shared_ptr<Peer>(View &view, const std::string &authority)> follow;
};

class Source {
  public:
    using Told = std::function<void(const Listing &)>;

    // What is handed over by reference must outlive the source. `read` makes a host of a value. One thread.
    Source(asio::io_context &io, Plot plot, ReadValue read, const Limits &limits, const Log &log,
           std::uint64_t seed, Pump::Clock clock, Told told);

    void begin();
    void stop(); // ends the connection; nothing is told any more
    const View &view() const { return view_; }
    std::size_t heard() const { return pump_.heard(); } // bytes

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> follow(int at, const std::string &address); // why it ended
    asio::awaitable<void> pause(Ticks span);
    void flush();
    void start_from_known();
    void save_known();

    asio::io_context &io_;
    const Plot plot_;
    const ReadValue read_;
    const Log &log_;
    const Pump::Clock clock_;
    const Told told_;
    View view_;
    Endpoints ends_;
    Pump pump_;
    asio::steady_timer timer_;
    Ticks saved_at_ = 0;
    bool save_due_ = false;
    bool stopped_ = false;
};

} // namespace pineridge::membership
