// The updates that a stand-in release desk has recorded, by revision, and the release state that follows from
// them. It records every update without checking it, and does no network I/O.
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

// A declared freeze. `from` 0 and `to` kAlways leave it unlimited on that side. Times are in ms since the
// Unix epoch; an empty zone, customer or service means all of them.
struct FreezeRow {
    static constexpr std::int64_t kAlways = std::int64_t{1} << 52;
    static constexpr std::int64_t kShown =
        60000; // ms for which snapshots still contain a freeze that has ended
    std::string zone, customer, service;
    std::int64_t from = 0, to = kAlways;
    bool covers(const std::string &of_service, const CellName &cell, std::int64_t now) const {
        return from <= now && now < to && (zone.empty() || zone == cell.first) &&
               (customer.empty() || customer == cell.second) && (service.empty() || service == of_service);
    }
};

// One recorded update.
struct Step {
    std::int64_t at = 0; // ms since the Unix epoch
    std::int64_t revision = 0;
    json update; // as in the protocol, without rev and prev
};

class UpdateLog {
  public:
    // Records an update as the next revision and returns its line for the stream.
    std::string add(json update, std::int64_t now);

    std::int64_t revision() const { return revision_; }
    std::string snapshot(std::int64_t now) const;
    // Whether a stream can start after revision `from`.
    bool can_follow_from(std::int64_t from) const { return from >= oldest_ && from <= revision_; }
    std::vector<std::string> lines_after(std::int64_t from) const;
    // Goes back to a revision, like a desk that is restored from an old backup. steps() keeps all updates for
    // the checker.
    void forget_after(std::int64_t revision);
    void compact() { oldest_ = revision_; } // streams can no longer start at an older revision

    int stage(const std::string &build, const CellName &cell) const; // build as "service/number"
    bool frozen(const std::string &service, const CellName &cell, std::int64_t now) const;
    bool frozen(const std::string &service, const CellName &cell, std::int64_t from, std::int64_t to) const;
    const std::vector<Step> &steps() const { return steps_; }

  private:
    struct Cell {
        int stage = 0; // as recorded
        int held = 0; // the stage in effect, while a freeze holds back a raise
        std::int64_t recorded_at = 0; // ms since the Unix epoch
    };
    struct Build {
        json offer;
        bool pulled = false;
        std::map<CellName, Cell> cells;
    };
    void apply(const json &update, std::int64_t now);

    std::int64_t revision_ = 0;
    std::int64_t oldest_ = 0; // a stream may start at this revision or a later one
    std::vector<Step> steps_; // all updates, for the checker
    std::vector<Step> remembered_; // those that forget_after() has not removed
    std::map<std::string, Build> builds_;
    std::map<std::string, FreezeRow> freezes_;
    std::map<std::string, json> caps_;
    std::map<std::string, json> customer_ledger_; // by customer
};

// The build of a message as "service/number".
inline std::string build_text(const json &message) {
    return message.at("service").get<std::string>() + "/" + std::to_string(message.at("build").get<int>());
}

} // namespace pineridge::standins
