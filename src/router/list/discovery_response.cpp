#include "router/list/discovery_response.hpp"

namespace pineridge::router::list {

membership::Member read_host(const json &from, const Names &names) {
    membership::Member host{};
    HostEntry &entry = host.entry;
    entry.id = read_string(from, "id");
    entry.status = read_enum<HostStatus>(from, "state",
                                         {{"in_service", HostStatus::ready},
                                          {"terminating", HostStatus::draining},
                                          {"terminated", HostStatus::gone}});
    if (entry.status != HostStatus::gone || has_field(from, "addr"))
        host.address = read_address(read_string(from, "addr"), "addr");
    if (entry.status == HostStatus::gone && !has_field(from, "version_no")) return host;
    entry.zone = index_of(names.zones, read_string(from, "zone"), "zone");
    entry.kind = index_of(names.kinds, read_string(from, "kind"), "kind");
    entry.cell = read_int(from, "cell");
    entry.build = read_int(from, "version_no");
    entry.rating = read_number(from, "weight");
    const json &started = required_field(from, "started_ms");
    if (!started.is_number()) throw_field_error("started_ms", "not a number");
    entry.started = started.get<std::int64_t>() * 10; // milliseconds to ticks
    return host;
}

DiscoveryResponse read_discovery_response(const json &from, const Names &names) {
    DiscoveryResponse response{};
    const json &version = required_field(from, "version");
    if (!version.is_number_integer()) throw_field_error("version", "not a whole number");
    response.version = version.get<std::int64_t>();
    response.complete = read_bool(from, "full");
    for (const json &host : pineridge::read_array(from, "servers"))
        response.hosts.push_back(read_host(host, names));
    return response;
}

} // namespace pineridge::router::list
