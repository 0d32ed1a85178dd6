#include "release/plan.hpp"

#include <algorithm>
#include <cstdio>

namespace pineridge::release {

namespace {

constexpr Ticks kBeat = 1000; // between looks at what waits and at what may be asked for
constexpr std::size_t kMostLines = 512; // kept until they are taken

std::string figure(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

} // namespace

Plan::Plan(Scheme scheme)
    : scheme_(std::move(scheme)), zone_(scheme_.zone_at(scheme_.zone)), freezes_(scheme_),
      burdens_(scheme_.customers.size()), heard_(scheme_.customers.size()) {
    caps_.push_back({scheme_.cap, scheme_.cap, -1, -1});
    for (int i = 0; i < static_cast<int>(scheme_.zones.size()); ++i)
        caps_.push_back({scheme_.zones[i].cap, scheme_.zones[i].cap, i, -1});
    for (int i = 0; i < static_cast<int>(scheme_.customers.size()); ++i)
        caps_.push_back({scheme_.customers[i].cap, scheme_.customers[i].cap, -1, i});
}

// --- what stands ---

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
    return build ? build->cells.at(cell).at : 0;
}

int Plan::told(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? build->cells.at(cell).told : 0;
}

bool Plan::pulled(const BuildName &name) const {
    const Build *build = find(name);
    return build && build->pulled;
}

std::string Plan::refusal(const BuildName &name) const {
    const Build *build = find(name);
    return build ? build->refused : name.text() + ": not offered";
}

int Plan::wave(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? build->waves.of.at(cell) : -1;
}

bool Plan::frozen(const std::string &service, int cell) const {
    return freezes_.covers(service, scheme_.zone_of(cell), scheme_.customer_of(cell), now_);
}

double Plan::share(const BuildName &name, int cell) const {
    const Build *build = find(name);
    return build ? share(*build, cell) : 0;
}

// The least of the stage's share and the caps that cover the cell. Caps are for builds on their way: one that
// is released in all cells has no other to leave the rest to.
double Plan::share(const Build &build, int cell) const {
    const int at = build.cells[cell].at;
    if (at == 0 || build.released == scheme_.cells()) return scheme_.stages[at];
    const Cap &zone = caps_[1 + scheme_.zone_of(cell)];
    const Cap &customer = caps_[1 + scheme_.zones.size() + scheme_.customer_of(cell)];
    return std::min({scheme_.stages[at], caps_[0].at, zone.at, customer.at});
}

// --- inputs ---

void Plan::clock(Ticks now) {
    if (now_ == 0)
        heard_.assign(heard_.size(), now); // a customer is silent by what was heard since the start
    now_ = std::max(now_, now);
    for (auto &[name, build] : builds_)
        while (build.back_at >= 0 && build.back_at <= now_ && !build.unsupported.empty()) {
            build.back_at += std::max<Ticks>(1, scheme_.step);
            go_back(build, build.unsupported.rbegin()->second, "dependency");
        }
    if (now_ < beat_at_) return;
    beat_at_ = now_ + kBeat;
    freezes_.prune(now_);
    settle_waiting();
    find_opinions();
}

void Plan::settle_waiting() {
    for (Cap &cap : caps_) bend(cap);
    for (auto &[name, build] : builds_)
        for (auto at = build.waiting.begin(); at != build.waiting.end();) settle(build, *at++, "thaw");
}

void Plan::linked(bool up) {
    if (up == linked_) return;
    linked_ = up;
    line(up ? "desk.up" : "desk.down", {{"rev", std::to_string(rev_)}});
    if (up) settle_waiting();
}

void Plan::verdict(int number, Verdict judged) {
    Build *build = find({scheme_.service, number});
    if (!build) return;
    build->verdict = judged;
    if (judged == Verdict::roll_back) beat_at_ = now_; // what is to go back does not wait
}

void Plan::arrived(int cell) { heard_[scheme_.customer_of(cell)] = now_; }

void Plan::seen(int number, int cell) {
    Build *build = find({scheme_.service, number});
    if (build) ++build->evidence[cell];
}

void Plan::notice(const Notice &told) {
    if (!synced_ || behind_ || told.rev <= rev_)
        return; // late, repeated, or of a desk that has lost its place
    if (told.prev != rev_) {
        // A word is missing: what narrows is taken at once, the rest with the next snapshot.
        if (!std::exchange(gap_, true))
            line("desk.gap", {{"rev", std::to_string(rev_)}, {"prev", std::to_string(told.prev)}});
        if (told.kind == Notice::Kind::pull || told.kind == Notice::Kind::freeze) apply(told);
        if (told.kind == Notice::Kind::cap) cap(told, true);
        return;
    }
    rev_ = told.rev;
    apply(told);
}

void Plan::apply(const Notice &told) {
    Build *build = find(told.build);
    switch (told.kind) {
    case Notice::Kind::offer:
        build = offer(told);
        if (!build) return;
        if (!build->refused.empty())
            line("release.refused", {{"build", told.build.text()}, {"why", build->refused}});
        return;
    case Notice::Kind::stage:
        if (build && !build->pulled) tell_stage(*build, told);
        return;
    case Notice::Kind::pull:
        if (build && !build->pulled) pull(*build);
        return;
    case Notice::Kind::freeze:
        freezes_.add(told.freeze);
        return line("release.freeze", {{"id", told.freeze.id},
                                       {"zone", told.freeze.zone},
                                       {"customer", told.freeze.customer},
                                       {"service", told.freeze.service}});
    case Notice::Kind::lift:
        freezes_.lift(told.freeze.id, now_);
        return line("release.lift", {{"id", told.freeze.id}});
    case Notice::Kind::cap: return cap(told, false);
    case Notice::Kind::ledger:
        if (const int customer = scheme_.customer_at(told.customer); customer >= 0)
            burdens_[customer] = {told.traffic, told.withdrawn};
        return;
    }
}

void Plan::snapshot(const Snapshot &told) {
    if (synced_ && (told.rev < rev_ || (behind_ && told.rev == rev_))) {
        // A desk that has forgotten words: stops steps forward that a restart of the desk would undo unseen.
        if (!std::exchange(behind_, true))
            line("desk.behind", {{"rev", std::to_string(rev_)}, {"told", std::to_string(told.rev)}});
        return take_narrower(told);
    }
    quiet_ = true;
    take_whole(told);
    quiet_ = false;
    line("desk.snapshot", {{"rev", std::to_string(told.rev)},
                           {"builds", std::to_string(builds_.size())},
                           {"freezes", std::to_string(freezes_.size())}});
}

void Plan::take_narrower(const Snapshot &told) {
    for (const Notice &entry : told.entries) {
        if (entry.kind == Notice::Kind::freeze) freezes_.add(entry.freeze);
        if (entry.kind == Notice::Kind::cap) cap(entry, true);
        Build *build = find(entry.build);
        if (!build || build->pulled) continue;
        if (entry.kind == Notice::Kind::pull) pull(*build);
        const int cell = entry.kind == Notice::Kind::stage ? place(entry) : -1;
        if (cell < 0 || entry.stage < 0 || entry.stage >= build->cells[cell].told) continue;
        build->cells[cell].told = static_cast<std::uint8_t>(entry.stage);
        settle(*build, cell, "told");
    }
}

void Plan::take_whole(const Snapshot &told) {
    const bool first = !synced_;
    std::vector<Freeze> freezes;
    std::vector<const Notice *> offers;
    std::map<BuildName, std::vector<const Notice *>> stages;
    std::set<BuildName> named, pulled_now;
    for (Cap &cap : caps_) // a cap that the snapshot leaves out is that of the settings
        cap.told = cap.zone >= 0       ? scheme_.zones[cap.zone].cap
                   : cap.customer >= 0 ? scheme_.customers[cap.customer].cap
                                       : scheme_.cap;
    for (const Notice &entry : told.entries) {
        if (entry.kind == Notice::Kind::offer) offers.push_back(&entry), named.insert(entry.build);
        if (entry.kind == Notice::Kind::pull) pulled_now.insert(entry.build);
        if (entry.kind == Notice::Kind::freeze) freezes.push_back(entry.freeze);
        if (entry.kind == Notice::Kind::stage) stages[entry.build].push_back(&entry);
        if (entry.kind == Notice::Kind::cap)
            if (Cap *cap = cap_of(entry.zone, entry.customer)) cap->told = std::clamp(entry.cap, 0.0, 1.0);
        if (entry.kind == Notice::Kind::ledger) apply(entry);
    }
    freezes_.replace(freezes, now_);
    // What the desk no longer names is gone, unless it is in service everywhere.
    for (auto &[name, build] : builds_)
        if (!build.pulled && build.released < scheme_.cells() &&
            (!named.count(name) || pulled_now.count(name)))
            pull(build);
    // A build may need one that is told of later.
    for (const Notice *entry : offers)
        if (Build *build = offer(*entry); build && pulled_now.count(entry->build) && !build->pulled)
            pull(*build);
    for (const Notice *entry : offers)
        if (Build *build = find(entry->build)) tie(*build, build->needs);
    for (Cap &cap : caps_) cap.at = first ? std::min(cap.at, cap.told) : cap.at;
    rev_ = told.rev;
    synced_ = true;
    behind_ = gap_ = false;
    if (first) {
        const bool linked = std::exchange(linked_, true); // the snapshot itself is the desk's word
        for (const Notice *entry : offers)
            if (Build *build = find(entry->build); build && !build->pulled)
                restore(*build, stages[entry->build]);
        linked_ = linked;
    } else {
        for (const Notice *entry : offers) {
            Build *build = find(entry->build);
            if (!build || build->pulled) continue;
            std::vector<std::uint8_t> stands(scheme_.cells(), 0);
            for (const Notice *stage : stages[entry->build])
                if (const int cell = place(*stage); cell >= 0 && stage->stage >= 0)
                    stands[cell] = static_cast<std::uint8_t>(std::min(stage->stage, scheme_.released()));
            for (std::size_t cell = 0; cell < stands.size(); ++cell) {
                if (build->cells[cell].told == stands[cell] && build->cells[cell].at == stands[cell])
                    continue;
                build->cells[cell].told = stands[cell];
                settle(*build, static_cast<int>(cell), "snapshot");
            }
        }
    }
    for (Cap &cap : caps_) bend(cap);
}

// After a start: each cell is where it stood, as far as its needs support that; what was told within a freeze
// that still stands waits. Stops a restart from carrying a build past a freeze.
void Plan::restore(Build &build, const std::vector<const Notice *> &stages) {
    std::vector<std::pair<const Notice *, int>> cells;
    for (const Notice *entry : stages)
        if (const int cell = place(*entry); cell >= 0) cells.emplace_back(entry, cell);
    std::stable_sort(cells.begin(), cells.end(),
                     [](const auto &a, const auto &b) { return a.first->told < b.first->told; });
    for (const auto &[entry, cell] : cells) {
        const int zone = scheme_.zone_of(cell), customer = scheme_.customer_of(cell);
        const int stage = std::clamp(entry->stage, 0, scheme_.released());
        const bool since = freezes_.own_covers(build.name.service, zone, customer, now_) &&
                           freezes_.own_covers(build.name.service, zone, customer, entry->told);
        int stood = entry->held >= 0 ? std::min(entry->held, stage) : stage;
        if (since) stood = 0;
        Place &place = build.cells[cell];
        place.told = static_cast<std::uint8_t>(stage);
        const int to = build.refused.empty() ? std::min(stood, support(build, cell)) : 0;
        if (to != place.at) move(build, cell, to, "snapshot");
        if (place.at < place.told) build.waiting.insert(cell);
    }
}

// --- builds ---

Plan::Build *Plan::offer(const Notice &told) {
    Build *build = find(told.build);
    if (!build) {
        if (builds_.size() >= scheme_.most_builds && !make_room()) {
            line("release.refused",
                 {{"build", told.build.text()}, {"why", "as many builds as bounds.builds"}});
            return nullptr;
        }
        build = &builds_[told.build];
        build->name = told.build;
        build->cells.resize(scheme_.cells());
    }
    const bool anew = build->waves.of.empty() || build->pulled;
    if (anew) {
        build->pulled = false;
        build->verdict = Verdict::none;
        build->waves = make_waves(scheme_, burdens_, build->name);
        build->lagging.assign(build->waves.count, 0);
        for (const std::uint16_t wave : build->waves.of) ++build->lagging[wave];
        if (own(*build)) changes_.push_back({build->name.number, -1, 0});
        line("release.offer", {{"build", build->name.text()}, {"needs", std::to_string(told.needs.size())}});
    }
    std::vector<Need> needs = told.needs;
    for (const Need &need : scheme_.needs)
        if (need.of == build->name) needs.push_back(need);
    tie(*build, std::move(needs));
    return build;
}

// Makes room by forgetting the lowest build that is out of all cells or released in all, and that none needs.
bool Plan::make_room() {
    for (auto at = builds_.begin(); at != builds_.end(); ++at) {
        Build &build = at->second;
        const bool out = build.pulled || build.released == scheme_.cells();
        if (!out || !build.dependents.empty()) continue;
        if (own(build) && !build.pulled) changes_.push_back({build.name.number, -1, 1});
        untie(build);
        builds_.erase(at);
        return true;
    }
    return false;
}

void Plan::untie(Build &build) {
    for (Build *on : build.on)
        if (on) std::erase(on->dependents, &build);
    build.on.clear();
}

void Plan::tie(Build &build, std::vector<Need> needs) {
    untie(build);
    build.needs = std::move(needs);
    for (const Need &need : build.needs) {
        Build *on = find(need.on);
        build.on.push_back(on);
        if (on && std::find(on->dependents.begin(), on->dependents.end(), &build) == on->dependents.end())
            on->dependents.push_back(&build);
    }
    build.refused = flaw(build);
    for (std::size_t cell = 0; cell < build.cells.size(); ++cell)
        if (build.cells[cell].at > 0) check_support(build, static_cast<int>(cell));
}

std::string Plan::flaw(const Build &build) const {
    std::vector<Need> all;
    for (const auto &[name, other] : builds_) all.insert(all.end(), other.needs.begin(), other.needs.end());
    if (const std::string way = way_back(all, build.name); !way.empty()) return "needs itself: " + way;
    for (const Need &need : build.needs) {
        if (!find(need.on)) return "needs an unknown build: " + build.name.text() + " -> " + need.on.text();
        if (need.stage > scheme_.released()) return "needs an unknown stage of " + need.on.text();
    }
    return "";
}

int Plan::place(const Notice &told) {
    const int zone = scheme_.zone_at(told.zone), customer = scheme_.customer_at(told.customer);
    if (zone >= 0 && customer >= 0) return scheme_.cell(zone, customer);
    line("desk.unknown", {{"zone", told.zone}, {"customer", told.customer}});
    return -1;
}

void Plan::tell_stage(Build &build, const Notice &told) {
    const int cell = place(told);
    if (cell < 0) return;
    if (told.stage < 0 || told.stage > scheme_.released())
        return line("desk.unknown", {{"build", build.name.text()}, {"stage", std::to_string(told.stage)}});
    build.cells[cell].told = static_cast<std::uint8_t>(told.stage);
    settle(build, cell, "told");
}

void Plan::pull(Build &build) {
    build.pulled = true;
    line("release.pull", {{"build", build.name.text()}});
    const bool quiet = std::exchange(quiet_, true);
    for (std::size_t i = 0; i < build.cells.size(); ++i) {
        build.cells[i].told = 0;
        if (build.cells[i].at > 0) move(build, static_cast<int>(i), 0, "pull");
        build.cells[i].limited = false;
    }
    quiet_ = quiet;
    build.waiting.clear();
    build.limited.clear();
    build.evidence.clear();
    build.asked.clear();
    build.asked_back = -1;
    if (own(build)) changes_.push_back({build.name.number, -1, 0});
}

// --- caps ---

Plan::Cap *Plan::cap_of(const std::string &zone, const std::string &customer) {
    if (zone.empty() && customer.empty()) return &caps_[0];
    const int at = customer.empty() ? scheme_.zone_at(zone) : scheme_.customer_at(customer);
    if (at < 0 || (!zone.empty() && !customer.empty())) {
        line("desk.unknown", {{"zone", zone}, {"customer", customer}});
        return nullptr;
    }
    return &caps_[1 + at + (customer.empty() ? 0 : scheme_.zones.size())];
}

void Plan::cap(const Notice &told, bool only_narrower) {
    Cap *cap = cap_of(told.zone, told.customer);
    if (!cap || (only_narrower && told.cap >= cap->told)) return;
    cap->told = std::clamp(told.cap, 0.0, 1.0);
    bend(*cap);
}

// A lower cap binds at once, a higher one is a step forward.
void Plan::bend(Cap &cap) {
    if (cap.at == cap.told) return;
    const bool up = cap.told > cap.at;
    if (up && (!certain() || freezes_.covers(scheme_.service, cap.zone, cap.customer, now_))) return;
    cap.at = cap.told;
    line("release.cap", {{"zone", cap.zone < 0 ? "" : scheme_.zones[cap.zone].name},
                         {"customer", cap.customer < 0 ? "" : scheme_.customers[cap.customer].name},
                         {"cap", figure(cap.at)}});
    for (const auto &[name, build] : builds_)
        for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer)
            if (const int cell = scheme_.cell(zone_, customer); build.cells[cell].at > 0)
                changed(build, cell);
}

