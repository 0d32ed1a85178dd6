// Measures how connection floods affect the clients of a crowd, with and without admission rules. Prints the
// RPCs served in time without a flood and under each flood, the time until every client is served after a
// mass reconnect, and the CPU time and memory of the router.
//
//   build/tests/bench_admission_flood PROGRAM [SECONDS]
//
// Clients, hosts and floods share this process. The caller may pin PROGRAM to a core of its own.
#include "standins/flood/flood.hpp"
#include "standins/program/program.hpp"
#include "standins/town/town.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

namespace {

constexpr const char *kRules = R"(<pineridge xmlns="urn:pineridge:settings:1"><admission>
<others per-address="20" most="150"/>
<crowd name="desks" reserve="300" weight="3"><network address="127.0.0.1/32"/></crowd>
<slow first-byte-s="1" command-s="1" unread-s="2"/></admission></pineridge>)";

struct FloodScenario {
    FloodScenario(const std::string &program, bool with_rules) : town(io, plot()) {
        for (int i = 0; i < 16; ++i) town.host("h" + std::to_string(i), "north", 1);
        for (Host &host : town.hosts) host.answer_delay = std::chrono::milliseconds(5);
        town.write_files();
        town.clients.use_client_timeouts(2);
        std::vector<std::string> arguments{"serve", "--config", (town.folder / "config.json").string()};
        if (with_rules) {
            std::ofstream(town.folder / "settings.xml") << kRules;
            arguments.insert(arguments.end(), {"--settings", (town.folder / "settings.xml").string()});
        }
        router.emplace(town.folder, program, arguments);
        while (router->output().find("serving") == std::string::npos)
            run_for(io, std::chrono::milliseconds(20));
    }
    static ClusterOptions plot() {
        ClusterOptions plot;
        plot.router_descriptors = 1024;
        return plot;
    }
    // Returns how many RPCs of the crowd's clients were served within 0.5 s, and how many were sent, during
    // the next `ms` milliseconds.
    std::pair<int, int> count_served_in_time(std::int64_t ms) {
        const std::size_t first = town.clients.rpcs().size();
        run_for(io, std::chrono::milliseconds(ms));
        const std::size_t end = town.clients.rpcs().size();
        run_for(io, std::chrono::milliseconds(1100));
        int served = 0;
        for (std::size_t i = first; i < end; ++i) {
            const auto &row = town.clients.rpcs()[i];
            served += row.answer == "served" && row.latency_ms <= 500;
        }
        return {served, static_cast<int>(end - first)};
    }
    asio::io_context io;
    LocalCluster town;
    std::optional<Program> router;
};

// Prints the RPCs served in time without a flood and under each flood, then runs a mass reconnect.
void run_scenario(const std::string &program, bool with_rules, int seconds) {
    const std::pair<const char *, Flood::Plan> floods[] = {
        {"1 address opens connections", {Behavior::send_one_rpc, 0x7f070001, 1, 60, 2000}},
        {"1,000 addresses open connections", {Behavior::send_one_rpc, 0x7f070001, 1000, 60, 2000}},
        {"300 connections send slowly",
         {Behavior::send_slowly, 0x7f070001, 100, 4, 300, "", std::chrono::milliseconds(1000)}},
        {"50 connections never read", {Behavior::never_read, 0x7f070001, 50, 4, 50}},
    };
    FloodScenario scenario(program, with_rules);
    scenario.town.send_steadily("acme", 1500);
    run_for(scenario.io, std::chrono::milliseconds(1000));
    const auto without_flood = scenario.count_served_in_time(seconds * 1000);
    std::cout << (with_rules ? "with rules" : "without")
              << ": served in time without a flood: " << without_flood.first << " of " << without_flood.second
              << "\n";
    for (const auto &[name, plan] : floods) {
        Flood flood(scenario.io, scenario.town.listen, plan);
        flood.start();
        run_for(scenario.io, std::chrono::milliseconds(300));
        const double cpu_before_s = scenario.router->cpu_s();
        const auto opened_before = flood.results().opened;
        const auto served = scenario.count_served_in_time(seconds * 1000);
        const double cpu_used_s = scenario.router->cpu_s() - cpu_before_s;
        std::cout << "  " << name << ": " << served.first << " of " << served.second << " ("
                  << 100.0 * served.first / std::max(1, served.second) << "%), opened "
                  << flood.results().opened - opened_before << ", pushed back " << flood.results().pushed_back
                  << ", router " << cpu_used_s << " s CPU, " << scenario.router->memory_kb() / 1024
                  << " MiB\n";
        flood.stop();
        run_for(scenario.io, std::chrono::milliseconds(1500));
    }
    // Mass reconnect: 250 clients of the crowd connect at once while the flood keeps opening connections.
    Flood flood(scenario.io, scenario.town.listen, {Behavior::send_one_rpc, 0x7f070001, 1000, 60, 2000});
    flood.start();
    run_for(scenario.io, std::chrono::milliseconds(500));
    scenario.town.stop();
    run_for(scenario.io, std::chrono::milliseconds(1100));
    const std::size_t first = scenario.town.clients.rpcs().size();
    const auto began = LocalCluster::now();
    for (int i = 0; i < 250; ++i)
        scenario.town.clients.send_rpc("bern", "lookup", "k" + std::to_string(i), 10000);
    while (scenario.town.clients.open_rpcs() > 0 && LocalCluster::now() < began + 10500)
        run_for(scenario.io, std::chrono::milliseconds(5));
    std::int64_t last_served_ms = 0;
    int served = 0;
    for (std::size_t i = first; i < scenario.town.clients.rpcs().size(); ++i) {
        const auto &row = scenario.town.clients.rpcs()[i];
        if (row.answer != "served") continue;
        ++served;
        last_served_ms = std::max(last_served_ms, row.at + row.latency_ms - began);
    }
    std::cout << "  250 crowd clients reconnect while 1,000 addresses open connections: " << served
              << " served, the last after " << last_served_ms << " ms" << std::endl;
    flood.stop();
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    limit_descriptors(60000);
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 3;
    for (const bool with_rules : {false, true}) run_scenario(argv[1], with_rules, seconds);
}
