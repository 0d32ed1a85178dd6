// CPU of one RPC in the module (arrival, decisions, end of its pick), without cells and with 1, 1,000 and
// 100,000 of them, in turn, as ratios to none in the same round. And the plan's memory and cost at 200 zones
// x 500 customers.
//
//   build/tests/bench_release_cost [ROUNDS]
#include "../tests/helpers.hpp"
#include "random.hpp"
#include "release/plan.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>

using namespace pineridge;

namespace {

double cpu_us() { return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC; }

struct Load {
    explicit Load(int cells)
        : cells_(cells), bench_([&] {
              DeploymentConfig given = test::deployment_config(RepeatPolicy::idempotent);
              given.default_cell_share = cells > 0 ? 0 : 1;
              given.second_copies = false;
              given.rollout.stage_shares = {0.3, 1};
              return given;
          }()) {
        bench_.set_time(1000000);
        for (int i = 0; i < 20; ++i) bench_.add_host("h" + std::to_string(i), 1 + i % 2);
        bench_.update_rollout(2, 1, Phase::on_trial, 1);
        for (int cell = 0; cell < cells; ++cell) bench_.router->set_cell_share(2, cell, 0.25);
    }
    // So many RPCs, a tick apart; µs for each.
    double run(int rpcs) {
        const double began = cpu_us();
        for (int i = 0; i < rpcs; ++i) {
            bench_.set_time(bench_.now + 2);
            const std::string id = std::to_string(next_++);
            const int cell =
                cells_ > 0 ? static_cast<int>(chance_.draw() % static_cast<unsigned>(cells_)) : -1;
            bench_.router->rpc_arrived({id, 0, 0, "", bench_.now + 5000, false, cell});
            int picks = 0;
            for (Decision made = bench_.router->next_decision(); made.action != Action::none;
                 made = bench_.router->next_decision())
                picks += made.action == Action::pick;
            for (int pick = 0; pick < picks; ++pick)
                bench_.router->pick_ended(id, pick, Outcome::ok, 20, true, {});
        }
        return (cpu_us() - began) / rpcs;
    }

  private:
    int cells_, next_ = 0;
    Pcg32 chance_{7};
    test::DecisionFixture bench_;
};

double resident_mb() {
    std::ifstream from("/proc/self/statm");
    double all = 0, resident = 0;
    from >> all >> resident;
    return resident * 4096 / 1048576;
}

void plan_at_scale() {
    ReleaseSettings scheme;
    scheme.service = "booking";
    scheme.zone = "z0";
    for (int i = 0; i < 200; ++i) scheme.zones.push_back({"z" + std::to_string(i)});
    for (int i = 0; i < 500; ++i) scheme.customers.push_back({"c" + std::to_string(i)});
    scheme.stages = {0, 0.05, 0.25, 1};
    scheme.wave_gate_stage = 3;
    const double before = resident_mb();
    release::Plan plan(scheme);
    plan.set_time(1);
    release::Snapshot told;
    for (int build = 1; build <= 20; ++build) {
        told.entries.emplace_back().build = {"booking", build};
        for (int cell = 0; cell < 100000; ++cell) {
            release::Update &entry = told.entries.emplace_back();
            entry.kind = release::Update::Kind::stage;
            entry.build = {"booking", build};
            entry.zone = scheme.zones[scheme.zone_of(cell)].name;
            entry.customer = scheme.customers[scheme.customer_of(cell)].name;
            entry.stage = 1;
        }
        double began = cpu_us();
        if (build == 20) {
            plan.apply_snapshot(told);
            std::cout << "snapshot of 2,000,000 cells: " << (cpu_us() - began) / 1e6 << " s\n";
        }
    }
    told = {};
    std::cout << "plan of 200 x 500 cells, 20 builds: " << resident_mb() - before
              << " MB with what the reading left\n";
    plan.set_desk_connected(true);
    for (int build = 1; build <= 20; ++build) plan.set_verdict(build, Verdict::advance);
    double began = cpu_us();
    for (int i = 0; i < 100; ++i) plan.set_time(10000 + i * 1000);
    std::cout << "a beat with every build on trial: " << (cpu_us() - began) / 100 / 1000
              << " ms, ten a second\n";
    began = cpu_us();
    for (int i = 0; i < 1000000; ++i) plan.record_arrival(i % 500), plan.record_pick(20, i % 500);
    std::cout << "an RPC in the plan: " << (cpu_us() - began) / 1e6 << " us\n";
}

} // namespace

int main(int argc, char **argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 15;
    const std::vector<int> sizes{0, 1, 1000, 100000};
    std::vector<std::unique_ptr<Load>> loads;
    for (const int size : sizes) loads.push_back(std::make_unique<Load>(size));
    std::vector<std::vector<double>> ratios(sizes.size()), times(sizes.size());
    for (auto &load : loads) load->run(30000);
    for (int round = 0; round < rounds; ++round) {
        std::vector<double> now;
        for (auto &load : loads) now.push_back(load->run(20000));
        for (std::size_t i = 0; i < sizes.size(); ++i)
            times[i].push_back(now[i]), ratios[i].push_back(now[i] / now[0]);
    }
    std::cout << std::fixed << std::setprecision(3);
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        std::sort(ratios[i].begin(), ratios[i].end());
        std::sort(times[i].begin(), times[i].end());
        std::cout << std::setw(7) << sizes[i] << " cells: " << times[i][times[i].size() / 2]
                  << " us an RPC, ratio to none " << ratios[i][ratios[i].size() / 2] << " ("
                  << ratios[i].front() << " to " << ratios[i].back() << ")\n";
    }
    plan_at_scale();
}
