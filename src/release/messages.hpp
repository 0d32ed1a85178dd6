// Messages between the release desk, the release plan and the decision module. Plain data.
#pragma once

#include "base/log.hpp"
#include "settings/release.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pineridge::release {

// One update from the desk. `rev` is its revision, which increases with every update; `prev` is the revision
// of the preceding update, so that the receiver detects a lost one. Both are unused in the entries of a
// snapshot.
struct Update {
    enum class Kind { offer, stage, pull, freeze, lift, cap, ledger };
    Kind kind = Kind::offer;
    std::int64_t rev = 0, prev = 0;
    BuildName build{}; // offer, stage, pull
    std::vector<Dependency> dependencies{}; // offer
    std::string zone{}, customer{}; // stage: both; cap: at most one; ledger: the customer
    int stage = 0; // stage
    // stage, in a snapshot: the cell's stage when a freeze began that still covers it; -1: equal to `stage`
    int held = -1;
    Ticks announced_at = 0; // stage, in a snapshot: when the desk announced it
    Freeze freeze{}; // freeze; lift: only its id
    double cap = 1; // cap
    // ledger: the customer's RPCs so far, and how many of them went to builds that were withdrawn later
    double traffic = 0, withdrawn = 0;
};

struct Snapshot {
    std::int64_t rev = 0;
    std::vector<Update> entries{};
};

// This router's opinion of a build in one cell (-1: in all cells): whether it should advance from its stage,
// or roll back.
struct Opinion {
    BuildName build;
    int cell = -1;
    int stage = 0;
    Verdict verdict = Verdict::none;
    std::int64_t rev = 0; // the desk's revision that the opinion is based on
};

// The share of a cell's RPCs that the decision module may send to a build. Cell -1 sets the share of all
// cells and replaces the earlier shares of single cells.
struct ShareChange {
    int build;
    int cell;
    double share;
};

// An event for the log: its name, as listed in docs/events.md, and its fields.
struct LogEvent {
    std::string name;
    std::vector<Field> fields;
};

} // namespace pineridge::release
