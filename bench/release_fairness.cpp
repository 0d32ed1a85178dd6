// Thousands of drawn releases, bad builds among them, through the real plan: who carries the RPCs at builds
// that are withdrawn later? Balanced order against first come and against one cell for all. Nothing here is a
// real server: a drawn build is withdrawn once its faulty picks reach a drawn number, and its picks follow
// shares and traffic.
//
//   build/tests/bench_release_fairness [RELEASES] [SEED]
#include "release/plan.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>

using namespace pineridge;
using namespace pineridge::release;

namespace {

const std::vector<double> kTraffic{0.40, 0.25, 0.20, 0.10, 0.05}; // of 200 RPCs a second
constexpr double kRate = 200;
constexpr Ticks kSecond = 10000;

struct Drawn {
    bool bad;
    double detected_at; // picks at it until the module says back
};

struct Result {
    std::vector<double> withdrawn; // RPCs by customer at builds withdrawn
    double all = 0; // RPCs
    int bad = 0, touched = 0; // bad builds; customers that had at least one RPC at one
    std::vector<double> seconds; // to the release of good builds
};

ReleaseSettings scheme_for(WaveOrder order, bool one_cell) {
    ReleaseSettings scheme;
    scheme.service = "booking";
    scheme.zone = "z";
    scheme.zones = {{"z"}};
    if (one_cell)
        scheme.customers = {{"all"}};
    else
        for (std::size_t i = 0; i < kTraffic.size(); ++i)
            scheme.customers.push_back({"c" + std::to_string(i), 1, kTraffic[i]});
    scheme.stages = {0, 0.05, 0.25, 1};
    scheme.order = order;
    scheme.wave_gate_stage = 2;
    scheme.min_picks = 20;
    scheme.opinion_interval = kSecond;
    return scheme;
}

Result run(WaveOrder order, bool one_cell, const std::vector<Drawn> &releases) {
    Result result;
    result.withdrawn.assign(kTraffic.size(), 0);
    std::vector<double> carried(kTraffic.size(), 0);
    Ticks now = kSecond;
    std::int64_t rev = 0;
    Plan plan(scheme_for(order, one_cell));
    plan.set_time(now);
    plan.apply_snapshot({rev, {}});
    plan.set_desk_connected(true);
    const auto tell = [&](Update word) {
        word.prev = rev;
        word.rev = ++rev;
        plan.apply_update(word);
    };
    const std::size_t cells = plan.scheme().cell_count();
    const auto weight = [&](std::size_t cell) { return one_cell ? 1.0 : kTraffic[cell]; };
    for (std::size_t number = 0; number < releases.size(); ++number) {
        const Drawn &drawn = releases[number];
        const BuildName build{"booking", static_cast<int>(number + 1)};
        for (std::size_t i = 0; !one_cell && i < kTraffic.size(); ++i) {
            Update row;
            row.kind = Update::Kind::ledger;
            row.customer = "c" + std::to_string(i);
            row.traffic = kTraffic[i] * std::max(1.0, result.all), row.withdrawn = result.withdrawn[i];
            tell(row);
        }
        Update offer;
        offer.build = build;
        tell(offer);
        plan.set_verdict(build.number, Verdict::advance);
        std::vector<double> picks(cells, 0), seen(cells, 0);
        double all = 0;
        const Ticks began = now;
        bool over = false;
        while (!over && now - began < 3600 * kSecond) {
            now += kSecond;
            plan.set_time(now);
            while (const auto said = plan.next_opinion()) {
                if (said->cell < 0 || said->verdict != Verdict::advance) continue;
                Update word;
                word.kind = Update::Kind::stage;
                word.build = build;
                word.zone = "z";
                word.customer = plan.scheme().customers[said->cell].name;
                word.stage = said->stage + 1;
                tell(word);
            }
            plan.take_share_changes();
            plan.take_log_events();
            over = true;
            for (std::size_t cell = 0; cell < cells; ++cell) {
                const double more = plan.share(build, static_cast<int>(cell)) * weight(cell) * kRate;
                picks[cell] += more;
                all += more;
                plan.record_arrival(static_cast<int>(cell));
                for (seen[cell] += more; seen[cell] >= 1; seen[cell] -= 1)
                    plan.record_pick(build.number, static_cast<int>(cell));
                over = over && !drawn.bad &&
                       plan.stage(build, static_cast<int>(cell)) == 3; // a bad one is found in the end
            }
            result.all += kRate;
            if (drawn.bad && all >= drawn.detected_at) {
                Update pull;
                pull.kind = Update::Kind::pull;
                pull.build = build;
                tell(pull);
                ++result.bad;
                for (std::size_t i = 0; i < kTraffic.size(); ++i) result.touched += one_cell || picks[i] >= 1;
                for (std::size_t i = 0; i < kTraffic.size(); ++i)
                    result.withdrawn[i] += one_cell ? picks[0] * kTraffic[i] : picks[i];
                over = true;
            }
        }
        if (!drawn.bad) result.seconds.push_back(static_cast<double>(now - began) / kSecond);
    }
    return result;
}

void print(const char *name, const Result &result) {
    double all = 0, worst = 0, mean = 0;
    for (const double one : result.withdrawn) all += one;
    std::cout << std::left << std::setw(14) << name << std::right;
    for (std::size_t i = 0; i < kTraffic.size(); ++i) {
        const double share = all > 0 ? result.withdrawn[i] / all : 0, off = std::abs(share - kTraffic[i]);
        worst = std::max(worst, off / kTraffic[i]);
        mean += off / kTraffic.size();
        std::cout << std::setw(8) << share;
    }
    std::vector<double> seconds = result.seconds;
    std::sort(seconds.begin(), seconds.end());
    std::cout << std::setw(10) << static_cast<double>(result.touched) / std::max(1, result.bad)
              << std::setw(10) << mean << std::setw(11) << worst << std::setw(13) << static_cast<long>(all)
              << std::setw(10) << (seconds.empty() ? 0 : seconds[seconds.size() / 2]) << "\n";
}

} // namespace

int main(int argc, char **argv) {
    const int count = argc > 1 ? std::atoi(argv[1]) : 4000;
    std::mt19937_64 chance(argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1);
    std::vector<Drawn> releases;
    std::uniform_real_distribution<double> unit;
    for (int i = 0; i < count; ++i)
        releases.push_back(
            {unit(chance) < 0.2, 20 * std::pow(250, unit(chance))}); // found after 20 to 5,000 picks
    std::cout << std::fixed << std::setprecision(3) << count << " releases, a fifth of them bad; traffic";
    for (const double share : kTraffic) std::cout << " " << share;
    std::cout << "\nshare of RPCs at builds withdrawn, by customer; customers touched by a bad build; mean "
                 "and worst distance (worst: of its traffic); RPCs; "
                 "median s to release\n";
    print("balanced", run(WaveOrder::balanced, false, releases));
    print("first come", run(WaveOrder::customers, false, releases));
    print("one cell", run(WaveOrder::zones, true, releases));
}
