// Parses a registry's values in the membership tests: the host's id is the last part of the key.
#pragma once

#include "membership/value.hpp"
#include "terms/fields.hpp"

namespace pineridge::membership {

inline Member read_value(const std::string &key, std::string_view value) {
    const json from = json::parse(value, nullptr, false);
    if (!from.is_object()) throw_field_error("value", "not an object");
    Member member{};
    member.entry.id = key.substr(key.rfind('/') + 1);
    member.entry.status = read_enum<HostStatus>(
        from, "state", {{"in_service", HostStatus::ready}, {"terminating", HostStatus::draining}});
    member.entry.started = read_int(from, "started_ms");
    return member;
}

} // namespace pineridge::membership
