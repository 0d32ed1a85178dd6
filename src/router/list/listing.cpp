#include "router/list/listing.hpp"

namespace pineridge::router::list {

membership::Member read_host(const json &from, const Names &names) {
    membership::Member host{};
    HostEntry &entry = host.entry;
    entry.id = text(from, "id");
    entry.status = word<HostStatus>(from, "state",
                                    {{"in_service", HostStatus::ready},
                                     {"terminating", HostStatus::draining},
                                     {"terminated", HostStatus::gone}});
    if (entry.status != HostStatus::gone || has(from, "addr"))
        host.address = read_address(text(from, "addr"), "addr");
    if (entry.status == HostStatus::gone && !has(from, "version_no")) return host;
    entry.zone = place_of(names.zones, text(from, "zone"), "zone");
    entry.kind = place_of(names.kinds, text(from, "kind"), "kind");
    entry.cell = whole(from, "cell");
    entry.build = whole(from, "version_no");
    entry.rating = number(from, "weight");
    const json &started = need(from, "started_ms");
    if (!started.is_number()) wrong("started_ms", "not a number");
    entry.started = started.get<std::int64_t>() * 10; // the clock's own ticks
    return host;
}

Listing read_listing(const json &from, const Names &names) {
    Listing listing{};
    const json &version = need(from, "version");
    if (!version.is_number_integer()) wrong("version", "not a whole number");
    listing.version = version.get<std::int64_t>();
    listing.whole = flag(from, "full");
    for (const json &host : pineridge::list(from, "servers")) listing.hosts.push_back(read_host(host, names));
    return listing;
}

} // namespace pineridge::router::list
