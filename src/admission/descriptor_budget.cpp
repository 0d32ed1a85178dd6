#include "admission/descriptor_budget.hpp"

#include "base/bad_input.hpp"

#include <algorithm>
#include <cassert>
#include <string>

namespace pineridge::admission {

DescriptorBudget::DescriptorBudget(std::size_t total, const std::array<Allotment, kPurposeCount> &allotments)
    : total_(total), allotments_(allotments) {
    std::size_t reserved = 0;
    for (Allotment &allotment : allotments_) {
        reserved += allotment.reserved;
        allotment.max = std::max(allotment.max, allotment.reserved);
    }
    if (reserved > total)
        throw BadInput("limits.sockets: " + std::to_string(total) +
                       " descriptors are fewer than the number reserved, " + std::to_string(reserved));
}

std::size_t DescriptorBudget::available(Purpose purpose) const {
    const std::size_t at = index(purpose);
    std::size_t reserved_for_others = 0; // and not in use yet
    for (std::size_t i = 0; i < kPurposeCount; ++i)
        if (i != at && in_use_[i] < allotments_[i].reserved)
            reserved_for_others += allotments_[i].reserved - in_use_[i];
    const std::size_t below_max = allotments_[at].max > in_use_[at] ? allotments_[at].max - in_use_[at] : 0;
    const std::size_t unreserved =
        total_ > total_in_use_ + reserved_for_others ? total_ - total_in_use_ - reserved_for_others : 0;
    return std::min(below_max, unreserved);
}

bool DescriptorBudget::acquire(Purpose purpose) {
    if (available(purpose) == 0) return false;
    ++in_use_[index(purpose)];
    ++total_in_use_;
    return true;
}

void DescriptorBudget::release(Purpose purpose) {
    assert(in_use_[index(purpose)] > 0);
    --in_use_[index(purpose)];
    --total_in_use_;
}

bool DescriptorBudget::reassign(Purpose from, Purpose to) {
    release(from);
    if (acquire(to)) return true;
    ++in_use_[index(from)];
    ++total_in_use_;
    return false;
}

} // namespace pineridge::admission
