#include "membership/etcd/follower.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

namespace {

constexpr std::size_t kMostFragments = 100000; // events of one batch

// The key behind all that begin with the prefix, as etcd's own clients make it.
std::string end_of(std::string prefix) {
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
    if (prefix.empty()) return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

} // namespace

Follower::Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
                   Timing timing, std::size_t page)
    : view_(view), read_(std::move(read)), prefix_(std::move(prefix)), end_(end_of(prefix_)),
      authority_(std::move(authority)), token_(std::move(token)), timing_(timing), page_(page) {}

void Follower::begin(Ticks now) {
    now_ = heard_at_ = now;
    // A new connection carries nothing on: what the view wants is asked of it anew.
    view_.broken();
    go_on();
}

void Follower::go_on() {
    switch (view_.ask()) {
    case Ask::whole:
        if (watch_call_ >= 0) session_.cancel(std::exchange(watch_call_, -1));
        fragments_.clear();
        view_.begin_read();
        read_rev_ = 0;
        keys_now_ = page_;
        return read_page(prefix_);
    case Ask::resume: return open_watch();
    case Ask::elsewhere: return fail("a member that lags");
    case Ask::nothing: return;
    }
}

void Follower::read_page(const std::string &from) {
    doing_ = Doing::reading;
    etcdserverpb::RangeRequest request;
    request.set_key(from);
    request.set_range_end(end_);
    read_from_ = from;
    request.set_limit(static_cast<std::int64_t>(keys_now_));
    request.set_keys_only(without_value_);
    request.set_revision(read_rev_); // 0 for the first page: what the answer stands at holds for the rest
    page_call_ = session_.start_call("/etcdserverpb.KV/Range", authority_, token_);
    session_.send(page_call_, request.SerializeAsString(), true);
    due_ = now_ + timing_.answer_timeout;
}

void Follower::open_watch() {
    doing_ = Doing::opening;
    etcdserverpb::WatchRequest request;
    auto &create = *request.mutable_create_request();
    create.set_key(prefix_);
    create.set_range_end(end_);
    create.set_start_revision(view_.revision() + 1);
    create.set_progress_notify(true);
    create.set_fragment(true);
    watch_call_ = session_.start_call("/etcdserverpb.Watch/Watch", authority_, token_);
    session_.send(watch_call_, request.SerializeAsString(), false);
    due_ = now_ + timing_.answer_timeout;
}

void Follower::clock(Ticks now) {
    now_ = std::max(now_, now);
    if (dead() || doing_ == Doing::nothing) return;
    if (doing_ != Doing::watching) {
        if (now_ >= due_) fail(doing_ == Doing::reading ? "no answer to a read" : "no answer to a watch");
        return;
    }
    // Stops a watch that is open and dead, or stuck behind answered pings, from hiding drains.
    if (now_ - heard_at_ >= timing_.watch_timeout) return fail("a watch that is quiet");
    if (now_ >= progress_at_) ask_progress();
    if (now_ >= audit_at_) audit();
    due_ = std::min({heard_at_ + timing_.watch_timeout, progress_at_, audit_at_});
    go_on();
}

void Follower::ask_progress() {
    etcdserverpb::WatchRequest request;
    request.mutable_progress_request();
    session_.send(watch_call_, request.SerializeAsString(), false);
    session_.ping();
    progress_at_ = now_ + timing_.progress_interval;
}

// The key written last, and how many there are: has the watch told of it?
void Follower::audit() {
    audit_at_ = now_ + timing_.audit_interval;
    if (audit_call_ >= 0) return fail("no answer to a look");
    etcdserverpb::RangeRequest request;
    request.set_key(prefix_);
    request.set_range_end(end_);
    request.set_limit(1);
    request.set_sort_order(etcdserverpb::RangeRequest::DESCEND);
    request.set_sort_target(etcdserverpb::RangeRequest::MOD);
    request.set_revision(view_.revision()); // as of what the watch has told
    audit_rev_ = view_.revision();
    audit_call_ = session_.start_call("/etcdserverpb.KV/Range", authority_, token_);
    session_.send(audit_call_, request.SerializeAsString(), true);
}

