// The driver of a registry of whatever kind: one connection at a time to one of its endpoints, the last known
// list, and the view that both feed.
#pragma once

#include "base/log.hpp"
#include "membership/connection_driver.hpp"
#include "membership/endpoints.hpp"
#include "membership/value.hpp"
#include "membership/view.hpp"

namespace pineridge::membership {

struct SourceOptions {
    std::vector<Address> endpoints;
    std::string prefix;
    std::string cache_file; // the last known list; empty: none is kept
    Ticks save_interval = 50000;
    ViewRules view_rules;
    EndpointRules endpoint_rules;
    Ticks stale_after =
        25000; // a view without a word for longer waits its turn with the others, if all were away
    tls::EngineFactory *tls = nullptr; // plaintext
    std::string protocol = "h2"; // told in the TLS handshake
    // A conversation that follows the prefix on one connection and feeds the view.
    std::function<std::shared_ptr<Protocol>(View &view, const std::string &authority)> make_protocol;
};

class Source {
  public:
    using ListingHandler = std::function<void(const Listing &)>;

    // What is handed over by reference must outlive the source. `read` makes a host of a value. One thread.
    Source(asio::io_context &io, SourceOptions options, ReadValue read, const Limits &limits, const Log &log,
           std::uint64_t seed, ConnectionDriver::Clock clock, ListingHandler on_listing);

    void begin();
    void stop(); // ends the connection; nothing is told any more
    const View &view() const { return view_; }
    std::size_t received_bytes() const { return connection_.received_bytes(); } // bytes

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> follow(int at, const std::string &address); // why it ended
    asio::awaitable<void> pause(Ticks span);
    void flush();
    void load_cached_list();
    void save_cached_list();

    asio::io_context &io_;
    const SourceOptions options_;
    const ReadValue read_;
    const Log &log_;
    const ConnectionDriver::Clock clock_;
    const ListingHandler on_listing_;
    View view_;
    EndpointSelector endpoint_selector_;
    ConnectionDriver connection_;
    asio::steady_timer timer_;
    Ticks saved_at_ = 0;
    bool save_due_ = false;
    bool stopped_ = false;
};

} // namespace pineridge::membership
