#include "standins/desk/ledger.hpp"

#include <algorithm>

namespace pineridge::standins {

std::string Ledger::add(json word, std::int64_t now) {
    const std::int64_t before = revision_++;
    apply(word, now);
    steps_.push_back({now, revision_, word});
    known_.push_back(steps_.back());
    word["rev"] = revision_;
    word["prev"] = before;
    return word.dump();
}

void Ledger::apply(const json &word, std::int64_t now) {
    const std::string type = word.at("type");
    if (type == "offer") {
        Build &build = builds_[build_text(word)];
        build.offer = word;
        if (std::exchange(build.pulled, false)) build.cells.clear();
    } else if (type == "stage") {
        const CellName at{word.at("zone"), word.at("customer")};
        Cell &cell = builds_[build_text(word)].cells[at];
        const bool within = frozen(word.at("service"), at, now);
        cell.stage = word.at("stage");
        cell.held = within ? std::min(cell.held, cell.stage) : cell.stage;
        cell.told = now;
    } else if (type == "pull") {
        Build &build = builds_[build_text(word)];
        build.pulled = true;
        build.cells.clear();
    } else if (type == "freeze") {
        FreezeRow row{word.value("zone", ""), word.value("customer", ""), word.value("service", ""),
                      word.value("from_ms", now), word.value("to_ms", FreezeRow::kAlways)};
        // What was told within an earlier freeze and has waited stands as far as it may go by now.
        for (auto &[name, build] : builds_)
            for (auto &[at, cell] : build.cells)
                if (!frozen(name.substr(0, name.find('/')), at, now)) cell.held = cell.stage;
        freezes_[word.at("id")] = row;
    } else if (type == "lift") {
        if (const auto at = freezes_.find(word.at("id")); at != freezes_.end()) at->second.to = now;
    } else if (type == "cap") {
        caps_[word.value("zone", "") + "/" + word.value("customer", "")] = word;
    } else if (type == "ledger") {
        ledger_[word.at("customer")] = word;
    }
}

int Ledger::stage(const std::string &build, const CellName &cell) const {
    const auto at = builds_.find(build);
    if (at == builds_.end()) return 0;
    const auto found = at->second.cells.find(cell);
    return found == at->second.cells.end() ? 0 : found->second.stage;
}

bool Ledger::frozen(const std::string &service, const CellName &cell, std::int64_t now) const {
    return frozen(service, cell, now, now);
}

bool Ledger::frozen(const std::string &service, const CellName &cell, std::int64_t from,
                    std::int64_t to) const {
    for (const auto &[id, row] : freezes_)
        if (row.from <= to && from < row.to && row.covers(service, cell, std::max(from, row.from)))
            return true;
    return false;
}

std::string Ledger::snapshot(std::int64_t now) const {
    json builds = json::array(), freezes = json::array(), caps = json::array(), rows = json::array();
    for (const auto &[name, build] : builds_) {
        json entry{{"service", name.substr(0, name.find('/'))},
                   {"build", std::stoi(name.substr(name.find('/') + 1))},
                   {"pulled", build.pulled},
                   {"cells", json::array()}};
        if (build.offer.contains("needs")) entry["needs"] = build.offer["needs"];
        for (const auto &[at, cell] : build.cells) {
            json row{
                {"zone", at.first}, {"customer", at.second}, {"stage", cell.stage}, {"told_ms", cell.told}};
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
    for (const auto &[key, row] : ledger_) rows.push_back(row);
    return json{
        {"rev", revision_}, {"builds", builds}, {"freezes", freezes}, {"caps", caps}, {"ledger", rows}}
        .dump();
}

std::vector<std::string> Ledger::lines_after(std::int64_t from) const {
    std::vector<std::string> lines;
    for (const Step &step : known_) {
        if (step.rev <= from) continue;
        json word = step.word;
        word["rev"] = step.rev;
        word["prev"] = step.rev - 1;
        lines.push_back(word.dump());
    }
    return lines;
}

void Ledger::forget_after(std::int64_t revision) {
    std::vector<Step> kept;
    for (const Step &step : known_)
        if (step.rev <= revision) kept.push_back(step);
    known_.clear();
    builds_.clear(), freezes_.clear(), caps_.clear(), ledger_.clear();
    revision_ = revision, oldest_ = std::min(oldest_, revision);
    for (const Step &step : kept) {
        apply(step.word, step.at);
        known_.push_back(step);
    }
}

} // namespace pineridge::standins
