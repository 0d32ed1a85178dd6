#include "standins/desk/update_log.hpp"

#include <algorithm>

namespace pineridge::standins {

std::string UpdateLog::add(json update, std::int64_t now) {
    const std::int64_t previous_revision = revision_++;
    apply(update, now);
    steps_.push_back({now, revision_, update});
    remembered_.push_back(steps_.back());
    update["rev"] = revision_;
    update["prev"] = previous_revision;
    return update.dump();
}

void UpdateLog::apply(const json &update, std::int64_t now) {
    const std::string type = update.at("type");
    if (type == "offer") {
        Build &build = builds_[build_text(update)];
        build.offer = update;
        if (std::exchange(build.pulled, false)) build.cells.clear();
    } else if (type == "stage") {
        const CellName at{update.at("zone"), update.at("customer")};
        Cell &cell = builds_[build_text(update)].cells[at];
        const bool is_frozen = frozen(update.at("service"), at, now);
        cell.stage = update.at("stage");
        cell.held = is_frozen ? std::min(cell.held, cell.stage) : cell.stage;
        cell.recorded_at = now;
    } else if (type == "pull") {
        Build &build = builds_[build_text(update)];
        build.pulled = true;
        build.cells.clear();
    } else if (type == "freeze") {
        FreezeRow row{update.value("zone", ""), update.value("customer", ""), update.value("service", ""),
                      update.value("from_ms", now), update.value("to_ms", FreezeRow::kAlways)};
        // A raise that an earlier freeze has held back, and that is no longer frozen, is in effect by now.
        for (auto &[name, build] : builds_)
            for (auto &[at, cell] : build.cells)
                if (!frozen(name.substr(0, name.find('/')), at, now)) cell.held = cell.stage;
        freezes_[update.at("id")] = row;
    } else if (type == "lift") {
        if (const auto at = freezes_.find(update.at("id")); at != freezes_.end()) at->second.to = now;
    } else if (type == "cap") {
        caps_[update.value("zone", "") + "/" + update.value("customer", "")] = update;
    } else if (type == "ledger") {
        customer_ledger_[update.at("customer")] = update;
    }
}

int UpdateLog::stage(const std::string &build, const CellName &cell) const {
    const auto build_at = builds_.find(build);
    if (build_at == builds_.end()) return 0;
    const auto found = build_at->second.cells.find(cell);
    return found == build_at->second.cells.end() ? 0 : found->second.stage;
}

bool UpdateLog::frozen(const std::string &service, const CellName &cell, std::int64_t now) const {
    return frozen(service, cell, now, now);
}

bool UpdateLog::frozen(const std::string &service, const CellName &cell, std::int64_t from,
                       std::int64_t to) const {
    for (const auto &[id, row] : freezes_)
        if (row.from <= to && from < row.to && row.covers(service, cell, std::max(from, row.from)))
            return true;
    return false;
}

std::string UpdateLog::snapshot(std::int64_t now) const {
    json builds = json::array();
    json freezes = json::array();
    json caps = json::array();
    json ledger = json::array();
    for (const auto &[name, build] : builds_) {
        json entry{{"service", name.substr(0, name.find('/'))},
                   {"build", std::stoi(name.substr(name.find('/') + 1))},
                   {"pulled", build.pulled},
                   {"cells", json::array()}};
        if (build.offer.contains("needs")) entry["needs"] = build.offer["needs"];
        for (const auto &[at, cell] : build.cells) {
            json row{{"zone", at.first},
                     {"customer", at.second},
                     {"stage", cell.stage},
                     {"told_ms", cell.recorded_at}};
            if (cell.held != cell.stage && frozen(entry["service"], at, now - FreezeRow::kShown, now))
                row["held"] = cell.held;
            entry["cells"].push_back(row);
        }
        builds.push_back(entry);
    }
    for (const auto &[id, row] : freezes_) {
        if (row.to + FreezeRow::kShown <= now) continue;
        json entry{{"id", id}, {"from_ms", row.from}};
        if (row.to != FreezeRow::kAlways) entry["to_ms"] = row.to;
        for (const auto &[key, value] :
             {std::pair{"zone", row.zone}, {"customer", row.customer}, {"service", row.service}})
            if (!value.empty()) entry[key] = value;
        freezes.push_back(entry);
    }
    for (const auto &[key, cap] : caps_) caps.push_back(cap);
    for (const auto &[key, row] : customer_ledger_) ledger.push_back(row);
    return json{
        {"rev", revision_}, {"builds", builds}, {"freezes", freezes}, {"caps", caps}, {"ledger", ledger}}
        .dump();
}

std::vector<std::string> UpdateLog::lines_after(std::int64_t from) const {
    std::vector<std::string> lines;
    for (const Step &step : remembered_) {
        if (step.revision <= from) continue;
        json update = step.update;
        update["rev"] = step.revision;
        update["prev"] = step.revision - 1;
        lines.push_back(update.dump());
    }
    return lines;
}

void UpdateLog::forget_after(std::int64_t revision) {
    std::vector<Step> kept;
    for (const Step &step : remembered_)
        if (step.revision <= revision) kept.push_back(step);
    remembered_.clear();
    builds_.clear();
    freezes_.clear();
    caps_.clear();
    customer_ledger_.clear();
    revision_ = revision;
    oldest_ = std::min(oldest_, revision);
    for (const Step &step : kept) {
        apply(step.update, step.at);
        remembered_.push_back(step);
    }
}

} // namespace pineridge::standins
