// The sticky keys that a build has, or may have, answered, in bounded memory. Clients choose keys freely, so
// that their number has no bound. Up to a limit each key is kept by its hash; beyond it only the part of the
// hash space that a key is in. So a key that was added is always found, and beyond the limit another may be
// taken for it: that one then stays with the newer build too, which the rule on sticky keys allows.
#pragma once

#include "random.hpp"

#include <boost/unordered/unordered_flat_set.hpp>

#include <string>
#include <vector>

namespace pineridge {

class HeldKeys {
  public:
    static constexpr std::size_t kMaxExactKeys = 1 << 16;
    static constexpr int kPartBits = 23; // of a hash: the number of parts, each kept as one bit

    void insert(const std::string &key) {
        const std::uint64_t hash = hash_of(key);
        if (parts_.empty() && exact_.size() < kMaxExactKeys) {
            exact_.insert(hash);
            return;
        }
        if (parts_.empty()) switch_to_parts();
        parts_[part_of(hash)] = true;
    }
    bool contains(const std::string &key) const {
        const std::uint64_t hash = hash_of(key);
        return parts_.empty() ? exact_.contains(hash) : parts_[part_of(hash)];
    }
    void clear() { *this = {}; }

  private:
    static std::uint64_t hash_of(const std::string &key) { return salted_hash(key, kSalt); }
    static std::size_t part_of(std::uint64_t hash) {
        return static_cast<std::size_t>(hash >> (64 - kPartBits));
    }
    void switch_to_parts() {
        parts_.resize(std::size_t{1} << kPartBits);
        for (const std::uint64_t hash : exact_) parts_[part_of(hash)] = true;
        exact_ = {};
    }

    static constexpr std::uint64_t kSalt =
        11; // other than those of the drawn shares and of the rings of keys

    boost::unordered_flat_set<std::uint64_t> exact_; // hashes; empty once there are parts
    std::vector<bool> parts_; // empty: all keys are in `exact_`
};

} // namespace pineridge
