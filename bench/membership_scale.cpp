// Measures the registry clients of many routers against a gRPC C++ registry with many hosts, in one process.
// `drains` measures how long drains take to reach every router, `resync` how long a full read takes, and
// `return` the load on the registry when it comes back after an outage with its history compacted.
//
//   build/tests/bench_membership_scale drains [HOSTS ROUTERS CHANGES_A_SECOND SECONDS]
//   build/tests/bench_membership_scale resync
//   build/tests/bench_membership_scale return [HOSTS ROUTERS]
#include "../tests/membership/fleet.hpp"

#include "membership/blocking/follower.hpp"
#include "standins/blocking/blocking.hpp"

#include <algorithm>
#include <iostream>
#include <map>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

// Returns a registry value of the size of a real host entry.
std::string value_of(int i) {
    return R"({"id":"s-)" + std::to_string(10000000 + i) +
           R"(","addr":"10.1.0.18:6379","zone":"a","kind":"m2","cell":3,)" +
           R"("state":"in_service","weight":1.0,"started_ms":0,"version_no":41})";
}

void fill(standins::Registry &registry, int hosts) {
    std::vector<standins::KeyChange> records;
    for (int i = 0; i < hosts; ++i)
        records.push_back({0, "/hosts/h" + std::to_string(i), value_of(i), false});
    registry.write(records);
}

void wait_for(const std::function<bool()> &condition) {
    while (!condition()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

// Changes `changes` hosts per second, each fiftieth change a drain, and prints how long the drains take to
// reach the sources of all routers.
void measure_drains(int hosts, int routers, int changes, int seconds) {
    standins::Registry registry;
    fill(registry, hosts);
    SourceFleet fleet(registry, routers, 4, 0);
    wait_for([&] {
        return fleet.received_entries() >=
                   static_cast<std::size_t>(hosts) * static_cast<std::size_t>(routers) &&
               registry.watches() >= routers;
    });
    const auto began = Clock::now();
    int drained = 0;
    for (int i = 0; i < changes * seconds; ++i) {
        std::this_thread::sleep_until(began + std::chrono::microseconds(1000000LL * i / changes));
        if (i % 50 == 49)
            fleet.drain("h" + std::to_string(drained++ % hosts));
        else
            fleet.ready("h" + std::to_string(hosts / 2 + i % (hosts / 2)));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::vector<Ticks> times = fleet.take_drain_delays();
    std::sort(times.begin(), times.end());
    const auto quantile_ms = [&](double share) {
        return times[static_cast<std::size_t>(share * (times.size() - 1))] / 10.0;
    };
    std::cout << hosts << " hosts, " << routers << " routers, " << changes << " changes per second for "
              << seconds << " s: " << drained << " drains, received " << times.size() << " times, p50 "
              << quantile_ms(0.5) << " ms, p99 " << quantile_ms(0.99) << " ms, most " << quantile_ms(1)
              << " ms\n";
}

template <class MakePlot> void measure_one_resync(const char *name, int hosts, const MakePlot &make_plot) {
    boost::asio::io_context io(1);
    std::ostringstream logged;
    const Log log(logged, "bench", Level::error);
    const Limits limits{};
    const auto began = Clock::now();
    std::shared_ptr<standins::BlockingRegistry> server; // destroyed before the event loop
    SourceOptions options = make_plot(io, server);
    Source source(
        io, std::move(options), read_value, limits, log, 7, [&] { return ticks_since(began); },
        [](const Listing &) {});
    const auto start = Clock::now();
    source.begin();
    while (!source.view().synced()) io.run_one();
    const double elapsed_ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    std::cout << name << ", " << hosts << " hosts: " << elapsed_ms << " ms, "
              << source.received_bytes() / 1024 << " KiB\n";
    source.stop();
    io.run_for(std::chrono::milliseconds(50));
}

// Measures a full read of the host list from etcd and by blocking queries, three times for each list size.
void measure_resync() {
    for (const int hosts : {100, 1000, 10000}) {
        standins::Registry registry;
        fill(registry, hosts);
        for (int round = 0; round < 3; ++round)
            measure_one_resync("etcd", hosts, [&](boost::asio::io_context &, auto &) {
                SourceOptions options;
                options.endpoints = {read_address(registry.address(), "endpoint")};
                options.make_protocol = [](View &view, const std::string &authority) {
                    return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "",
                                                            etcd::Timing{});
                };
                return options;
            });
        for (int round = 0; round < 3; ++round)
            measure_one_resync("blocking queries", hosts, [&](boost::asio::io_context &io, auto &server) {
                server = std::make_shared<standins::BlockingRegistry>(io);
                for (int i = 0; i < hosts; ++i) server->put("hosts/h" + std::to_string(i), value_of(i));
                SourceOptions options;
                options.endpoints = {read_address(server->address(), "endpoint")};
                options.make_protocol = [](View &view, const std::string &authority) {
                    return std::make_shared<blocking::Follower>(view, read_value, "hosts/", authority, "",
                                                                blocking::Timing{}, 3);
                };
                return options;
            });
    }
}

// Counts the pages read in the busiest 0.1 s after the registry returns from an outage with its history
// compacted, for several values of the read spread.
void measure_return(int hosts, int routers) {
    for (const Ticks spread : {Ticks{0}, Ticks{20000}, Ticks{100000}}) {
        standins::Registry registry;
        fill(registry, hosts);
        SourceFleet fleet(registry, routers, 4, spread);
        wait_for([&] { return registry.watches() >= routers; });
        registry.stop();
        std::this_thread::sleep_for(std::chrono::seconds(3));
        registry.put("/hosts/h0", value_of(0));
        registry.compact(registry.revision());
        registry.take_read_times();
        const int watches_before = registry.watches();
        const std::size_t bytes_before = fleet.received_bytes();
        registry.start();
        const auto began = Clock::now();
        // Each router opens two watches: one is refused as compacted, the other follows the full read.
        wait_for([&] { return registry.watches() >= watches_before + 2 * routers; });
        const double elapsed_s = std::chrono::duration<double>(Clock::now() - began).count();
        std::map<long, int> pages_per_interval;
        int max_pages = 0;
        for (const auto &read_at : registry.take_read_times())
            max_pages = std::max(
                max_pages,
                ++pages_per_interval
                    [std::chrono::duration_cast<std::chrono::milliseconds>(read_at - began).count() / 100]);
        std::cout << hosts << " hosts, " << routers << " routers, spread " << spread / 10000.0
                  << " s: all routers watch again after " << elapsed_s << " s, at most " << max_pages
                  << " pages in 0.1 s, " << (fleet.received_bytes() - bytes_before) / 1048576
                  << " MiB in all\n";
    }
}

} // namespace

int main(int argc, char **argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    const auto argument_or = [&](int index, int fallback) {
        return argc > index ? std::atoi(argv[index]) : fallback;
    };
    if (command == "drains") {
        measure_drains(argument_or(2, 10000), argument_or(3, 180), argument_or(4, 500), argument_or(5, 20));
        return 0;
    }
    if (command == "resync") {
        measure_resync();
        return 0;
    }
    if (command == "return") {
        measure_return(argument_or(2, 1000), argument_or(3, 180));
        return 0;
    }
    std::cerr << "usage: bench_membership_scale drains|resync|return [...]\n";
    return 2;
}
