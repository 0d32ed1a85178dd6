// Returns the wall-clock time in ticks since the Unix epoch.
#pragma once

#include "base/limits.hpp"
#include "logic.hpp"

#include <chrono>

namespace pineridge::cli {

inline Ticks clock_now() {
    return std::chrono::floor<TickDuration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace pineridge::cli
