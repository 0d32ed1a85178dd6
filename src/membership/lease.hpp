// The lease on a list of hosts: up to when a router may go on using the list it holds. Every change that
// discovery has made counts as told to a router after a bounded time, whether or not it arrived; past that
// time a host on the list may have been drained, and nothing may be sent by it. One rule for all ways in
// which calls end: the list is known to be complete as of some instant, and the lease runs from there. Fed
// with what the caller did and saw; reads no clock and does no I/O. Not safe for threads.
//
// Past the lease there is one lesser state, an outage. Discovery that goes down ends the watches that
// was_accepted; nothing counts while it is down, and a change counts as told only some time after its return.
// A router whose watch was ended, and whose every call since has failed, presumes that this goes on. It
// cannot tell that from a discovery that has returned and is too crowded to answer: what is sent meanwhile
// has to be chosen as if some drains had gone unheard.
//
// Source: the standing test's page ("one clock for silence" and the sentence behind it), the protocol page.
#pragma once

#include "base/limits.hpp"

#include <chrono>
#include <optional>

namespace pineridge::membership {

using Instant = std::chrono::steady_clock::time_point; // of the monotonic clock

struct LeaseRules {
    Milliseconds delivery_time; // a change counts as told at the latest so long after discovery had it
    Milliseconds
        watch_overrun; // what a watch that fell silent has missed counts so long after its wait is over
    Milliseconds move_delay; // whatever a discovery at a new address has to tell counts after this
    Milliseconds
        partial_answer; // what an answer holds counts so long after its first byte, read whole or not
    Milliseconds transit; // from an answer's writing until its first byte is read, at most
    Milliseconds
        watch_accepted; // a watch that has not ended by then was accepted, and does not wait in a line
    Milliseconds queue_full; // a call that fails so soon was turned away by a line that took no more
    Milliseconds min_queue_wait; // and one that fails sooner than this was not turned away after a wait in it
    Milliseconds outage_duration; // discovery is presumed down for so long after it ended a watch, or a first
                                  // call left
    Milliseconds
        outage_extension; // and after each later call left; less, as it may be back and crowded by then
    bool expires_on_failure = true; // false: an agent beside the router, which learns nothing while it fails
};

// How a call ended that brought no usable answer.
enum class CallFailure {
    refused, // answered, with an error
    connect_failed, // no connection could be had: tells nothing of discovery, as the cause may lie here
    connection_lost, // the connection ended, before any byte of an answer
    timed_out, // nothing came in the time allowed
    unreadable, // bytes came that are no whole, sound answer
};

class Lease {
  public:
    explicit Lease(const LeaseRules &rules) : rules_(rules) {}

    // A call leaves. `hold`: how long discovery may keep it waiting for a change; none: it answers at once.
    void call_started(Instant now, std::optional<Milliseconds> max_wait);
    void answer_started(Instant now); // its first byte has been read
    void call_succeeded(); // it was read whole, and the list brought up to it
    void call_failed(CallFailure failure, Instant now);
    void address_changed(Instant now); // discovery is to be had at another address from now on
    // The watch that is out has not ended. Without this call it is not taken to stand.
    void watch_still_open(Instant now);

    // Nothing may be sent by the list after this. The clock's minimum before the first answer: the age of a
    // list that a process was started with is not known.
    Instant expires_at() const;
    bool is_valid(Instant now) const { return now <= expires_at(); }
    // In an outage: up to when it is presumed to last. The clock's minimum outside of one.
    Instant outage_until() const;
    Milliseconds watch_accepted_after() const { return rules_.watch_accepted; }

  private:
    struct Call {
        Instant started_at;
        std::optional<Milliseconds> max_wait;
        std::optional<Instant> answer_started_at{};
        bool accepted = false;
    };

    // A watch that was ended, neither so late that it must have was_accepted nor so soon that it cannot have
    // waited in a line. How long discovery lets calls wait, as the next failure shows, tells.
    struct UnclearEnd {
        Instant ended_at;
        std::chrono::nanoseconds open_time;
    };

    void set_complete_as_of(Instant at);
    void watch_ended(const Call &call, CallFailure failure, Instant now);
    void classify_unclear_end(const Call &call, Instant now);
    void extend_outage(const Call &call); // a call of an outage has failed
    void end_outage();
    Instant silent_watch_expiry(const Call &call) const {
        return call.started_at + *call.max_wait + rules_.watch_overrun;
    }

    const LeaseRules rules_;
    std::optional<Call> call_; // the one under way
    std::optional<Instant> complete_at_; // the list lacks no change that discovery had by then
    std::optional<Instant>
        silent_watch_expires_at_; // bound of a watch that fell timed_out, until the next answer
    std::optional<UnclearEnd> unclear_end_;
    std::optional<Instant> outage_until_; // in an outage: as presumed
    int failed_calls_in_outage_ = 0; // calls
    Instant revoked_at_ = Instant::max(); // something unread, or of another address, counts from then on
};

} // namespace pineridge::membership
