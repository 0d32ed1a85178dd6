// Selects which endpoint of a registry to use next, and when. It does no I/O; the caller passes the random
// seed and the time. A failing endpoint backs off, for twice as long after each failure. After the whole
// registry was unreachable, each router delays its full read by a random time, so that many routers do not
// overload the registry as it returns.
#pragma once

#include "logic.hpp"
#include "random.hpp"

#include <algorithm>
#include <vector>

namespace pineridge::membership {

struct EndpointRules { // times in ticks
    Ticks min_backoff = 500, max_backoff = 100000;
    Ticks read_spread = 0; // full reads after an outage are spread over this time; 0: no delay
};

class EndpointSelector {
  public:
    EndpointSelector(std::size_t count, EndpointRules rules, std::uint64_t seed)
        : rules_(rules), states_(count) {
        random_.state = seed * 2862933555777941757ULL + 3037000493ULL;
        for (std::size_t i = 0; i < count; ++i) order_.push_back(i);
        for (std::size_t i = count; i > 1; --i) std::swap(order_[i - 1], order_[random_.draw() % i]);
    }

    // The index of the endpoint to use now, in a random order; negative while all back off, until
    // next_available_at().
    int next(Ticks now) const {
        for (const std::size_t at : order_)
            if (states_[at].available_at <= now) return static_cast<int>(at);
        return -1;
    }
    Ticks next_available_at() const {
        Ticks earliest = states_.empty() ? 0 : states_[0].available_at;
        for (const State &state : states_) earliest = std::min(earliest, state.available_at);
        return earliest;
    }
    // The endpoint worked: its backoff starts again from the minimum.
    void record_success(int index) {
        states_[index].failures = 0;
        all_failed_ = false;
    }
    // The endpoint failed, or its data was rejected: it moves to the end of the order.
    void record_failure(int index, Ticks now) {
        State &state = states_[index];
        const Ticks backoff =
            std::min(rules_.max_backoff, rules_.min_backoff << std::min(state.failures, 10));
        ++state.failures;
        state.available_at = now + static_cast<Ticks>(backoff * (0.75 + 0.5 * random_.uniform()));
        std::erase(order_, static_cast<std::size_t>(index));
        order_.push_back(static_cast<std::size_t>(index));
        all_failed_ = all_failed_ || std::all_of(states_.begin(), states_.end(),
                                                 [&](const State &one) { return one.failures > 0; });
    }
    // How long to wait before a full read.
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
    bool all_failed_ = false; // every endpoint has failed since one last worked
};

} // namespace pineridge::membership
