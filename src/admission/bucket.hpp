// A token bucket (RFC 2697 in its plainest form): tokens come at a rate up to a burst.
#pragma once

#include "logic.hpp"

#include <algorithm>

namespace pineridge::admission {

struct Bucket {
    double level = 0;
    Ticks at = 0;

    void fill(double rate, double burst, Ticks now) {
        level = std::min(burst, level + rate * static_cast<double>(std::max<Ticks>(0, now - at)) / 10000);
        at = std::max(at, now);
    }
    bool take(double rate, double burst, Ticks now) {
        fill(rate, burst, now);
        if (level < 1) return false;
        --level;
        return true;
    }
    // How long until one is there.
    Ticks until(double rate) const {
        return level >= 1 || rate <= 0 ? 0 : static_cast<Ticks>((1 - level) / rate * 10000) + 1;
    }
};

} // namespace pineridge::admission
