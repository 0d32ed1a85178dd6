// An incremental parser for one HTTP/1.1 response. It is given bytes and does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pineridge::http {

class Response {
  public:
    // A response with a longer head, chunk line or body is malformed.
    Response(std::size_t max_head_bytes, std::size_t max_body_bytes)
        : max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {}

    // Parses bytes in the order received. Bytes after the end of the response are not parsed.
    void feed(std::string_view bytes);
    // The peer closed the connection: this completes a body without a length, and truncates any other.
    void end_of_stream();

    // Registers a header field whose value is to be stored. To be called before `feed`.
    void capture_header(std::string name) { captured_.emplace_back(std::move(name), std::string()); }
    // The value of the field registered as number `index`, counted from 0; empty where it was not received.
    const std::string &captured_header(std::size_t index) const { return captured_.at(index).second; }

    bool is_malformed() const { return state_ == State::malformed; }
    bool is_complete() const { return state_ == State::complete; }
    bool has_started() const { return has_started_; }
    bool has_status() const { return status_ != 0; }
    int status() const { return status_; }
    // Whether the connection can be used again: the server does not close it, and no bytes are left over.
    bool keep_alive() const { return keep_alive_ && unparsed_.empty(); }
    // The body so far, without chunk framing.
    const std::string &body() const { return body_; }
    std::string take_body() { return std::exchange(body_, {}); }

  private:
    enum class State {
        head,
        sized_body,
        body_until_close,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        complete,
        malformed
    };

    bool step();
    bool next_line(std::string_view &line, std::size_t max_bytes);
    void append_body(std::size_t size);
    void parse_head(std::string_view head);
    void parse_field(std::string_view name, std::string_view value);

    std::size_t max_head_bytes_, max_body_bytes_;
    State state_ = State::head;
    std::string unparsed_, body_;
    std::vector<std::pair<std::string, std::string>> captured_; // names and values of header fields
    std::size_t remaining_ = 0; // bytes of the body or of the current chunk that are still to come
    int status_ = 0; // 0: no final status line has been received
    bool has_started_ = false, keep_alive_ = true, is_chunked_ = false, has_length_ = false;
};

} // namespace pineridge::http
