#include "membership/etcd/follower.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

namespace {

constexpr std::size_t kMaxBatchEvents = 100000; // events of one watch batch, over all its fragments
constexpr int kStatusOutOfRange = 11; // of gRPC

// Returns the end of the range of all keys with the prefix, computed as etcd's own clients do.
std::string prefix_range_end(std::string prefix) {
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
    if (prefix.empty()) return std::string(1, '\0');
    ++prefix.back();
    return prefix;
}

} // namespace

Follower::Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
                   Timing timing, std::size_t page_size)
    : view_(view), read_(std::move(read)), prefix_(std::move(prefix)), range_end_(prefix_range_end(prefix_)),
      authority_(std::move(authority)), token_(std::move(token)), timing_(timing), page_size_(page_size) {}

void Follower::begin(Ticks now) {
    now_ = last_message_at_ = now;
    // The calls of an earlier connection are lost, so the view is asked again what to do.
    view_.watch_ended();
    start_next_step();
}

void Follower::start_next_step() {
    switch (view_.take_next_action()) {
    case NextAction::full_read:
        if (watch_call_ >= 0) session_.cancel(std::exchange(watch_call_, -1));
        fragments_.clear();
        view_.begin_read();
        read_revision_ = 0;
        page_limit_ = page_size_;
        return read_page(prefix_);
    case NextAction::resume_watch: return open_watch();
    case NextAction::change_endpoint: return fail("registry member lags behind the known revision");
    case NextAction::none: return;
    }
}

void Follower::read_page(const std::string &from) {
    state_ = State::reading;
    etcdserverpb::RangeRequest request;
    request.set_key(from);
    request.set_range_end(range_end_);
    page_start_ = from;
    request.set_limit(static_cast<std::int64_t>(page_limit_));
    request.set_keys_only(keys_only_);
    request.set_revision(read_revision_); // 0 for the first page: its response sets the revision of the rest
    page_call_ = session_.start_call("/etcdserverpb.KV/Range", authority_, token_);
    session_.send(page_call_, request.SerializeAsString(), true);
    deadline_ = now_ + timing_.answer_timeout;
}

void Follower::open_watch() {
    state_ = State::opening_watch;
    etcdserverpb::WatchRequest request;
    auto &create = *request.mutable_create_request();
    create.set_key(prefix_);
    create.set_range_end(range_end_);
    create.set_start_revision(view_.revision() + 1);
    create.set_progress_notify(true);
    create.set_fragment(true);
    watch_call_ = session_.start_call("/etcdserverpb.Watch/Watch", authority_, token_);
    session_.send(watch_call_, request.SerializeAsString(), false);
    deadline_ = now_ + timing_.answer_timeout;
}

void Follower::set_time(Ticks now) {
    now_ = std::max(now_, now);
    if (has_failed() || state_ == State::idle) return;
    if (state_ != State::watching) {
        if (now_ >= deadline_)
            fail(state_ == State::reading ? "range read not answered in time" : "watch not created in time");
        return;
    }
    // Without a timeout, a watch would hide drains if its connection is dead though open, or if the member
    // answers pings but sends no events.
    if (now_ - last_message_at_ >= timing_.watch_timeout)
        return fail("no message on the watch within its timeout");
    if (now_ >= next_progress_at_) request_progress();
    if (now_ >= next_audit_at_) start_audit();
    deadline_ = std::min({last_message_at_ + timing_.watch_timeout, next_progress_at_, next_audit_at_});
    start_next_step();
}

void Follower::request_progress() {
    etcdserverpb::WatchRequest request;
    request.mutable_progress_request();
    session_.send(watch_call_, request.SerializeAsString(), false);
    session_.ping();
    next_progress_at_ = now_ + timing_.progress_interval;
}

// Reads the last modified key and the number of keys, to find changes that the watch did not report.
void Follower::start_audit() {
    next_audit_at_ = now_ + timing_.audit_interval;
    if (audit_call_ >= 0) return fail("previous audit read not answered in time");
    etcdserverpb::RangeRequest request;
    request.set_key(prefix_);
    request.set_range_end(range_end_);
    request.set_limit(1);
    request.set_sort_order(etcdserverpb::RangeRequest::DESCEND);
    request.set_sort_target(etcdserverpb::RangeRequest::MOD);
    request.set_revision(view_.revision()); // the state as the watch has reported it
    audit_revision_ = view_.revision();
    audit_call_ = session_.start_call("/etcdserverpb.KV/Range", authority_, token_);
    session_.send(audit_call_, request.SerializeAsString(), true);
}

