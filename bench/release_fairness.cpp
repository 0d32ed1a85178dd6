// Simulates thousands of random releases, some of bad builds, through the real release plan, and measures how
// the RPCs at builds that are later withdrawn spread over the customers. Compares the balanced wave order
// with customers in configured order and with one cell for all customers. No server is involved: the
// picks of a build follow shares and traffic, and a bad build is withdrawn once its picks reach a random
// number.
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

const std::vector<double> kTrafficShares{0.40, 0.25, 0.20, 0.10, 0.05}; // share of each customer
constexpr double kRpcsPerSecond = 200; // RPCs per second, over all customers
constexpr Ticks kSecond = 10000; // ticks

struct RandomRelease {
    bool bad;
    double detected_at; // number of picks at which the build is withdrawn if it is bad
};

struct Result {
    std::vector<double> withdrawn; // RPCs at withdrawn builds, by customer
    double total_rpcs = 0; // RPCs at any build
    int bad = 0; // bad builds
    int exposed_customers = 0; // pairs of a bad build and a customer that had at least one RPC at it
    std::vector<double> seconds; // time until each good build was released
};

ReleaseSettings settings_for(WaveOrder order, bool one_cell) {
    ReleaseSettings settings;
    settings.service = "booking";
    settings.zone = "z";
    settings.zones = {{"z"}};
    if (one_cell)
        settings.customers = {{"all"}};
    else
        for (std::size_t i = 0; i < kTrafficShares.size(); ++i)
            settings.customers.push_back({"c" + std::to_string(i), 1, kTrafficShares[i]});
    settings.stages = {0, 0.05, 0.25, 1};
    settings.order = order;
    settings.wave_gate_stage = 2;
    settings.min_picks = 20;
    settings.opinion_interval = kSecond;
    return settings;
}

Result run(WaveOrder order, bool one_cell, const std::vector<RandomRelease> &releases) {
    Result result;
    result.withdrawn.assign(kTrafficShares.size(), 0);
    std::vector<double> carried(kTrafficShares.size(), 0);
    Ticks now = kSecond;
    std::int64_t rev = 0;
    Plan plan(settings_for(order, one_cell));
    plan.set_time(now);
    plan.apply_snapshot({rev, {}});
    plan.set_desk_connected(true);
    const auto apply = [&](Update update) {
        update.prev = rev;
        update.rev = ++rev;
        plan.apply_update(update);
    };
    const std::size_t cells = plan.scheme().cell_count();
    const auto weight = [&](std::size_t cell) { return one_cell ? 1.0 : kTrafficShares[cell]; };
    for (std::size_t number = 0; number < releases.size(); ++number) {
        const RandomRelease &release = releases[number];
        const BuildName build{"booking", static_cast<int>(number + 1)};
        for (std::size_t i = 0; !one_cell && i < kTrafficShares.size(); ++i) {
            Update row;
            row.kind = Update::Kind::ledger;
            row.customer = "c" + std::to_string(i);
            row.traffic = kTrafficShares[i] * std::max(1.0, result.total_rpcs);
            row.withdrawn = result.withdrawn[i];
            apply(row);
        }
        Update offer;
        offer.build = build;
        apply(offer);
        plan.set_verdict(build.number, Verdict::advance);
        std::vector<double> picks(cells, 0);
        std::vector<double> unrecorded(cells, 0);
        double total_rpcs = 0;
        const Ticks began = now;
        bool finished = false;
        while (!finished && now - began < 3600 * kSecond) {
            now += kSecond;
            plan.set_time(now);
            while (const auto opinion = plan.next_opinion()) {
                if (opinion->cell < 0 || opinion->verdict != Verdict::advance) continue;
                Update update;
                update.kind = Update::Kind::stage;
                update.build = build;
                update.zone = "z";
                update.customer = plan.scheme().customers[opinion->cell].name;
                update.stage = opinion->stage + 1;
                apply(update);
            }
            plan.take_share_changes();
            plan.take_log_events();
            finished = true;
            for (std::size_t cell = 0; cell < cells; ++cell) {
                const double cell_picks =
                    plan.share(build, static_cast<int>(cell)) * weight(cell) * kRpcsPerSecond;
                picks[cell] += cell_picks;
                total_rpcs += cell_picks;
                plan.record_arrival(static_cast<int>(cell));
                for (unrecorded[cell] += cell_picks; unrecorded[cell] >= 1; unrecorded[cell] -= 1)
                    plan.record_pick(build.number, static_cast<int>(cell));
                // Only a good build finishes by reaching the last stage; a bad build is withdrawn in the end.
                finished = finished && !release.bad && plan.stage(build, static_cast<int>(cell)) == 3;
            }
            result.total_rpcs += kRpcsPerSecond;
            if (release.bad && total_rpcs >= release.detected_at) {
                Update pull;
                pull.kind = Update::Kind::pull;
                pull.build = build;
                apply(pull);
                ++result.bad;
                for (std::size_t i = 0; i < kTrafficShares.size(); ++i)
                    result.exposed_customers += one_cell || picks[i] >= 1;
                for (std::size_t i = 0; i < kTrafficShares.size(); ++i)
                    result.withdrawn[i] += one_cell ? picks[0] * kTrafficShares[i] : picks[i];
                finished = true;
            }
        }
        if (!release.bad) result.seconds.push_back(static_cast<double>(now - began) / kSecond);
    }
    return result;
}

void print(const char *name, const Result &result) {
    double withdrawn_rpcs = 0;
    double worst = 0;
    double mean = 0;
    for (const double rpcs : result.withdrawn) withdrawn_rpcs += rpcs;
    std::cout << std::left << std::setw(14) << name << std::right;
    for (std::size_t i = 0; i < kTrafficShares.size(); ++i) {
        const double share = withdrawn_rpcs > 0 ? result.withdrawn[i] / withdrawn_rpcs : 0;
        const double deviation = std::abs(share - kTrafficShares[i]);
        worst = std::max(worst, deviation / kTrafficShares[i]);
        mean += deviation / kTrafficShares.size();
        std::cout << std::setw(8) << share;
    }
    std::vector<double> seconds = result.seconds;
    std::sort(seconds.begin(), seconds.end());
    std::cout << std::setw(10) << static_cast<double>(result.exposed_customers) / std::max(1, result.bad)
              << std::setw(10) << mean << std::setw(11) << worst << std::setw(13)
              << static_cast<long>(withdrawn_rpcs) << std::setw(10)
              << (seconds.empty() ? 0 : seconds[seconds.size() / 2]) << "\n";
}

} // namespace

int main(int argc, char **argv) {
    const int count = argc > 1 ? std::atoi(argv[1]) : 4000;
    std::mt19937_64 random(argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1);
    std::vector<RandomRelease> releases;
    std::uniform_real_distribution<double> unit;
    for (int i = 0; i < count; ++i)
        releases.push_back(
            {unit(random) < 0.2, 20 * std::pow(250, unit(random))}); // detected after 20 to 5,000 picks
    std::cout << std::fixed << std::setprecision(3) << count << " releases, a fifth of them bad; traffic";
    for (const double share : kTrafficShares) std::cout << " " << share;
    std::cout << "\nshare of the RPCs at withdrawn builds, by customer; mean number of customers with RPCs "
                 "at a bad build; "
                 "mean deviation from the share of traffic; worst deviation, relative to that share; RPCs at "
                 "withdrawn builds; "
                 "median s to release\n";
    print("balanced", run(WaveOrder::balanced, false, releases));
    print("by customer", run(WaveOrder::customers, false, releases));
    print("one cell", run(WaveOrder::zones, true, releases));
}
