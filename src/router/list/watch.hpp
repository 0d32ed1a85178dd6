// The driver of the watch on discovery: each call is followed by the next at once, on a kept connection. What
// it tells goes through a membership view, as a registry's words do. Discovery is one service whose answers
// come one after another: they count in the order in which they came, and a whole list is believed at once.
// Up to when the list may be used is a lease's to say (membership/lease.hpp); this class tells it of each
// call and hands on what it says.
#pragma once

#include "membership/lease.hpp"
#include "membership/view.hpp"
#include "net/http/link.hpp"
#include "router/list/listing.hpp"

#include <functional>
#include <random>

namespace pineridge::router::list {

namespace asio = boost::asio;

class Watch {
  public:
    using Told = std::function<void(const membership::Listing &)>;
    using Clock = std::chrono::steady_clock;
    // The lease on the list runs up to `until`; past it an outage is presumed up to `outage_until`. Given at
    // each change of either.
    using LeaseTold = std::function<void(Clock::time_point until, Clock::time_point outage_until)>;
    // Calls have failed and are not repeated until `begin`. The lease, or an outage that is presumed, leaves
    // `left`; below 0 where both are over.
    using Failed = std::function<void(Milliseconds left)>;

    // `told` is called for each answer taken, also where nothing has changed: discovery lives.
    Watch(asio::io_context &io, const Start &start, const Log &log, Told told, Failed failed,
          LeaseTold lease_told);

    void begin(); // goes on until a call fails; of an agent at hand, for good
    // Returns once the list may be used, or `most` has passed. Does not begin the calls.
    asio::awaitable<void> wait_for_lease(Milliseconds most);
    void move_to(const Address &address); // asks there at once for what has changed
    // The list that the process was started with: of unknown age, so that nothing is sent by it alone.
    void start_from(const Listing &listing);

  private:
    enum class Outcome { taken, refused, unreached, broken, silent, unreadable };
    struct Query {
        bool whole; // the whole list, else what has changed
        bool at_once; // discovery is not to wait for a change
        Milliseconds hold; // for which it may wait
    };
    struct Result {
        Outcome outcome;
        std::string why{}; // it is not `taken`
    };

    static membership::CallFailure failure_of(Outcome outcome); // of any but `taken`
    asio::awaitable<void> run();
    Query next_query();
    asio::awaitable<Result> ask(const Query &query);
    asio::awaitable<http::Call> call(const Query &query, const std::string &path, http::Answer &answer);
    Result read(const Query &query, http::Call got, const http::Answer &answer);
    void take(const Listing &listing);
    asio::awaitable<void> pause(Milliseconds about);

    void lease_changed();
    void watch_lease(); // logs its end, and looks whether the watch still stands

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    http::Link link_;
    const Told told_;
    const Failed failed_;
    const LeaseTold lease_told_;
    membership::View view_;
    membership::Lease lease_;
    std::minstd_rand chance_;
    asio::steady_timer lease_over_; // runs out as the lease does
    asio::steady_timer stands_; // runs out once a watch that is out has been accepted
    asio::steady_timer pause_;
    std::int64_t version_ = 0, answers_ = 0;
    std::uint64_t calls_ = 0; // asked so far; names a call in the log
    Clock::time_point lease_until_ = Clock::time_point::min(); // as last handed on, as is the next
    Clock::time_point outage_until_ = Clock::time_point::min();
    unsigned moves_ = 0; // of discovery to other addresses
    bool running_ = false, whole_due_ = false;
    bool at_once_ = true; // the next call is not to wait: what it brings renews the lease
    bool said_failing_ = false, said_over_ = false;
};

} // namespace pineridge::router::list
