// Tests the lease on the list of hosts: each way in which a call to discovery can end, and the lease after
// it.
#undef NDEBUG
#include "membership/lease.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

constexpr LeaseRules kRules{.delivery_time = Milliseconds(6000),
                            .watch_overrun = Milliseconds(2000),
                            .move_delay = Milliseconds(4000),
                            .partial_answer = Milliseconds(150),
                            .transit = Milliseconds(250),
                            .watch_accepted = Milliseconds(5000),
                            .queue_full = Milliseconds(100),
                            .min_queue_wait = Milliseconds(1500),
                            .min_outage = Milliseconds(5000)};

Instant at(int ms) { return Instant(Milliseconds(100000 + ms)); }

// Returns a lease whose list was complete at 0, with no call in progress.
Lease answered_at_0() {
    Lease lease(kRules);
    lease.call_started(at(0), std::nullopt);
    lease.answer_started(at(10));
    lease.call_succeeded();
    return lease;
}

void a_list_of_unknown_age_has_no_lease() {
    Lease lease(kRules);
    assert(!lease.is_valid(at(0)) && lease.outage_until() == Instant::min());
    lease.call_started(at(0), std::nullopt);
    lease.call_failed(CallFailure::refused, at(10));
    assert(!lease.is_valid(at(10)) && lease.outage_until() == Instant::min());
}

void the_lease_runs_from_when_the_answer_was_requested() {
    const Lease lease = answered_at_0();
    assert(lease.expires_at() == at(6000) && lease.is_valid(at(6000)) && !lease.is_valid(at(6001)));
}

// If no watch was ended, failed calls of any kind do not extend the lease.
void failed_calls_do_not_change_the_lease() {
    for (const CallFailure failure :
         {CallFailure::refused, CallFailure::unreachable, CallFailure::connect_failed,
          CallFailure::connection_lost, CallFailure::timed_out}) {
        Lease lease = answered_at_0();
        lease.call_started(at(3000), std::nullopt);
        lease.call_failed(failure, at(5000));
        assert(lease.expires_at() == at(6000) && lease.outage_until() == Instant::min());
    }
}

// A queued watch does not extend the lease. One open for long enough was accepted, and extends it to its
// wait's end.
void a_watch_extends_the_lease_once_accepted() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.watch_still_open(at(4000));
    assert(lease.expires_at() == at(6000));
    lease.watch_still_open(at(5100));
    assert(lease.expires_at() == at(22100));
    lease.answer_started(at(19000));
    assert(lease.expires_at() == at(19150)); // the answer's changes count soon, even if it is incomplete
    lease.call_succeeded();
    assert(lease.expires_at() == at(19000 - 250 + 6000));
}

void a_silent_watch_keeps_the_lease_for_its_overrun() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(10000));
    lease.watch_still_open(at(5100));
    lease.call_failed(CallFailure::timed_out, at(10600));
    assert(lease.expires_at() == at(12100) && lease.outage_until() == Instant::min());
    lease.call_started(at(10600), std::nullopt);
    lease.call_failed(CallFailure::timed_out, at(13100));
    assert(lease.expires_at() == at(12100));
    lease.call_started(at(13100), std::nullopt);
    lease.call_succeeded();
    assert(lease.expires_at() == at(19100));
}

// A lost connection may have been silent before, for no longer than the bound of a silent watch.
void a_watch_that_breaks_was_complete_up_to_a_bound() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(10000));
    lease.watch_still_open(at(5100));
    lease.call_failed(CallFailure::connection_lost, at(9000));
    assert(lease.expires_at() == at(12100));
    Lease other = answered_at_0();
    other.call_started(at(100), Milliseconds(10000));
    other.call_failed(CallFailure::refused, at(9000));
    assert(other.expires_at() == at(9000 - 250 + 6000));
}

// Discovery ended the watch, and every call since was refused after a wait. The first such call confirms the
// outage. The later ones do not extend it (review/6): discovery may be back and overloaded, and then a change
// that it made on its return counts as delivered.
void an_outage_is_presumed_after_a_watch_was_ended() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    assert(lease.expires_at() == at(6000) && lease.outage_until() == at(6700));
    for (int call = 0; call < 5; ++call) {
        lease.call_started(at(4000 + call * 3000), std::nullopt);
        lease.call_failed(call % 2 == 0 ? CallFailure::refused : CallFailure::connection_lost,
                          at(6000 + call * 3000));
        assert(lease.outage_until() == at(700 + 5000 + 6000)); // shortest outage, delivery time
    }
    assert(!lease.is_valid(at(6001)));
    lease.call_started(at(24000), std::nullopt);
    lease.call_succeeded();
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(30000));
}

