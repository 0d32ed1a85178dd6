// Holds the operators' settings of staged releases as plain data; settings/read.cpp reads and checks them.
// Times are ticks (tenths of a millisecond); calendar times count from the Unix epoch.
#pragma once

#include "logic.hpp"

#include <compare>
#include <limits>
#include <string>
#include <vector>

namespace pineridge {

inline constexpr Ticks kNever = std::numeric_limits<Ticks>::max() / 4;

// A build of a service, numbered by the platform.
struct BuildName {
    std::string service;
    int number = 0;
    auto operator<=>(const BuildName &) const = default;
    std::string text() const { return service + "/" + std::to_string(number); }
};

// `dependent` may enter a cell only where `required` has reached the stage; with kMatch, its stage there
// never exceeds that of `required`.
struct Dependency {
    static constexpr int kMatch = -1;
    BuildName dependent;
    BuildName required;
    int stage = 0;
    bool strict = false; // `dependent` is rolled back as soon as `required` is
};

// The dependency cycle through the build as "a/1 -> b/2 -> a/1"; empty if there is none.
std::string dependency_cycle(const std::vector<Dependency> &dependencies, const BuildName &build);

// A period during which nothing that it covers moves to a higher stage. An empty name covers all.
struct Freeze {
    std::string id{};
    std::string zone{};
    std::string customer{};
    std::string service{};
    Ticks from = 0;
    Ticks to = kNever;
};

// A part of the traffic: a zone, or a customer.
struct Segment {
    std::string name;
    double cap = 1; // largest share of its RPCs at a build that is not released in all cells
    double share = 1; // its part of the traffic, relative to the other segments
};

enum class WaveOrder { zones, customers, canary, balanced };

struct ReleaseSettings {
    std::string service; // the service that this router serves
    std::string zone; // the zone where its RPCs enter
    std::string desk; // address of the release desk; empty: the plan is computed without one
    std::vector<Segment> zones;
    std::vector<Segment> customers;
    std::vector<double> stages; // each stage's share of a cell's RPCs; that of stage 0 is 0
    double cap = 1; // it applies to all cells
    WaveOrder order = WaveOrder::zones;
    // The next wave opens when the cells of a wave have reached this stage.
    int wave_gate_stage = 0;
    std::vector<int> canaries; // cell indices
    // A cell's stage needs this many picks before this router gives an opinion for the next stage.
    int min_picks = 20;
    // A cell without RPCs for this long does not hold up the next wave; 0: every cell does.
    Ticks silent_after = 600000;
    Ticks opinion_interval = 40000; // an opinion is repeated after this time
    Ticks freeze_settle_time = 50000; // a freeze stays in effect for this long after its end
    // The first cell is rolled back this long after a dependency is lost, and the others one by one.
    Ticks rollback_delay = 20000;
    Ticks rollback_step = 10000;
    std::vector<Freeze> freezes;
    std::vector<Dependency> dependencies;
    std::size_t max_builds = 20;
    std::size_t max_freezes = 256;

    int released_stage() const { return static_cast<int>(stages.size()) - 1; }
    std::size_t cell_count() const { return zones.size() * customers.size(); }
    int cell(int zone_number, int customer_number) const {
        return zone_number * static_cast<int>(customers.size()) + customer_number;
    }
    int zone_of(int cell) const { return cell / static_cast<int>(customers.size()); }
    int customer_of(int cell) const { return cell % static_cast<int>(customers.size()); }
    int zone_index(const std::string &name) const { return index_of(zones, name); } // -1: unknown
    int customer_index(const std::string &name) const { return index_of(customers, name); }

  private:
    static int index_of(const std::vector<Segment> &segments, const std::string &name) {
        for (std::size_t i = 0; i < segments.size(); ++i)
            if (segments[i].name == name) return static_cast<int>(i);
        return -1;
    }
};

} // namespace pineridge
