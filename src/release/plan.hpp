// The release plan: which stage each build has in each cell (a zone and a customer), and what share of a
// cell's RPCs that allows. No I/O and no clock: time is told; the same inputs in the same order give the same
// outputs. The desk says how far a build goes; the module alone judges it; the plan only narrows both:
// - a step forward waits while frozen, while the desk is in doubt, and for the builds that are needed;
// - a step back goes through at once, always.
// Every input is O(1) but for words that touch many cells (snapshot, pull, cap). State is bounded by the
// scheme: 8 bytes for each cell of each of `most_builds` builds.
#pragma once

#include "release/freezes.hpp"
#include "release/notice.hpp"
#include "release/waves.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace pineridge::release {

class Plan {
  public:
    explicit Plan(Scheme scheme);
    Plan(const Plan &) = delete;

    // Inputs.
    void clock(Ticks now); // never goes back
    void snapshot(const Snapshot &told);
    void notice(const Notice &told);
    void linked(bool up); // does the desk's stream stand?
    void lost() { gap_ = true; } // words are missing: the snapshot is wanted
    void verdict(int build, Verdict judged); // the module's, of the service's own builds
    void arrived(int cell); // an RPC of this router
    void seen(int build, int cell); // one of its picks there ended with an answer or a failure

    // Outputs, each given once.
    std::vector<Change> take_changes() { return std::exchange(changes_, {}); }
    std::vector<Line> take_lines() { return std::exchange(lines_, {}); }
    std::optional<Opinion> next_opinion();
    bool wants_snapshot() const { return !synced_ || behind_ || gap_; }

    // What stands.
    const Scheme &scheme() const { return scheme_; }
    std::int64_t revision() const { return rev_; }
    std::vector<BuildName> builds() const;
    int stage(const BuildName &build, int cell) const;
    int told(const BuildName &build, int cell) const;
    double share(const BuildName &build, int cell) const;
    bool frozen(const std::string &service, int cell) const;
    bool pulled(const BuildName &build) const;
    std::string refusal(const BuildName &build) const; // why it may enter no cell; empty: it may
    int wave(const BuildName &build, int cell) const;

  private:
    struct Place {
        std::uint32_t came = 0; // counts the steps forward: the last to come is the first to go back
        std::uint8_t told = 0, at = 0;
        bool limited = false; // went back by itself; stays until the desk has followed
    };
    struct Build {
        BuildName name;
        std::vector<Need> needs;
        std::vector<Build *> on; // by need
        std::vector<Build *> dependents;
        std::string refused;
        bool pulled = false;
        Waves waves;
        std::vector<int> lagging; // by wave: cells short of the stage to follow
        std::size_t released = 0; // cells
        std::vector<Place> cells;
        std::uint32_t steps = 0;
        std::set<int> waiting; // cells told a stage that they may not have yet
        std::set<int> limited;
        std::set<std::pair<std::uint32_t, int>> unsupported; // by when they came
        Ticks back_at = -1; // when the next of them goes
        Verdict verdict = Verdict::none;
        Ticks asked_back = -1;
        std::unordered_map<int, int> evidence; // picks since the cell's stage began
        std::unordered_map<int, Ticks> asked; // when an opinion of the cell was last given
    };
    struct Cap {
        double told = 1, at = 1;
        int zone = -1, customer = -1;
    };

    bool certain() const { return synced_ && linked_ && !behind_ && !gap_; }
    bool own(const Build &build) const { return build.name.service == scheme_.service; }
    bool in_own_zone(int cell) const { return scheme_.zone_of(cell) == zone_; }
    Build *find(const BuildName &name);
    const Build *find(const BuildName &name) const;
    void apply(const Notice &told);
    void take_whole(const Snapshot &told);
    void take_narrower(const Snapshot &told);
    void restore(Build &build, const std::vector<const Notice *> &stages);
    Build *offer(const Notice &told);
    bool make_room();
    void tie(Build &build, std::vector<Need> needs);
    void untie(Build &build);
    std::string flaw(const Build &build) const;
    void tell_stage(Build &build, const Notice &told);
    void pull(Build &build);
    void cap(const Notice &told, bool only_narrower);
    Cap *cap_of(const std::string &zone, const std::string &customer);
    void bend(Cap &cap);
    int place(const Notice &told); // the cell it names; -1 and a line where there is none
    int support(const Build &build, int cell) const;
    void check_support(Build &build, int cell);
    void go_back(Build &build, int cell, const char *cause);
    void settle(Build &build, int cell, const char *cause);
    void move(Build &build, int cell, int to, const char *cause);
    void settle_waiting();
    double share(const Build &build, int cell) const;
    void changed(const Build &build, int cell);
    void line(std::string name, std::vector<Field> fields);
    void find_opinions();
    void opinions_of(Build &build);
    int open_wave(const Build &build) const;
    void give(Build &build, int cell, Verdict verdict);

    const Scheme scheme_;
    const int zone_;
    Ticks now_ = 0;
    std::int64_t rev_ = 0;
    bool synced_ = false, linked_ = false, behind_ = false, gap_ = false;
    bool quiet_ = false; // lines of other zones' cells are left out: many move at once
    Freezes freezes_;
    std::map<BuildName, Build> builds_;
    std::vector<Burden> burdens_;
    std::vector<Cap> caps_; // of all, by zone, by customer
    std::vector<Ticks> heard_; // by customer: this router's last RPC
    Ticks beat_at_ = 0;
    std::vector<Change> changes_;
    std::vector<Line> lines_;
    std::vector<Opinion> opinions_;
    std::size_t next_opinion_ = 0;
};

} // namespace pineridge::release
