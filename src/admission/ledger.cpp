#include "admission/ledger.hpp"

#include "base/bad_input.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace pineridge::admission {

Ledger::Ledger(std::size_t total, const std::array<Part, kPurposes> &parts) : total_(total), parts_(parts) {
    std::size_t least = 0;
    for (Part &part : parts_) least += part.least, part.most = std::max(part.most, part.least);
    if (least > total)
        throw BadInput("limits.sockets: " + std::to_string(total) + " are fewer than the parts set aside, " +
                       std::to_string(least));
}

std::size_t Ledger::room(Purpose purpose) const {
    const std::size_t at = index(purpose);
    std::size_t kept = 0; // by others, not yet taken
    for (std::size_t i = 0; i < kPurposes; ++i)
        if (i != at && taken_[i] < parts_[i].least) kept += parts_[i].least - taken_[i];
    const std::size_t own = parts_[at].most > taken_[at] ? parts_[at].most - taken_[at] : 0;
    const std::size_t open = total_ > all_ + kept ? total_ - all_ - kept : 0;
    return std::min(own, open);
}

bool Ledger::take(Purpose purpose) {
    if (room(purpose) == 0) return false;
    ++taken_[index(purpose)];
    ++all_;
    return true;
}

void Ledger::give_back(Purpose purpose) {
    assert(taken_[index(purpose)] > 0);
    --taken_[index(purpose)];
    --all_;
}

bool Ledger::move(Purpose from, Purpose to) {
    give_back(from);
    if (take(to)) return true;
    ++taken_[index(from)];
    ++all_;
    return false;
}

} // namespace pineridge::admission
