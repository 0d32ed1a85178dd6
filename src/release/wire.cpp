#include "release/wire.hpp"

#include "terms/fields.hpp"

namespace pineridge::release {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr double kMaxInteger = 9e15; // a double represents all integers up to here exactly

std::string read_name(const json &from, const char *field) {
    const std::string value = read_string(from, field);
    if (value.empty() || value.size() > kMaxNameBytes) throw_field_error(field, "empty or too long");
    return value;
}

// An empty name stands for all.
std::string read_optional_name(const json &from, const char *field) {
    return has_field(from, field) ? read_name(from, field) : "";
}

std::int64_t read_revision(const json &from, const char *field) {
    const json &value = required_field(from, field);
    if (!value.is_number_integer() || value.get<double>() < 0 || value.get<double>() > kMaxInteger)
        throw_field_error(field, "not a revision");
    return value.get<std::int64_t>();
}

double read_count(const json &from, const char *field) {
    const double value = read_number(from, field);
    if (value < 0) throw_field_error(field, "below 0");
    return value;
}

// Reads a time in milliseconds since the Unix epoch.
Ticks read_time(const json &from, const char *field) {
    const json &value = required_field(from, field);
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > kMaxInteger)
        throw_field_error(field, "not a time");
    return static_cast<Ticks>(value.get<double>() * 10);
}

BuildName read_build(const json &from) {
    const int number = read_int(from, "build");
    if (number < 0) throw_field_error("build", "below 0");
    return {read_name(from, "service"), number};
}

int read_stage_number(const json &from, const char *field, int released) {
    const json &value = required_field(from, field);
    if (value.is_string()) {
        if (value == "released") return released;
        if (value == "match") return Dependency::kMatch;
        throw_field_error(field, "not a stage number, released or match");
    }
    const int stage = read_int(from, field);
    if (stage < 0 || stage > 255) throw_field_error(field, "out of range");
    return stage;
}

std::vector<Dependency> read_dependencies(const json &from, const BuildName &build, int released) {
    std::vector<Dependency> dependencies;
    if (!has_field(from, "needs")) return dependencies;
    for (const json &item : read_array(from, "needs")) {
        const int stage = has_field(item, "stage") ? read_stage_number(item, "stage", released) : released;
        dependencies.push_back({build, read_build(item), stage, read_optional_bool(item, "strict")});
        if (dependencies.size() > 64) throw_field_error("needs", "too many");
    }
    return dependencies;
}

Freeze read_freeze(const json &from) {
    Freeze freeze{read_name(from, "id"), read_optional_name(from, "zone"),
                  read_optional_name(from, "customer"), read_optional_name(from, "service")};
    if (has_field(from, "from_ms")) freeze.from = read_time(from, "from_ms");
    if (has_field(from, "to_ms")) freeze.to = read_time(from, "to_ms");
    if (freeze.to <= freeze.from) throw_field_error("to_ms", "not after from_ms");
    return freeze;
}

void read_cap(const json &from, Update &update) {
    update.zone = read_optional_name(from, "zone");
    update.customer = read_optional_name(from, "customer");
    update.cap = read_number(from, "cap");
    if (update.cap < 0 || update.cap > 1) throw_field_error("cap", "not from 0 to 1");
}

void read_stage(const json &from, int released, Update &update) {
    update.zone = read_name(from, "zone");
    update.customer = read_name(from, "customer");
    update.stage = read_stage_number(from, "stage", released);
    if (update.stage < 0 || update.stage > released) throw_field_error("stage", "out of range");
}

void read_ledger(const json &from, Update &update) {
    update.customer = read_name(from, "customer");
    update.traffic = read_count(from, "traffic");
    update.withdrawn = read_count(from, "withdrawn");
}

json parse_object(std::string_view text, const char *what) {
    json value = json::parse(text, nullptr, false);
    if (!value.is_object()) throw_field_error(what, "not an object");
    return value;
}

} // namespace

Snapshot read_snapshot(const std::string &body, int released) {
    const json from = parse_object(body, "snapshot");
    Snapshot snapshot;
    snapshot.rev = read_revision(from, "rev");
    const auto add = [&](Update::Kind kind) -> Update & {
        snapshot.entries.emplace_back().kind = kind;
        return snapshot.entries.back();
    };
    for (const json &item : read_array(from, "builds")) {
        Update offer;
        offer.build = read_build(item);
        offer.dependencies = read_dependencies(item, offer.build, released);
        snapshot.entries.push_back(offer);
        if (read_optional_bool(item, "pulled")) add(Update::Kind::pull).build = offer.build;
        for (const json &cell : read_array(item, "cells")) {
            Update &stage = add(Update::Kind::stage);
            stage.build = offer.build;
            read_stage(cell, released, stage);
            if (has_field(cell, "held")) stage.held = read_stage_number(cell, "held", released);
            if (has_field(cell, "told_ms")) stage.announced_at = read_time(cell, "told_ms");
        }
    }
    for (const json &item : read_array(from, "freezes")) add(Update::Kind::freeze).freeze = read_freeze(item);
    if (has_field(from, "caps"))
        for (const json &item : read_array(from, "caps")) read_cap(item, add(Update::Kind::cap));
    if (has_field(from, "ledger"))
        for (const json &item : read_array(from, "ledger")) read_ledger(item, add(Update::Kind::ledger));
    return snapshot;
}

StreamLine read_line(std::string_view line, int released) {
    const json from = parse_object(line, "line");
    StreamLine result;
    if (!has_field(from, "type")) return result;
    const std::string type = read_string(from, "type");
    if (type == "resync") {
        result.resync = true;
        return result;
    }
    Update update;
    update.rev = read_revision(from, "rev");
    update.prev = read_revision(from, "prev");
    if (update.prev >= update.rev) throw_field_error("prev", "not below rev");
    if (type == "offer" || type == "stage" || type == "pull") update.build = read_build(from);
    if (type == "offer") {
        update.dependencies = read_dependencies(from, update.build, released);
    } else if (type == "stage") {
        update.kind = Update::Kind::stage;
        read_stage(from, released, update);
    } else if (type == "pull") {
        update.kind = Update::Kind::pull;
    } else if (type == "freeze") {
        update.kind = Update::Kind::freeze;
        update.freeze = read_freeze(from);
    } else if (type == "lift") {
        update.kind = Update::Kind::lift;
        update.freeze.id = read_name(from, "id");
    } else if (type == "cap") {
        update.kind = Update::Kind::cap;
        read_cap(from, update);
    } else if (type == "ledger") {
        update.kind = Update::Kind::ledger;
        read_ledger(from, update);
    } else {
        throw_field_error(
            "type", "unknown update type"); // its effect on the plan is unknown, so it cannot be skipped
    }
    result.update = std::move(update);
    return result;
}

std::string write_opinion(const Opinion &opinion, const ReleaseSettings &scheme, const std::string &router) {
    static constexpr const char *kVerdictNames[] = {"none", "on", "hold", "back"};
    json message{{"router", router},
                 {"service", opinion.build.service},
                 {"build", opinion.build.number},
                 {"stage", opinion.stage},
                 {"verdict", kVerdictNames[static_cast<int>(opinion.verdict)]},
                 {"rev", opinion.rev}};
    if (opinion.cell >= 0) {
        message["zone"] = scheme.zones[scheme.zone_of(opinion.cell)].name;
        message["customer"] = scheme.customers[scheme.customer_of(opinion.cell)].name;
    }
    return message.dump();
}

} // namespace pineridge::release
