#include "router/clients/session.hpp"

namespace pineridge::router::clients {

Session::Next Session::next() {
    unread_.erase(0, command_size_);
    command_size_ = 0;
    arguments_.clear();
    if (unread_.empty()) {
        if (unread_.capacity() > limits_.read_chunk_bytes) unread_.shrink_to_fit();
        return Next::none;
    }
    if (!accepts_input()) return Next::none;
    const resp::Bounds bounds{limits_.max_value_bytes, limits_.max_arguments, 1, limits_.max_resp_line_bytes};
    const resp::ScanResult scanned = resp::scan(unread_, bounds, value_);
    if (scanned == resp::ScanResult::incomplete)
        return unread_.size() > limits_.max_command_bytes ? Next::malformed : Next::none;
    if (scanned == resp::ScanResult::malformed || value_.kind != resp::Kind::array || value_.items.empty())
        return Next::malformed;
    for (const resp::Value &item : value_.items) {
        if (item.kind != resp::Kind::bulk_string) return Next::malformed;
        arguments_.push_back(item.body);
    }
    command_size_ = value_.raw.size();
    return Next::command;
}

void Session::set_reply(std::uint64_t slot, std::string bytes) {
    Slot &target = slots_.at(slot - first_slot_);
    if (target.answered) return;
    target.answered = true;
    unsent_bytes_ += bytes.size();
    target.bytes = std::move(bytes);
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
