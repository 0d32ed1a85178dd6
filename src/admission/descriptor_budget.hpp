// Accounts for the process's file descriptors by purpose. Each purpose has a number reserved for it; what is
// not reserved goes to the purposes in the order in which they ask, up to each one's maximum. The budget only
// counts: it opens and closes no descriptor. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>

namespace pineridge::admission {

enum class Purpose { clients, hosts, drains };
inline constexpr std::size_t kPurposeCount = 3;

class DescriptorBudget {
  public:
    struct Allotment {
        std::size_t reserved = 0; // not available to other purposes
        std::size_t max = 0; // raised to `reserved` where it is less
    };

    // `total` is the number of descriptors for all purposes together. Throws BadInput where the reserved
    // numbers add up to more.
    DescriptorBudget(std::size_t total, const std::array<Allotment, kPurposeCount> &allotments);

    // Takes one descriptor; returns false where none is available to the purpose.
    bool acquire(Purpose purpose);
    void release(Purpose purpose);
    // Reassigns one descriptor that is in use; returns false, with nothing changed, where none is available
    // to `to`.
    bool reassign(Purpose from, Purpose to);
    // Returns how many more descriptors the purpose could acquire now.
    std::size_t available(Purpose purpose) const;
    std::size_t in_use(Purpose purpose) const { return in_use_[index(purpose)]; }
    std::size_t total() const { return total_; }
    std::size_t free() const { return total_ - total_in_use_; }

  private:
    static std::size_t index(Purpose purpose) { return static_cast<std::size_t>(purpose); }
    std::size_t total_;
    std::size_t total_in_use_ = 0;
    std::array<Allotment, kPurposeCount> allotments_;
    std::array<std::size_t, kPurposeCount> in_use_{};
};

} // namespace pineridge::admission
