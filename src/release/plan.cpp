#include "release/plan.hpp"

#include <algorithm>
#include <cstdio>

namespace pineridge::release {

namespace {

constexpr Ticks kCheckInterval = 1000; // between checks of waiting cells and of opinions to give
constexpr std::size_t kMaxLogEvents = 512; // held until the caller takes them; further ones are dropped

std::string format_number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

} // namespace

Plan::Plan(ReleaseSettings scheme)
    : scheme_(std::move(scheme)), own_zone_(scheme_.zone_index(scheme_.zone)), freezes_(scheme_),
      customer_traffic_(scheme_.customers.size()), last_rpc_at_(scheme_.customers.size()) {
    caps_.push_back({scheme_.cap, scheme_.cap, -1, -1});
    for (int i = 0; i < static_cast<int>(scheme_.zones.size()); ++i)
        caps_.push_back({scheme_.zones[i].cap, scheme_.zones[i].cap, i, -1});
    for (int i = 0; i < static_cast<int>(scheme_.customers.size()); ++i)
        caps_.push_back({scheme_.customers[i].cap, scheme_.customers[i].cap, -1, i});
}

// --- state ---

Plan::Build *Plan::find(const BuildName &name) {
    const auto at = builds_.find(name);
    return at == builds_.end() ? nullptr : &at->second;
}

const Plan::Build *Plan::find(const BuildName &name) const {
    const auto at = builds_.find(name);
    return at == builds_.end() ? nullptr : &at->second;
}

std::vector<BuildName> Plan::builds() const {
    std::vector<BuildName> names;
    for (const auto &[name, build] : builds_) names.push_back(name);
    return names;
}

int Plan::stage(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? build->cells.at(cell).stage : 0;
}

int Plan::desk_stage(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? build->cells.at(cell).desk_stage : 0;
}

bool Plan::pulled(const BuildName &name) const {
    const Build *build = find(name);
    return build && build->pulled;
}

std::string Plan::refusal(const BuildName &name) const {
    const Build *build = find(name);
    return build ? build->refusal : name.text() + ": not offered";
}

int Plan::wave(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? build->waves.by_cell.at(cell) : -1;
}

bool Plan::frozen(const std::string &service, int cell) const {
    return freezes_.covers(service, scheme_.zone_of(cell), scheme_.customer_of(cell), now_);
}

double Plan::share(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? share(*build, cell) : 0;
}

// The minimum of the stage's share and the caps that cover the cell. Caps do not apply to a build that is
// released in all cells, since no other build could serve the remaining RPCs.
double Plan::share(const Build &build, int cell) const {
    const int stage = build.cells[cell].stage;
    if (stage == 0 || build.released_cells == scheme_.cell_count()) return scheme_.stages[stage];
    const Cap &zone = caps_[1 + scheme_.zone_of(cell)];
    const Cap &customer = caps_[1 + scheme_.zones.size() + scheme_.customer_of(cell)];
    return std::min({scheme_.stages[stage], caps_[0].effective, zone.effective, customer.effective});
}

// --- inputs ---

void Plan::set_time(Ticks now) {
    // A customer's silence is measured from the start of this router at the earliest.
    if (now_ == 0) last_rpc_at_.assign(last_rpc_at_.size(), now);
    now_ = std::max(now_, now);
    for (auto &[name, build] : builds_)
        while (build.next_rollback_at >= 0 && build.next_rollback_at <= now_ &&
               !build.unsupported_cells.empty()) {
            build.next_rollback_at += std::max<Ticks>(1, scheme_.rollback_step);
            roll_back_cell(build, build.unsupported_cells.rbegin()->second, "dependency");
        }
    if (now_ < next_check_at_) return;
    next_check_at_ = now_ + kCheckInterval;
    freezes_.prune(now_);
    reconcile_waiting();
    collect_opinions();
}

void Plan::reconcile_waiting() {
    for (Cap &cap : caps_) apply_cap(cap);
    for (auto &[name, build] : builds_)
        for (auto at = build.waiting_cells.begin(); at != build.waiting_cells.end();)
            reconcile(build, *at++, "thaw");
}

void Plan::set_desk_connected(bool connected) {
    if (connected == desk_connected_) return;
    desk_connected_ = connected;
    log_event(connected ? "desk.up" : "desk.down", {{"rev", std::to_string(rev_)}});
    if (connected) reconcile_waiting();
}

void Plan::set_verdict(int number, Verdict verdict) {
    Build *build = find({scheme_.service, number});
    if (!build) return;
    build->verdict = verdict;
    if (verdict == Verdict::roll_back) next_check_at_ = now_; // a rollback does not wait for the next check
}

void Plan::record_arrival(int cell) { last_rpc_at_[scheme_.customer_of(cell)] = now_; }

void Plan::record_pick(int number, int cell) {
    Build *build = find({scheme_.service, number});
    if (build) ++build->evidence[cell];
}

void Plan::apply_update(const Update &update) {
    if (!synced_ || desk_behind_ || update.rev <= rev_)
        return; // the update is late or repeated, or the desk has lost updates that this router has
    if (update.prev != rev_) {
        // An update is missing. Restrictions apply at once; everything else waits for the next snapshot.
        if (!std::exchange(update_missing_, true))
            log_event("desk.gap", {{"rev", std::to_string(rev_)}, {"prev", std::to_string(update.prev)}});
        if (update.kind == Update::Kind::pull || update.kind == Update::Kind::freeze) dispatch(update);
        if (update.kind == Update::Kind::cap) update_cap(update, true);
        return;
    }
    rev_ = update.rev;
    dispatch(update);
}

void Plan::dispatch(const Update &update) {
    Build *build = find(update.build);
    switch (update.kind) {
    case Update::Kind::offer:
        build = offer(update);
        if (!build) return;
        if (!build->refusal.empty())
            log_event("release.refused", {{"build", update.build.text()}, {"why", build->refusal}});
        return;
    case Update::Kind::stage:
        if (build && !build->pulled) set_desk_stage(*build, update);
        return;
    case Update::Kind::pull:
        if (build && !build->pulled) pull(*build);
        return;
    case Update::Kind::freeze:
        freezes_.add(update.freeze);
        return log_event("release.freeze", {{"id", update.freeze.id},
                                            {"zone", update.freeze.zone},
                                            {"customer", update.freeze.customer},
                                            {"service", update.freeze.service}});
    case Update::Kind::lift:
        freezes_.lift(update.freeze.id, now_);
        return log_event("release.lift", {{"id", update.freeze.id}});
    case Update::Kind::cap: return update_cap(update, false);
    case Update::Kind::ledger:
        if (const int customer = scheme_.customer_index(update.customer); customer >= 0)
            customer_traffic_[customer] = {update.traffic, update.withdrawn};
        return;
    }
}

void Plan::apply_snapshot(const Snapshot &snapshot) {
    if (synced_ && (snapshot.rev < rev_ || (desk_behind_ && snapshot.rev == rev_))) {
        // The desk has lost updates, for instance in a restart. No build advances on its older state.
        if (!std::exchange(desk_behind_, true))
            log_event("desk.behind", {{"rev", std::to_string(rev_)}, {"told", std::to_string(snapshot.rev)}});
        return apply_restrictions(snapshot);
    }
    own_zone_events_only_ = true;
    apply_full_snapshot(snapshot);
    own_zone_events_only_ = false;
    log_event("desk.snapshot", {{"rev", std::to_string(snapshot.rev)},
                                {"builds", std::to_string(builds_.size())},
                                {"freezes", std::to_string(freezes_.size())}});
}

// Takes only what restricts builds further from the snapshot of a desk that has lost updates.
void Plan::apply_restrictions(const Snapshot &snapshot) {
    for (const Update &entry : snapshot.entries) {
        if (entry.kind == Update::Kind::freeze) freezes_.add(entry.freeze);
        if (entry.kind == Update::Kind::cap) update_cap(entry, true);
        Build *build = find(entry.build);
        if (!build || build->pulled) continue;
        if (entry.kind == Update::Kind::pull) pull(*build);
        const int cell = entry.kind == Update::Kind::stage ? cell_of(entry) : -1;
        if (cell < 0 || entry.stage < 0 || entry.stage >= build->cells[cell].desk_stage) continue;
        build->cells[cell].desk_stage = static_cast<std::uint8_t>(entry.stage);
        reconcile(*build, cell, "told");
    }
}

// Replaces the state by that of the snapshot. The first one after a start restores the cells (see restore());
// each later one reconciles them with the desk's stages.
void Plan::apply_full_snapshot(const Snapshot &snapshot) {
    const bool first = !synced_;
    std::vector<Freeze> freezes;
    std::vector<const Update *> offers;
    std::map<BuildName, std::vector<const Update *>> stages;
    std::set<BuildName> offered_builds;
    std::set<BuildName> pulled_builds;
    for (Cap &cap : caps_) // a cap that is absent from the snapshot has its value from the settings
        cap.target = cap.zone >= 0       ? scheme_.zones[cap.zone].cap
                     : cap.customer >= 0 ? scheme_.customers[cap.customer].cap
                                         : scheme_.cap;
    for (const Update &entry : snapshot.entries) {
        if (entry.kind == Update::Kind::offer) {
            offers.push_back(&entry);
            offered_builds.insert(entry.build);
        }
        if (entry.kind == Update::Kind::pull) pulled_builds.insert(entry.build);
        if (entry.kind == Update::Kind::freeze) freezes.push_back(entry.freeze);
        if (entry.kind == Update::Kind::stage) stages[entry.build].push_back(&entry);
        if (entry.kind == Update::Kind::cap)
            if (Cap *cap = find_cap(entry.zone, entry.customer))
                cap->target = std::clamp(entry.cap, 0.0, 1.0);
        if (entry.kind == Update::Kind::ledger) dispatch(entry);
    }
    freezes_.replace(freezes, now_);
    // A build that the desk no longer offers is pulled, unless it is released in all cells.
    for (auto &[name, build] : builds_)
        if (!build.pulled && build.released_cells < scheme_.cell_count() &&
            (!offered_builds.count(name) || pulled_builds.count(name)))
            pull(build);
    for (const Update *entry : offers)
        if (Build *build = offer(*entry); build && pulled_builds.count(entry->build) && !build->pulled)
            pull(*build);
    // Resolves the dependencies again after all offers, since a build may require one that the snapshot lists
    // later.
    for (const Update *entry : offers)
        if (Build *build = find(entry->build)) set_dependencies(*build, build->dependencies);
    for (Cap &cap : caps_) cap.effective = first ? std::min(cap.effective, cap.target) : cap.effective;
    rev_ = snapshot.rev;
    synced_ = true;
    desk_behind_ = update_missing_ = false;
    if (first) {
        // The snapshot itself comes from the desk, so it counts as connected while cells are restored.
        const bool was_connected = std::exchange(desk_connected_, true);
        for (const Update *entry : offers)
            if (Build *build = find(entry->build); build && !build->pulled)
                restore(*build, stages[entry->build]);
        desk_connected_ = was_connected;
    } else {
        for (const Update *entry : offers) {
            Build *build = find(entry->build);
            if (!build || build->pulled) continue;
            std::vector<std::uint8_t> cell_stages(scheme_.cell_count(), 0);
            for (const Update *stage : stages[entry->build])
                if (const int cell = cell_of(*stage); cell >= 0 && stage->stage >= 0)
                    cell_stages[cell] =
                        static_cast<std::uint8_t>(std::min(stage->stage, scheme_.released_stage()));
            for (std::size_t cell = 0; cell < cell_stages.size(); ++cell) {
                if (build->cells[cell].desk_stage == cell_stages[cell] &&
                    build->cells[cell].stage == cell_stages[cell])
                    continue;
                build->cells[cell].desk_stage = cell_stages[cell];
                reconcile(*build, static_cast<int>(cell), "snapshot");
            }
        }
    }
    for (Cap &cap : caps_) apply_cap(cap);
}

// Restores the cells of a build after the router has started. Each cell takes the stage that it had before,
// as far as its dependencies allow; a stage that the desk announced during a freeze that is still in force
// waits. Prevents a restart from advancing a build past a freeze.
void Plan::restore(Build &build, const std::vector<const Update *> &stages) {
    std::vector<std::pair<const Update *, int>> cells;
    for (const Update *entry : stages)
        if (const int cell = cell_of(*entry); cell >= 0) cells.emplace_back(entry, cell);
    std::stable_sort(cells.begin(), cells.end(), [](const auto &a, const auto &b) {
        return a.first->announced_at < b.first->announced_at;
    });
    for (const auto &[entry, cell] : cells) {
        const int zone = scheme_.zone_of(cell);
        const int customer = scheme_.customer_of(cell);
        const int stage = std::clamp(entry->stage, 0, scheme_.released_stage());
        const bool announced_in_window =
            freezes_.configured_covers(build.name.service, zone, customer, now_) &&
            freezes_.configured_covers(build.name.service, zone, customer, entry->announced_at);
        int restored = entry->held >= 0 ? std::min(entry->held, stage) : stage;
        if (announced_in_window) restored = 0;
        CellState &state = build.cells[cell];
        state.desk_stage = static_cast<std::uint8_t>(stage);
        const int to = build.refusal.empty() ? std::min(restored, max_supported_stage(build, cell)) : 0;
        if (to != state.stage) set_stage(build, cell, to, "snapshot");
        if (state.stage < state.desk_stage) build.waiting_cells.insert(cell);
    }
}

// --- builds ---

Plan::Build *Plan::offer(const Update &update) {
    Build *build = find(update.build);
    if (!build) {
        if (builds_.size() >= scheme_.max_builds && !evict_build()) {
            log_event("release.refused",
                      {{"build", update.build.text()}, {"why", "limit bounds.builds reached"}});
            return nullptr;
        }
        build = &builds_[update.build];
        build->name = update.build;
        build->cells.resize(scheme_.cell_count());
    }
    const bool is_new = build->waves.by_cell.empty() || build->pulled;
    if (is_new) {
        build->pulled = false;
        build->verdict = Verdict::none;
        build->waves = make_waves(scheme_, customer_traffic_, build->name);
        build->cells_behind.assign(build->waves.count, 0);
        for (const std::uint16_t wave : build->waves.by_cell) ++build->cells_behind[wave];
        if (is_own(*build)) share_changes_.push_back({build->name.number, -1, 0});
        log_event("release.offer",
                  {{"build", build->name.text()}, {"needs", std::to_string(update.dependencies.size())}});
    }
    std::vector<Dependency> dependencies = update.dependencies;
    for (const Dependency &dependency : scheme_.dependencies)
        if (dependency.dependent == build->name) dependencies.push_back(dependency);
    set_dependencies(*build, std::move(dependencies));
    return build;
}

// Evicts the first build, by name, that is pulled or released in all cells and that no other build requires.
// Returns false if there is none.
bool Plan::evict_build() {
    for (auto at = builds_.begin(); at != builds_.end(); ++at) {
        Build &build = at->second;
        const bool finished = build.pulled || build.released_cells == scheme_.cell_count();
        if (!finished || !build.dependents.empty()) continue;
        if (is_own(build) && !build.pulled) share_changes_.push_back({build.name.number, -1, 1});
        clear_dependencies(build);
        builds_.erase(at);
        return true;
    }
    return false;
}

void Plan::clear_dependencies(Build &build) {
    for (Build *required_build : build.required_builds)
        if (required_build) std::erase(required_build->dependents, &build);
    build.required_builds.clear();
}

void Plan::set_dependencies(Build &build, std::vector<Dependency> dependencies) {
    clear_dependencies(build);
    build.dependencies = std::move(dependencies);
    for (const Dependency &dependency : build.dependencies) {
        Build *required_build = find(dependency.required);
        build.required_builds.push_back(required_build);
        if (required_build && std::find(required_build->dependents.begin(), required_build->dependents.end(),
                                        &build) == required_build->dependents.end())
            required_build->dependents.push_back(&build);
    }
    build.refusal = find_refusal(build);
    for (std::size_t cell = 0; cell < build.cells.size(); ++cell)
        if (build.cells[cell].stage > 0) check_support(build, static_cast<int>(cell));
}

// Why the build may enter no cell; empty if it may.
std::string Plan::find_refusal(const Build &build) const {
    std::vector<Dependency> all;
    for (const auto &[name, other] : builds_)
        all.insert(all.end(), other.dependencies.begin(), other.dependencies.end());
    if (const std::string cycle = dependency_cycle(all, build.name); !cycle.empty())
        return "needs itself: " + cycle;
    for (const Dependency &dependency : build.dependencies) {
        if (!find(dependency.required))
            return "needs an unknown build: " + build.name.text() + " -> " + dependency.required.text();
        if (dependency.stage > scheme_.released_stage())
            return "needs an unknown stage of " + dependency.required.text();
    }
    return "";
}

int Plan::cell_of(const Update &update) {
    const int zone = scheme_.zone_index(update.zone);
    const int customer = scheme_.customer_index(update.customer);
    if (zone >= 0 && customer >= 0) return scheme_.cell(zone, customer);
    log_event("desk.unknown", {{"zone", update.zone}, {"customer", update.customer}});
    return -1;
}

void Plan::set_desk_stage(Build &build, const Update &update) {
    const int cell = cell_of(update);
    if (cell < 0) return;
    if (update.stage < 0 || update.stage > scheme_.released_stage())
        return log_event("desk.unknown",
                         {{"build", build.name.text()}, {"stage", std::to_string(update.stage)}});
    build.cells[cell].desk_stage = static_cast<std::uint8_t>(update.stage);
    reconcile(build, cell, "told");
}

void Plan::pull(Build &build) {
    build.pulled = true;
    log_event("release.pull", {{"build", build.name.text()}});
    const bool previous = std::exchange(own_zone_events_only_, true);
    for (std::size_t i = 0; i < build.cells.size(); ++i) {
        build.cells[i].desk_stage = 0;
        if (build.cells[i].stage > 0) set_stage(build, static_cast<int>(i), 0, "pull");
        build.cells[i].rolled_back = false;
    }
    own_zone_events_only_ = previous;
    build.waiting_cells.clear();
    build.rolled_back_cells.clear();
    build.evidence.clear();
    build.opinion_at.clear();
    build.rollback_opinion_at = -1;
    if (is_own(build)) share_changes_.push_back({build.name.number, -1, 0});
}

// --- caps ---

Plan::Cap *Plan::find_cap(const std::string &zone, const std::string &customer) {
    if (zone.empty() && customer.empty()) return &caps_[0];
    const int at = customer.empty() ? scheme_.zone_index(zone) : scheme_.customer_index(customer);
    if (at < 0 || (!zone.empty() && !customer.empty())) {
        log_event("desk.unknown", {{"zone", zone}, {"customer", customer}});
        return nullptr;
    }
    return &caps_[1 + at + (customer.empty() ? 0 : scheme_.zones.size())];
}

void Plan::update_cap(const Update &update, bool only_lower) {
    Cap *cap = find_cap(update.zone, update.customer);
    if (!cap || (only_lower && update.cap >= cap->target)) return;
    cap->target = std::clamp(update.cap, 0.0, 1.0);
    apply_cap(*cap);
}

// A lower cap applies at once. A higher one waits like an advance: until the desk's state is current and
// no freeze covers the cap.
void Plan::apply_cap(Cap &cap) {
    if (cap.effective == cap.target) return;
    const bool raised = cap.target > cap.effective;
    if (raised && (!desk_state_current() || freezes_.covers(scheme_.service, cap.zone, cap.customer, now_)))
        return;
    cap.effective = cap.target;
    log_event("release.cap", {{"zone", cap.zone < 0 ? "" : scheme_.zones[cap.zone].name},
                              {"customer", cap.customer < 0 ? "" : scheme_.customers[cap.customer].name},
                              {"cap", format_number(cap.effective)}});
    for (const auto &[name, build] : builds_)
        for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer)
            if (const int cell = scheme_.cell(own_zone_, customer); build.cells[cell].stage > 0)
                record_share_change(build, cell);
}