// Each refused connection proves that discovery could not be reached, so that a change counts only later.
void refused_connections_extend_an_outage() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.watch_still_open(at(5100));
    lease.call_failed(CallFailure::connection_lost, at(8000));
    for (int call = 0; call < 20; ++call) {
        lease.call_started(at(9000 + call * 1000), std::nullopt);
        lease.call_failed(CallFailure::unreachable, at(9001 + call * 1000));
        assert(lease.outage_until() == at(9000 + call * 1000 + 6000));
    }
    // No connection for a reason that may be local, and no answer at all, prove nothing.
    for (const CallFailure failure : {CallFailure::connect_failed, CallFailure::timed_out}) {
        lease.call_started(at(29000), std::nullopt);
        lease.call_failed(failure, at(29500));
        assert(lease.outage_until() == at(34000));
    }
    // Discovery takes a call again: it may make a change from then on, whatever becomes of later calls.
    lease.call_started(at(30000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(32000));
    lease.call_started(at(32500), std::nullopt);
    lease.call_failed(CallFailure::unreachable, at(32501));
    assert(lease.outage_until() == at(34000));
}

// Two refused connections that are far apart do not show that nobody listened in between.
void refused_connections_far_apart_do_not_extend_an_outage() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    lease.call_started(at(5800), std::nullopt);
    lease.call_failed(CallFailure::unreachable, at(5801));
    assert(lease.outage_until() == at(6700));
}

// It was unclear whether the watch had waited in the queue. A refused connection shows an outage.
void a_refused_connection_explains_an_unclear_end() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::connection_lost, at(2100));
    assert(lease.outage_until() == Instant::min());
    lease.call_started(at(3000), std::nullopt);
    lease.call_failed(CallFailure::unreachable, at(3001));
    assert(lease.outage_until() == at(9000) && lease.expires_at() == at(6000));
}

// A watch rejected after a wait in the queue, like the next call, was not ended by an outage.
void rejection_after_queueing_is_no_outage() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(2100));
    lease.call_started(at(3000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(5000));
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(6000));
}

// A call rejected at once shows that discovery's queue is full, so discovery is up.
void rejection_by_a_full_queue_ends_an_outage() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(102));
    assert(lease.outage_until() == Instant::min());
    lease.call_started(at(200), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    assert(lease.outage_until() == at(6700));
    lease.call_started(at(1000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(1002));
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(6000));
}

// The watch was open for longer than discovery queues calls, so it was accepted and complete up to its end.
void a_watch_open_longer_than_the_queue_wait_was_accepted() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(3100));
    assert(lease.outage_until() == Instant::min());
    lease.call_started(at(4000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(6000));
    assert(lease.expires_at() == at(3100 - 250 + 6000) && lease.outage_until() == at(3100 + 11000));
}

// The changes in an incomplete answer count as delivered. The answer also ends a presumed outage.
void an_unreadable_answer_revokes_the_lease() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    lease.call_started(at(1000), std::nullopt);
    lease.answer_started(at(1100));
    lease.call_failed(CallFailure::unreadable, at(1120));
    assert(lease.expires_at() == at(1250) && lease.outage_until() == Instant::min());
    lease.call_started(at(1120), std::nullopt);
    lease.call_failed(CallFailure::refused, at(3120));
    assert(lease.expires_at() == at(1250) && lease.outage_until() == Instant::min());
    lease.call_started(at(4000), std::nullopt);
    lease.call_succeeded();
    assert(lease.expires_at() == at(10000));
}

void a_move_revokes_the_lease_after_its_delay() {
    Lease lease = answered_at_0();
    lease.address_changed(at(1000));
    assert(lease.expires_at() == at(5000));
    lease.call_started(at(1000), std::nullopt);
    lease.call_succeeded();
    assert(lease.expires_at() == at(7000));
}

// A local agent learns nothing while it fails: only a silent watch or an unread answer ends its lease.
void a_local_agents_lease_survives_failed_calls() {
    LeaseRules rules = kRules;
    rules.expires_on_failure = false;
    Lease lease(rules);
    assert(!lease.is_valid(at(0)));
    lease.call_started(at(0), std::nullopt);
    lease.call_succeeded();
    assert(lease.expires_at() == Instant::max());
    lease.call_started(at(10), std::nullopt);
    lease.call_failed(CallFailure::refused, at(20));
    assert(lease.expires_at() == Instant::max());
    lease.call_started(at(100), Milliseconds(10000));
    lease.call_failed(CallFailure::timed_out, at(10600));
    assert(lease.expires_at() == at(12100));
}

} // namespace

int main() {
    a_list_of_unknown_age_has_no_lease();
    the_lease_runs_from_when_the_answer_was_requested();
    failed_calls_do_not_change_the_lease();
    a_watch_extends_the_lease_once_accepted();
    a_silent_watch_keeps_the_lease_for_its_overrun();
    a_watch_that_breaks_was_complete_up_to_a_bound();
    an_outage_is_presumed_after_a_watch_was_ended();
    refused_connections_extend_an_outage();
    refused_connections_far_apart_do_not_extend_an_outage();
    a_refused_connection_explains_an_unclear_end();
    rejection_after_queueing_is_no_outage();
    rejection_by_a_full_queue_ends_an_outage();
    a_watch_open_longer_than_the_queue_wait_was_accepted();
    an_unreadable_answer_revokes_the_lease();
    a_move_revokes_the_lease_after_its_delay();
    a_local_agents_lease_survives_failed_calls();
}
