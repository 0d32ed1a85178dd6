// Measures the CPU time of one RPC in the decision module (arrival, decisions, end of its pick) without cells
// and with 1, 1,000 and 100,000 cells. Each round measures the four cases in turn and relates them to the
// case without cells. Also measures the memory and the CPU time of the release plan with 200 zones and 500
// customers.
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

// A router with a number of cells, and the RPCs that are sent to it.
struct RpcLoad {
    explicit RpcLoad(int cells)
        : cells_(cells), fixture_([&] {
              DeploymentConfig config = test::deployment_config(RepeatPolicy::idempotent);
              config.default_cell_share = cells > 0 ? 0 : 1;
              config.second_copies = false;
              config.rollout.stage_shares = {0.3, 1};
              return config;
          }()) {
        fixture_.set_time(1000000);
        for (int i = 0; i < 20; ++i) fixture_.add_host("h" + std::to_string(i), 1 + i % 2);
        fixture_.update_rollout(2, 1, Phase::on_trial, 1);
        for (int cell = 0; cell < cells; ++cell) fixture_.router->set_cell_share(2, cell, 0.25);
    }
    // Sends `rpcs` RPCs, two ticks apart, and returns the mean CPU time of one in microseconds.
    double run(int rpcs) {
        const double began = cpu_us();
        for (int i = 0; i < rpcs; ++i) {
            fixture_.set_time(fixture_.now + 2);
            const std::string id = std::to_string(next_id_++);
            const int cell =
                cells_ > 0 ? static_cast<int>(random_.draw() % static_cast<unsigned>(cells_)) : -1;
            fixture_.router->rpc_arrived({id, 0, 0, "", fixture_.now + 5000, false, cell});
            int picks = 0;
            for (Decision decision = fixture_.router->next_decision(); decision.action != Action::none;
                 decision = fixture_.router->next_decision())
                picks += decision.action == Action::pick;
            for (int pick = 0; pick < picks; ++pick)
                fixture_.router->pick_ended(id, pick, Outcome::ok, 20, true, {});
        }
        return (cpu_us() - began) / rpcs;
    }

  private:
    int cells_;
    int next_id_ = 0;
    Pcg32 random_{7};
    test::DecisionFixture fixture_;
};

double resident_mb() {
    std::ifstream statm("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return resident_pages * 4096 / 1048576;
}

void measure_large_plan() {
    ReleaseSettings settings;
    settings.service = "booking";
    settings.zone = "z0";
    for (int i = 0; i < 200; ++i) settings.zones.push_back({"z" + std::to_string(i)});
    for (int i = 0; i < 500; ++i) settings.customers.push_back({"c" + std::to_string(i)});
    settings.stages = {0, 0.05, 0.25, 1};
    settings.wave_gate_stage = 3;
    const double memory_before_mb = resident_mb();
    release::Plan plan(settings);
    plan.set_time(1);
    release::Snapshot snapshot;
    for (int build = 1; build <= 20; ++build) {
        snapshot.entries.emplace_back().build = {"booking", build};
        for (int cell = 0; cell < 100000; ++cell) {
            release::Update &entry = snapshot.entries.emplace_back();
            entry.kind = release::Update::Kind::stage;
            entry.build = {"booking", build};
            entry.zone = settings.zones[settings.zone_of(cell)].name;
            entry.customer = settings.customers[settings.customer_of(cell)].name;
            entry.stage = 1;
        }
        double began = cpu_us();
        if (build == 20) {
            plan.apply_snapshot(snapshot);
            std::cout << "snapshot of 2,000,000 cells: " << (cpu_us() - began) / 1e6 << " s\n";
        }
    }
    snapshot = {};
    std::cout << "plan of 200 x 500 cells, 20 builds: " << resident_mb() - memory_before_mb
              << " MB, including memory not released after the snapshot\n";
    plan.set_desk_connected(true);
    for (int build = 1; build <= 20; ++build) plan.set_verdict(build, Verdict::advance);
    double began = cpu_us();
    for (int i = 0; i < 100; ++i) plan.set_time(10000 + i * 1000);
    std::cout << "a plan update with every build on trial: " << (cpu_us() - began) / 100 / 1000
              << " ms, 10 per second\n";
    began = cpu_us();
    for (int i = 0; i < 1000000; ++i) {
        plan.record_arrival(i % 500);
        plan.record_pick(20, i % 500);
    }
    std::cout << "one RPC in the plan: " << (cpu_us() - began) / 1e6 << " us\n";
}

} // namespace

int main(int argc, char **argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 15;
    const std::vector<int> cell_counts{0, 1, 1000, 100000};
    std::vector<std::unique_ptr<RpcLoad>> loads;
    for (const int size : cell_counts) loads.push_back(std::make_unique<RpcLoad>(size));
    std::vector<std::vector<double>> ratios(cell_counts.size());
    std::vector<std::vector<double>> times_us(cell_counts.size());
    for (auto &load : loads) load->run(30000);
    for (int round = 0; round < rounds; ++round) {
        std::vector<double> round_us;
        for (auto &load : loads) round_us.push_back(load->run(20000));
        for (std::size_t i = 0; i < cell_counts.size(); ++i) {
            times_us[i].push_back(round_us[i]);
            ratios[i].push_back(round_us[i] / round_us[0]);
        }
    }
    std::cout << std::fixed << std::setprecision(3);
    for (std::size_t i = 0; i < cell_counts.size(); ++i) {
        std::sort(ratios[i].begin(), ratios[i].end());
        std::sort(times_us[i].begin(), times_us[i].end());
        std::cout << std::setw(7) << cell_counts[i] << " cells: " << times_us[i][times_us[i].size() / 2]
                  << " us per RPC, ratio to no cells " << ratios[i][ratios[i].size() / 2] << " ("
                  << ratios[i].front() << " to " << ratios[i].back() << ")\n";
    }
    measure_large_plan();
}
