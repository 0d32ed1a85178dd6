// Random numbers, salted hashing and the median.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pineridge {

// The PCG XSH-RR random number generator: 64 bits of state, 32 bits of output.
struct Pcg32 {
    std::uint64_t state = 0;
    std::uint32_t draw() {
        const std::uint64_t old = state;
        state = old * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        const auto rotation = static_cast<std::uint32_t>(old >> 59);
        return (shifted >> rotation) | (shifted << ((32 - rotation) & 31));
    }
    // Draws from [0, 1).
    double uniform() { return draw() / 4294967296.0; }
};

// Returns a 64-bit hash of the text (FNV-1a with a final mix). It is the same in every process.
inline std::uint64_t salted_hash(const std::string &text, std::uint64_t salt) {
    std::uint64_t hash = 14695981039346656037ULL ^ salt;
    for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
    hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
    return hash ^ (hash >> 32);
}

// Returns the upper median. Reorders the values, of which there must be at least one.
inline double median(std::vector<double> &values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace pineridge
