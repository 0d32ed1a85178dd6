#include "net/http/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pineridge::http {

namespace {

bool same(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

bool read_size(std::string_view text, int base, std::size_t &size) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), size, base);
    return !text.empty() && read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

} // namespace

void Answer::feed(std::string_view bytes) {
    unread_.append(bytes);
    begun_ = begun_ || !bytes.empty();
    while (step()) {
    }
}

void Answer::end() { state_ = state_ == State::to_end || state_ == State::done ? State::done : State::bad; }

bool Answer::line(std::string_view &found, std::size_t most) {
    const std::size_t end = unread_.find('\n');
    if (end == std::string::npos) {
        if (unread_.size() > most) state_ = State::bad;
        return false;
    }
    found = std::string_view(unread_).substr(0, end);
    if (end > most || found.empty() || found.back() != '\r') {
        state_ = State::bad;
        return false;
    }
    found.remove_suffix(1);
    return true;
}

void Answer::take(std::size_t size) {
    if (body_.size() + size > most_body_) {
        state_ = State::bad;
        return;
    }
    body_.append(unread_, 0, size);
    unread_.erase(0, size);
}

// One step forward; false when it needs more bytes or has come to an end.
bool Answer::step() {
    std::string_view found;
    switch (state_) {
    case State::head: {
        static constexpr std::string_view kStart = "HTTP/1.";
        if (unread_.compare(0, kStart.size(), kStart.substr(0, unread_.size())) != 0) {
            state_ = State::bad; // noise is known by its first bytes
            return false;
        }
        const std::size_t end = unread_.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (unread_.size() > most_head_) state_ = State::bad;
            return false;
        }
        if (end + 3 > most_head_) { // as it would be, had it come byte by byte
            state_ = State::bad;
            return false;
        }
        read_head(std::string_view(unread_).substr(0, end));
        unread_.erase(0, end + 4);
        return state_ != State::bad;
    }
    case State::sized:
    case State::to_end: {
        const std::size_t size = state_ == State::sized ? std::min(left_, unread_.size()) : unread_.size();
        take(size);
        if (state_ != State::sized) return false;
        left_ -= size;
        if (left_ == 0) state_ = State::done;
        return false;
    }
    case State::chunk_size: {
        if (!line(found, most_head_)) return false;
        const std::string_view digits = trimmed(found.substr(0, found.find(';')));
        if (!read_size(digits, 16, left_)) {
            state_ = State::bad;
            return false;
        }
        unread_.erase(0, found.size() + 2);
        state_ = left_ == 0 ? State::trailer : State::chunk;
        return true;
    }
    case State::chunk: {
        const std::size_t size = std::min(left_, unread_.size());
        take(size);
        left_ -= size;
        if (state_ != State::chunk || left_ > 0) return false;
        state_ = State::chunk_end;
        return true;
    }
    case State::chunk_end:
        if (unread_.size() < 2 && std::string_view("\r\n").substr(0, unread_.size()) == unread_) return false;
        state_ = unread_.compare(0, 2, "\r\n") == 0 ? State::chunk_size : State::bad;
        if (state_ == State::chunk_size) unread_.erase(0, 2);
        return state_ != State::bad;
    case State::trailer: {
        if (!line(found, most_head_)) return false;
        const bool last = found.empty();
        unread_.erase(0, found.size() + 2);
        if (last) state_ = State::done;
        return !last;
    }
    case State::done:
    case State::bad: return false;
    }
    return false;
}

void Answer::read_head(std::string_view head) {
    const std::string_view first = head.substr(0, head.find("\r\n"));
    std::size_t status = 0;
    if (first.size() < 12 || first.substr(0, 7) != "HTTP/1." || !read_size(first.substr(9, 3), 10, status) ||
        (first.size() > 12 && first[12] != ' ')) {
        state_ = State::bad;
        return;
    }
    stays_open_ = first[7] == '1';
    for (std::size_t at = first.size(); at < head.size();) {
        const std::size_t end = std::min(head.find("\r\n", at + 2), head.size());
        const std::string_view row = head.substr(at + 2, end - at - 2);
        const std::size_t colon = row.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            state_ = State::bad;
            return;
        }
        field(row.substr(0, colon), trimmed(row.substr(colon + 1)));
        at = end;
    }
    if (state_ == State::bad) return;
    if (status >= 100 && status < 200) return; // the real head follows
    status_ = static_cast<int>(status);
    if (status_ == 204 || status_ == 304)
        state_ = State::done;
    else if (chunked_)
        state_ = State::chunk_size;
    else if (sized_)
        state_ = left_ > 0 ? State::sized : State::done;
    else
        state_ = State::to_end, stays_open_ = false;
}

void Answer::field(std::string_view name, std::string_view value) {
    for (auto &[wanted, into] : kept_)
        if (same(name, wanted)) into = value;
    if (same(name, "connection")) {
        if (same(value, "close")) stays_open_ = false;
    } else if (same(name, "transfer-encoding")) {
        chunked_ = same(value, "chunked");
        if (!chunked_) state_ = State::bad;
    } else if (same(name, "content-length")) {
        std::size_t size = 0;
        if (!read_size(value, 10, size) || (sized_ && size != left_) || size > most_body_)
            state_ = State::bad;
        left_ = size;
        sized_ = true;
    }
}

} // namespace pineridge::http
