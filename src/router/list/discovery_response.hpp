// Parses the answers of discovery, which are in JSON.
#pragma once

#include "membership/member.hpp"
#include "router/config.hpp"

namespace pineridge::router::list {

struct DiscoveryResponse {
    std::int64_t version = 0; // of the list
    bool complete = false; // the full list, else the changes
    std::vector<membership::Member> hosts{};
};

// Both throw BadInput, which names the key at fault.
membership::Member read_host(const json &from, const Names &names);
DiscoveryResponse read_discovery_response(const json &from, const Names &names);

} // namespace pineridge::router::list
