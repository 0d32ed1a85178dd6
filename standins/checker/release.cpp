#include "standins/checker/release.hpp"

#include <algorithm>
#include <cmath>

namespace pineridge::standins {

namespace {

// What a cell may have had of a build: the most at any moment, from the desk's steps alone. A stage raised
// within a freeze counts from the freeze's end on.
struct Line {
    std::vector<std::pair<std::int64_t, double>> shares; // from this time on

    double most(std::int64_t from, std::int64_t to) const {
        double most = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            const std::int64_t until = i + 1 < shares.size() ? shares[i + 1].first : to + 1;
            if (shares[i].first <= to && until >= from) most = std::max(most, shares[i].second);
        }
        return most;
    }
};

struct Told {
    std::int64_t at;
    int stage;
};

bool frozen_at(const ReleaseSettings &scheme, const std::map<std::string, FreezeRow> &freezes,
               const std::string &service, const CellName &cell, std::int64_t now) {
    for (const auto &[id, row] : freezes)
        if (row.covers(service, cell, now)) return true;
    for (const Freeze &own : scheme.freezes) {
        const FreezeRow row{own.zone, own.customer, own.service, own.from / 10, own.to / 10};
        if (row.covers(service, cell, now)) return true;
    }
    return false;
}

// Walks through time word by word, and in steps of 10 ms between: plain, slow, and unlike the router's way.
Line line_of(const ReleaseSettings &scheme, const std::vector<Step> &steps, const std::string &build,
             const CellName &cell, std::int64_t from, std::int64_t to) {
    const std::string service = build.substr(0, build.find('/'));
    Line line;
    std::map<std::string, FreezeRow> freezes;
    std::map<std::string, double> caps{{"/", scheme.cap}};
    for (const Segment &zone : scheme.zones) caps[zone.name + "/"] = zone.cap;
    for (const Segment &customer : scheme.customers) caps["/" + customer.name] = customer.cap;
    std::map<std::string, double> in_force = caps;
    std::map<CellName, int> stages; // told
    int stood = 0;
    const auto look = [&](std::int64_t now) {
        const int told = stages[cell];
        const bool frozen = frozen_at(scheme, freezes, service, cell, now);
        if (!frozen || told < stood) stood = told;
        for (auto &[key, cap] : in_force)
            if (!frozen || caps[key] < cap) cap = caps[key];
        std::size_t released = 0;
        for (const auto &[at, stage] : stages) released += stage == scheme.released_stage();
        double share = scheme.stages[stood];
        if (stood > 0 && released < scheme.cell_count())
            share = std::min({share, in_force["/"], in_force[cell.first + "/"], in_force["/" + cell.second]});
        if (line.shares.empty() || line.shares.back().second != share) line.shares.emplace_back(now, share);
    };
    std::size_t next = 0;
    for (std::int64_t now = from; now <= to; now += 10) {
        for (; next < steps.size() && steps[next].at <= now; ++next) {
            const json &word = steps[next].word;
            const std::string type = word.at("type");
            const bool mine = word.contains("build") && build_text(word) == build;
            if (type == "stage" && mine) stages[{word.at("zone"), word.at("customer")}] = word.at("stage");
            if (type == "pull" && mine) stages.clear();
            if (type == "freeze")
                freezes[word.at("id")] = {word.value("zone", ""), word.value("customer", ""),
                                          word.value("service", ""), word.value("from_ms", steps[next].at),
                                          word.value("to_ms", FreezeRow::kAlways)};
            if (type == "lift" && freezes.count(word.at("id"))) freezes[word.at("id")].to = steps[next].at;
            if (type == "cap")
                caps[word.value("zone", "") + "/" + word.value("customer", "")] = word.at("cap");
            look(steps[next].at);
        }
        look(now);
    }
    return line;
}

} // namespace

std::vector<std::string> breaches(const Rule &rule, const std::vector<Step> &steps, const Picks &picks,
                                  const std::deque<Asked> &asked) {
    std::vector<std::string> found;
    if (picks.empty() || steps.empty()) return found;
    std::int64_t first = steps.front().at, last = first;
    for (const Step &step : steps) first = std::min(first, step.at), last = std::max(last, step.at);
    for (const PickRow &pick : picks) first = std::min(first, pick.at), last = std::max(last, pick.at);
    std::map<std::string, bool> offered;
    for (const Step &step : steps)
        if (step.word.at("type") == "offer") offered[build_text(step.word)] = true;
    for (const Segment &customer : rule.scheme.customers) {
        std::vector<std::int64_t> taken;
        for (const Asked &row : asked)
            if (row.customer == customer.name) taken.push_back(row.at);
        std::sort(taken.begin(), taken.end());
        for (const auto &[build, yes] : offered) {
            const std::size_t slash = build.find('/');
            if (build.substr(0, slash) != rule.scheme.service) continue;
            std::vector<std::int64_t> sent;
            for (const PickRow &pick : picks)
                if (pick.customer == customer.name && pick.build == std::stoi(build.substr(slash + 1)))
                    sent.push_back(pick.at);
            if (sent.empty()) continue;
            std::sort(sent.begin(), sent.end());
            const Line line =
                line_of(rule.scheme, steps, build, {rule.scheme.zone, customer.name}, first, last);
            for (const std::int64_t at : sent) {
                const double share = line.most(at - rule.grace, at);
                // A pick waits on the way up to the grace: RPCs of so much longer ago count, too.
                const auto within = [&](const std::vector<std::int64_t> &times, std::int64_t since) {
                    return static_cast<double>(std::upper_bound(times.begin(), times.end(), at) -
                                               std::lower_bound(times.begin(), times.end(), since));
                };
                const double had = within(sent, at - rule.window),
                             took = within(taken, at - rule.window - rule.grace);
                const double may = share <= 0 ? 0 : (share + rule.slack) * took + rule.picks;
                if (had <= may) continue;
                found.push_back(build + " in " + rule.scheme.zone + "/" + customer.name + " at " +
                                std::to_string(at) + ": " + std::to_string(static_cast<int>(had)) +
                                " picks of " + std::to_string(static_cast<int>(took)) + " RPCs, share " +
                                std::to_string(share));
            }
        }
    }
    return found;
}

} // namespace pineridge::standins
