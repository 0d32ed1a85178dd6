// How long a connection to a host may have stood idle and still be used, learnt from how those used before
// ended. Knows no socket.
#pragma once

#include "base/limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace pineridge::router::hosts {

class Trust {
  public:
    explicit Trust(const Limits &limits) : limits_(limits) {}

    // Ends by idle time, and of new connections: broken means without a byte of an answer.
    void note_kept(Milliseconds idle, bool broken) { note(kept_[step(idle)], broken); }
    void note_new(bool broken) { note(new_, broken); }
    void fade() {
        for (Ends &ends : kept_) ends.fade(limits_.reuse_decay);
        new_.fade(limits_.reuse_decay);
    }

    // Not where connections that stood so long, or less, break clearly more often than new ones do. Stops a
    // path that drops idle connections without a word from ending RPCs that may have run.
    bool holds(Milliseconds idle) const {
        const auto breaks = [&](const Ends &ends) {
            return ends.used >= limits_.reuse_min_samples &&
                   ends.share() > new_.share() + limits_.reuse_failure_margin;
        };
        return std::none_of(kept_.begin(), kept_.begin() + step(idle) + 1, breaks);
    }

  private:
    struct Ends {
        double used = 0, broken = 0;
        double share() const { return used > 0 ? broken / used : 0; }
        void fade(double part) { used *= part, broken *= part; }
    };

    void note(Ends &ends, bool broken) {
        if (ends.used >= limits_.reuse_max_samples) ends.fade(limits_.reuse_decay);
        ends.used += 1, ends.broken += broken;
    }

    // Two steps for each doubling of the idle time.
    static int step(Milliseconds idle) {
        const double ms = static_cast<double>(std::max<Milliseconds::rep>(1, idle.count()));
        return std::min(static_cast<int>(2 * std::log2(ms)), kSteps - 1);
    }

    static constexpr int kSteps = 40;
    const Limits &limits_;
    std::array<Ends, kSteps> kept_{};
    Ends new_;
};

} // namespace pineridge::router::hosts
