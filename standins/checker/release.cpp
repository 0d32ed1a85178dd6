#include "standins/checker/release.hpp"

#include <algorithm>
#include <cmath>

namespace pineridge::standins {

namespace {

// The share of a build that a cell was allowed over time, derived from the desk's steps alone. A stage that
// is raised within a freeze takes effect at the end of the freeze.
struct ShareTimeline {
    std::vector<std::pair<std::int64_t, double>> shares; // each from its time (ms) on

    double max_share(std::int64_t from, std::int64_t to) const {
        double highest = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const std::int64_t until = i + 1 < shares.size() ? shares[i + 1].first : to + 1;
            if (shares[i].first <= to && until >= from) highest = std::max(highest, shares[i].second);
        }
        return highest;
    }
};

bool frozen_at(const ReleaseSettings &settings, const std::map<std::string, FreezeRow> &freezes,
               const std::string &service, const CellName &cell, std::int64_t now) {
    for (const auto &[id, row] : freezes)
        if (row.covers(service, cell, now)) return true;
    for (const Freeze &configured : settings.freezes) {
        const FreezeRow row{configured.zone, configured.customer, configured.service, configured.from / 10,
                            configured.to / 10};
        if (row.covers(service, cell, now)) return true;
    }
    return false;
}

// Replays the steps, and evaluates the share at each step and every 10 ms between. It is deliberately simple
// and differs from the router's implementation.
ShareTimeline timeline_of(const ReleaseSettings &settings, const std::vector<Step> &steps,
                          const std::string &build, const CellName &cell, std::int64_t from,
                          std::int64_t to) {
    const std::string service = build.substr(0, build.find('/'));
    ShareTimeline timeline;
    std::map<std::string, FreezeRow> freezes;
    std::map<std::string, double> caps{{"/", settings.cap}};
    for (const Segment &zone : settings.zones) caps[zone.name + "/"] = zone.cap;
    for (const Segment &customer : settings.customers) caps["/" + customer.name] = customer.cap;
    std::map<std::string, double> in_force = caps;
    std::map<CellName, int> stages; // as the desk has recorded them
    int effective_stage = 0;
    const auto record_share = [&](std::int64_t now) {
        const int recorded_stage = stages[cell];
        const bool frozen = frozen_at(settings, freezes, service, cell, now);
        if (!frozen || recorded_stage < effective_stage) effective_stage = recorded_stage;
        for (auto &[key, cap] : in_force)
            if (!frozen || caps[key] < cap) cap = caps[key];
        std::size_t released = 0;
        for (const auto &[at, stage] : stages) released += stage == settings.released_stage();
        double share = settings.stages[effective_stage];
        if (effective_stage > 0 && released < settings.cell_count())
            share = std::min({share, in_force["/"], in_force[cell.first + "/"], in_force["/" + cell.second]});
        if (timeline.shares.empty() || timeline.shares.back().second != share)
            timeline.shares.emplace_back(now, share);
    };
    std::size_t next = 0;
    for (std::int64_t now = from; now <= to; now += 10) {
        for (; next < steps.size() && steps[next].at <= now; ++next) {
            const json &message = steps[next].update;
            const std::string type = message.at("type");
            const bool is_this_build = message.contains("build") && build_text(message) == build;
            if (type == "stage" && is_this_build)
                stages[{message.at("zone"), message.at("customer")}] = message.at("stage");
            if (type == "pull" && is_this_build) stages.clear();
            if (type == "freeze")
                freezes[message.at("id")] = {
                    message.value("zone", ""), message.value("customer", ""), message.value("service", ""),
                    message.value("from_ms", steps[next].at), message.value("to_ms", FreezeRow::kAlways)};
            if (type == "lift" && freezes.count(message.at("id")))
                freezes[message.at("id")].to = steps[next].at;
            if (type == "cap")
                caps[message.value("zone", "") + "/" + message.value("customer", "")] = message.at("cap");
            record_share(steps[next].at);
        }
        record_share(now);
    }
    return timeline;
}

} // namespace

std::vector<std::string> breaches(const ReleaseRules &rules, const std::vector<Step> &steps,
                                  const Picks &picks, const std::deque<RpcRecord> &rpcs) {
    std::vector<std::string> found;
    if (picks.empty() || steps.empty()) return found;
    std::int64_t first = steps.front().at, last = first;
    for (const Step &step : steps) {
        first = std::min(first, step.at);
        last = std::max(last, step.at);
    }
    for (const PickRecord &pick : picks) {
        first = std::min(first, pick.at);
        last = std::max(last, pick.at);
    }
    std::map<std::string, bool> offered;
    for (const Step &step : steps)
        if (step.update.at("type") == "offer") offered[build_text(step.update)] = true;
    for (const Segment &customer : rules.settings.customers) {
        std::vector<std::int64_t> rpc_times;
        for (const RpcRecord &rpc : rpcs)
            if (rpc.customer == customer.name) rpc_times.push_back(rpc.at);
        std::sort(rpc_times.begin(), rpc_times.end());
        for (const auto &[build, is_offered] : offered) {
            const std::size_t slash = build.find('/');
            if (build.substr(0, slash) != rules.settings.service) continue;
            std::vector<std::int64_t> pick_times;
            for (const PickRecord &pick : picks)
                if (pick.customer == customer.name && pick.build == std::stoi(build.substr(slash + 1)))
                    pick_times.push_back(pick.at);
            if (pick_times.empty()) continue;
            std::sort(pick_times.begin(), pick_times.end());
            const ShareTimeline timeline =
                timeline_of(rules.settings, steps, build, {rules.settings.zone, customer.name}, first, last);
            for (const std::int64_t at : pick_times) {
                const double share = timeline.max_share(at - rules.grace, at);
                // A pick may be under way for up to the grace, so the RPCs of that much earlier count too.
                const auto within = [&](const std::vector<std::int64_t> &times, std::int64_t since) {
                    return static_cast<double>(std::upper_bound(times.begin(), times.end(), at) -
                                               std::lower_bound(times.begin(), times.end(), since));
                };
                const double picks_in_window = within(pick_times, at - rules.window),
                             rpcs_in_window = within(rpc_times, at - rules.window - rules.grace);
                const double allowed =
                    share <= 0 ? 0 : (share + rules.extra_share) * rpcs_in_window + rules.extra_picks;
                if (picks_in_window <= allowed) continue;
                found.push_back(build + " in " + rules.settings.zone + "/" + customer.name + " at " +
                                std::to_string(at) + ": " +
                                std::to_string(static_cast<int>(picks_in_window)) + " picks of " +
                                std::to_string(static_cast<int>(rpcs_in_window)) + " RPCs, share " +
                                std::to_string(share));
            }
        }
    }
    return found;
}

} // namespace pineridge::standins