// --- cells ---

// The highest stage of the build that its dependencies allow in this cell.
int Plan::max_supported_stage(const Build &build, int cell) const {
    if (!build.refusal.empty()) return 0;
    int supported = scheme_.released_stage();
    for (std::size_t i = 0; i < build.dependencies.size(); ++i) {
        const int required_build_stage =
            build.required_builds[i] ? build.required_builds[i]->cells[cell].stage : 0;
        const int required_stage = build.dependencies[i].stage;
        supported = std::min(supported, required_stage == Dependency::kMatch     ? required_build_stage
                                        : required_build_stage >= required_stage ? scheme_.released_stage()
                                                                                 : 0);
    }
    return supported;
}

// Handles a cell where a required build is below the stage that the dependency asks for. The build holds in
// all cells, then rolls back cell by cell, starting with the cell that advanced last; where the dependency is
// strict it rolls back at once. Prevents a build from running beside an earlier one that it is incompatible
// with.
void Plan::check_support(Build &build, int cell) {
    const CellState &state = build.cells[cell];
    const std::pair<std::uint32_t, int> entry{state.advance, cell};
    const int supported = max_supported_stage(build, cell);
    if (state.stage <= supported) {
        build.unsupported_cells.erase(entry);
        if (build.unsupported_cells.empty()) build.next_rollback_at = -1;
        return;
    }
    for (std::size_t i = 0; i < build.dependencies.size(); ++i) {
        const Dependency &dependency = build.dependencies[i];
        const int required_build_stage =
            build.required_builds[i] ? build.required_builds[i]->cells[cell].stage : 0;
        const bool unmet = dependency.stage == Dependency::kMatch ? required_build_stage < state.stage
                                                                  : required_build_stage < dependency.stage;
        if (dependency.strict && unmet) return roll_back_cell(build, cell, "dependency");
    }
    build.unsupported_cells.insert(entry);
    if (build.next_rollback_at >= 0) return;
    build.next_rollback_at = now_ + scheme_.rollback_delay;
    log_event("release.hold",
              {{"build", build.name.text()}, {"why", "a required build has been rolled back"}});
}

