#include "net/http/response.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace pineridge::http {

namespace {

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

bool parse_size(std::string_view text, int base, std::size_t &size) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), size, base);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

} // namespace

void Response::feed(std::string_view bytes) {
    unparsed_.append(bytes);
    has_started_ = has_started_ || !bytes.empty();
    while (step()) {
    }
}

void Response::end_of_stream() {
    state_ =
        state_ == State::body_until_close || state_ == State::complete ? State::complete : State::malformed;
}

bool Response::next_line(std::string_view &line, std::size_t max_bytes) {
    const std::size_t end = unparsed_.find('\n');
    if (end == std::string::npos) {
        if (unparsed_.size() > max_bytes) state_ = State::malformed;
        return false;
    }
    line = std::string_view(unparsed_).substr(0, end);
    if (end > max_bytes || line.empty() || line.back() != '\r') {
        state_ = State::malformed;
        return false;
    }
    line.remove_suffix(1);
    return true;
}

void Response::append_body(std::size_t size) {
    if (body_.size() + size > max_body_bytes_) {
        state_ = State::malformed;
        return;
    }
    body_.append(unparsed_, 0, size);
    unparsed_.erase(0, size);
}

// Parses the next element. Returns false when it needs more bytes or parsing has ended.
bool Response::step() {
    std::string_view line;
    switch (state_) {
    case State::head: {
        static constexpr std::string_view kProtocol = "HTTP/1.";
        if (unparsed_.compare(0, kProtocol.size(), kProtocol.substr(0, unparsed_.size())) != 0) {
            state_ = State::malformed; // fails early: this is not HTTP/1
            return false;
        }
        const std::size_t end = unparsed_.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (unparsed_.size() > max_head_bytes_) state_ = State::malformed;
            return false;
        }
        if (end + 3 > max_head_bytes_) { // the same result as if it had been received byte by byte
            state_ = State::malformed;
            return false;
        }
        parse_head(std::string_view(unparsed_).substr(0, end));
        unparsed_.erase(0, end + 4);
        return state_ != State::malformed;
    }
    case State::sized_body:
    case State::body_until_close: {
        const std::size_t size =
            state_ == State::sized_body ? std::min(remaining_, unparsed_.size()) : unparsed_.size();
        append_body(size);
        if (state_ != State::sized_body) return false;
        remaining_ -= size;
        if (remaining_ == 0) state_ = State::complete;
        return false;
    }
    case State::chunk_size: {
        if (!next_line(line, max_head_bytes_)) return false;
        const std::string_view digits = trimmed(line.substr(0, line.find(';')));
        if (!parse_size(digits, 16, remaining_)) {
            state_ = State::malformed;
            return false;
        }
        unparsed_.erase(0, line.size() + 2);
        state_ = remaining_ == 0 ? State::trailer : State::chunk_data;
        return true;
    }
    case State::chunk_data: {
        const std::size_t size = std::min(remaining_, unparsed_.size());
        append_body(size);
        remaining_ -= size;
        if (state_ != State::chunk_data || remaining_ > 0) return false;
        state_ = State::chunk_end;
        return true;
    }
    case State::chunk_end:
        if (unparsed_.size() < 2 && std::string_view("\r\n").substr(0, unparsed_.size()) == unparsed_)
            return false;
        state_ = unparsed_.compare(0, 2, "\r\n") == 0 ? State::chunk_size : State::malformed;
        if (state_ == State::chunk_size) unparsed_.erase(0, 2);
        return state_ != State::malformed;
    case State::trailer: {
        if (!next_line(line, max_head_bytes_)) return false;
        const bool last = line.empty();
        unparsed_.erase(0, line.size() + 2);
        if (last) state_ = State::complete;
        return !last;
    }
    case State::complete:
    case State::malformed: return false;
    }
    return false;
}

void Response::parse_head(std::string_view head) {
    const std::string_view status_line = head.substr(0, head.find("\r\n"));
    std::size_t status = 0;
    if (status_line.size() < 12 || status_line.substr(0, 7) != "HTTP/1." ||
        !parse_size(status_line.substr(9, 3), 10, status) ||
        (status_line.size() > 12 && status_line[12] != ' ')) {
        state_ = State::malformed;
        return;
    }
    keep_alive_ = status_line[7] == '1';
    for (std::size_t line_end = status_line.size(); line_end < head.size();) {
        const std::size_t end = std::min(head.find("\r\n", line_end + 2), head.size());
        const std::string_view field = head.substr(line_end + 2, end - line_end - 2);
        const std::size_t colon = field.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            state_ = State::malformed;
            return;
        }
        parse_field(field.substr(0, colon), trimmed(field.substr(colon + 1)));
        line_end = end;
    }
    if (state_ == State::malformed) return;
    if (status >= 100 && status < 200) return; // an interim response: the head of the final one follows
    status_ = static_cast<int>(status);
    if (status_ == 204 || status_ == 304)
        state_ = State::complete;
    else if (is_chunked_)
        state_ = State::chunk_size;
    else if (has_length_)
        state_ = remaining_ > 0 ? State::sized_body : State::complete;
    else {
        state_ = State::body_until_close;
        keep_alive_ = false;
    }
}

void Response::parse_field(std::string_view name, std::string_view value) {
    for (auto &[captured_name, captured_value] : captured_)
        if (equals_ignoring_case(name, captured_name)) captured_value = value;
    if (equals_ignoring_case(name, "connection")) {
        if (equals_ignoring_case(value, "close")) keep_alive_ = false;
    } else if (equals_ignoring_case(name, "transfer-encoding")) {
        is_chunked_ = equals_ignoring_case(value, "chunked");
        if (!is_chunked_) state_ = State::malformed;
    } else if (equals_ignoring_case(name, "content-length")) {
        std::size_t size = 0;
        if (!parse_size(value, 10, size) || (has_length_ && size != remaining_) || size > max_body_bytes_)
            state_ = State::malformed;
        remaining_ = size;
        has_length_ = true;
    }
}

} // namespace pineridge::http
