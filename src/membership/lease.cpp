#include "membership/lease.hpp"

#include <algorithm>

namespace pineridge::membership {

void Lease::call_started(Instant now, std::optional<Milliseconds> max_wait) { call_ = Call{now, max_wait}; }

void Lease::answer_started(Instant now) {
    if (call_ && !call_->answer_started_at) call_->answer_started_at = now;
}

void Lease::watch_still_open(Instant now) {
    if (call_ && call_->max_wait && now - call_->started_at >= rules_.watch_accepted) call_->accepted = true;
}

void Lease::set_complete_as_of(Instant at) {
    if (!complete_at_ || *complete_at_ < at) complete_at_ = at;
}

void Lease::call_succeeded() {
    if (!call_) return;
    // The answer to a watch has every change up to its writing, which may be long after the watch was opened.
    const Instant written =
        call_->answer_started_at ? *call_->answer_started_at - rules_.transit : call_->started_at;
    set_complete_as_of(std::max(call_->started_at, written));
    revoked_at_ = Instant::max();
    silent_watch_expires_at_.reset();
    end_outage();
    call_.reset();
}

void Lease::call_failed(CallFailure failure, Instant now) {
    if (!call_) return;
    const Call call = *call_;
    call_.reset();
    if (failure == CallFailure::unreadable) {
        revoked_at_ = std::min(revoked_at_, call.answer_started_at.value_or(now) + rules_.partial_answer);
        end_outage();
    }
    if (call.max_wait && failure == CallFailure::timed_out) {
        silent_watch_expires_at_ = silent_watch_expiry(call);
        return;
    }
    if (failure == CallFailure::unreachable) return prove_outage(call);
    if (call.max_wait) return watch_ended(call, failure, now);
    if (failure != CallFailure::connect_failed && now - call.started_at < rules_.queue_full) {
        // A full queue rejected the call, so discovery is up.
        end_outage();
        return;
    }
    if (failure != CallFailure::refused && failure != CallFailure::connection_lost) return;
    classify_unclear_end(call, now);
    if (outage_) outage_->may_be_over = true;
}

// An accepted watch delivered every change up to its end; a queued one delivered none. A connection that
// breaks may have been silent before, for no longer than the bound of a silent watch.
void Lease::watch_ended(const Call &call, CallFailure failure, Instant now) {
    const auto open_time = now - call.started_at;
    const bool by_discovery = failure == CallFailure::refused || failure == CallFailure::connection_lost;
    const bool was_accepted = call.accepted || open_time >= rules_.watch_accepted;
    if (open_time < rules_.queue_full) return;
    if (by_discovery && (was_accepted || open_time < rules_.min_queue_wait)) begin_outage(now);
    if (by_discovery && !outage_) unclear_end_ = UnclearEnd{now, open_time};
    if (!complete_at_ || !was_accepted) return;
    Instant complete_until = now - rules_.transit;
    if (failure != CallFailure::refused)
        complete_until = std::min(complete_until, silent_watch_expiry(call) - rules_.delivery_time);
    set_complete_as_of(complete_until);
}

// A rejected call shows how long discovery queues calls. A watch that was open for longer had been accepted,
// and one that ended sooner was not rejected by the queue: in both cases discovery went down and ended it.
void Lease::classify_unclear_end(const Call &call, Instant now) {
    if (!unclear_end_) return;
    const UnclearEnd end = *unclear_end_;
    const auto wait = now - call.started_at;
    const bool was_accepted = wait >= rules_.min_queue_wait && end.open_time > wait + wait / 10;
    if (!was_accepted && end.open_time > wait - wait / 10 && wait >= rules_.min_queue_wait) return;
    if (was_accepted) set_complete_as_of(end.ended_at - rules_.transit);
    begin_outage(end.ended_at);
}

void Lease::begin_outage(Instant at) {
    outage_ = Outage{.began_at = at, .down_at = at};
    unclear_end_.reset();
}

// Proofs that are further apart than the shortest outage do not belong to one outage for certain, and none
// counts once discovery may have returned: a change may have been made in between.
void Lease::prove_outage(const Call &call) {
    if (unclear_end_) begin_outage(unclear_end_->ended_at);
    if (!outage_ || outage_->may_be_over) return;
    if (call.started_at - outage_->down_at <= rules_.min_outage) outage_->down_at = call.started_at;
}

void Lease::end_outage() {
    outage_.reset();
    unclear_end_.reset();
}

void Lease::address_changed(Instant now) {
    revoked_at_ = std::min(revoked_at_, now + rules_.move_delay);
    end_outage();
}

Instant Lease::outage_until() const {
    const bool has_unread_answer = revoked_at_ != Instant::max() || (call_ && call_->answer_started_at);
    if (!outage_ || !complete_at_ || has_unread_answer) return Instant::min();
    // A call that failed as it does while discovery is down confirms that the watch was ended by an outage,
    // which has a least duration. However many calls fail in this way, they tell no more than the first.
    const Instant down_until = outage_->may_be_over
                                   ? std::max(outage_->down_at, outage_->began_at + rules_.min_outage)
                                   : outage_->down_at;
    return down_until + rules_.delivery_time;
}

Instant Lease::expires_at() const {
    if (!complete_at_) return Instant::min();
    Instant until = *complete_at_ + rules_.delivery_time;
    if (!rules_.expires_on_failure)
        until = silent_watch_expires_at_ ? *silent_watch_expires_at_ : Instant::max();
    if (silent_watch_expires_at_) until = std::max(until, *silent_watch_expires_at_);
    if (call_ && call_->accepted) until = std::max(until, silent_watch_expiry(*call_));
    if (call_ && call_->answer_started_at)
        until = std::min(until, *call_->answer_started_at + rules_.partial_answer);
    return std::min(until, revoked_at_);
}

} // namespace pineridge::membership
