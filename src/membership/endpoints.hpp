// Which of a registry's endpoints is spoken to next, and when. Chance and time are told; no I/O.
// A failing endpoint rests, twice as long each time; a whole read waits its turn within a told span after the
// registry was away, so that many routers do not fell it as it comes back.
#pragma once

#include "logic.hpp"
#include "random.hpp"

#include <algorithm>
#include <vector>

namespace pineridge::membership {

struct EndpointRules {
    Ticks min_backoff = 500, max_backoff = 100000;
    Ticks read_spread = 0; // whole reads after the registry was away: each router at a drawn moment within
};

class EndpointSelector {
  public:
    EndpointSelector(std::size_t count, EndpointRules rules, std::uint64_t seed)
        : rules_(rules), states_(count) {
        random_.state = seed * 2862933555777941757ULL + 3037000493ULL;
        for (std::size_t i = 0; i < count; ++i) order_.push_back(i);
        for (std::size_t i = count; i > 1; --i) std::swap(order_[i - 1], order_[random_.draw() % i]);
    }

    // The endpoint to use now, in a spread order; below 0 while all rest: then `wake` tells when one no
    // longer does.
    int next(Ticks now) const {
        for (const std::size_t at : order_)
            if (states_[at].available_at <= now) return static_cast<int>(at);
        return -1;
    }
    Ticks next_available_at() const {
        Ticks least = states_.empty() ? 0 : states_[0].available_at;
        for (const State &state : states_) least = std::min(least, state.available_at);
        return least;
    }
    // It served: the next failure is a first one again.
    void record_success(int at) {
        states_[at].failures = 0;
        all_failed_ = false;
    }
    // It failed, or what it told is not believed: another one comes first from now on.
    void record_failure(int at, Ticks now) {
        State &state = states_[at];
        const Ticks rest = std::min(rules_.max_backoff, rules_.min_backoff << std::min(state.failures, 10));
        ++state.failures;
        state.available_at = now + static_cast<Ticks>(rest * (0.75 + 0.5 * random_.uniform()));
        std::erase(order_, static_cast<std::size_t>(at));
        order_.push_back(static_cast<std::size_t>(at));
        all_failed_ = all_failed_ || std::all_of(states_.begin(), states_.end(),
                                                 [&](const State &one) { return one.failures > 0; });
    }
    // How long a whole read waits first.
    Ticks read_delay() {
        return all_failed_ ? static_cast<Ticks>(rules_.read_spread * random_.uniform()) : 0;
    }

  private:
    struct State {
        int failures = 0;
        Ticks available_at = 0;
    };
    EndpointRules rules_;
    std::vector<State> states_;
    std::vector<std::size_t> order_;
    Pcg32 random_;
    bool all_failed_ = false; // all have failed since one last served
};

} // namespace pineridge::membership
