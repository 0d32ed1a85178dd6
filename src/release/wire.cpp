#include "release/wire.hpp"

#include "terms/fields.hpp"

namespace pineridge::release {

namespace {

constexpr std::size_t kMostName = 64;
constexpr double kMostRevision = 9e15; // whole in a double

std::string name(const json &from, const char *field) {
    const std::string read = text(from, field);
    if (read.empty() || read.size() > kMostName) wrong(field, "empty or too long");
    return read;
}

std::string name_or_all(const json &from, const char *field) {
    return has(from, field) ? name(from, field) : "";
}

std::int64_t revision(const json &from, const char *field) {
    const json &value = need(from, field);
    if (!value.is_number_integer() || value.get<double>() < 0 || value.get<double>() > kMostRevision)
        wrong(field, "not a revision");
    return value.get<std::int64_t>();
}

double count(const json &from, const char *field) {
    const double read = number(from, field);
    if (read < 0) wrong(field, "below 0");
    return read;
}

Ticks moment(const json &from, const char *field) {
    const json &value = need(from, field);
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > kMostRevision)
        wrong(field, "not a time");
    return static_cast<Ticks>(value.get<double>() * 10);
}

BuildName build_of(const json &from) {
    const int build = whole(from, "build");
    if (build < 0) wrong("build", "below 0");
    return {name(from, "service"), build};
}

int stage_of(const json &from, const char *field, int released) {
    const json &value = need(from, field);
    if (value.is_string()) {
        if (value == "released") return released;
        if (value == "match") return Need::kMatch;
        wrong(field, "unknown word");
    }
    const int stage = whole(from, field);
    if (stage < 0 || stage > 255) wrong(field, "out of range");
    return stage;
}

std::vector<Need> needs_of(const json &from, const BuildName &of, int released) {
    std::vector<Need> needs;
    if (!has(from, "needs")) return needs;
    for (const json &item : list(from, "needs")) {
        const int stage = has(item, "stage") ? stage_of(item, "stage", released) : released;
        needs.push_back({of, build_of(item), stage, mark(item, "strict")});
        if (needs.size() > 64) wrong("needs", "too many");
    }
    return needs;
}

Freeze freeze_of(const json &from) {
    Freeze freeze{name(from, "id"), name_or_all(from, "zone"), name_or_all(from, "customer"),
                  name_or_all(from, "service")};
    if (has(from, "from_ms")) freeze.from = moment(from, "from_ms");
    if (has(from, "to_ms")) freeze.to = moment(from, "to_ms");
    if (freeze.to <= freeze.from) wrong("to_ms", "not after from_ms");
    return freeze;
}

void read_cap(const json &from, Notice &into) {
    into.zone = name_or_all(from, "zone");
    into.customer = name_or_all(from, "customer");
    into.cap = number(from, "cap");
    if (into.cap < 0 || into.cap > 1) wrong("cap", "not from 0 to 1");
}

void read_stage(const json &from, int released, Notice &into) {
    into.zone = name(from, "zone");
    into.customer = name(from, "customer");
    into.stage = stage_of(from, "stage", released);
    if (into.stage < 0 || into.stage > released) wrong("stage", "out of range");
}

void read_ledger(const json &from, Notice &into) {
    into.customer = name(from, "customer");
    into.traffic = count(from, "traffic");
    into.withdrawn = count(from, "withdrawn");
}

json parsed(std::string_view text, const char *what) {
    json read = json::parse(text, nullptr, false);
    if (!read.is_object()) wrong(what, "not an object");
    return read;
}

} // namespace

Snapshot read_snapshot(const std::string &body, int released) {
    const json from = parsed(body, "snapshot");
    Snapshot snapshot;
    snapshot.rev = revision(from, "rev");
    const auto add = [&](Notice::Kind kind) -> Notice & {
        snapshot.entries.emplace_back().kind = kind;
        return snapshot.entries.back();
    };
    for (const json &item : list(from, "builds")) {
        Notice offered;
        offered.build = build_of(item);
        offered.needs = needs_of(item, offered.build, released);
        snapshot.entries.push_back(offered);
        if (mark(item, "pulled")) add(Notice::Kind::pull).build = offered.build;
        for (const json &cell : list(item, "cells")) {
            Notice &stage = add(Notice::Kind::stage);
            stage.build = offered.build;
            read_stage(cell, released, stage);
            if (has(cell, "held")) stage.held = stage_of(cell, "held", released);
            if (has(cell, "told_ms")) stage.told = moment(cell, "told_ms");
        }
    }
    for (const json &item : list(from, "freezes")) add(Notice::Kind::freeze).freeze = freeze_of(item);
    if (has(from, "caps"))
        for (const json &item : list(from, "caps")) read_cap(item, add(Notice::Kind::cap));
    if (has(from, "ledger"))
        for (const json &item : list(from, "ledger")) read_ledger(item, add(Notice::Kind::ledger));
    return snapshot;
}

Told read_line(std::string_view line, int released) {
    const json from = parsed(line, "line");
    Told told;
    if (!has(from, "type")) return told;
    const std::string type = text(from, "type");
    if (type == "resync") {
        told.resync = true;
        return told;
    }
    Notice notice;
    notice.rev = revision(from, "rev");
    notice.prev = revision(from, "prev");
    if (notice.prev >= notice.rev) wrong("prev", "not below rev");
    if (type == "offer" || type == "stage" || type == "pull") notice.build = build_of(from);
    if (type == "offer") {
        notice.needs = needs_of(from, notice.build, released);
    } else if (type == "stage") {
        notice.kind = Notice::Kind::stage;
        read_stage(from, released, notice);
    } else if (type == "pull") {
        notice.kind = Notice::Kind::pull;
    } else if (type == "freeze") {
        notice.kind = Notice::Kind::freeze;
        notice.freeze = freeze_of(from);
    } else if (type == "lift") {
        notice.kind = Notice::Kind::lift;
        notice.freeze.id = name(from, "id");
    } else if (type == "cap") {
        notice.kind = Notice::Kind::cap;
        read_cap(from, notice);
    } else if (type == "ledger") {
        notice.kind = Notice::Kind::ledger;
        read_ledger(from, notice);
    } else {
        wrong("type", "unknown word"); // what it changes cannot be known
    }
    told.notice = std::move(notice);
    return told;
}

std::string write_opinion(const Opinion &opinion, const Scheme &scheme, const std::string &router) {
    static constexpr const char *kWords[] = {"none", "on", "hold", "back"};
    json said{{"router", router},
              {"service", opinion.build.service},
              {"build", opinion.build.number},
              {"stage", opinion.stage},
              {"verdict", kWords[static_cast<int>(opinion.verdict)]},
              {"rev", opinion.rev}};
    if (opinion.cell >= 0) {
        said["zone"] = scheme.zones[scheme.zone_of(opinion.cell)].name;
        said["customer"] = scheme.customers[scheme.customer_of(opinion.cell)].name;
    }
    return said.dump();
}

} // namespace pineridge::release
