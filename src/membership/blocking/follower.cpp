#include "membership/blocking/follower.hpp"

#include <algorithm>
#include <charconv>

namespace pineridge::membership::blocking {

namespace {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr std::size_t kMostBody = 256u << 20; // read as it comes, never held
constexpr std::size_t kPage = 256; // entries handed to the view at once

// As a URL's path wants them; slashes part keys and stay.
std::string escaped(const std::string &text) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string all;
    for (const unsigned char one : text) {
        const bool plain = (one >= 'a' && one <= 'z') || (one >= 'A' && one <= 'Z') ||
                           (one >= '0' && one <= '9') ||
                           std::string_view("-._~/").find(one) != std::string::npos;
        if (plain)
            all += static_cast<char>(one);
        else
            (all += '%') += kHex[one >> 4], all += kHex[one & 15];
    }
    return all;
}

std::int64_t number(const std::string &text, std::int64_t otherwise) {
    std::int64_t read = 0;
    const auto got = std::from_chars(text.data(), text.data() + text.size(), read);
    return !text.empty() && got.ec == std::errc{} && got.ptr == text.data() + text.size() ? read : otherwise;
}

enum Kept { kIndex, kLeader, kContact };

} // namespace

Follower::Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
                   Timing timing, std::uint64_t seed)
    : view_(view), read_(std::move(read)), prefix_(std::move(prefix)), authority_(std::move(authority)),
      token_(std::move(token)), timing_(timing) {
    chance_.state = seed * 2862933555777941757ULL + 3037000493ULL;
}

void Follower::begin(Ticks now) {
    now_ = now;
    view_.broken(); // a new connection carries nothing on
    view_.ask(); // whatever it wants, a whole read gives it
    query();
}

void Follower::query() {
    ask_at_ = -1;
    std::string path = "/v1/kv/" + escaped(prefix_) + "?recurse=true";
    Ticks wait = 0;
    if (index_ > 0) {
        // What is doubted is read again as soon as that may count.
        wait = view_.doubting() ? std::min(timing_.query_wait, view_.confirms_in()) : timing_.query_wait;
        wait = std::max<Ticks>(10, static_cast<Ticks>(wait * (1 + chance_.uniform() / 16)));
        path += "&index=" + std::to_string(index_) + "&wait=" + std::to_string((wait + 9) / 10) + "ms";
    }
    unsent_ += "GET " + path + " HTTP/1.1\r\nHost: " + authority_ + "\r\n";
    if (!token_.empty()) unsent_ += "X-Consul-Token: " + token_ + "\r\n";
    unsent_ += "\r\n";
    answer_.emplace(kMostHead, kMostBody);
    for (const char *field : {"X-Consul-Index", "X-Consul-KnownLeader", "X-Consul-LastContact"})
        answer_->capture_header(field);
    entries_.emplace([this](Entry entry) { take_entry(std::move(entry)); });
    view_.begin_read();
    // The server adds up to a sixteenth of the wait by itself.
    due_ = now_ + wait + wait / 16 + timing_.answer_timeout;
}

void Follower::take_entry(Entry entry) {
    Record record;
    if (!entry.fault.empty()) {
        record.key = std::move(entry.key);
        record.rev = entry.rev;
        record.fault = std::move(entry.fault);
    } else if (view_.revision_of(entry.key) == entry.rev) {
        record.key = std::move(entry.key);
        record.rev = entry.rev;
        record.same = true;
    } else {
        record = make_record(read_, std::move(entry.key), entry.rev, entry.value);
    }
    page_.push_back(std::move(record));
    if (page_.size() < kPage) return;
    view_.page(page_);
    page_.clear();
}

bool Follower::usable() {
    if (answer_->status() != 200 && answer_->status() != 404)
        return fail("status " + std::to_string(answer_->status())), false;
    if (answer_->captured_header(kLeader) == "false") return fail("a member without a leader"), false;
    if (number(answer_->captured_header(kContact), 0) * 10 > timing_.max_leader_silence)
        return fail("a member out of touch with its leader"), false;
    if (number(answer_->captured_header(kIndex), -1) < 0) return fail("an answer without an index"), false;
    return true;
}

bool Follower::feed(std::string_view bytes, Ticks now) {
    now_ = std::max(now_, now);
    if (!answer_ || answer_->is_complete()) {
        fail("bytes that were not asked for");
        return false;
    }
    answer_->feed(bytes);
    if (answer_->is_malformed()) return fail("an answer that cannot be read"), false;
    if (answer_->has_status() && !usable()) return false;
    const std::string body = answer_->take_body();
    // 404: no key under the prefix; what its body says is for people.
    if (answer_->status() == 200 && !body.empty() && !entries_->feed(body))
        return fail("an answer that cannot be read: " + entries_->fault()), false;
    if (answer_->is_complete()) take_answer();
    return !dead();
}

void Follower::take_answer() {
    if (answer_->status() == 200 && !entries_->end())
        return fail("an answer that cannot be read: it ends too early");
    view_.page(std::exchange(page_, {}));
    // Least 1: an index of 0 would never block, and the list be asked for in a loop.
    const std::int64_t index = std::max<std::int64_t>(1, number(answer_->captured_header(kIndex), 1));
    const bool stays = answer_->keep_alive();
    answer_.reset();
    if (index < index_ && !std::exchange(went_back_, true)) {
        view_.drop_read(); // start anew: what the list is without an index is what counts
        view_.ask();
        index_ = 0;
        return query();
    }
    went_back_ = false;
    index_ = index;
    view_.end_read(index);
    if (view_.ask() == Ask::elsewhere) return fail("a member that lags");
    if (!stays) return fail("the member closes the connection");
    ask_at_ = now_ + timing_.query_gap;
    due_ = ask_at_ + timing_.answer_timeout;
}

void Follower::clock(Ticks now) {
    now_ = std::max(now_, now);
    if (dead()) return;
    view_.ask(); // a confirming read comes with the next answer
    if (ask_at_ >= 0 && now_ >= ask_at_) return query();
    // Stops a query that is open and dead from hiding drains for longer than its wait.
    if (ask_at_ < 0 && now_ >= due_) fail("no answer to a query");
}

void Follower::ended() {
    if (answer_ && !answer_->is_complete()) {
        answer_->end_of_stream();
        if (answer_->is_complete() && !answer_->is_malformed()) {
            const std::string body = answer_->take_body();
            if (!usable()) return;
            if (answer_->status() == 200 && !body.empty() && !entries_->feed(body))
                return fail("an answer that cannot be read: " + entries_->fault());
            take_answer();
        }
    }
    fail("the connection ended");
}

} // namespace pineridge::membership::blocking
