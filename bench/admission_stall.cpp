// One stall of a router under open-loop clients, and how long until service returns: the program is stopped
// for a moment (SIGSTOP) while clients with patience and two retries go on asking, each on an idle connection
// or a new one.
//
//   build/tests/bench_admission_stall PROGRAM [RATE SOCKETS STALL_MS...]
//
// Prints, for each stall, how long after its end 90% of the RPCs of each 0.2 s are served within 0.5 s again.
#include "standins/program/program.hpp"
#include "standins/town/town.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

namespace {

constexpr std::int64_t kWindow = 200, kCalm = 2000, kAfter = 8000, kInTime = 500; // ms

void play(const std::string &program, int rate, int sockets, int stall) {
    asio::io_context io;
    Plot plot;
    plot.sockets = sockets;
    Town town(io, plot);
    for (int i = 0; i < 16; ++i) town.host("h" + std::to_string(i), "north", 1);
    for (Host &host : town.hosts) host.takes = std::chrono::milliseconds(5);
    town.write_files();
    town.clients.lose_patience(2);
    Program router(town.folder, program, {"serve", "--config", (town.folder / "config.json").string()});
    while (router.said().find("serving") == std::string::npos) run_for(io, std::chrono::milliseconds(20));
    for (const std::string &customer : plot.customers) town.flow(customer, rate / 3.0);
    run_for(io, std::chrono::milliseconds(kCalm / 2)); // connections are made
    const double before = router.cpu_s();
    run_for(io, std::chrono::milliseconds(kCalm));
    const double calm_cpu = router.cpu_s() - before;
    router.signal(SIGSTOP);
    run_for(io, std::chrono::milliseconds(stall));
    router.signal(SIGCONT);
    const std::int64_t woke = Town::now();
    const double woken = router.cpu_s();
    run_for(io, std::chrono::milliseconds(kAfter));
    const double after_cpu = router.cpu_s() - woken;
    town.stop();
    run_for(io, std::chrono::milliseconds(1200));
    std::vector<int> asked(kAfter / kWindow + 1), good(kAfter / kWindow + 1);
    std::map<std::string, int> answers;
    int calm = 0, calm_good = 0;
    for (const Asked &row : town.clients.asked()) {
        const bool in_time = row.answer == "served" && row.took <= kInTime;
        if (row.at < woke - stall - 1000) ++calm, calm_good += in_time;
        if (row.at < woke) continue;
        ++answers[row.answer];
        const auto at = static_cast<std::size_t>((row.at - woke) / kWindow);
        if (at < asked.size()) ++asked[at], good[at] += in_time;
    }
    // The first window from which on four in a row are good.
    std::int64_t back = -1;
    for (std::size_t i = 0; i + 4 <= static_cast<std::size_t>(kAfter / kWindow) && back < 0; ++i)
        if (std::all_of(&asked[i], &asked[i + 4], [&](const int &one) {
                return good[static_cast<std::size_t>(&one - asked.data())] >= one * 0.9;
            }))
            back = static_cast<std::int64_t>(i) * kWindow;
    std::cout << rate << " a second, " << sockets << " descriptors, stall " << stall << " ms: calm "
              << (calm > 0 ? 100 * calm_good / calm : 0) << "% in time; "
              << (back < 0 ? "never back in 8 s" : "back after " + std::to_string(back) + " ms") << ";";
    for (const auto &[answer, count] : answers)
        std::cout << " " << (answer.empty() ? "open" : answer) << " " << count;
    std::cout << "; CPU calm " << calm_cpu * 1000 / kCalm << ", after " << after_cpu * 1000 / kAfter
              << " of a core" << std::endl;
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    allow_descriptors(60000);
    const int rate = argc > 2 ? std::atoi(argv[2]) : 8500, sockets = argc > 3 ? std::atoi(argv[3]) : 1024;
    std::vector<int> stalls;
    for (int i = 4; i < argc; ++i) stalls.push_back(std::atoi(argv[i]));
    if (stalls.empty()) stalls = {20, 50, 100, 200, 500};
    for (const int stall : stalls) play(argv[1], rate, sockets, stall);
}