// Rolls a cell back to its supported stage without an update from the desk.
void Plan::roll_back_cell(Build &build, int cell, const char *cause) {
    CellState &state = build.cells[cell];
    state.rolled_back = true;
    build.rolled_back_cells.insert(cell);
    set_stage(build, cell, std::min<int>(state.stage, max_supported_stage(build, cell)), cause);
    reconcile(build, cell, cause);
}

// Moves a cell to the desk's stage if it may go there now; otherwise adds it to the waiting cells. A rollback
// always applies.
void Plan::reconcile(Build &build, int cell, const char *cause) {
    CellState &state = build.cells[cell];
    if (state.rolled_back && state.desk_stage <= state.stage) {
        state.rolled_back = false;
        build.rolled_back_cells.erase(cell);
    }
    const int target = build.pulled ? 0 : state.desk_stage;
    if (target < state.stage) set_stage(build, cell, target, cause);
    if (target <= state.stage || state.rolled_back) {
        build.waiting_cells.erase(cell);
        return;
    }
    const bool allowed = desk_state_current() && build.unsupported_cells.empty() &&
                         max_supported_stage(build, cell) >= target && !frozen(build.name.service, cell);
    if (!allowed) {
        build.waiting_cells.insert(cell);
        return;
    }
    build.waiting_cells.erase(cell);
    set_stage(build, cell, target, cause);
}

