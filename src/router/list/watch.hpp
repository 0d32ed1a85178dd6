// Client of discovery. It makes one call after another on a kept connection: a watch, which discovery answers
// when the list changes, or an immediate query, which it answers at once. Answers pass through a membership
// view, as the changes of a registry do. Discovery is one service that answers calls in order, so answers
// count in the order in which they arrive, and a full list takes effect at once. membership/lease.hpp decides
// until when the list may be used; this class reports each call to it and passes on its result. Runs on the
// thread of the io_context; no function blocks.
#pragma once

#include "membership/lease.hpp"
#include "membership/view.hpp"
#include "net/http/connection.hpp"
#include "router/list/discovery_response.hpp"

#include <functional>
#include <random>

namespace pineridge::router::list {

namespace asio = boost::asio;

class Watch {
  public:
    using ListHandler = std::function<void(const membership::Listing &)>;
    using Clock = std::chrono::steady_clock;
    // Called whenever one of the two changes: the lease of the list ends at `until`; after that an outage of
    // discovery is presumed until `outage_until`.
    using LeaseHandler = std::function<void(Clock::time_point until, Clock::time_point outage_until)>;
    // Called when a call has failed and the watch has stopped until the next `start`. `remaining` is the time
    // until the lease and the presumed outage have ended; below 0 if they have.
    using FailureHandler = std::function<void(Milliseconds remaining)>;

    // `on_list` is called for each accepted answer, also if nothing has changed, as it shows that discovery
    // is up.
    Watch(asio::io_context &io, const RouterConfig &config, const Log &log, ListHandler on_list,
          FailureHandler on_failure, LeaseHandler on_lease_change);

    void start(); // runs until a call fails; with a local discovery agent, without end
    // Returns once the list may be used, or after `timeout`. Does not start the watch.
    asio::awaitable<void> wait_for_lease(Milliseconds timeout);
    void set_address(const Address &address); // queries the new address at once
    // Sets the list that the process was started with. Its age is not known, so it has no lease.
    void set_initial_list(const DiscoveryResponse &response);

  private:
    // `unreachable`: nobody listens at the address. `not_connected`: another failure to connect.
    enum class Outcome {
        accepted,
        refused,
        unreachable,
        not_connected,
        connection_lost,
        timed_out,
        malformed
    };
    struct Query {
        bool full; // requests the full list, else the changes
        bool immediate; // discovery must not wait for a change
        Milliseconds wait; // time for which discovery may wait for a change
    };
    struct Result {
        Outcome outcome;
        std::string reason{}; // why the answer was not accepted
    };

    static membership::CallFailure to_call_failure(Outcome outcome); // not for `accepted`
    asio::awaitable<void> run();
    asio::awaitable<void> wait_until_reachable(); // or until the address changes
    Query next_query();
    asio::awaitable<Result> send_query(const Query &query);
    asio::awaitable<http::CallResult> make_call(const Query &query, const std::string &path,
                                                http::Response &answer);
    Result handle_response(const Query &query, http::CallResult got, const http::Response &answer);
    void apply(const DiscoveryResponse &response);
    asio::awaitable<void> pause(Milliseconds max);

    void update_lease();
    void log_lease_expiry(); // logs that the lease has expired or has been renewed

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    http::Connection link_;
    const ListHandler on_list_;
    const FailureHandler on_failure_;
    const LeaseHandler on_lease_change_;
    membership::View view_;
    membership::Lease lease_;
    std::minstd_rand random_;
    asio::steady_timer lease_timer_; // expires with the lease
    asio::steady_timer accepted_timer_; // expires when an open watch counts as accepted by discovery
    asio::steady_timer pause_timer_;
    std::int64_t version_ = 0; // of the list
    std::int64_t answer_count_ = 0; // accepted so far; revision of the records of the latest answer
    std::uint64_t call_count_ = 0; // made so far; identifies a call in the log
    Clock::time_point lease_until_ = Clock::time_point::min(); // as last passed to on_lease_change_
    Clock::time_point outage_until_ = Clock::time_point::min(); // the same
    unsigned address_changes_ = 0; // so far
    bool running_ = false;
    bool full_list_due_ = false; // the next query requests the full list
    bool immediate_ = true; // the next query must not wait, as its answer renews the lease
    bool logged_failure_ = false;
    bool logged_expiry_ = false;
};

} // namespace pineridge::router::list
