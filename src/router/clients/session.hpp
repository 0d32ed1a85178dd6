// One client's connection as a state machine: bytes in, commands out; answers in, bytes out, in the order of
// the commands. Knows no socket.
#pragma once

#include "base/limits.hpp"
#include "net/resp/resp.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace pineridge::router::clients {

class Session {
  public:
    explicit Session(const Limits &limits) : limits_(limits) {}

    void feed(std::string_view bytes) { unread_.append(bytes); }

    // The next whole command, if there is one and room for its answer. Its words are views into its own
    // bytes, which stay until the next call.
    enum class Next { none, command, malformed };
    Next next();
    const std::vector<std::string_view> &arguments() const { return arguments_; }
    std::string_view command_bytes() const { return std::string_view(unread_).substr(0, used_); }

    std::uint64_t add_reply_slot() { // a slot for the answer to the command just read
        slots_.emplace_back();
        return first_ + slots_.size() - 1;
    }
    void set_reply(std::uint64_t slot, std::string bytes);
    // Only whole answers are given out; what is given out stays until all of it is written.
    std::vector<std::string_view> ready_replies();
    void replies_written();

    bool is_idle() const { return slots_.empty() && writing_ == 0 && unread_.size() == used_; }
    bool has_pending_replies() const { return !slots_.empty(); }
    bool accepts_input() const { return slots_.size() < limits_.pipelined && unsent_ < limits_.unsent; }
    std::size_t buffered_bytes() const { return unread_.capacity() + unsent_; }
    bool has_partial_command() const { return unread_.size() > used_; }

  private:
    struct Slot {
        bool answered = false;
        std::string bytes{};
    };

    const Limits &limits_;
    std::string unread_;
    std::size_t used_ = 0; // bytes of the command last given out
    std::vector<std::string_view> arguments_;
    resp::Value value_;
    std::deque<Slot> slots_;
    std::uint64_t first_ = 0; // number of the oldest slot
    std::size_t writing_ = 0, unsent_ = 0;
};

} // namespace pineridge::router::clients
