// Reads what the desk recorded beside what hosts and clients saw, and says where the release rules were
// broken. It knows nothing of the router's own word: only what was told, asked and sent, with times.
#pragma once

#include "settings/release.hpp"
#include "standins/clients/clients.hpp"
#include "standins/desk/ledger.hpp"
#include "standins/host/host.hpp"

#include <string>
#include <vector>

namespace pineridge::standins {

struct Rule {
    ReleaseSettings scheme;
    std::int64_t window = 3000; // of the exposure rule, ms
    std::int64_t grace = 300; // after which a lower cap, a pull or a freeze binds, ms
    double slack = 0.04; // over the cap, and this many picks
    double picks = 2;
};

// One line for each breach: cell, build, time, figures. Only picks at builds that the desk has offered count,
// of customers of the scheme, in the scheme's own zone. The time of asking bounds the RPCs taken.
std::vector<std::string> breaches(const Rule &rule, const std::vector<Step> &steps, const Picks &picks,
                                  const std::deque<Asked> &asked);

} // namespace pineridge::standins