// --- cells ---

int Plan::support(const Build &build, int cell) const {
    if (!build.refused.empty()) return 0;
    int most = scheme_.released();
    for (std::size_t i = 0; i < build.needs.size(); ++i) {
        const int there = build.on[i] ? build.on[i]->cells[cell].at : 0;
        const int wanted = build.needs[i].stage;
        most = std::min(most, wanted == Need::kMatch ? there : there >= wanted ? scheme_.released() : 0);
    }
    return most;
}

// Where what is needed has gone back: the build holds everywhere, then leaves cell by cell, the last to come
// first; at once where that need is strict. Stops a build from running beside an earlier one that it cannot
// work with.
void Plan::check_support(Build &build, int cell) {
    const Place &place = build.cells[cell];
    const std::pair<std::uint32_t, int> entry{place.came, cell};
    const int supported = support(build, cell);
    if (place.at <= supported) {
        build.unsupported.erase(entry);
        if (build.unsupported.empty()) build.back_at = -1;
        return;
    }
    for (std::size_t i = 0; i < build.needs.size(); ++i) {
        const Need &need = build.needs[i];
        const int there = build.on[i] ? build.on[i]->cells[cell].at : 0;
        const bool lost = need.stage == Need::kMatch ? there < place.at : there < need.stage;
        if (need.strict && lost) return go_back(build, cell, "dependency");
    }
    build.unsupported.insert(entry);
    if (build.back_at >= 0) return;
    build.back_at = now_ + scheme_.hold;
    line("release.hold", {{"build", build.name.text()}, {"why", "what it needs has gone back"}});
}

