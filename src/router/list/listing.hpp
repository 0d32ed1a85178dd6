// What discovery tells, read from its JSON.
#pragma once

#include "membership/member.hpp"
#include "router/start.hpp"

namespace pineridge::router::list {

struct Listing {
    std::int64_t version = 0;
    bool whole = false;
    std::vector<membership::Member> hosts{};
};

// Both throw BadInput naming the faulty key.
membership::Member read_host(const json &from, const Names &names);
Listing read_listing(const json &from, const Names &names);

} // namespace pineridge::router::list