void Plan::set_stage(Build &build, int cell, int to, const char *cause) {
    CellState &state = build.cells[cell];
    const int from = state.stage;
    if (from == to) return;
    if (to > from) {
        build.unsupported_cells.erase({state.advance, cell});
        state.advance = ++build.advances;
    }
    state.stage = static_cast<std::uint8_t>(to);
    int &behind = build.cells_behind[build.waves.by_cell[cell]];
    behind += (to < scheme_.wave_gate_stage) - (from < scheme_.wave_gate_stage);
    const bool was_released_everywhere = build.released_cells == scheme_.cell_count();
    build.released_cells += (to == scheme_.released_stage()) - (from == scheme_.released_stage());
    build.evidence.erase(cell);
    build.opinion_at.erase(cell);
    check_support(build, cell);
    if (is_own(build) && was_released_everywhere != (build.released_cells == scheme_.cell_count())) {
        share_changes_.push_back(
            {build.name.number, -1, was_released_everywhere ? 0.0 : scheme_.stages.back()});
        if (was_released_everywhere)
            for (int i = 0; i < static_cast<int>(scheme_.customers.size()); ++i)
                record_share_change(build, scheme_.cell(own_zone_, i));
        log_event("release.whole",
                  {{"build", build.name.text()},
                   {"released", was_released_everywhere ? "no longer in all cells" : "in all cells"}});
    } else {
        record_share_change(build, cell);
    }
    if (!own_zone_events_only_ || in_own_zone(cell))
        log_event("release.stage", {{"build", build.name.text()},
                                    {"zone", scheme_.zones[scheme_.zone_of(cell)].name},
                                    {"customer", scheme_.customers[scheme_.customer_of(cell)].name},
                                    {"from", std::to_string(from)},
                                    {"to", std::to_string(to)},
                                    {"why", cause}});
    for (Build *dependent : build.dependents) {
        check_support(*dependent, cell);
        if (to > from && dependent->waiting_cells.count(cell)) reconcile(*dependent, cell, "dependency");
    }
}

