#include "membership/lease.hpp"

#include <algorithm>

namespace pineridge::membership {

void Lease::asked(Instant now, std::optional<Milliseconds> hold) { call_ = Call{now, hold}; }

void Lease::answer_begun(Instant now) {
    if (call_ && !call_->begun) call_->begun = now;
}

void Lease::still_open(Instant now) {
    if (call_ && call_->hold && now - call_->asked >= rules_.stands_after) call_->stands = true;
}

void Lease::complete_as_of(Instant at) {
    if (!complete_at_ || *complete_at_ < at) complete_at_ = at;
}

void Lease::answered() {
    if (!call_) return;
    // A watch's answer holds all up to its writing, which may be long after the watch was opened.
    const Instant written = call_->begun ? *call_->begun - rules_.transit : call_->asked;
    complete_as_of(std::max(call_->asked, written));
    revoked_at_ = Instant::max();
    silent_until_.reset();
    outage_over();
    call_.reset();
}

void Lease::failed(CallFailure failure, Instant now) {
    if (!call_) return;
    const Call call = *call_;
    call_.reset();
    if (failure == CallFailure::unreadable) {
        revoked_at_ = std::min(revoked_at_, call.begun.value_or(now) + rules_.partial_told);
        outage_over();
    }
    if (call.hold && failure == CallFailure::silent) {
        silent_until_ = silent_bound(call);
        return;
    }
    if (call.hold) return watch_ended(call, failure, now);
    if (failure != CallFailure::unreached && now - call.asked < rules_.line_full) {
        // Crowded, so that it is not down.
        outage_over();
        return;
    }
    if (down_until_) still_down(call);
    if (failure == CallFailure::refused || failure == CallFailure::broken) clear_up(call, now);
}

// A watch that stood told all up to its end; one that waited in a line told nothing. A connection that breaks
// may have been silent for a while before: no longer than a silent watch's bound allows for.
void Lease::watch_ended(const Call &call, CallFailure failure, Instant now) {
    const auto open = now - call.asked;
    const bool by_discovery = failure == CallFailure::refused || failure == CallFailure::broken;
    const bool stood = call.stands || open >= rules_.stands_after;
    if (open < rules_.line_full) return;
    if (by_discovery && (stood || open < rules_.line_least)) down_until_ = now + rules_.outage_lasts;
    if (by_discovery && !down_until_) unclear_ = UnclearEnd{now, open};
    if (!complete_at_ || !stood) return;
    Instant told_until = now - rules_.transit;
    if (failure != CallFailure::refused)
        told_until = std::min(told_until, silent_bound(call) - rules_.told_after);
    complete_as_of(told_until);
}

// A call that was turned away tells how long discovery lets calls wait. A watch that was open for longer had
// been accepted, one that ended before was not turned away: either was ended as discovery went down.
void Lease::clear_up(const Call &call, Instant now) {
    if (!unclear_) return;
    const UnclearEnd end = *unclear_;
    const auto wait = now - call.asked;
    const bool stood = wait >= rules_.line_least && end.open > wait + wait / 10;
    if (!stood && end.open > wait - wait / 10 && wait >= rules_.line_least) return;
    if (stood) complete_as_of(end.ended - rules_.transit);
    still_down(call);
    unclear_.reset();
}

void Lease::still_down(const Call &call) {
    const bool first = failed_in_outage_++ == 0;
    const Instant until = call.asked + (first ? rules_.outage_lasts : rules_.outage_goes_on);
    down_until_ = std::max(until, down_until_.value_or(until));
}

void Lease::outage_over() {
    down_until_.reset();
    unclear_.reset();
    failed_in_outage_ = 0;
}

void Lease::moved(Instant now) {
    revoked_at_ = std::min(revoked_at_, now + rules_.moved_told);
    outage_over();
}

Instant Lease::outage_until() const {
    const bool unread = revoked_at_ != Instant::max() || (call_ && call_->begun);
    if (!down_until_ || !complete_at_ || unread) return Instant::min();
    return *down_until_;
}

Instant Lease::expires() const {
    if (!complete_at_) return Instant::min();
    Instant until = *complete_at_ + rules_.told_after;
    if (!rules_.lapses_on_failure) until = silent_until_ ? *silent_until_ : Instant::max();
    if (silent_until_) until = std::max(until, *silent_until_);
    if (call_ && call_->stands) until = std::max(until, silent_bound(*call_));
    if (call_ && call_->begun) until = std::min(until, *call_->begun + rules_.partial_told);
    return std::min(until, revoked_at_);
}

} // namespace pineridge::membership
