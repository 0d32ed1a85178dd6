// The lease on the list of hosts: the time until which a router may use the list it holds. A change made at
// discovery counts as delivered to a router after a bounded time, whether or not it arrived; after that, a
// host on the list may have been drained, and no RPC may be sent by the list. One rule covers all ways in
// which calls to discovery end: the list is known to be complete as of some instant, and the lease runs from
// there. The caller reports what it sent and received; the class reads no clock and does no I/O. Not
// thread-safe.
//
// After the lease there is one weaker state, an outage. When discovery goes down, it ends its open watches.
// While it cannot be reached no change counts as delivered, and after its return a change counts only the
// delivery time later. So a router whose watch was ended, and whose calls have all failed since, may go on
// for the delivery time after each proof that discovery could not be reached. A refused connection is such a
// proof. An error or a reset is none: an overloaded discovery ends calls in the same way as one that is down.
// Calls that end so only confirm that the watch was ended by an outage, and an outage has a least duration.
// A discovery that returns sooner, or twice between two calls, is not noticed, so hosts for RPCs sent during
// an outage must be chosen as if some drains had been missed.
//
// Source: the standing test's page ("one clock for silence" and the sentence after it), the protocol page,
// the bench's page (the shortest outage of discovery).
#pragma once

#include "base/limits.hpp"

#include <chrono>
#include <optional>

namespace pineridge::membership {

using Instant = std::chrono::steady_clock::time_point; // of the monotonic clock

struct LeaseRules {
    Milliseconds delivery_time; // after discovery made a change, it counts as delivered this much later
    Milliseconds watch_overrun; // after the wait of a silent watch, what it missed counts this much later
    Milliseconds move_delay; // after a move, changes of discovery at the new address count this much later
    Milliseconds partial_answer; // after an answer's first byte, its content counts, even if incomplete
    Milliseconds transit; // at most, from writing an answer until its first byte is read
    Milliseconds watch_accepted; // a watch open for this long was accepted and is not queued
    Milliseconds queue_full; // a call that fails sooner was rejected by a full queue
    Milliseconds min_queue_wait; // a call that fails sooner was not rejected after waiting in the queue
    Milliseconds min_outage; // discovery that goes down does not return sooner than this
    bool expires_on_failure = true; // false for a local agent, which learns nothing while it fails
};

// Why a call brought no usable answer.
enum class CallFailure {
    refused, // it was answered with an error
    unreachable, // the connection was refused: nobody listens at the address
    connect_failed, // no connection: says nothing about discovery, as the cause may be local
    connection_lost, // the connection ended before the first byte of an answer
    timed_out, // nothing was received in the allowed time
    unreadable, // the answer was incomplete or malformed
};

class Lease {
  public:
    explicit Lease(const LeaseRules &rules) : rules_(rules) {}

    // A call is sent. `max_wait`: how long discovery may wait for a change; none: it answers at once.
    void call_started(Instant now, std::optional<Milliseconds> max_wait);
    void answer_started(Instant now); // its first byte was read
    void call_succeeded(); // the answer was read in full and the list updated
    void call_failed(CallFailure failure, Instant now);
    void address_changed(Instant now); // discovery moved to another address
    // The open watch has not ended. A watch counts as accepted only once this reports it open long enough.
    void watch_still_open(Instant now);

    // No RPC may be sent by the list after this. It is the clock's minimum before the first answer, as the
    // age of the list that the process started with is unknown.
    Instant expires_at() const;
    bool is_valid(Instant now) const { return now <= expires_at(); }
    // The presumed end of an outage; the clock's minimum if there is none.
    Instant outage_until() const;
    Milliseconds watch_accepted_after() const { return rules_.watch_accepted; }

  private:
    struct Call {
        Instant started_at;
        std::optional<Milliseconds> max_wait;
        std::optional<Instant> answer_started_at{};
        bool accepted = false;
    };

    // A watch that was ended after a time in which it may have been either queued or accepted. The next call
    // that fails shows how long discovery queues calls, which decides between the two.
    struct UnclearEnd {
        Instant ended_at;
        std::chrono::nanoseconds open_time;
    };

    struct Outage {
        Instant began_at;
        Instant down_at; // discovery was certainly down then
        bool may_be_over = false; // something has taken a call since, and has not answered it
    };

    void set_complete_as_of(Instant at);
    void watch_ended(const Call &call, CallFailure failure, Instant now);
    void classify_unclear_end(const Call &call, Instant now);
    void begin_outage(Instant at);
    void prove_outage(const Call &call); // nobody listened when the call was made
    void end_outage();
    Instant silent_watch_expiry(const Call &call) const {
        return call.started_at + *call.max_wait + rules_.watch_overrun;
    }

    const LeaseRules rules_;
    std::optional<Call> call_; // in progress
    std::optional<Instant> complete_at_; // the list has every change that discovery had by then
    std::optional<Instant> silent_watch_expires_at_; // set when a watch times out, until the next answer
    std::optional<UnclearEnd> unclear_end_;
    std::optional<Outage> outage_;
    Instant revoked_at_ = Instant::max(); // when a change that was not read starts to count
};

} // namespace pineridge::membership
