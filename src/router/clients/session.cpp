#include "router/clients/session.hpp"

namespace pineridge::router::clients {

namespace {

// The arguments of an RPC in their order, as they are named in error replies.
constexpr std::array kArgumentNames{"command", "key", "id", "names", "body"};
constexpr std::size_t kMaxCommandNameBytes = 64;

} // namespace

// Only the last argument of an RPC may be long. So a command is short up to the length of its body, and the
// memory that it takes is known when the length has arrived.
Session::Session(const Limits &limits)
    : limits_(limits), max_argument_bytes_([&] {
          std::array<std::size_t, kMaxArguments> bounds{};
          bounds.fill(limits.max_argument_bytes);
          bounds[0] = kMaxCommandNameBytes;
          bounds[3] = limits.max_fields_bytes;
          bounds[4] = limits.max_value_bytes;
          return bounds;
      }()) {}

Session::Next Session::next() {
    unread_.consume(command_size_);
    command_size_ = 0;
    wanted_bytes_ = 0;
    arguments_.clear();
    if (unread_.empty() || !accepts_input()) return Next::none;
    const resp::Bounds bounds{limits_.max_value_bytes, kMaxArguments, 1, limits_.max_resp_line_bytes,
                              max_argument_bytes_};
    const resp::ScanResult scanned = resp::scan(unread_.view(), bounds, value_);
    if (scanned == resp::ScanResult::incomplete) {
        wanted_bytes_ = value_.min_size;
        return Next::none;
    }
    const bool is_command = value_.kind == resp::Kind::array && !value_.items.empty();
    if (scanned != resp::ScanResult::complete || !is_command) return reject_input(scanned);
    for (const resp::Value &item : value_.items) {
        if (item.kind != resp::Kind::bulk_string) return reject_input(resp::ScanResult::malformed);
        arguments_.push_back(item.body);
    }
    command_size_ = value_.raw.size();
    return Next::command;
}

Session::Next Session::reject_input(resp::ScanResult result) {
    const std::size_t count = value_.kind == resp::Kind::array ? value_.items.size() : 0;
    if (result == resp::ScanResult::too_long && count > 0 && count <= kArgumentNames.size())
        error_ = std::string(kArgumentNames[count - 1]) + ": too long";
    else
        error_ = "Protocol error";
    return Next::malformed;
}

void Session::discard_input() {
    unread_.reset();
    command_size_ = wanted_bytes_ = 0;
}

std::string Session::take_command() {
    const std::size_t size = std::exchange(command_size_, 0);
    if (size == unread_.size() && size > resp::ReceiveBuffer::kSmallBytes) return unread_.take();
    command_size_ = size;
    return std::string(unread_.view().substr(0, size));
}

void Session::set_reply(std::uint64_t slot, std::string bytes, admission::MemoryReservation memory) {
    Slot &target = slots_.at(slot - first_slot_);
    if (target.answered) return;
    target.answered = true;
    unsent_bytes_ += bytes.size();
    target.bytes = std::move(bytes);
    target.memory = std::move(memory);
}

std::vector<std::string_view> Session::ready_replies() {
    std::vector<std::string_view> parts;
    for (const Slot &slot : slots_) {
        if (!slot.answered) break;
        parts.push_back(slot.bytes);
    }
    writing_ = parts.size();
    return parts;
}

void Session::replies_written() {
    for (; writing_ > 0; --writing_) {
        unsent_bytes_ -= slots_.front().bytes.size();
        slots_.pop_front();
        ++first_slot_;
    }
}

} // namespace pineridge::router::clients
