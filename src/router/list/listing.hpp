// What discovery tells, read from its JSON.
#pragma once

#include "router/start.hpp"

namespace pineridge::router::list {

struct Listed {
    HostEntry entry;
    Address address; // unset where the host is gone
};

struct Listing {
    std::int64_t version = 0;
    bool whole = false;
    std::vector<Listed> hosts{};
};

// Both throw BadInput naming the faulty key.
Listed read_host(const json &from, const Names &names);
Listing read_listing(const json &from, const Names &names);

} // namespace pineridge::router::list
