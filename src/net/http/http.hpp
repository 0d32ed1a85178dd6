// Answers in HTTP/1.1, fed as bytes; knows no socket.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pineridge::http {

class Answer {
  public:
    Answer(std::size_t most_head, std::size_t most_body) : most_head_(most_head), most_body_(most_body) {}

    // Takes bytes in the order they came; what stands behind the answer's end is left over.
    void feed(std::string_view bytes);
    // The connection ended: the end of a body without a size.
    void end();

    // The value of this field is wanted: `kept` tells it, empty where there is none.
    void keep(std::string name) { kept_.emplace_back(std::move(name), std::string()); }
    const std::string &kept(std::size_t at) const { return kept_.at(at).second; } // in the order of `keep`

    bool bad() const { return state_ == State::bad; }
    bool done() const { return state_ == State::done; }
    bool begun() const { return begun_; }
    bool headed() const { return status_ != 0; }
    int status() const { return status_; }
    bool stays_open() const { return stays_open_ && unread_.empty(); }
    const std::string &body() const { return body_; }
    std::string take_body() { return std::exchange(body_, {}); }

  private:
    enum class State { head, sized, to_end, chunk_size, chunk, chunk_end, trailer, done, bad };

    bool step();
    bool line(std::string_view &found, std::size_t most);
    void take(std::size_t size);
    void read_head(std::string_view head);
    void field(std::string_view name, std::string_view value);

    std::size_t most_head_, most_body_;
    State state_ = State::head;
    std::string unread_, body_;
    std::vector<std::pair<std::string, std::string>> kept_;
    std::size_t left_ = 0;
    int status_ = 0;
    bool begun_ = false, stays_open_ = true, chunked_ = false, sized_ = false;
};

} // namespace pineridge::http
