// Decides how long a connection to a host may have been idle and still be used again, from how earlier uses
// have ended. Performs no I/O.
#pragma once

#include "base/limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace pineridge::router::hosts {

class IdleReusePolicy {
  public:
    explicit IdleReusePolicy(const Limits &limits) : limits_(limits) {}

    // Record the use of a connection that was idle for `idle`, or of a new one. `broken` means that the
    // connection ended before the first byte of an answer.
    void record_reused(Milliseconds idle, bool broken) { record(by_idle_time_[bucket(idle)], broken); }
    void record_new(bool broken) { record(new_connections_, broken); }
    // Reduces the weight of all earlier uses.
    void decay() {
        for (UseCounts &uses : by_idle_time_) uses.decay(limits_.reuse_decay);
        new_connections_.decay(limits_.reuse_decay);
    }

    // Returns false if connections that were idle for this time, or less, break clearly more often than new
    // ones. A device on the path that drops idle connections silently would otherwise end RPCs that may have
    // been executed.
    bool allows(Milliseconds idle) const {
        const auto breaks_often = [&](const UseCounts &uses) {
            return uses.used >= limits_.reuse_min_samples &&
                   uses.broken_share() > new_connections_.broken_share() + limits_.reuse_failure_margin;
        };
        return std::none_of(by_idle_time_.begin(), by_idle_time_.begin() + bucket(idle) + 1, breaks_often);
    }

  private:
    struct UseCounts {
        double used = 0;
        double broken = 0;
        double broken_share() const { return used > 0 ? broken / used : 0; }
        void decay(double factor) {
            used *= factor;
            broken *= factor;
        }
    };

    void record(UseCounts &uses, bool broken) {
        if (uses.used >= limits_.reuse_max_samples) uses.decay(limits_.reuse_decay);
        uses.used += 1;
        uses.broken += broken;
    }

    // Returns the index of the bucket for an idle time: there are two for each doubling of the time.
    static int bucket(Milliseconds idle) {
        const double ms = static_cast<double>(std::max<Milliseconds::rep>(1, idle.count()));
        return std::min(static_cast<int>(2 * std::log2(ms)), kBuckets - 1);
    }

    static constexpr int kBuckets = 40;
    const Limits &limits_;
    std::array<UseCounts, kBuckets> by_idle_time_{};
    UseCounts new_connections_;
};

} // namespace pineridge::router::hosts
