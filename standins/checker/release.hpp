// Compares the updates that the desk has recorded with the RPCs of the clients and the picks of the hosts,
// and reports where the release rules were broken. It does not use the router's own logs or state.
#pragma once

#include "settings/release.hpp"
#include "standins/clients/clients.hpp"
#include "standins/desk/update_log.hpp"
#include "standins/host/host.hpp"

#include <string>
#include <vector>

namespace pineridge::standins {

struct ReleaseRules {
    ReleaseSettings settings;
    std::int64_t window = 3000; // ms, over which the exposure rule counts picks
    std::int64_t grace = 300; // ms, after which a lower cap, a pull or a freeze must hold
    double extra_share = 0.04; // tolerated above the cap
    double extra_picks = 2; // tolerated beyond that
};

// Returns one line for each breach, with its cell, build, time and figures. It checks only picks of builds
// that the desk has offered, for customers of the settings, in the settings' own zone. An RPC counts from the
// time at which its client had written it.
std::vector<std::string> breaches(const ReleaseRules &rules, const std::vector<Step> &steps,
                                  const Picks &picks, const std::deque<RpcRecord> &rpcs);

} // namespace pineridge::standins
