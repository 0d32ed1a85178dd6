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
    Ticks rest_least = 500, rest_most = 100000;
    Ticks spread = 0; // whole reads after the registry was away: each router at a drawn moment within
};

class Endpoints {
  public:
    Endpoints(std::size_t count, EndpointRules rules, std::uint64_t seed) : rules_(rules), places_(count) {
        chance_.state = seed * 2862933555777941757ULL + 3037000493ULL;
        for (std::size_t i = 0; i < count; ++i) order_.push_back(i);
        for (std::size_t i = count; i > 1; --i) std::swap(order_[i - 1], order_[chance_.draw() % i]);
    }

    // The endpoint to use now, in a spread order; below 0 while all rest: then `wake` tells when one no
    // longer does.
    int next(Ticks now) const {
        for (const std::size_t at : order_)
            if (places_[at].rests_until <= now) return static_cast<int>(at);
        return -1;
    }
    Ticks wake() const {
        Ticks least = places_.empty() ? 0 : places_[0].rests_until;
        for (const Place &place : places_) least = std::min(least, place.rests_until);
        return least;
    }
    // It served: the next failure is a first one again.
    void good(int at) {
        places_[at].failures = 0;
        away_ = false;
    }
    // It failed, or what it told is not believed: another one comes first from now on.
    void bad(int at, Ticks now) {
        Place &place = places_[at];
        const Ticks rest = std::min(rules_.rest_most, rules_.rest_least << std::min(place.failures, 10));
        ++place.failures;
        place.rests_until = now + static_cast<Ticks>(rest * (0.75 + 0.5 * chance_.uniform()));
        std::erase(order_, static_cast<std::size_t>(at));
        order_.push_back(static_cast<std::size_t>(at));
        away_ = away_ || std::all_of(places_.begin(), places_.end(),
                                     [&](const Place &one) { return one.failures > 0; });
    }
    // How long a whole read waits first.
    Ticks read_wait() { return away_ ? static_cast<Ticks>(rules_.spread * chance_.uniform()) : 0; }

  private:
    struct Place {
        int failures = 0;
        Ticks rests_until = 0;
    };
    EndpointRules rules_;
    std::vector<Place> places_;
    std::vector<std::size_t> order_;
    Pcg32 chance_;
    bool away_ = false; // all have failed since one last served
};

} // namespace pineridge::membership
