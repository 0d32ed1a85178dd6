// What a stand-in release desk has written down: its words by revision, and the state they add up to. Knows
// no socket and decides nothing: whatever it is told it writes down.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pineridge::standins {

using nlohmann::json;

using CellName = std::pair<std::string, std::string>; // zone, customer

// A freeze as declared; 0 and `kAlways` leave it open on either side. Milliseconds since the Unix epoch.
struct FreezeRow {
    static constexpr std::int64_t kAlways = std::int64_t{1} << 52;
    static constexpr std::int64_t kShown = 60000; // an ended one is still told of for so long
    std::string zone, customer, service;
    std::int64_t from = 0, to = kAlways;
    bool covers(const std::string &of, const CellName &cell, std::int64_t now) const {
        return from <= now && now < to && (zone.empty() || zone == cell.first) &&
               (customer.empty() || customer == cell.second) && (service.empty() || service == of);
    }
};

// One step that the desk has recorded.
struct Step {
    std::int64_t at = 0; // ms
    std::int64_t rev = 0;
    json word; // as in the protocol, without rev and prev
};

class Ledger {
  public:
    // Writes a word down as the next revision; returns its line for the stream.
    std::string add(json word, std::int64_t now);

    std::int64_t revision() const { return revision_; }
    std::string snapshot(std::int64_t now) const;
    // The lines after a revision; nothing where that is not of this ledger.
    bool holds(std::int64_t from) const { return from >= oldest_ && from <= revision_; }
    std::vector<std::string> lines_after(std::int64_t from) const;
    // What a desk restarted from an old backup knows: the words up to a revision. Records stay for the
    // checker.
    void forget_after(std::int64_t revision);
    void compact() { oldest_ = revision_; } // older words can no longer be followed from

    int stage(const std::string &build, const CellName &cell) const; // build as "service/number"
    bool frozen(const std::string &service, const CellName &cell, std::int64_t now) const;
    bool frozen(const std::string &service, const CellName &cell, std::int64_t from, std::int64_t to) const;
    const std::vector<Step> &steps() const { return steps_; }

  private:
    struct Cell {
        int stage = 0, held = 0;
        std::int64_t told = 0;
    };
    struct Build {
        json offer;
        bool pulled = false;
        std::map<CellName, Cell> cells;
    };
    void apply(const json &word, std::int64_t now);

    std::int64_t revision_ = 0, oldest_ = 0;
    std::vector<Step> steps_; // all, for the checker
    std::vector<Step> known_; // those this desk remembers
    std::map<std::string, Build> builds_;
    std::map<std::string, FreezeRow> freezes_;
    std::map<std::string, json> caps_, ledger_;
};

inline std::string build_text(const json &from) {
    return from.at("service").get<std::string>() + "/" + std::to_string(from.at("build").get<int>());
}

} // namespace pineridge::standins
