// The release plan: the stage of each build in each cell (a zone and a customer), and the share of the cell's
// RPCs that the stage allows. No I/O and no clock: callers pass the time, and the same inputs in the same
// order give the same outputs. The desk sets how far a build may advance and the decision module judges
// builds; the plan only restricts both:
// - an advance waits while the cell is frozen, while the desk's state is not current, and until the required
//   builds have reached their stages;
// - a rollback always applies at once.
// Every input is O(1) except those that touch many cells (snapshot, pull, cap). The scheme bounds the memory:
// 8 bytes for each cell of each of `most_builds` builds.
#pragma once

#include "release/freezes.hpp"
#include "release/messages.hpp"
#include "release/waves.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace pineridge::release {

class Plan {
  public:
    explicit Plan(ReleaseSettings scheme);
    Plan(const Plan &) = delete;

    // Inputs.
    void set_time(Ticks now); // advances the plan's time; an earlier time than before is ignored
    void apply_snapshot(const Snapshot &snapshot);
    void apply_update(const Update &update);
    void set_desk_connected(bool connected); // whether the desk's stream is open
    void request_snapshot() { update_missing_ = true; } // updates were lost
    void set_verdict(int build, Verdict verdict); // of the decision module, on a build of the own service
    void record_arrival(int cell); // an RPC of the cell has arrived at this router
    void record_pick(int build, int cell); // a pick at the build has ended with an answer or a failure

    // Outputs; each is returned once.
    std::vector<ShareChange> take_share_changes() { return std::exchange(share_changes_, {}); }
    std::vector<LogEvent> take_log_events() { return std::exchange(log_events_, {}); }
    std::optional<Opinion> next_opinion();
    bool needs_snapshot() const { return !synced_ || desk_behind_ || update_missing_; }

    // State.
    const ReleaseSettings &scheme() const { return scheme_; }
    std::int64_t revision() const { return rev_; }
    std::vector<BuildName> builds() const;
    int stage(const BuildName &build, int cell) const;
    int desk_stage(const BuildName &build, int cell) const; // the stage that the desk has set
    double share(const BuildName &build, int cell) const;
    bool frozen(const std::string &service, int cell) const;
    bool pulled(const BuildName &build) const;
    std::string refusal(const BuildName &build) const; // why the build may enter no cell; empty if it may
    int wave(const BuildName &build, int cell) const; // -1 for an unknown build

  private:
    struct CellState {
        std::uint32_t advance =
            0; // number of the build's latest advance here; the highest is rolled back first
        std::uint8_t desk_stage = 0, stage = 0;
        bool rolled_back =
            false; // rolled back without the desk; no advance until the desk has lowered its stage too
    };
    struct Build {
        BuildName name;
        std::vector<Dependency> dependencies;
        std::vector<Build *> required_builds; // parallel to `dependencies`; null: unknown build
        std::vector<Build *> dependents;
        std::string refusal;
        bool pulled = false;
        Waves waves;
        std::vector<int>
            cells_behind; // by wave: number of cells below the stage `ReleaseSettings::wave_gate_stage`
        std::size_t released_cells = 0;
        std::vector<CellState> cells;
        std::uint32_t advances = 0;
        std::set<int> waiting_cells; // below the desk's stage, until they may advance
        std::set<int> rolled_back_cells;
        std::set<std::pair<std::uint32_t, int>> unsupported_cells; // (CellState::advance, cell)
        Ticks next_rollback_at = -1; // when the next unsupported cell rolls back; -1: there is none
        Verdict verdict = Verdict::none;
        Ticks rollback_opinion_at = -1; // when an opinion to roll back all cells was last given; -1: never
        std::unordered_map<int, int> evidence; // by cell: picks ended since its stage began
        std::unordered_map<int, Ticks> opinion_at; // by cell: when an opinion was last given
    };
    struct Cap {
        double target = 1, effective = 1;
        int zone = -1, customer = -1; // -1: all
    };

    bool desk_state_current() const {
        return synced_ && desk_connected_ && !desk_behind_ && !update_missing_;
    }
    bool is_own(const Build &build) const { return build.name.service == scheme_.service; }
    bool in_own_zone(int cell) const { return scheme_.zone_of(cell) == own_zone_; }
    Build *find(const BuildName &name);
    const Build *find(const BuildName &name) const;
    void dispatch(const Update &update);
    void apply_full_snapshot(const Snapshot &snapshot);
    void apply_restrictions(const Snapshot &snapshot);
    void restore(Build &build, const std::vector<const Update *> &stages);
    Build *offer(const Update &update);
    bool evict_build();
    void set_dependencies(Build &build, std::vector<Dependency> dependencies);
    void clear_dependencies(Build &build);
    std::string find_refusal(const Build &build) const;
    void set_desk_stage(Build &build, const Update &update);
    void pull(Build &build);
    void update_cap(const Update &update, bool only_lower);
    Cap *find_cap(const std::string &zone, const std::string &customer);
    void apply_cap(Cap &cap);
    int cell_of(const Update &update); // -1, and a logged event, for an unknown zone or customer
    int max_supported_stage(const Build &build, int cell) const;
    void check_support(Build &build, int cell);
    void roll_back_cell(Build &build, int cell, const char *cause);
    void reconcile(Build &build, int cell, const char *cause);
    void set_stage(Build &build, int cell, int to, const char *cause);
    void reconcile_waiting();
    double share(const Build &build, int cell) const;
    void record_share_change(const Build &build, int cell);
    void log_event(std::string name, std::vector<Field> fields);
    void collect_opinions();
    void collect_build_opinions(Build &build);
    int last_open_wave(const Build &build) const;
    void add_opinion(Build &build, int cell, Verdict verdict);

    const ReleaseSettings scheme_;
    const int own_zone_;
    Ticks now_ = 0;
    std::int64_t rev_ = 0;
    bool synced_ = false; // a snapshot has been applied
    bool desk_connected_ = false;
    bool desk_behind_ = false; // the desk's revision is below the one of this plan
    bool update_missing_ = false;
    bool own_zone_events_only_ = false; // limits the log while many cells move at once
    Freezes freezes_;
    std::map<BuildName, Build> builds_;
    std::vector<CustomerTraffic> customer_traffic_; // by customer
    std::vector<Cap> caps_; // the cap of all cells, then one for each zone, then one for each customer
    std::vector<Ticks> last_rpc_at_; // by customer: the last RPC at this router
    Ticks next_check_at_ = 0;
    std::vector<ShareChange> share_changes_;
    std::vector<LogEvent> log_events_;
    std::vector<Opinion> opinions_;
    std::size_t next_opinion_ = 0;
};

} // namespace pineridge::release
