// The calendar's time as the program counts it: ticks since the Unix epoch.
#pragma once

#include "logic.hpp"

#include <chrono>

namespace pineridge::cli {

inline Ticks clock_now() {
    using Tick = std::chrono::duration<Ticks, std::ratio<1, 10000>>;
    return std::chrono::floor<Tick>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace pineridge::cli
