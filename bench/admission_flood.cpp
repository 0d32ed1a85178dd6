// Known clients beside strangers, with and without rules at the door: their goodput under each flood as a
// share of the calm one, how long until all are served after a mass reconnect, and what a refused connection
// costs.
//
//   build/tests/bench_admission_flood PROGRAM [SECONDS]
//
// The program runs on a core of its own where the caller sees to it; clients, hosts and floods share a
// process.
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

struct Scene {
    Scene(const std::string &program, bool with_rules) : town(io, plot()) {
        for (int i = 0; i < 16; ++i) town.host("h" + std::to_string(i), "north", 1);
        for (Host &host : town.hosts) host.takes = std::chrono::milliseconds(5);
        town.write_files();
        town.clients.lose_patience(2);
        std::vector<std::string> words{"serve", "--config", (town.folder / "config.json").string()};
        if (with_rules) {
            std::ofstream(town.folder / "settings.xml") << kRules;
            words.insert(words.end(), {"--settings", (town.folder / "settings.xml").string()});
        }
        router.emplace(town.folder, program, words);
        while (router->said().find("serving") == std::string::npos)
            run_for(io, std::chrono::milliseconds(20));
    }
    static Plot plot() {
        Plot plot;
        plot.sockets = 1024;
        return plot;
    }
    // RPCs of known clients served within 0.5 s, of those asked meanwhile.
    std::pair<int, int> good(std::int64_t ms) {
        const std::size_t before = town.clients.asked().size();
        run_for(io, std::chrono::milliseconds(ms));
        const std::size_t until = town.clients.asked().size();
        run_for(io, std::chrono::milliseconds(1100));
        int served = 0;
        for (std::size_t i = before; i < until; ++i) {
            const auto &row = town.clients.asked()[i];
            served += row.answer == "served" && row.took <= 500;
        }
        return {served, static_cast<int>(until - before)};
    }
    asio::io_context io;
    Town town;
    std::optional<Program> router;
};

void play(const std::string &program, bool with_rules, int seconds) {
    const std::pair<const char *, Flood::Plan> floods[] = {
        {"one address opens", {Manner::asks, 0x7f070001, 1, 60, 2000}},
        {"1,000 addresses open", {Manner::asks, 0x7f070001, 1000, 60, 2000}},
        {"300 drip", {Manner::drips, 0x7f070001, 100, 4, 300, "", std::chrono::milliseconds(1000)}},
        {"50 never read", {Manner::never_reads, 0x7f070001, 50, 4, 50}},
    };
    Scene scene(program, with_rules);
    scene.town.flow("acme", 1500);
    run_for(scene.io, std::chrono::milliseconds(1000));
    const auto calm = scene.good(seconds * 1000);
    std::cout << (with_rules ? "with rules" : "without") << ": calm " << calm.first << " of " << calm.second
              << "\n";
    for (const auto &[name, plan] : floods) {
        Flood flood(scene.io, scene.town.listen, plan);
        flood.begin();
        run_for(scene.io, std::chrono::milliseconds(300));
        const double cpu = scene.router->cpu_s();
        const auto opened = flood.seen().opened;
        const auto got = scene.good(seconds * 1000);
        const double used = scene.router->cpu_s() - cpu;
        std::cout << "  " << name << ": " << got.first << " of " << got.second << " ("
                  << 100.0 * got.first / std::max(1, got.second) << "%), opened "
                  << flood.seen().opened - opened << ", pushed back " << flood.seen().pushed_back
                  << ", router " << used << " s CPU, " << scene.router->memory_kb() / 1024 << " MiB\n";
        flood.stop();
        run_for(scene.io, std::chrono::milliseconds(1500));
    }
    // Mass reconnect: 250 known clients at once while strangers open without pause.
    Flood flood(scene.io, scene.town.listen, {Manner::asks, 0x7f070001, 1000, 60, 2000});
    flood.begin();
    run_for(scene.io, std::chrono::milliseconds(500));
    scene.town.stop();
    run_for(scene.io, std::chrono::milliseconds(1100));
    const std::size_t before = scene.town.clients.asked().size();
    const auto began = Town::now();
    for (int i = 0; i < 250; ++i) scene.town.clients.ask("bern", "lookup", "k" + std::to_string(i), 10000);
    while (scene.town.clients.open() > 0 && Town::now() < began + 10500)
        run_for(scene.io, std::chrono::milliseconds(5));
    std::int64_t last = 0;
    int served = 0;
    for (std::size_t i = before; i < scene.town.clients.asked().size(); ++i) {
        const auto &row = scene.town.clients.asked()[i];
        if (row.answer != "served") continue;
        ++served;
        last = std::max(last, row.at + row.took - began);
    }
    std::cout << "  250 known reconnect under 1,000 that open: " << served << " served, the last after "
              << last << " ms" << std::endl;
    flood.stop();
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    allow_descriptors(60000);
    const int seconds = argc > 2 ? std::atoi(argv[2]) : 3;
    for (const bool with_rules : {false, true}) play(argv[1], with_rules, seconds);
}