void Plan::record_share_change(const Build &build, int cell) {
    if (is_own(build) && in_own_zone(cell))
        share_changes_.push_back({build.name.number, cell, share(build, cell)});
}

void Plan::log_event(std::string name, std::vector<Field> fields) {
    if (log_events_.size() < kMaxLogEvents) log_events_.push_back({std::move(name), std::move(fields)});
}

// --- opinions ---

std::optional<Opinion> Plan::next_opinion() {
    if (next_opinion_ >= opinions_.size()) return std::nullopt;
    return opinions_[next_opinion_++];
}

void Plan::collect_opinions() {
    opinions_.clear();
    next_opinion_ = 0;
    if (!desk_state_current()) return;
    for (auto &[name, build] : builds_)
        if (is_own(build) && !build.pulled && build.refusal.empty()) collect_build_opinions(build);
}

void Plan::collect_build_opinions(Build &build) {
    if (build.verdict == Verdict::roll_back) {
        if (build.rollback_opinion_at >= 0 && now_ < build.rollback_opinion_at + scheme_.opinion_interval)
            return;
        build.rollback_opinion_at = now_;
        opinions_.push_back({build.name, -1, 0, Verdict::roll_back, rev_});
        return;
    }
    build.rollback_opinion_at = -1;
    for (const int cell : build.rolled_back_cells)
        if (in_own_zone(cell)) add_opinion(build, cell, Verdict::roll_back);
    if (build.verdict != Verdict::advance || !build.unsupported_cells.empty()) return;
    const int last_wave = last_open_wave(build);
    for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer) {
        const int cell = scheme_.cell(own_zone_, customer);
        const CellState &state = build.cells[cell];
        if (state.stage != state.desk_stage || state.stage >= scheme_.released_stage() ||
            build.waves.by_cell[cell] > last_wave)
            continue;
        if (max_supported_stage(build, cell) <= state.stage || frozen(build.name.service, cell)) continue;
        // Stage 0 needs no evidence: the build receives no picks there.
        const auto picks = build.evidence.find(cell);
        if (state.stage > 0 && (picks == build.evidence.end() ? 0 : picks->second) < scheme_.min_picks)
            continue;
        add_opinion(build, cell, Verdict::advance);
    }
}

void Plan::add_opinion(Build &build, int cell, Verdict verdict) {
    const auto [given_at, is_first] = build.opinion_at.try_emplace(cell, now_);
    if (!is_first && now_ < given_at->second + scheme_.opinion_interval) return;
    given_at->second = now_;
    opinions_.push_back({build.name, cell, build.cells[cell].stage, verdict, rev_});
}

// The last wave whose cells may advance: in all waves before it every cell has reached the stage
// `ReleaseSettings::wave_gate_stage`, except for cells of this zone whose customers are silent.
int Plan::last_open_wave(const Build &build) const {
    std::vector<int> silent(build.waves.count, 0);
    if (scheme_.silent_after > 0)
        for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer) {
            const int cell = scheme_.cell(own_zone_, customer);
            const bool is_silent = now_ - last_rpc_at_[customer] >= scheme_.silent_after;
            silent[build.waves.by_cell[cell]] +=
                is_silent && build.cells[cell].stage < scheme_.wave_gate_stage;
        }
    int wave = 0;
    while (wave + 1 < build.waves.count && build.cells_behind[wave] <= silent[wave]) ++wave;
    return wave;
}

} // namespace pineridge::release