void Plan::go_back(Build &build, int cell, const char *cause) {
    Place &place = build.cells[cell];
    place.limited = true;
    build.limited.insert(cell);
    move(build, cell, std::min<int>(place.at, support(build, cell)), cause);
    settle(build, cell, cause);
}

// Brings a cell as far towards what the desk told as it may go now.
void Plan::settle(Build &build, int cell, const char *cause) {
    Place &place = build.cells[cell];
    if (place.limited && place.told <= place.at) place.limited = false, build.limited.erase(cell);
    const int target = build.pulled ? 0 : place.told;
    if (target < place.at) move(build, cell, target, cause);
    if (target <= place.at || place.limited) {
        build.waiting.erase(cell);
        return;
    }
    const bool may = certain() && build.unsupported.empty() && support(build, cell) >= target &&
                     !frozen(build.name.service, cell);
    if (!may) {
        build.waiting.insert(cell);
        return;
    }
    build.waiting.erase(cell);
    move(build, cell, target, cause);
}

void Plan::move(Build &build, int cell, int to, const char *cause) {
    Place &place = build.cells[cell];
    const int from = place.at;
    if (from == to) return;
    if (to > from) {
        build.unsupported.erase({place.came, cell});
        place.came = ++build.steps;
    }
    place.at = static_cast<std::uint8_t>(to);
    int &lagging = build.lagging[build.waves.of[cell]];
    lagging += (to < scheme_.follow) - (from < scheme_.follow);
    const bool whole = build.released == scheme_.cells();
    build.released += (to == scheme_.released()) - (from == scheme_.released());
    build.evidence.erase(cell);
    build.asked.erase(cell);
    check_support(build, cell);
    if (own(build) && whole != (build.released == scheme_.cells())) {
        changes_.push_back({build.name.number, -1, whole ? 0.0 : scheme_.stages.back()});
        if (whole)
            for (int i = 0; i < static_cast<int>(scheme_.customers.size()); ++i)
                changed(build, scheme_.cell(zone_, i));
        line("release.whole",
             {{"build", build.name.text()}, {"released", whole ? "no longer in all cells" : "in all cells"}});
    } else {
        changed(build, cell);
    }
    if (!quiet_ || in_own_zone(cell))
        line("release.stage", {{"build", build.name.text()},
                               {"zone", scheme_.zones[scheme_.zone_of(cell)].name},
                               {"customer", scheme_.customers[scheme_.customer_of(cell)].name},
                               {"from", std::to_string(from)},
                               {"to", std::to_string(to)},
                               {"why", cause}});
    for (Build *dependent : build.dependents) {
        check_support(*dependent, cell);
        if (to > from && dependent->waiting.count(cell)) settle(*dependent, cell, "dependency");
    }
}

