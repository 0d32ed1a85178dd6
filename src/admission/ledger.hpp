// All descriptors by purpose, in one place. Each purpose has a part that no other takes; what is left over
// goes to whoever asks. Knows no descriptor, counts only.
#pragma once

#include <array>
#include <cstddef>

namespace pineridge::admission {

enum class Purpose { clients, hosts, drains };
inline constexpr std::size_t kPurposes = 3;

class Ledger {
  public:
    struct Part {
        std::size_t least = 0; // no other purpose takes these
        std::size_t most = 0; // it never has more
    };

    // `total` of what is counted here. Throws BadInput where the least parts add up to more.
    Ledger(std::size_t total, const std::array<Part, kPurposes> &parts);

    bool take(Purpose purpose); // one; false: there is none for it
    void give_back(Purpose purpose);
    // One that was taken for one purpose serves another from now on; false: the other has no room.
    bool move(Purpose from, Purpose to);
    // How many more it could take now.
    std::size_t room(Purpose purpose) const;
    std::size_t taken(Purpose purpose) const { return taken_[index(purpose)]; }
    std::size_t total() const { return total_; }
    std::size_t free() const { return total_ - all_; }

  private:
    static std::size_t index(Purpose purpose) { return static_cast<std::size_t>(purpose); }
    std::size_t total_, all_ = 0;
    std::array<Part, kPurposes> parts_;
    std::array<std::size_t, kPurposes> taken_{};
};

} // namespace pineridge::admission