void Follower::handle_event(const http2::Event &event) {
    using Kind = http2::Event::Kind;
    if (event.kind == Kind::going_away) return fail("registry member sent GOAWAY");
    if (event.kind == Kind::pong) return;
    if (event.kind == Kind::ended) {
        if (event.too_large && event.call == page_call_ && state_ == State::reading) return shrink_page();
        if (event.too_large && event.call == watch_call_) {
            // Resuming the watch would meet the same huge value again and again, so the whole prefix is read
            // instead, without that value.
            watch_call_ = -1;
            view_.watch_missed(event.text);
            return start_next_step();
        }
        if (event.call == watch_call_) return fail("watch ended: " + event.text);
        // Out of range: the revision of the read was compacted in the meantime.
        if (event.call == page_call_ && state_ == State::reading) {
            if (event.status != kStatusOutOfRange) return fail("range read failed: " + event.text);
            view_.abort_read();
            return start_next_step();
        }
        if (event.call == audit_call_) audit_call_ = -1; // a compacted or failed audit shows nothing
        return;
    }
    if (event.call == page_call_) return handle_page(event.data);
    if (event.call == watch_call_) return handle_watch_message(event.data);
    if (event.call == audit_call_) return handle_audit_response(event.data);
}

// One huge value must not keep the rest of the list from being read. This repeats the read with fewer keys
// per page and, for a key whose value alone is too large, without its value.
void Follower::shrink_page() {
    page_call_ = -1;
    if (page_limit_ == 1 && std::exchange(keys_only_, true))
        return fail("range response too large even for one key without its value");
    page_limit_ = std::max<std::size_t>(1, page_limit_ / 8);
    read_page(page_start_);
}

Record Follower::to_record(const etcdserverpb::KeyValue &key_value, bool deleted) const {
    const bool same = !deleted && view_.revision_of(key_value.key()) == key_value.mod_revision();
    if (!deleted && !same)
        return make_record(read_, key_value.key(), key_value.mod_revision(), key_value.value());
    Record record;
    record.key = key_value.key();
    record.revision = key_value.mod_revision();
    record.deleted = deleted;
    record.unchanged = same;
    return record;
}

void Follower::handle_page(const std::string &bytes) {
    etcdserverpb::RangeResponse response;
    if (!response.ParseFromString(bytes) || !response.has_header()) return fail("malformed range response");
    if (read_revision_ == 0) read_revision_ = response.header().revision();
    std::vector<Record> records;
    for (const auto &key_value : response.kvs()) {
        records.push_back(to_record(key_value, false));
        if (keys_only_ && !records.back().unchanged) {
            records.back().member.reset();
            records.back().error = "value exceeds the message size limit";
        }
    }
    keys_only_ = false;
    page_limit_ = std::min(page_size_, page_limit_ * 2);
    view_.add_page(records);
    page_call_ = -1;
    if (response.more() && response.kvs_size() > 0)
        return read_page(response.kvs(response.kvs_size() - 1).key() + '\0');
    state_ = State::idle;
    view_.end_read(read_revision_);
    start_next_step();
}

void Follower::handle_watch_message(const std::string &bytes) {
    etcdserverpb::WatchResponse response;
    if (!response.ParseFromString(bytes) || !response.has_header()) return fail("malformed watch message");
    last_message_at_ = now_;
    if (response.compact_revision() > 0) {
        view_.watch_compacted();
        watch_call_ = -1;
        return start_next_step();
    }
    if (response.canceled()) return fail("watch cancelled by the registry: " + response.cancel_reason());
    if (response.created()) {
        state_ = State::watching;
        next_progress_at_ = now_ + timing_.progress_interval;
        next_audit_at_ = now_ + timing_.audit_interval;
        if (response.header().revision() < view_.revision()) {
            view_.check_member_revision(response.header().revision());
            return start_next_step();
        }
        return;
    }
    // The fragments of a batch are applied together: a part of a batch would mark its whole revision as seen.
    for (auto &event : *response.mutable_events()) fragments_.push_back(std::move(event));
    if (fragments_.size() > kMaxBatchEvents) return fail("too many events in one watch batch");
    if (response.fragment()) return;
    for (const auto &event : std::exchange(fragments_, {}))
        view_.apply_change(to_record(event.kv(), event.type() == etcdserverpb::Event::DELETE));
    if (response.events_size() == 0) view_.record_progress(response.header().revision());
    start_next_step();
}

void Follower::handle_audit_response(const std::string &bytes) {
    audit_call_ = -1;
    etcdserverpb::RangeResponse response;
    if (!response.ParseFromString(bytes) || view_.has_doubted_hosts()) return;
    for (const auto &key_value : response.kvs())
        if (key_value.mod_revision() <= audit_revision_ &&
            view_.revision_of(key_value.key()) < key_value.mod_revision()) {
            view_.watch_missed(key_value.key());
            return start_next_step();
        }
    if (response.count() < static_cast<std::int64_t>(view_.host_count()) &&
        view_.revision() == audit_revision_) {
        view_.watch_missed("a deletion");
        start_next_step();
    }
}

} // namespace pineridge::membership::etcd
