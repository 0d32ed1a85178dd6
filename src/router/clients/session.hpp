// The protocol state of one client connection, without any socket: received bytes are fed in and whole
// commands come out; replies are set in any order and come out in the order of their commands.
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

    // Reads the next whole command. Returns `none` while it is incomplete or while too many replies are
    // pending (see accepts_input). The views returned by arguments() and command_bytes() are valid until the
    // next call.
    enum class Next { none, command, malformed };
    Next next();
    const std::vector<std::string_view> &arguments() const { return arguments_; }
    std::string_view command_bytes() const { return std::string_view(unread_).substr(0, command_size_); }

    // Reserves the reply slot of the command that was just read and returns the slot's number.
    std::uint64_t add_reply_slot() {
        slots_.emplace_back();
        return first_slot_ + slots_.size() - 1;
    }
    // Sets the reply of a slot. Any further reply to the same slot is ignored.
    void set_reply(std::uint64_t slot, std::string bytes);
    // Returns the replies that can be written now. The views are valid until replies_written() is called,
    // which must happen only after all of them have been written.
    std::vector<std::string_view> ready_replies();
    void replies_written();

    bool is_idle() const { return slots_.empty() && writing_ == 0 && unread_.size() == command_size_; }
    bool has_pending_replies() const { return !slots_.empty(); }
    // False while the client has too many commands in progress or too many unwritten reply bytes.
    bool accepts_input() const {
        return slots_.size() < limits_.max_pipelined && unsent_bytes_ < limits_.max_unsent_bytes;
    }
    std::size_t buffered_bytes() const { return unread_.capacity() + unsent_bytes_; }
    bool has_partial_command() const { return unread_.size() > command_size_; }

  private:
    struct Slot {
        bool answered = false;
        std::string bytes{};
    };

    const Limits &limits_;
    std::string unread_; // starts with the command that next() returned last
    std::size_t command_size_ = 0; // bytes of that command
    std::vector<std::string_view> arguments_;
    resp::Value value_;
    std::deque<Slot> slots_;
    std::uint64_t first_slot_ = 0; // number of the oldest slot
    std::size_t writing_ = 0; // slots whose replies are being written
    std::size_t unsent_bytes_ = 0;
};

} // namespace pineridge::router::clients
