// What a release desk tells, and what the plan says to it and to the module. Plain data.
#pragma once

#include "base/log.hpp"
#include "settings/scheme.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pineridge::release {

// One word of the desk. `rev` counts its words up; `prev` is the revision of the word before, so that a lost
// one shows. Within a snapshot neither counts.
struct Notice {
    enum class Kind { offer, stage, pull, freeze, lift, cap, ledger };
    Kind kind = Kind::offer;
    std::int64_t rev = 0, prev = 0;
    BuildName build{}; // offer, stage, pull
    std::vector<Need> needs{}; // offer
    std::string zone{}, customer{}; // stage: both; cap: one or none; ledger: the customer
    int stage = 0; // stage
    int held =
        -1; // stage, in a snapshot: where it stood when a freeze began that still covers it; -1: as stage
    Ticks told = 0; // stage, in a snapshot: when the desk told it
    Freeze freeze{}; // freeze; lift: its id
    double cap = 1; // cap
    double traffic = 0,
           withdrawn = 0; // ledger: the customer's RPCs so far, and those at builds later withdrawn
};

struct Snapshot {
    std::int64_t rev = 0;
    std::vector<Notice> entries{};
};

// What this router says of a cell (-1: of the build in all cells): on from this stage, or back.
struct Opinion {
    BuildName build;
    int cell = -1;
    int stage = 0;
    Verdict verdict = Verdict::none;
    std::int64_t rev = 0; // what it was based on
};

// What the module may send of a cell's RPCs (-1: of all cells not named since) to a build.
struct Change {
    int build;
    int cell;
    double share;
};

// A change worth a log line: its name in docs/events.md and its fields.
struct Line {
    std::string name;
    std::vector<Field> fields;
};

} // namespace pineridge::release
