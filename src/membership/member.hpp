// The records of hosts that are read from a registry. Plain data.
#pragma once

#include "base/address.hpp"
#include "logic.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pineridge::membership {

struct Member {
    HostEntry entry;
    Address address; // unset for a host that is gone
};

// One key as read from a registry.
struct Record {
    std::string key;
    std::int64_t revision = 0; // at which the key was last written
    bool deleted = false; // or its lease expired
    std::optional<Member> member{}; // none: the value cannot be parsed
    std::string error{}; // why the value cannot be parsed
    std::string value{}; // as received, for the cached list
    bool unchanged = false; // the view holds this revision already; the value was not parsed again
};

// Changes to the list of hosts, for the decision module.
struct Listing {
    std::vector<Member> members{}; // changed hosts; removed ones have the status `gone`
};

} // namespace pineridge::membership
