// Follows a registry of any kind: holds one connection at a time to one of its endpoints, keeps the view of
// its hosts, and caches the list of hosts on disk.
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
    std::string cache_file; // of the cached list; empty: no cache
    Ticks save_interval = 50000; // at least, between two writes of the cache file
    ViewRules view_rules;
    EndpointRules endpoint_rules;
    // A view without updates for longer delays its full read, as EndpointSelector::read_delay says.
    Ticks stale_after = 25000;
    tls::EngineFactory *tls = nullptr; // null: plaintext
    std::string protocol = "h2"; // offered by ALPN in the TLS handshake
    // Creates the protocol that follows the prefix on one connection and feeds the view.
    std::function<std::shared_ptr<Protocol>(View &view, const std::string &authority)> make_protocol;
};

class Source {
  public:
    using ListingHandler = std::function<void(const Listing &)>;

    // What is passed by reference must outlive the source. `read` parses a value. `on_listing` receives each
    // change of the list. Single-threaded.
    Source(asio::io_context &io, SourceOptions options, ReadValue read, const Limits &limits, const Log &log,
           std::uint64_t seed, ConnectionDriver::Clock clock, ListingHandler on_listing);

    void begin();
    void stop(); // closes the connection; `on_listing` is not called any more
    const View &view() const { return view_; }
    std::size_t received_bytes() const { return connection_.received_bytes(); }

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> follow(int at, const std::string &address); // returns why it ended
    asio::awaitable<void> pause(Ticks duration);
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
