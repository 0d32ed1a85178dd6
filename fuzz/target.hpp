// The entry point of each fuzz target. libFuzzer calls it with generated inputs; in CI, main() of replay.cpp
// calls it with the files of a fixed corpus and with variants of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

inline std::string_view bytes_of(const std::uint8_t *data, std::size_t size) {
    return {reinterpret_cast<const char *>(data), size};
}