void Plan::changed(const Build &build, int cell) {
    if (own(build) && in_own_zone(cell)) changes_.push_back({build.name.number, cell, share(build, cell)});
}

void Plan::line(std::string name, std::vector<Field> fields) {
    if (lines_.size() < kMostLines) lines_.push_back({std::move(name), std::move(fields)});
}

// --- opinions ---

std::optional<Opinion> Plan::next_opinion() {
    if (next_opinion_ >= opinions_.size()) return std::nullopt;
    return opinions_[next_opinion_++];
}

void Plan::find_opinions() {
    opinions_.clear();
    next_opinion_ = 0;
    if (!certain()) return;
    for (auto &[name, build] : builds_)
        if (own(build) && !build.pulled && build.refused.empty()) opinions_of(build);
}

void Plan::opinions_of(Build &build) {
    if (build.verdict == Verdict::roll_back) {
        if (build.asked_back >= 0 && now_ < build.asked_back + scheme_.renew) return;
        build.asked_back = now_;
        opinions_.push_back({build.name, -1, 0, Verdict::roll_back, rev_});
        return;
    }
    build.asked_back = -1;
    for (const int cell : build.limited)
        if (in_own_zone(cell)) give(build, cell, Verdict::roll_back);
    if (build.verdict != Verdict::advance || !build.unsupported.empty()) return;
    const int open = open_wave(build);
    for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer) {
        const int cell = scheme_.cell(zone_, customer);
        const Place &place = build.cells[cell];
        if (place.at != place.told || place.at >= scheme_.released() || build.waves.of[cell] > open) continue;
        if (support(build, cell) <= place.at || frozen(build.name.service, cell)) continue;
        // The first stage needs none: there is nothing to see of a build that nobody is sent to.
        const auto seen = build.evidence.find(cell);
        if (place.at > 0 && (seen == build.evidence.end() ? 0 : seen->second) < scheme_.evidence) continue;
        give(build, cell, Verdict::advance);
    }
}

void Plan::give(Build &build, int cell, Verdict verdict) {
    const auto [asked, fresh] = build.asked.try_emplace(cell, now_);
    if (!fresh && now_ < asked->second + scheme_.renew) return;
    asked->second = now_;
    opinions_.push_back({build.name, cell, build.cells[cell].at, verdict, rev_});
}

// The last wave that may move: all before it have come as far as told, but for cells of this zone that are
// silent.
int Plan::open_wave(const Build &build) const {
    std::vector<int> silent(build.waves.count, 0);
    if (scheme_.silent_after > 0)
        for (int customer = 0; customer < static_cast<int>(scheme_.customers.size()); ++customer) {
            const int cell = scheme_.cell(zone_, customer);
            const bool quiet = now_ - heard_[customer] >= scheme_.silent_after;
            silent[build.waves.of[cell]] += quiet && build.cells[cell].at < scheme_.follow;
        }
    int wave = 0;
    while (wave + 1 < build.waves.count && build.lagging[wave] <= silent[wave]) ++wave;
    return wave;
}

} // namespace pineridge::release
