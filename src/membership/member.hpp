// What a registry holds of hosts, as read. Plain data.
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
    Address address; // unset where the host is gone
};

// One key as a registry tells it: `rev` is the revision at which it was last written.
struct Record {
    std::string key;
    std::int64_t revision = 0;
    bool deleted = false; // the key was taken away, or its lease ran out
    std::optional<Member> member{}; // none: its value cannot be read
    std::string error{}; // then: why
    std::string value{}; // as it was told, for the last known list
    bool unchanged = false; // the view holds this key at this revision: its value was not read again
};

// The list as the module wants it.
struct Listing {
    std::vector<Member> members{}; // those that changed; the ones that left are gone
};

} // namespace pineridge::membership
