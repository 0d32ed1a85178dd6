// Time from the module's verdict back to the last pick at the build, on loopback: a whole router, a desk that
// pulls on the first opinion back, hosts of a failing build. The platform does not withdraw it: the plan
// alone does.
//
//   build/tests/bench_release_back [ROLLBACKS]
#include "router/service.hpp"
#include "standins/town/town.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

int main(int argc, char **argv) {
    const int wanted = argc > 1 ? std::atoi(argv[1]) : 200;
    asio::io_context io;
    Plot plot;
    plot.caps = {1, 1};
    plot.stages = "0.1 0.5 1";
    Town town(io, plot);
    for (int i = 0; i < 3; ++i) town.host("old" + std::to_string(i), "north", 1);
    std::vector<Host *> trial;
    for (int i = 0; i < 3; ++i) trial.push_back(&town.host("new" + std::to_string(i), "north", 2, 60));
    town.platform.build = 2, town.platform.phase = "Progressing";
    town.write_files();
    router::RouterConfig router_config = router::read_config_file((town.folder / "config.json").string(),
                                                                  [](const char *) { return nullptr; });
    router::apply_settings(router_config, read_settings_file((town.folder / "settings.xml").string()));
    std::ostringstream logged;
    const Log log(logged, "n1", Level::info);
    router::Service service(
        io, "", [](const char *) { return nullptr; }, router_config, log, [] {});
    using Clock = std::chrono::steady_clock;
    const auto until = [&](const std::function<bool()> &held, double seconds) {
        const auto end = Clock::now() +
                         std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
        while (!held() && Clock::now() < end) io.run_one_for(std::chrono::milliseconds(5));
        return held();
    };
    until([&] { return logged.str().find("desk.up") != std::string::npos; }, 10);
    town.flow("acme", 400);
    std::vector<double> took;
    int missed = 0;
    for (int build = 2; static_cast<int>(took.size()) < wanted && missed < 50; ++build) {
        logged.str("");
        for (Host *host : trial) host->build = build, host->started_ms = 0;
        town.discovery.changed();
        town.desk.tell("offer booking/" + std::to_string(build));
        town.desk.tell("stage booking/" + std::to_string(build) + " north acme 3");
        town.platform.set(build, 1, "Progressing");
        const std::string vote = "vote back on build " + std::to_string(build);
        if (!until([&] { return logged.str().find(vote) != std::string::npos; }, 20)) {
            ++missed;
            continue;
        }
        const std::int64_t said = Town::now();
        const auto pulled = [&] {
            const auto &steps = town.desk.ledger().steps();
            return steps.back().word.at("type") == "pull";
        };
        until(pulled, 5);
        until([] { return false; }, 0.25);
        std::int64_t last = said;
        for (const PickRow &pick : town.picks)
            if (pick.build == build) last = std::max(last, pick.at);
        if (std::getenv("TRACE")) {
            int before = 0, after = 0;
            for (const PickRow &pick : town.picks) (pick.at <= said ? before : after) += pick.build == build;
            std::cerr << build << ": " << before << " picks before, " << after << " after; pull "
                      << town.desk.ledger().steps().back().at - said << " ms\n"
                      << logged.str();
        }
        took.push_back(static_cast<double>(last - said));
        town.picks.clear();
    }
    std::sort(took.begin(), took.end());
    if (took.empty()) return 1;
    const auto part = [&](double share) { return took[static_cast<std::size_t>(share * (took.size() - 1))]; };
    std::cout << took.size() << " rollbacks, " << missed
              << " without a verdict in 20 s; ms from the verdict back to the last pick: p50 " << part(0.5)
              << ", p99 " << part(0.99) << ", most " << took.back() << "\n";
    town.stop();
    io.stop();
}
