// The lease on the list of hosts, fed by hand: each way in which a call ends, and what it leaves.
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
                            .outage_duration = Milliseconds(5000),
                            .outage_extension = Milliseconds(4000)};

Instant at(int ms) { return Instant(Milliseconds(100000 + ms)); }

// A lease whose list was complete at 0, with no call under way.
Lease answered_at_0() {
    Lease lease(kRules);
    lease.call_started(at(0), std::nullopt);
    lease.answer_started(at(10));
    lease.call_succeeded();
    return lease;
}

void a_list_of_unknown_age_holds_no_lease() {
    Lease lease(kRules);
    assert(!lease.is_valid(at(0)) && lease.outage_until() == Instant::min());
    lease.call_started(at(0), std::nullopt);
    lease.call_failed(CallFailure::refused, at(10));
    assert(!lease.is_valid(at(10)) && lease.outage_until() == Instant::min());
}

void an_answer_gives_a_lease_from_when_it_was_asked_for() {
    const Lease lease = answered_at_0();
    assert(lease.expires_at() == at(6000) && lease.is_valid(at(6000)) && !lease.is_valid(at(6001)));
}

// Failed calls do not extend it, whatever their kind, where no watch was ended.
void failed_calls_leave_the_lease_as_it_is() {
    for (const CallFailure failure : {CallFailure::refused, CallFailure::connect_failed,
                                      CallFailure::connection_lost, CallFailure::timed_out}) {
        Lease lease = answered_at_0();
        lease.call_started(at(3000), std::nullopt);
        lease.call_failed(failure, at(5000));
        assert(lease.expires_at() == at(6000) && lease.outage_until() == Instant::min());
    }
}

// A watch waiting in a line is no lease; one that has not ended for long stands up to its wait's end.
void a_watch_counts_once_it_stands() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.watch_still_open(at(4000));
    assert(lease.expires_at() == at(6000));
    lease.watch_still_open(at(5100));
    assert(lease.expires_at() == at(22100));
    lease.answer_started(at(19000));
    assert(lease.expires_at() == at(19150)); // what it holds counts soon, read whole or not
    lease.call_succeeded();
    assert(lease.expires_at() == at(19000 - 250 + 6000));
}

void a_silent_watch_holds_until_what_it_missed_counts() {
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

// A connection that breaks may have been silent before, for no longer than a silent watch's bound.
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

// Discovery ended the watch, and each call since has failed: an outage is presumed, from call to call.
void an_outage_is_presumed_after_a_watch_was_ended() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    assert(lease.expires_at() == at(6000) && lease.outage_until() == at(5700));
    lease.call_started(at(4000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(6000));
    assert(!lease.is_valid(at(6001)) && lease.outage_until() == at(9000));
    lease.call_started(at(8000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(10000));
    assert(lease.outage_until() == at(12000)); // it may be back and crowded by now: for less
    lease.call_started(at(14000), std::nullopt);
    lease.call_succeeded();
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(20000));
}

// A watch that was turned away after a wait in the line, as the next call is, was never ended by an outage.
void a_crowded_line_is_no_outage() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(2100));
    lease.call_started(at(3000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(5000));
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(6000));
}

// Nor is one that turns calls away at once: it takes no more, which one that is down could not tell.
void a_full_line_ends_an_outages_presumption() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(102));
    assert(lease.outage_until() == Instant::min());
    lease.call_started(at(200), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(700));
    assert(lease.outage_until() == at(5700));
    lease.call_started(at(1000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(1002));
    assert(lease.outage_until() == Instant::min() && lease.expires_at() == at(6000));
}

// It was open for longer than the line lets calls wait: it stood, and told all up to its end.
void a_watch_open_for_longer_than_the_line_had_stood() {
    Lease lease = answered_at_0();
    lease.call_started(at(100), Milliseconds(20000));
    lease.call_failed(CallFailure::refused, at(3100));
    assert(lease.outage_until() == Instant::min());
    lease.call_started(at(4000), std::nullopt);
    lease.call_failed(CallFailure::refused, at(6000));
    assert(lease.expires_at() == at(3100 - 250 + 6000) && lease.outage_until() == at(9000));
}

// What an answer that breaks off held counts, and ends an outage's presumption.
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

void a_move_revokes_it_after_its_time() {
    Lease lease = answered_at_0();
    lease.address_changed(at(1000));
    assert(lease.expires_at() == at(5000));
    lease.call_started(at(1000), std::nullopt);
    lease.call_succeeded();
    assert(lease.expires_at() == at(7000));
}

// An agent beside the router learns nothing while it fails: only silence and unread answers end its lease.
void an_agents_lease_outlasts_failed_calls() {
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
    a_list_of_unknown_age_holds_no_lease();
    an_answer_gives_a_lease_from_when_it_was_asked_for();
    failed_calls_leave_the_lease_as_it_is();
    a_watch_counts_once_it_stands();
    a_silent_watch_holds_until_what_it_missed_counts();
    a_watch_that_breaks_was_complete_up_to_a_bound();
    an_outage_is_presumed_after_a_watch_was_ended();
    a_crowded_line_is_no_outage();
    a_full_line_ends_an_outages_presumption();
    a_watch_open_for_longer_than_the_line_had_stood();
    an_unreadable_answer_revokes_the_lease();
    a_move_revokes_it_after_its_time();
    an_agents_lease_outlasts_failed_calls();
}
