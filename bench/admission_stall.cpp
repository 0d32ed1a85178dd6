// Measures how long a router takes to recover from a stall. The program is stopped with SIGSTOP while
// open-loop clients with a timeout and two retries keep sending RPCs, each on an idle connection or a new
// one.
//
//   build/tests/bench_admission_stall PROGRAM [RATE SOCKETS STALL_MS...]
//
// Prints, for each stall, the time from its end until 90% of the RPCs sent in each 0.2 s are served within
// 0.5 s again.
#include "standins/program/program.hpp"
#include "standins/town/town.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

namespace {

constexpr std::int64_t kWindowMs = 200;
constexpr std::int64_t kBaselineMs = 2000;
constexpr std::int64_t kRecoveryMs = 8000; // after the stall
constexpr std::int64_t kInTimeMs = 500;

// Runs one router, stops it for `stall_ms` while clients send `rate` RPCs per second, and prints its
// recovery.
void run_stall(const std::string &program, int rate, int sockets, int stall_ms) {
    asio::io_context io;
    ClusterOptions plot;
    plot.router_descriptors = sockets;
    LocalCluster town(io, plot);
    for (int i = 0; i < 16; ++i) town.host("h" + std::to_string(i), "north", 1);
    for (Host &host : town.hosts) host.answer_delay = std::chrono::milliseconds(5);
    town.write_files();
    town.clients.use_client_timeouts(2);
    Program router(town.folder, program, {"serve", "--config", (town.folder / "config.json").string()});
    while (router.output().find("serving") == std::string::npos) run_for(io, std::chrono::milliseconds(20));
    for (const std::string &customer : plot.customers) town.send_steadily(customer, rate / 3.0);
    run_for(io, std::chrono::milliseconds(kBaselineMs / 2)); // the clients connect
    const double baseline_cpu_began_s = router.cpu_s();
    run_for(io, std::chrono::milliseconds(kBaselineMs));
    const double baseline_cpu_s = router.cpu_s() - baseline_cpu_began_s;
    router.signal(SIGSTOP);
    run_for(io, std::chrono::milliseconds(stall_ms));
    router.signal(SIGCONT);
    const std::int64_t resumed_at_ms = LocalCluster::now();
    const double recovery_cpu_began_s = router.cpu_s();
    run_for(io, std::chrono::milliseconds(kRecoveryMs));
    const double recovery_cpu_s = router.cpu_s() - recovery_cpu_began_s;
    town.stop();
    run_for(io, std::chrono::milliseconds(1200));
    std::vector<int> sent(kRecoveryMs / kWindowMs + 1);
    std::vector<int> in_time_counts(kRecoveryMs / kWindowMs + 1);
    std::map<std::string, int> answers;
    int baseline_sent = 0;
    int baseline_in_time = 0;
    for (const RpcRecord &row : town.clients.rpcs()) {
        const bool in_time = row.answer == "served" && row.latency_ms <= kInTimeMs;
        if (row.at < resumed_at_ms - stall_ms - 1000) {
            ++baseline_sent;
            baseline_in_time += in_time;
        }
        if (row.at < resumed_at_ms) continue;
        ++answers[row.answer];
        const auto window = static_cast<std::size_t>((row.at - resumed_at_ms) / kWindowMs);
        if (window < sent.size()) {
            ++sent[window];
            in_time_counts[window] += in_time;
        }
    }
    // Service has recovered at the first of four consecutive windows with 90% of the RPCs served in time.
    std::int64_t recovery_ms = -1;
    for (std::size_t i = 0; i + 4 <= static_cast<std::size_t>(kRecoveryMs / kWindowMs) && recovery_ms < 0;
         ++i)
        if (std::all_of(&sent[i], &sent[i + 4], [&](const int &count) {
                return in_time_counts[static_cast<std::size_t>(&count - sent.data())] >= count * 0.9;
            }))
            recovery_ms = static_cast<std::int64_t>(i) * kWindowMs;
    std::cout << rate << " RPCs per second, " << sockets << " descriptors, stall of " << stall_ms
              << " ms: baseline " << (baseline_sent > 0 ? 100 * baseline_in_time / baseline_sent : 0)
              << "% in time; "
              << (recovery_ms < 0 ? "no recovery within 8 s"
                                  : "recovered after " + std::to_string(recovery_ms) + " ms")
              << ";";
    for (const auto &[answer, count] : answers)
        std::cout << " " << (answer.empty() ? "open" : answer) << " " << count;
    std::cout << "; CPU: baseline " << baseline_cpu_s * 1000 / kBaselineMs << ", after "
              << recovery_cpu_s * 1000 / kRecoveryMs << " of a core" << std::endl;
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    limit_descriptors(60000);
    const int rate = argc > 2 ? std::atoi(argv[2]) : 8500;
    const int sockets = argc > 3 ? std::atoi(argv[3]) : 1024;
    std::vector<int> stalls_ms;
    for (int i = 4; i < argc; ++i) stalls_ms.push_back(std::atoi(argv[i]));
    if (stalls_ms.empty()) stalls_ms = {20, 50, 100, 200, 500};
    for (const int stall_ms : stalls_ms) run_stall(argv[1], rate, sockets, stall_ms);
}
