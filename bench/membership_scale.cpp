// A registry on grpc++ with many hosts and many routers' worth of sources, all on this machine.
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

// Of the size that a real entry has.
std::string value_of(int i) {
    return R"({"id":"s-)" + std::to_string(10000000 + i) +
           R"(","addr":"10.1.0.18:6379","zone":"a","kind":"m2","cell":3,)" +
           R"("state":"in_service","weight":1.0,"started_ms":0,"version_no":41})";
}

void fill(standins::Registry &registry, int hosts) {
    std::vector<standins::Word> words;
    for (int i = 0; i < hosts; ++i) words.push_back({0, "/hosts/h" + std::to_string(i), value_of(i), false});
    registry.write(words);
}

void wait_for(const std::function<bool()> &held) {
    while (!held()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void drains(int hosts, int routers, int changes, int seconds) {
    standins::Registry registry;
    fill(registry, hosts);
    Fleet fleet(registry, routers, 4, 0);
    wait_for([&] {
        return fleet.told() >= static_cast<std::size_t>(hosts) * static_cast<std::size_t>(routers) &&
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
    std::vector<Ticks> times = fleet.take_times();
    std::sort(times.begin(), times.end());
    const auto part = [&](double share) {
        return times[static_cast<std::size_t>(share * (times.size() - 1))] / 10.0;
    };
    std::cout << hosts << " hosts, " << routers << " routers, " << changes << " changes a second for "
              << seconds << " s: " << drained << " drains told " << times.size() << " times, p50 "
              << part(0.5) << " ms, p99 " << part(0.99) << " ms, most " << part(1) << " ms\n";
}

template <class Begin> void resync_once(const char *name, int hosts, const Begin &begin) {
    boost::asio::io_context io(1);
    std::ostringstream logged;
    const Log log(logged, "bench", Level::error);
    const Limits limits{};
    const auto began = Clock::now();
    std::shared_ptr<standins::Blocking> kept; // goes before the loop
    Plot plot = begin(io, kept);
    Source source(
        io, std::move(plot), read_value, limits, log, 7, [&] { return ticks_since(began); },
        [](const Listing &) {});
    const auto start = Clock::now();
    source.begin();
    while (!source.view().synced()) io.run_one();
    const double took = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    std::cout << name << ", " << hosts << " hosts: " << took << " ms, " << source.heard() / 1024 << " KiB\n";
    source.stop();
    io.run_for(std::chrono::milliseconds(50));
}

void resync() {
    for (const int hosts : {100, 1000, 10000}) {
        standins::Registry registry;
        fill(registry, hosts);
        for (int round = 0; round < 3; ++round)
            resync_once("etcd", hosts, [&](boost::asio::io_context &, auto &) {
                Plot plot;
                plot.endpoints = {read_address(registry.address(), "endpoint")};
                plot.follow = [](View &view, const std::string &authority) {
                    return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "",
                                                            etcd::Timing{});
                };
                return plot;
            });
        for (int round = 0; round < 3; ++round)
            resync_once("blocking queries", hosts, [&](boost::asio::io_context &io, auto &asked) {
                asked = std::make_shared<standins::Blocking>(io);
                for (int i = 0; i < hosts; ++i) asked->put("hosts/h" + std::to_string(i), value_of(i));
                Plot plot;
                plot.endpoints = {read_address(asked->address(), "endpoint")};
                plot.follow = [](View &view, const std::string &authority) {
                    return std::make_shared<blocking::Follower>(view, read_value, "hosts/", authority, "",
                                                                blocking::Timing{}, 3);
                };
                return plot;
            });
    }
}

// Pages read in the busiest tenth of a second once the registry, away and with its history compacted, is
// back.
void comes_back(int hosts, int routers) {
    for (const Ticks spread : {Ticks{0}, Ticks{20000}, Ticks{100000}}) {
        standins::Registry registry;
        fill(registry, hosts);
        Fleet fleet(registry, routers, 4, spread);
        wait_for([&] { return registry.watches() >= routers; });
        registry.stop();
        std::this_thread::sleep_for(std::chrono::seconds(3));
        registry.put("/hosts/h0", value_of(0));
        registry.compact(registry.revision());
        registry.take_read_times();
        const int before = registry.watches();
        const std::size_t bytes = fleet.bytes();
        registry.start();
        const auto began = Clock::now();
        // Each watches twice: the one that is refused as compacted, and the one behind its read.
        wait_for([&] { return registry.watches() >= before + 2 * routers; });
        const double took = std::chrono::duration<double>(Clock::now() - began).count();
        std::map<long, int> busy;
        int most = 0;
        for (const auto &at : registry.take_read_times())
            most = std::max(
                most,
                ++busy[std::chrono::duration_cast<std::chrono::milliseconds>(at - began).count() / 100]);
        std::cout << hosts << " hosts, " << routers << " routers, spread " << spread / 10000.0
                  << " s: all back after " << took << " s, at most " << most << " pages in 0.1 s, "
                  << (fleet.bytes() - bytes) / 1048576 << " MiB in all\n";
    }
}

} // namespace

int main(int argc, char **argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    const auto number = [&](int at, int otherwise) { return argc > at ? std::atoi(argv[at]) : otherwise; };
    if (what == "drains") return drains(number(2, 10000), number(3, 180), number(4, 500), number(5, 20)), 0;
    if (what == "resync") return resync(), 0;
    if (what == "return") return comes_back(number(2, 1000), number(3, 180)), 0;
    std::cerr << "drains, resync or return\n";
    return 2;
}
