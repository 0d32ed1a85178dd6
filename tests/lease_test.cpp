// A router's list of hosts is held under a lease: past the time up to which it is known to be complete
// nothing is sent by it. Real processes on loopback, told by a discovery that refuses, resets, hangs or cuts
// its answers; the verdict is read from what the hosts recorded, set against when each change was made.
#undef NDEBUG
#include "standins/discovery/faulty.hpp"
#include "standins/program/program.hpp"
#include "standins/town/town.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;
using std::chrono::milliseconds;
using Mode = FaultyDiscovery::Mode;

namespace {

constexpr std::int64_t kToldAfter = 6000; // ms: a change counts as told so long after discovery had it
constexpr std::int64_t kGrace = 300; // ms: of a drain, with the slack that sockets are given
constexpr int kInstances = 300; // routers of the fleet that this one is told it belongs to
constexpr double kRequestsPerSecond = 60;
constexpr int kReleased = 2; // the build that is released; those before it go
constexpr milliseconds kLine(2000); // for which a crowded discovery lets a call wait before it turns it away

// One router process, its two hosts "stays" and "drains", and a steady stream of requests.
struct World {
    World(asio::io_context &loop, std::string its_name, std::string program, int drains_build)
        : io(loop), name(std::move(its_name)), program_(std::move(program)), town(loop, Plot{}),
          discovery(loop, Town::now) {
        town.host("stays", "north", kReleased);
        town.host("drains", "north", drains_build);
        town.platform.build = kReleased;
        for (const Host &host : town.hosts) discovery.list(host.entry());
        write_config();
    }

    void write_config() {
        nlohmann::json config = nlohmann::json::parse(town.config_text());
        config["discovery"] = discovery.address();
        config["known"] = discovery.whole();
        config["settings"]["instances"] = kInstances;
        config["settings"]["rules"]["askEvery"] = 10;
        config["settings"]["rules"]["drainGrace"] = 0.25;
        std::ofstream(town.folder / "config.json") << config.dump();
    }
    void start() {
        router.emplace(town.folder, program_,
                       std::vector<std::string>{"serve", "--config", (town.folder / "config.json").string(),
                                                "--log-level", "debug"});
    }
    void kill() {
        router->signal(SIGKILL);
        router.reset();
    }
    // Tells discovery of the drain, and the host, which turns away from then on what it is sent.
    std::int64_t drain() {
        for (Host &host : town.hosts)
            if (host.id == "drains") host.state = "terminating", discovery.list(host.entry());
        return discovery.changes.back().at;
    }

