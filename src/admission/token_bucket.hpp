// A token bucket, the simple single-rate form of RFC 2697: tokens are added at a constant rate, and the
// bucket holds at most `burst` of them. The caller passes rate (tokens a second) and burst with each call, so
// that a bucket stores no configuration.
#pragma once

#include "logic.hpp"

#include <algorithm>

namespace pineridge::admission {

struct TokenBucket {
    double tokens = 0;
    Ticks updated_at = 0;

    void refill(double rate, double burst, Ticks now) {
        tokens = std::min(burst,
                          tokens + rate * static_cast<double>(std::max<Ticks>(0, now - updated_at)) / 10000);
        updated_at = std::max(updated_at, now);
    }
    bool try_take(double rate, double burst, Ticks now) {
        refill(rate, burst, now);
        if (tokens < 1) return false;
        --tokens;
        return true;
    }
    // Returns how long it takes until a whole token is available; 0 also where the rate is 0.
    Ticks ticks_until_token(double rate) const {
        return tokens >= 1 || rate <= 0 ? 0 : static_cast<Ticks>((1 - tokens) / rate * 10000) + 1;
    }
};

} // namespace pineridge::admission
