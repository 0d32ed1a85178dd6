// What each fuzz target gives: libFuzzer calls it with bytes of its own; in CI main() of replay.cpp calls it
// with those of a fixed corpus and with every cut of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

inline std::string_view bytes_of(const std::uint8_t *data, std::size_t size) {
    return {reinterpret_cast<const char *>(data), size};
}
