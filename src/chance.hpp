// Chance and arithmetic that decide nothing.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pineridge {

struct Pcg {
    std::uint64_t state = 0;
    std::uint32_t draw() {
        const std::uint64_t old = state;
        state = old * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto word = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        const auto turn = static_cast<std::uint32_t>(old >> 59);
        return (word >> turn) | (word << ((32 - turn) & 31));
    }
    double unit() { return draw() / 4294967296.0; }
};

inline std::uint64_t mix(const std::string &text, std::uint64_t salt) {
    std::uint64_t hash = 14695981039346656037ULL ^ salt;
    for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ULL;
    hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
    return hash ^ (hash >> 32);
}

inline double median(std::vector<double> &values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace pineridge
