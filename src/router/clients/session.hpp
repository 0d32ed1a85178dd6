// The protocol state of one client connection, without any socket: received bytes are fed in and whole
// commands come out; replies are set in any order and come out in the order of their commands.
#pragma once

#include "admission/memory_budget.hpp"
#include "base/limits.hpp"
#include "net/resp/receive_buffer.hpp"
#include "net/resp/resp.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace pineridge::router::clients {

class Session {
  public:
    explicit Session(const Limits &limits);

    // Adds received bytes, of which there are at most `space()`.
    void feed(std::string_view bytes) { unread_.append(bytes); }
    // Returns how many bytes can be fed.
    std::size_t space() const { return unread_.space(); }
    // Returns the size of buffer that the command being received needs; 0 where the buffer suffices.
    std::size_t wanted_capacity() const { return wanted_bytes_ > unread_.capacity() ? wanted_bytes_ : 0; }
    void grow(std::size_t capacity) { unread_.grow(capacity); }
    std::size_t capacity() const { return unread_.capacity(); }
    void discard_input(); // drops what has been received of a command

    // Reads the next whole command. Returns `none` while it is incomplete or while too many replies are
    // pending (see accepts_input). The views returned by arguments() and command_bytes() are valid until the
    // next call.
    enum class Next { none, command, malformed };
    Next next();
    const std::vector<std::string_view> &arguments() const { return arguments_; }
    std::string_view command_bytes() const { return unread_.view().substr(0, command_size_); }
    // Returns the bytes of the command that was read last, as a string of their own. Where nothing follows
    // them they are moved out of the buffer, else copied: the views into them stay valid in the first case
    // and as long as the buffer is not changed in the second.
    std::string take_command();
    // Returns why the last input was malformed, in words for its client.
    const std::string &error() const { return error_; }

    // Reserves the reply slot of the command that was just read and returns the slot's number.
    std::uint64_t add_reply_slot() {
        slots_.emplace_back();
        return first_slot_ + slots_.size() - 1;
    }
    // Sets the reply of a slot, with the reservation of its memory. Any further reply to the same slot is
    // ignored.
    void set_reply(std::uint64_t slot, std::string bytes, admission::MemoryReservation memory = {});
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
    std::size_t unsent_bytes() const { return unsent_bytes_; }
    bool has_partial_command() const { return unread_.size() > command_size_; }

  private:
    static constexpr std::size_t kMaxArguments = 16; // of a command
    struct Slot {
        bool answered = false;
        std::string bytes{};
        admission::MemoryReservation memory{};
    };
    Next reject_input(resp::ScanResult result);

    const Limits &limits_;
    const std::array<std::size_t, kMaxArguments> max_argument_bytes_;
    resp::ReceiveBuffer unread_; // starts with the command that next() returned last
    std::size_t wanted_bytes_ = 0; // the incomplete command in `unread_` has at least this many
    std::string error_;
    std::size_t command_size_ = 0; // bytes of that command
    std::vector<std::string_view> arguments_;
    resp::Value value_;
    std::deque<Slot> slots_;
    std::uint64_t first_slot_ = 0; // number of the oldest slot
    std::size_t writing_ = 0; // slots whose replies are being written
    std::size_t unsent_bytes_ = 0;
};

} // namespace pineridge::router::clients
