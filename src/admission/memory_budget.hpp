// Accounts for the memory of buffers whose number and size others determine: a buffer grows only by what has
// been reserved for it, so that the sum stays within the budget at every moment. A part of the budget is kept
// for small reservations, so that large ones cannot use up all of it. The budget only counts: it allocates
// nothing. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace pineridge::admission {

class MemoryBudget;

// Bytes reserved from a budget. They are released on destruction, also after the owner of the budget has
// gone.
class MemoryReservation {
  public:
    MemoryReservation() = default; // holds nothing
    MemoryReservation(MemoryReservation &&other) noexcept
        : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryReservation &operator=(MemoryReservation &&other) noexcept {
        if (this == &other) return *this;
        release();
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    ~MemoryReservation() { release(); }

    std::size_t bytes() const { return bytes_; }
    inline void release();

  private:
    friend class MemoryBudget;
    MemoryReservation(std::shared_ptr<MemoryBudget> budget, std::size_t bytes)
        : budget_(std::move(budget)), bytes_(bytes) {}

    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
  public:
    // A reservation of at most `small_bytes` is small. `kept_for_small` of the `total_bytes` are available to
    // small reservations only.
    MemoryBudget(std::size_t total_bytes, std::size_t small_bytes, std::size_t kept_for_small)
        : total_bytes_(total_bytes), small_bytes_(small_bytes), kept_for_small_(kept_for_small) {}

    // Returns a reservation of no bytes where fewer than these are available. `bytes` is above 0.
    MemoryReservation try_reserve(std::size_t bytes) {
        if (bytes <= available(bytes)) return reserve(bytes);
        if (on_shortage_) on_shortage_();
        return {};
    }
    // Reserves the bytes even where they are not available: for a buffer that exists already and has to be
    // accounted for.
    MemoryReservation reserve(std::size_t bytes) {
        bytes_in_use_ += bytes;
        peak_bytes_ = std::max(peak_bytes_, bytes_in_use_);
        if (bytes_in_use_ > total_bytes_ && on_shortage_) on_shortage_();
        return {shared_from_this(), bytes};
    }
    // Sets a function to be called whenever bytes are wanted that are not available.
    void on_shortage(std::function<void()> handler) { on_shortage_ = std::move(handler); }
    bool is_exhausted() const { return bytes_in_use_ >= total_bytes_; }
    std::size_t bytes_in_use() const { return bytes_in_use_; }
    std::size_t peak_bytes() const { return peak_bytes_; } // the most that was in use
    std::size_t total_bytes() const { return total_bytes_; }

  private:
    friend class MemoryReservation;
    std::size_t available(std::size_t wanted_bytes) const {
        const std::size_t kept = wanted_bytes <= small_bytes_ ? 0 : kept_for_small_;
        const std::size_t unavailable = bytes_in_use_ + kept;
        return total_bytes_ > unavailable ? total_bytes_ - unavailable : 0;
    }

    const std::size_t total_bytes_, small_bytes_, kept_for_small_;
    std::size_t bytes_in_use_ = 0;
    std::size_t peak_bytes_ = 0;
    std::function<void()> on_shortage_;
};

inline void MemoryReservation::release() {
    if (budget_) budget_->bytes_in_use_ -= bytes_;
    budget_.reset();
    bytes_ = 0;
}

} // namespace pineridge::admission
