// What the operators' own settings say of staged releases: plain data, read and checked in settings/read.cpp.
// Times are ticks (tenths of a millisecond), those of the calendar counted from the Unix epoch.
#pragma once

#include "logic.hpp"

#include <compare>
#include <limits>
#include <string>
#include <vector>

namespace pineridge {

inline constexpr Ticks kNever = std::numeric_limits<Ticks>::max() / 4;

// A build of a service; numbers are the platform's.
struct BuildName {
    std::string service;
    int number = 0;
    auto operator<=>(const BuildName &) const = default;
    std::string text() const { return service + "/" + std::to_string(number); }
};

// `of` may enter a cell only where `on` is at this stage at least, or goes no further there than `on`
// (match).
struct Need {
    static constexpr int kMatch = -1;
    BuildName of, on;
    int stage = 0;
    bool strict = false; // goes back at once when `on` does
};

// How the build comes to need itself, as "a/1 -> b/2 -> a/1"; empty where it does not.
std::string way_back(const std::vector<Need> &needs, const BuildName &build);

// No step forward from `from` until `to` in what it covers; an empty name covers all.
struct Freeze {
    std::string id{}, zone{}, customer{}, service{};
    Ticks from = 0, to = kNever;
};

struct Part { // a zone, or a customer
    std::string name;
    double cap = 1; // most of its RPCs at a build that is not released in all cells
    double share = 1; // of the traffic, beside the others' shares
};

enum class Order { zones, customers, canary, balanced };

struct Scheme {
    std::string service; // the one this router serves
    std::string zone; // where its RPCs enter
    std::string desk; // its address; empty: the plan is worked out without one
    std::vector<Part> zones, customers;
    std::vector<double> stages; // by stage: share of a cell's RPCs; none in stage 0
    double cap = 1; // of all cells
    Order order = Order::zones;
    int follow = 0; // stage that the cells of a wave reach before the next wave opens
    std::vector<int> canaries; // cells
    int evidence = 20; // picks that a cell's stage needs before a vote for the next
    Ticks silent_after = 600000; // a cell without an RPC for so long holds up no other; 0: never
    Ticks renew = 40000; // an opinion is given again after so long
    Ticks settle = 50000; // after a freeze
    Ticks hold = 20000, step = 10000; // before the first cell goes back from a lost need; between cells
    std::vector<Freeze> freezes;
    std::vector<Need> needs;
    std::size_t most_builds = 20, most_freezes = 256;

    int released() const { return static_cast<int>(stages.size()) - 1; }
    std::size_t cells() const { return zones.size() * customers.size(); }
    int cell(int zone_at, int customer_at) const {
        return zone_at * static_cast<int>(customers.size()) + customer_at;
    }
    int zone_of(int cell) const { return cell / static_cast<int>(customers.size()); }
    int customer_of(int cell) const { return cell % static_cast<int>(customers.size()); }
    int zone_at(const std::string &name) const { return place(zones, name); } // -1: not there
    int customer_at(const std::string &name) const { return place(customers, name); }

  private:
    static int place(const std::vector<Part> &parts, const std::string &name) {
        for (std::size_t i = 0; i < parts.size(); ++i)
            if (parts[i].name == name) return static_cast<int>(i);
        return -1;
    }
};

} // namespace pineridge