void Follower::take(const http2::Event &event) {
    using Kind = http2::Event::Kind;
    if (event.kind == Kind::going_away) return fail("the member is going away");
    if (event.kind == Kind::pong) return;
    if (event.kind == Kind::ended) {
        if (event.too_large && event.call == page_call_ && doing_ == Doing::reading) return page_too_large();
        if (event.too_large && event.call == watch_call_) {
            // Stops one huge value from being resumed into again and again: the whole is read, around it.
            watch_call_ = -1;
            view_.missed(event.text);
            return go_on();
        }
        if (event.call == watch_call_) return fail("the watch ended: " + event.text);
        // 11, out of range: the revision of the read has been compacted meanwhile.
        if (event.call == page_call_ && doing_ == Doing::reading) {
            if (event.status != 11) return fail("a read failed: " + event.text);
            view_.drop_read();
            return go_on();
        }
        if (event.call == audit_call_) audit_call_ = -1; // a compacted or failed look tells nothing
        return;
    }
    if (event.call == page_call_) return take_page(event.data);
    if (event.call == watch_call_) return take_watch(event.data);
    if (event.call == audit_call_) return take_audit(event.data);
}

// Stops one huge value from keeping the rest of the list unread: fewer keys are asked for, and of the one
// that is too large by itself only its name and revision.
void Follower::page_too_large() {
    page_call_ = -1;
    if (keys_now_ == 1 && std::exchange(without_value_, true))
        return fail("a page that is too large without its values");
    keys_now_ = std::max<std::size_t>(1, keys_now_ / 8);
    read_page(read_from_);
}

Record Follower::record_of(const etcdserverpb::KeyValue &pair, bool gone) const {
    const bool same = !gone && view_.revision_of(pair.key()) == pair.mod_revision();
    if (!gone && !same) return make_record(read_, pair.key(), pair.mod_revision(), pair.value());
    Record record;
    record.key = pair.key();
    record.rev = pair.mod_revision();
    record.gone = gone;
    record.same = same;
    return record;
}

void Follower::take_page(const std::string &bytes) {
    etcdserverpb::RangeResponse page;
    if (!page.ParseFromString(bytes) || !page.has_header()) return fail("a page that cannot be read");
    if (read_rev_ == 0) read_rev_ = page.header().revision();
    std::vector<Record> records;
    for (const auto &pair : page.kvs()) {
        records.push_back(record_of(pair, false));
        if (without_value_ && !records.back().same) {
            records.back().member.reset();
            records.back().fault = "a value beyond the bound of messages";
        }
    }
    without_value_ = false;
    keys_now_ = std::min(page_, keys_now_ * 2);
    view_.page(records);
    page_call_ = -1;
    if (page.more() && page.kvs_size() > 0) return read_page(page.kvs(page.kvs_size() - 1).key() + '\0');
    doing_ = Doing::nothing;
    view_.end_read(read_rev_);
    go_on();
}

void Follower::take_watch(const std::string &bytes) {
    etcdserverpb::WatchResponse told;
    if (!told.ParseFromString(bytes) || !told.has_header()) return fail("a watch that cannot be read");
    heard_at_ = now_;
    if (told.compact_revision() > 0) {
        view_.compacted();
        watch_call_ = -1;
        return go_on();
    }
    if (told.canceled()) return fail("the watch was cancelled: " + told.cancel_reason());
    if (told.created()) {
        doing_ = Doing::watching;
        progress_at_ = now_ + timing_.progress_interval;
        audit_at_ = now_ + timing_.audit_interval;
        if (told.header().revision() < view_.revision()) {
            view_.member_at(told.header().revision());
            return go_on();
        }
        return;
    }
    // A batch in fragments is one: half of it is none, as the revision would then count as told.
    for (auto &event : *told.mutable_events()) fragments_.push_back(std::move(event));
    if (fragments_.size() > kMostFragments) return fail("a batch of too many events");
    if (told.fragment()) return;
    for (const auto &event : std::exchange(fragments_, {}))
        view_.change(record_of(event.kv(), event.type() == etcdserverpb::Event::DELETE));
    if (told.events_size() == 0) view_.progress(told.header().revision());
    go_on();
}

void Follower::take_audit(const std::string &bytes) {
    audit_call_ = -1;
    etcdserverpb::RangeResponse look;
    if (!look.ParseFromString(bytes) || view_.doubting()) return;
    for (const auto &pair : look.kvs())
        if (pair.mod_revision() <= audit_rev_ && view_.revision_of(pair.key()) < pair.mod_revision()) {
            view_.missed(pair.key());
            return go_on();
        }
    if (look.count() < static_cast<std::int64_t>(view_.size()) && view_.revision() == audit_rev_) {
        view_.missed("a deletion");
        go_on();
    }
}

} // namespace pineridge::membership::etcd
