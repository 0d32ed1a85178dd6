#include "membership/blocking/follower.hpp"

#include <algorithm>
#include <charconv>

namespace pineridge::membership::blocking {

namespace {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 256u << 20; // parsed as it arrives, never buffered whole
constexpr std::size_t kPageEntries = 256; // passed to the view at a time

// Percent-encodes a key prefix for the path of a URL. Slashes separate the parts of a key and are kept.
std::string percent_encode(const std::string &text) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string encoded;
    for (const unsigned char byte : text) {
        const bool unreserved = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
                                (byte >= '0' && byte <= '9') ||
                                std::string_view("-._~/").find(byte) != std::string::npos;
        if (unreserved)
            encoded += static_cast<char>(byte);
        else {
            (encoded += '%') += kHex[byte >> 4];
            encoded += kHex[byte & 15];
        }
    }
    return encoded;
}

std::int64_t parse_number(const std::string &text, std::int64_t fallback) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && result.ec == std::errc{} && result.ptr == text.data() + text.size() ? value
                                                                                                : fallback;
}

// Positions of the header fields that are read, in the order in which send_query() asks the parser for them.
enum HeaderField { kIndex, kKnownLeader, kLastContact };

} // namespace

Follower::Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
                   Timing timing, std::uint64_t seed)
    : view_(view), read_(std::move(read)), prefix_(std::move(prefix)), authority_(std::move(authority)),
      token_(std::move(token)), timing_(timing) {
    random_.state = seed * 2862933555777941757ULL + 3037000493ULL;
}

void Follower::begin(Ticks now) {
    now_ = now;
    view_.watch_ended(); // requests on an earlier connection are lost
    view_.take_next_action(); // any response is a whole read, so it satisfies whatever the view requests
    send_query();
}

void Follower::send_query() {
    next_query_at_ = -1;
    std::string path = "/v1/kv/" + percent_encode(prefix_) + "?recurse=true";
    Ticks wait = 0;
    if (index_ > 0) {
        // While the view doubts a read, the confirming read is made as soon as it may count.
        wait = view_.has_doubted_hosts() ? std::min(timing_.query_wait, view_.time_to_confirmation())
                                         : timing_.query_wait;
        wait = std::max<Ticks>(10, static_cast<Ticks>(wait * (1 + random_.uniform() / 16)));
        path += "&index=" + std::to_string(index_) + "&wait=" + std::to_string((wait + 9) / 10) + "ms";
    }
    unsent_ += "GET " + path + " HTTP/1.1\r\nHost: " + authority_ + "\r\n";
    if (!token_.empty()) unsent_ += "X-Consul-Token: " + token_ + "\r\n";
    unsent_ += "\r\n";
    response_.emplace(kMaxHeadBytes, kMaxBodyBytes);
    for (const char *field : {"X-Consul-Index", "X-Consul-KnownLeader", "X-Consul-LastContact"})
        response_->capture_header(field);
    parser_.emplace([this](Entry entry) { handle_entry(std::move(entry)); });
    view_.begin_read();
    // The server itself extends the wait by up to a sixteenth.
    answer_deadline_ = now_ + wait + wait / 16 + timing_.answer_timeout;
}

void Follower::handle_entry(Entry entry) {
    Record record;
    if (!entry.error.empty()) {
        record.key = std::move(entry.key);
        record.revision = entry.modify_index;
        record.error = std::move(entry.error);
    } else if (view_.revision_of(entry.key) == entry.modify_index) {
        record.key = std::move(entry.key);
        record.revision = entry.modify_index;
        record.unchanged = true;
    } else {
        record = make_record(read_, std::move(entry.key), entry.modify_index, entry.value);
    }
    page_.push_back(std::move(record));
    if (page_.size() < kPageEntries) return;
    view_.add_page(page_);
    page_.clear();
}

bool Follower::check_header() {
    if (response_->status() != 200 && response_->status() != 404) {
        fail("status " + std::to_string(response_->status()));
        return false;
    }
    if (response_->captured_header(kKnownLeader) == "false") {
        fail("registry member has no leader");
        return false;
    }
    if (parse_number(response_->captured_header(kLastContact), 0) * 10 > timing_.max_leader_silence) {
        fail("registry member lost contact with its leader");
        return false;
    }
    if (parse_number(response_->captured_header(kIndex), -1) < 0) {
        fail("response without a valid X-Consul-Index header");
        return false;
    }
    return true;
}

bool Follower::feed(std::string_view bytes, Ticks now) {
    now_ = std::max(now_, now);
    if (!response_ || response_->is_complete()) {
        fail("unsolicited bytes from the registry");
        return false;
    }
    response_->feed(bytes);
    if (response_->is_malformed()) {
        fail("malformed HTTP response");
        return false;
    }
    if (response_->has_status() && !check_header()) return false;
    const std::string body = response_->take_body();
    // Status 404 means that no key is under the prefix; its body is a text for people and is ignored.
    if (response_->status() == 200 && !body.empty() && !parser_->feed(body)) {
        fail("malformed response body: " + parser_->error());
        return false;
    }
    if (response_->is_complete()) handle_response();
    return !has_failed();
}

void Follower::handle_response() {
    if (response_->status() == 200 && !parser_->end())
        return fail("malformed response body: JSON ends too early");
    view_.add_page(std::exchange(page_, {}));
    // At least 1: a query with index 0 never blocks, and the list would be read in a loop.
    const std::int64_t index = std::max<std::int64_t>(1, parse_number(response_->captured_header(kIndex), 1));
    const bool stays_open = response_->keep_alive();
    response_.reset();
    if (index < index_ && !std::exchange(index_went_back_, true)) {
        view_.abort_read(); // only a read without an index shows the list as it is now
        view_.take_next_action();
        index_ = 0;
        return send_query();
    }
    index_went_back_ = false;
    index_ = index;
    view_.end_read(index);
    if (view_.take_next_action() == NextAction::change_endpoint)
        return fail("registry member lags behind the known revision");
    if (!stays_open) return fail("registry member closes the connection");
    next_query_at_ = now_ + timing_.query_gap;
    answer_deadline_ = next_query_at_ + timing_.answer_timeout;
}

void Follower::set_time(Ticks now) {
    now_ = std::max(now_, now);
    if (has_failed()) return;
    view_.take_next_action(); // the next response is a whole read and satisfies the request
    if (next_query_at_ >= 0 && now_ >= next_query_at_) return send_query();
    // Without a timeout, a dead connection that stays open would hide drains for longer than the wait.
    if (next_query_at_ < 0 && now_ >= answer_deadline_) fail("blocking query not answered in time");
}

void Follower::connection_closed() {
    if (response_ && !response_->is_complete()) {
        response_->end_of_stream();
        if (response_->is_complete() && !response_->is_malformed()) {
            const std::string body = response_->take_body();
            if (!check_header()) return;
            if (response_->status() == 200 && !body.empty() && !parser_->feed(body))
                return fail("malformed response body: " + parser_->error());
            handle_response();
        }
    }
    fail("the connection ended");
}

} // namespace pineridge::membership::blocking