    asio::awaitable<bool> until(std::function<bool()> held, milliseconds most = milliseconds(15000)) {
        const auto end = std::chrono::steady_clock::now() + most;
        asio::steady_timer timer(io);
        while (!held() && std::chrono::steady_clock::now() < end) {
            timer.expires_after(milliseconds(5));
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return held();
    }
    // Starts the router; returns once it serves and its watch on discovery stands.
    asio::awaitable<void> begin_service() {
        start();
        town.flow("acme", kRequestsPerSecond);
        expect(co_await until([&] { return discovery.standing() > 0; }), "no watch");
        expect(co_await until([&] { return served_since(0); }), "not served at first");
        // Long enough for the watch to be no call that is turned away at once.
        co_await until_time(Town::now() + 400);
    }
    asio::awaitable<void> until_time(std::int64_t at) {
        co_await until([at] { return Town::now() >= at; });
    }

    std::size_t picks(const std::string &host, std::int64_t from, std::int64_t to) const {
        std::size_t count = 0;
        for (const PickRow &row : town.picks)
            count += row.host == host && row.begun >= from && row.begun < to;
        return count;
    }
    bool served_since(std::int64_t at) const { return picks("stays", at, INT64_MAX) > 0; }

    void expect(bool held, const std::string &what) {
        if (held) return;
        std::cerr << name << ": " << what << "\n";
        failed = true;
    }
    void expect_none_at_drained(std::int64_t told) {
        std::size_t late = 0;
        std::int64_t latest = 0;
        for (const PickRow &row : town.picks) {
            if (row.host != "drains" || row.begun <= told + kGrace) continue;
            ++late, latest = std::max(latest, row.begun - told);
        }
        expect(late == 0, std::to_string(late) + " requests sent to a drained host, the last " +
                              std::to_string(latest) + " ms after its drain counts as told");
    }
    // Each request that the process took has had its answer.
    void expect_all_answered() {
        std::size_t lost = 0;
        for (const Asked &asked : town.clients.asked()) lost += asked.answer == "lost";
        expect(lost == 0, std::to_string(lost) + " requests lost");
    }

    asio::io_context &io;
    const std::string name;
    const std::string program_;
    Town town;
    FaultyDiscovery discovery;
    std::optional<Program> router;
    bool failed = false, over = false;
};

// Started, killed and started again with a list from before a drain that counts as told by then, while
// discovery refuses, resets or hangs.
asio::awaitable<void> restart_with_an_old_list(World &world, Mode mode) {
    const std::int64_t told = world.drain() + kToldAfter;
    co_await world.until_time(told + kGrace);
    world.town.flow("acme", kRequestsPerSecond);
    world.discovery.set(mode);
    for (int start = 0; start < 2; ++start) {
        world.start();
        const int calls = world.discovery.calls;
        co_await world.until([&] { return world.discovery.calls > calls; });
        co_await world.until_time(Town::now() + 1500);
        world.kill();
    }
    world.start();
    const int calls = world.discovery.calls;
    co_await world.until([&] { return world.discovery.calls > calls; });
    world.discovery.set(Mode::serving);
    const std::int64_t back = Town::now();
    world.expect(co_await world.until([&] { return world.served_since(back); }), "not served again");
    world.expect_none_at_drained(told);
}

// Discovery ends the watch and fails each call from then on; the host of the build before the released one
// drains at that moment. (While discovery is down nothing counts as told; but whether it is down or back and
// crowded cannot be told from a failed call, and a host with a reason to drain gets nothing.)
asio::awaitable<void> outage_with_a_drain(World &world, Mode mode) {
    co_await world.begin_service();
    world.discovery.set(mode);
    const std::int64_t drained = world.drain();
    co_await world.until_time(drained + kToldAfter + 2500);
    world.expect(world.picks("stays", drained, drained + 4000) > 0, "not served while the list holds");
    world.discovery.set(Mode::serving);
    const std::int64_t back = Town::now();
    world.expect(co_await world.until([&] { return world.served_since(back); }), "not served again");
    world.expect_none_at_drained(drained + kToldAfter);
    world.expect_all_answered();
}

// A quiet watch ends with nothing new; the call that follows is refused, and a host drains unheard.
asio::awaitable<void> refused_after_a_quiet_watch(World &world) {
    co_await world.begin_service();
    world.discovery.refuse_after = kLine;
    world.discovery.set(Mode::crowded);
    world.expect(co_await world.until([&] { return world.discovery.standing() == 0; }, milliseconds(25000)),
                 "the watch has not ended");
    const std::int64_t drained = world.drain();
    co_await world.until_time(drained + kToldAfter + 2500);
    world.expect_none_at_drained(drained + kToldAfter);
    world.expect_all_answered();
}

// Discovery is down for longer than the lease: what has no reason to drain is sent to all the while. A host
// drains as discovery returns, crowded at first: nothing is sent there past the time that counts from then.
asio::awaitable<void> outage_with_a_crowded_return(World &world) {
    co_await world.begin_service();
    world.discovery.refuse_after = kLine;
    world.discovery.set(Mode::refusing);
    const std::int64_t down = Town::now();
    co_await world.until_time(down + 12000);
    const std::int64_t past_lease = down + kToldAfter + 500, end = down + 12000;
    const std::size_t served = world.picks("stays", past_lease, end) + world.picks("drains", past_lease, end);
    world.expect(served > 60, "not served in the outage"); // 1.5 s of it at the least, by the drawn waits
    const std::int64_t drained = world.drain();
    co_await world.until_time(drained + kLine.count());
    world.discovery.set(Mode::serving);
    co_await world.until_time(drained + kToldAfter + 2500);
    const bool again = co_await world.until([&] { return world.served_since(drained + kToldAfter); });
    world.expect(again, "not served again");
    world.expect_none_at_drained(drained + kToldAfter);
    world.expect_all_answered();
}

// The same with a return that stays crowded, and a host that drains for another reason than a release: it
// runs the build that stays. Each call is turned away after its wait in the line, as it was in the outage, so
// that the router goes on presuming one; but discovery has the change and can be reached, so that it counts
// as told after 6 s.
asio::awaitable<void> crowded_for_longer_than_the_lease(World &world) {
    co_await world.begin_service();
    world.discovery.refuse_after = kLine;
    world.discovery.set(Mode::refusing);
    const std::int64_t down = Town::now();
    co_await world.until_time(down + 8000);
    const std::int64_t drained = world.drain();
    co_await world.until_time(drained + 2 * kToldAfter);
    world.discovery.set(Mode::serving);
    const std::int64_t back = Town::now();
    world.expect(co_await world.until([&] { return world.served_since(back); }), "not served again");
    world.expect_none_at_drained(drained + kToldAfter);
    world.expect_all_answered();
}

// The answer that tells of a drain is cut; what it told counts, although it cannot be read.
asio::awaitable<void> cut_answer_with_a_drain(World &world) {
    co_await world.begin_service();
    world.discovery.set(Mode::cutting);
    const std::int64_t drained = world.drain();
    co_await world.until_time(drained + 3000);
    world.discovery.set(Mode::serving);
    const std::int64_t back = Town::now();
    world.expect(co_await world.until([&] { return world.served_since(back); }), "not served again");
    world.expect_none_at_drained(drained);
    world.expect_all_answered();
}

// Runs the worlds side by side to their ends; the exit status.
int finish(asio::io_context &io, std::list<World> &worlds) {
    const auto all_over = [&] {
        return std::all_of(worlds.begin(), worlds.end(), [](const World &world) { return world.over; });
    };
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(90);
    while (!all_over() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(5));
    bool failed = false;
    for (World &world : worlds) {
        world.expect(world.over, "not over in time");
        if (world.failed) std::cerr << world.router->said().substr(0, 6000) << "\n";
        failed = failed || world.failed;
    }
    return failed ? 1 : 0;
}

} // namespace

// lease_test PROGRAM: all worlds but one. lease_test PROGRAM crowded: that one.
int main(int count, char **argv) {
    asio::io_context io;
    std::list<World> worlds;
    const auto play = [&](const std::string &name, auto scenario, int drains_build = kReleased) {
        World &world = worlds.emplace_back(io, name, argv[1], drains_build);
        asio::co_spawn(io, scenario(world), [&world](const std::exception_ptr &thrown) {
            if (thrown) std::rethrow_exception(thrown);
            world.over = true;
        });
    };
    if (count > 2) {
        play("crowded for long", crowded_for_longer_than_the_lease);
        return finish(io, worlds);
    }
    play("restart, refused", [](World &world) { return restart_with_an_old_list(world, Mode::refusing); });
    play("restart, reset", [](World &world) { return restart_with_an_old_list(world, Mode::resetting); });
    play("restart, hanging", [](World &world) { return restart_with_an_old_list(world, Mode::hanging); });
    const int before = kReleased - 1;
    play(
        "outage, refused", [](World &world) { return outage_with_a_drain(world, Mode::refusing); }, before);
    play(
        "outage, reset", [](World &world) { return outage_with_a_drain(world, Mode::resetting); }, before);
    play("crowded return", outage_with_a_crowded_return);
    play("quiet watch", refused_after_a_quiet_watch);
    play("cut answer", cut_answer_with_a_drain);
    return finish(io, worlds);
}
