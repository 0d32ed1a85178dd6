// A complete router with traffic that takes its hosts from a stand-in registry; for a test and a benchmark.
#pragma once

#include "../running_router.hpp"
#include "../until.hpp"
#include "standins/registry/registry.hpp"
#include "standins/town/town.hpp"

#include <cassert>
#include <fstream>
#include <iostream>

namespace pineridge::test {

struct RegistryWorld {
    explicit RegistryWorld(int hosts = 6) : town(io, standins::ClusterOptions{}) {
        for (int i = 0; i < hosts; ++i) put(town.host("h" + std::to_string(i), "north", 1));
        town.write_files();
        // Discovery has no hosts: all come from the registry.
        json config = json::parse(town.config_text());
        config["known"]["servers"] = json::array();
        std::ofstream(town.folder / "config.json") << config.dump();
        std::ofstream(town.folder / "settings.xml")
            << R"(<pineridge xmlns="urn:pineridge:settings:1"><registry prefix="/hosts/" plaintext="true"><endpoint address=")"
            << registry.address()
            << R"("/><watch progress-s="0.1" quiet-s="0.5" look-s="0.4" answer-s="0.5"/></registry></pineridge>)";
        router.launch(io, town.folder);
        until([&] { return has_logged("serving") && registry.watches() > 0; });
        town.send_steadily("acme", 500);
    }
    ~RegistryWorld() { town.stop(); }

    void put(const standins::Host &host) { registry.put("/hosts/" + host.id, host.entry().dump()); }
    bool has_logged(const std::string &part) const { return router.has_logged(part); }
    void until(const std::function<bool()> &held,
               const std::source_location &place = std::source_location::current()) {
        run_until(
            io, held, 30, [&] { return router.log_text.str(); }, place);
    }
    int picks_at(const std::string &id, std::int64_t since) const {
        int count = 0;
        for (const auto &pick : town.picks) count += pick.host == id && pick.at >= since;
        return count;
    }
    // Waits until picks reach the host, then drains it; `before` and `after` inject a fault around the
    // update. Returns the ms from the update's writing to the last pick that reached the host.
    double drain_delay_ms(standins::Host &host, const std::function<void()> &before,
                          const std::function<void()> &after) {
        const std::int64_t began = standins::LocalCluster::now();
        until([&] { return picks_at(host.id, began) > 2; });
        before();
        host.state = "terminating";
        put(host);
        const std::int64_t written = standins::LocalCluster::now();
        after();
        // The drain has taken effect once the other hosts were picked for a while after its last pick.
        const auto quiet = [&] {
            std::int64_t last = written, newest = written;
            for (const auto &pick : town.picks) {
                newest = std::max(newest, pick.at);
                if (pick.host == host.id) last = std::max(last, pick.at);
            }
            return newest - last > 900;
        };
        until(quiet);
        std::int64_t last = written;
        for (const auto &pick : town.picks)
            if (pick.host == host.id) last = std::max(last, pick.at);
        host.state = "in_service";
        host.started_ms = standins::LocalCluster::now() - 5000;
        put(host);
        return static_cast<double>(last - written);
    }

    boost::asio::io_context io;
    standins::LocalCluster town;
    standins::Registry registry;
    RunningRouter router;
};

} // namespace pineridge::test
