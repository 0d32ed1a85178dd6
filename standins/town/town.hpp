// Everything around one router on loopback: discovery, platform, desk, hosts and clients, and the router's
// two configuration files. The demo starts the router as a process; tests may run it on the same io_context.
#pragma once

#include "settings/release.hpp"
#include "standins/checker/release.hpp"
#include "standins/clients/clients.hpp"
#include "standins/desk/desk.hpp"
#include "standins/discovery/discovery.hpp"
#include "standins/host/host.hpp"
#include "standins/platform/platform.hpp"

#include <filesystem>
#include <optional>
#include <random>

namespace pineridge::standins {

// The fields have the meaning of the settings of the same names; the desk's address comes from the cluster.
struct ClusterOptions {
    std::string zone = "north";
    std::vector<std::string> zones{"north", "south"}, customers{"acme", "bern", "cord"};
    std::string stages = "0.05 0.25 1"; // shares
    std::string order = R"(<order by="zones"/>)";
    std::string extra{}; // elements for freezes and dependencies
    std::string evidence = R"(<evidence picks="5" silent-after-s="60" renew-s="0.3"/>)";
    std::vector<double> caps{1, 1}; // the platform's, by stage
    unsigned short desk_port = 0;
    int router_descriptors = 512; // configured in the router as its descriptor limit
    int router_memory_mb = 64; // configured in the router as its memory limit
};

class LocalCluster {
  public:
    LocalCluster(asio::io_context &io, const ClusterOptions &options, std::ostream *record = nullptr);
    ~LocalCluster();
    LocalCluster(const LocalCluster &) = delete;

    Host &host(const std::string &id, const std::string &zone, int build, int failure_percent = 0);
    void write_files(); // call it after adding the hosts
    std::string settings_text() const;
    std::string config_text() const;
    // Sends RPCs of one customer at a mean rate per second, with random gaps, until stop().
    void send_steadily(const std::string &customer, double per_second);
    void stop() { sending_ = false; }
    static std::int64_t now(); // ms since the Unix epoch

    asio::io_context &io;
    const ClusterOptions options;
    const std::filesystem::path folder;
    Picks picks;
    std::list<Host> hosts;
    Desk desk;
    Discovery discovery;
    Platform platform;
    const ReservedPort reserved_port; // the router's, reserved before it listens
    asio::ip::tcp::endpoint listen;
    Clients clients;

  private:
    asio::awaitable<void> run(std::string customer, double per_second);
    bool sending_ = true;
};

} // namespace pineridge::standins
