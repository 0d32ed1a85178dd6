// Measures the time from the decision module's verdict to roll a build back until the last pick at that
// build. A complete router runs on loopback with hosts of a failing build and a desk that pulls the build on
// the first opinion to roll it back. The platform does not withdraw the build: only the release plan does.
//
//   build/tests/bench_release_back [ROLLBACKS]
//
// If the environment variable TRACE is set, the picks and the router's log of each rollback go to stderr.
#include "router/service.hpp"
#include "standins/town/town.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

int main(int argc, char **argv) {
    const int rollbacks = argc > 1 ? std::atoi(argv[1]) : 200;
    asio::io_context io;
    ClusterOptions plot;
    plot.caps = {1, 1};
    plot.stages = "0.1 0.5 1";
    LocalCluster town(io, plot);
    for (int i = 0; i < 3; ++i) town.host("old" + std::to_string(i), "north", 1);
    std::vector<Host *> trial;
    for (int i = 0; i < 3; ++i) trial.push_back(&town.host("new" + std::to_string(i), "north", 2, 60));
    town.platform.build = 2;
    town.platform.phase = "Progressing";
    town.write_files();
    router::RouterConfig router_config = router::read_config_file((town.folder / "config.json").string(),
                                                                  [](const char *) { return nullptr; });
    router::apply_settings(router_config, read_settings_file((town.folder / "settings.xml").string()));
    std::ostringstream logged;
    const Log log(logged, "n1", Level::info);
    router::Service service(
        io, "", [](const char *) { return nullptr; }, router_config, log, [] {});
    using Clock = std::chrono::steady_clock;
    const auto run_until = [&](const std::function<bool()> &condition, double seconds) {
        const auto end = Clock::now() +
                         std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
        while (!condition() && Clock::now() < end) io.run_one_for(std::chrono::milliseconds(5));
        return condition();
    };
    run_until([&] { return logged.str().find("desk.up") != std::string::npos; }, 10);
    town.send_steadily("acme", 400);
    std::vector<double> delays_ms;
    int missing_verdicts = 0;
    for (int build = 2; static_cast<int>(delays_ms.size()) < rollbacks && missing_verdicts < 50; ++build) {
        logged.str("");
        for (Host *host : trial) {
            host->build = build;
            host->started_ms = 0;
        }
        town.discovery.notify_watches();
        town.desk.execute("offer booking/" + std::to_string(build));
        town.desk.execute("stage booking/" + std::to_string(build) + " north acme 3");
        town.platform.set(build, 1, "Progressing");
        const std::string vote = "vote back on build " + std::to_string(build);
        if (!run_until([&] { return logged.str().find(vote) != std::string::npos; }, 20)) {
            ++missing_verdicts;
            continue;
        }
        const std::int64_t verdict_at = LocalCluster::now();
        const auto is_pulled = [&] {
            const auto &steps = town.desk.log().steps();
            return steps.back().update.at("type") == "pull";
        };
        run_until(is_pulled, 5);
        run_until([] { return false; }, 0.25);
        std::int64_t last_pick_at = verdict_at;
        for (const PickRecord &pick : town.picks)
            if (pick.build == build) last_pick_at = std::max(last_pick_at, pick.at);
        if (std::getenv("TRACE")) {
            int before = 0;
            int after = 0;
            for (const PickRecord &pick : town.picks)
                (pick.at <= verdict_at ? before : after) += pick.build == build;
            std::cerr << build << ": " << before << " picks before, " << after << " after; pull "
                      << town.desk.log().steps().back().at - verdict_at << " ms\n"
                      << logged.str();
        }
        delays_ms.push_back(static_cast<double>(last_pick_at - verdict_at));
        town.picks.clear();
    }
    std::sort(delays_ms.begin(), delays_ms.end());
    if (delays_ms.empty()) return 1;
    const auto quantile = [&](double share) {
        return delays_ms[static_cast<std::size_t>(share * (delays_ms.size() - 1))];
    };
    std::cout << delays_ms.size() << " rollbacks, " << missing_verdicts
              << " without a verdict in 20 s; ms from the verdict to the last pick: p50 " << quantile(0.5)
              << ", p99 " << quantile(0.99) << ", most " << delays_ms.back() << "\n";
    town.stop();
    io.stop();
}
