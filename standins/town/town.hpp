// All that stands round one router on loopback: discovery, platform, desk, hosts and clients, and the two
// files that the router is told by. The demo starts the router as a process, tests run it on the same loop.
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

// The same fields as in our settings; the desk's address is the town's.
struct Plot {
    std::string zone = "north";
    std::vector<std::string> zones{"north", "south"}, customers{"acme", "bern", "cord"};
    std::string stages = "0.05 0.25 1"; // shares
    std::string order = R"(<order by="zones"/>)";
    std::string extra{}; // freezes and dependencies
    std::string evidence = R"(<evidence picks="5" silent-after-s="60" renew-s="0.3"/>)";
    std::vector<double> caps{1, 1}; // of the platform, by stage
    unsigned short desk_port = 0;
    int sockets = 512; // descriptors that the router is told it has
};

class Town {
  public:
    Town(asio::io_context &io, const Plot &plot, std::ostream *record = nullptr);
    ~Town();
    Town(const Town &) = delete;

    Host &host(const std::string &id, const std::string &zone, int build, int fails_of_100 = 0);
    void write_files(); // once the hosts stand
    std::string settings_text() const;
    std::string config_text() const;
    // A steady stream of RPCs, so many a second of each customer, until told to stop.
    void flow(const std::string &customer, double per_second);
    void stop() { flowing_ = false; }
    static std::int64_t now();

    asio::io_context &io;
    const Plot plot;
    const std::filesystem::path folder;
    Picks picks;
    std::list<Host> hosts;
    Desk desk;
    Discovery discovery;
    Platform platform;
    const Place place; // the router's, from before it listens
    asio::ip::tcp::endpoint listen;
    Clients clients;

  private:
    asio::awaitable<void> run(std::string customer, double per_second);
    bool flowing_ = true;
};

} // namespace pineridge::standins
