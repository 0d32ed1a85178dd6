// Runs a router with admission rules on loopback under floods of unknown clients: configured clients are
// still served, and each RPC that the router accepted is answered.
#undef NDEBUG
#include "../running_router.hpp"
#include "../until.hpp"
#include "standins/flood/flood.hpp"
#include "standins/town/town.hpp"

#include <cassert>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace pineridge;
using namespace pineridge::test;
using standins::Behavior;
using standins::Flood;

namespace {

// The stand-in clients, in the crowd "desks", connect from 127.0.0.1, floods from 127.7.0.1 and up.
constexpr std::chrono::milliseconds kDrip{50}; // between bytes; not used by floods that send whole commands
constexpr std::chrono::milliseconds kPause{5}; // between connections
constexpr const char *kRules = R"(<others per-address="20" most="60"/>
<crowd name="desks" reserve="60" weight="3"><network address="127.0.0.1/32"/></crowd>)";

struct Fixture {
    explicit Fixture(const std::string &rules = kRules, int descriptors = 256, int memory_mb = 64)
        : town(io, options_for(descriptors, memory_mb)) {
        for (int i = 0; i < 4; ++i) town.host("h" + std::to_string(i), "north", 1);
        town.write_files();
        write_settings(rules);
        router.launch(io, town.folder);
        until([&] { return router.has_logged("serving"); });
        // The module may push back too, which is not under test: clients retry.
        town.clients.use_client_timeouts(6);
    }
    ~Fixture() { town.stop(); }
    static standins::ClusterOptions options_for(int descriptors, int memory_mb) {
        standins::ClusterOptions options;
        options.router_descriptors = descriptors;
        options.router_memory_mb = memory_mb;
        return options;
    }
    void write_settings(const std::string &rules, const std::string &attributes = "") {
        std::ofstream(town.folder / "settings.xml")
            << "<pineridge xmlns=\"urn:pineridge:settings:1\">\n<admission" << attributes << ">\n"
            << rules << "\n</admission></pineridge>\n";
    }
    void until(const std::function<bool()> &condition,
               const std::source_location &place = std::source_location::current()) {
        run_until(
            io, condition, 120, [&] { return router.log_text.str(); }, place);
    }
    // Sends RPCs of configured clients, at most sixteen at a time, and counts their answers.
    void send_rpcs(int count) {
        const std::size_t already_sent = town.clients.rpcs().size();
        for (int i = 0; i < count; ++i) {
            until([&] { return town.clients.open_rpcs() < 16; });
            town.clients.send_rpc("acme", i % 5 == 0 ? "do-book" : "lookup", "k" + std::to_string(i), 5000);
        }
        until([&] { return town.clients.open_rpcs() == 0; });
        answered_ = served_ = 0;
        for (std::size_t i = already_sent; i < town.clients.rpcs().size(); ++i) {
            const auto &row = town.clients.rpcs()[i];
            ++answered_;
            served_ += row.answer == "served";
            if (row.answer == "lost" || row.answer == "refused" || row.answer.empty()) {
                std::cerr << row.rpc << " " << row.answer << "\n";
                assert(false);
            }
        }
    }
    double served_share() const { return static_cast<double>(served_) / answered_; }

    boost::asio::io_context io;
    standins::LocalCluster town;
    RunningRouter router;
    int answered_ = 0, served_ = 0;
};

// A flood of new connections from one address, then from two hundred: configured clients are served as
// before.
void a_flood_of_new_connections() {
    Fixture fixture;
    for (const int addresses : {1, 200}) {
        Flood flood(fixture.io, fixture.town.listen,
                    {Behavior::send_one_rpc, 0x7f070001, addresses, 10, 0, "", kDrip, kPause});
        flood.start();
        fixture.until([&] { return flood.results().opened > 500; });
        fixture.send_rpcs(400);
        if (fixture.served_share() < 0.95)
            std::cerr << fixture.served_ << " of " << fixture.answered_ << "\n"
                      << fixture.router.log_text.str();
        assert(fixture.served_share() >= 0.95);
        fixture.until([&] { return flood.results().pushed_back > 50; });
        assert(flood.results().min_retry_ms >= 200 &&
               flood.results().max_retry_ms > flood.results().min_retry_ms);
        flood.stop();
    }
}

// All configured clients reconnect at once while unknown clients hold every connection they may.
void configured_clients_reconnect_under_a_flood() {
    Fixture fixture;
    Flood flood(fixture.io, fixture.town.listen,
                {Behavior::send_one_rpc, 0x7f070001, 200, 10, 0, "", kDrip, kPause});
    flood.start();
    fixture.until([&] { return flood.results().pushed_back > 100; }); // no more unknown clients are admitted
    for (int i = 0; i < 60; ++i)
        fixture.town.clients.send_rpc("acme", "lookup", "k" + std::to_string(i), 5000);
    fixture.until([&] { return fixture.town.clients.open_rpcs() == 0; });
    for (const auto &row : fixture.town.clients.rpcs()) assert(row.answer == "served");
    flood.stop();
}

// A flood takes all connections while no limits are configured. Limits that are reloaded take effect, and
// faulty settings leave the earlier ones in force.
void rules_are_reloaded_under_a_flood() {
    Fixture fixture("<others/>");
    auto &router_config = fixture.router.router_config;
    router_config.reload_settings = [path = (fixture.town.folder / "settings.xml").string()] {
        return read_settings_file(path);
    };
    Flood flood(fixture.io, fixture.town.listen,
                {Behavior::send_one_rpc, 0x7f070001, 200, 10, 0, "", kDrip, kPause});
    flood.start();
    fixture.until([&] { return flood.results().opened > 300; });
    fixture.write_settings(
        "<others most=\"60\"/>\n<crowd name=\"desks\"><network address=\"127.0.0.1/8\"/></crowd>");
    std::raise(SIGHUP);
    fixture.until([&] { return fixture.router.has_logged("settings kept: "); });
    assert(fixture.router.has_logged(
        "settings.xml:4: network.address: host bits set behind the prefix: 127.0.0.1/8"));
    fixture.write_settings("<others most=\"60\"/>\n<crowd name=\"desks\" reserve=\"500\"><network "
                           "address=\"127.0.0.1\"/></crowd>");
    std::raise(SIGHUP);
    fixture.until(
        [&] { return fixture.router.has_logged("admission.crowd.reserve: the crowds reserve 500"); });
    std::string networks;
    for (int i = 0; i < 20000; ++i)
        networks += "<network address=\"10." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                    ".0/24\"/>\n";
    fixture.write_settings(
        "<others most=\"40\" per-address=\"5\"/>\n<crowd name=\"desks\" reserve=\"60\"><network "
        "address=\"127.0.0.1\"/>\n" +
        networks + "</crowd>");
    std::raise(SIGHUP);
    fixture.until([&] { return fixture.router.has_logged("settings read again, crowds 2, networks 20001"); });
    const auto pushed_back_before = flood.results().pushed_back;
    fixture.until([&] { return flood.results().pushed_back > pushed_back_before + 50; });
    fixture.send_rpcs(200);
    assert(fixture.served_share() >= 0.95);
    flood.stop();
}

// A configured client and a flood behind one proxy are distinguished by the PROXY header. A header from any
// other address is an error.
void clients_behind_a_proxy_are_distinguished() {
    Fixture fixture(std::string(kRules) + R"(<front address="127.8.0.0/16"/>)");
    Flood flood(
        fixture.io, fixture.town.listen,
        {Behavior::send_one_rpc, 0x7f080001, 1, 8, 0, "PROXY TCP4 9.9.9.9 1.1.1.1 5 6\r\n", kDrip, kPause});
    flood.start();
    fixture.until([&] { return flood.results().pushed_back > 100 && flood.results().served > 0; });
    Flood configured(
        fixture.io, fixture.town.listen,
        {Behavior::send_one_rpc, 0x7f080001, 1, 1, 0, "PROXY TCP4 127.0.0.1 1.1.1.1 5 6\r\n", kDrip, kPause});
    configured.start();
    fixture.until([&] { return configured.results().served >= 10; });
    assert(configured.results().pushed_back == 0);
    configured.stop();
    flood.stop();
    Flood untrusted_proxy(
        fixture.io, fixture.town.listen,
        {Behavior::send_one_rpc, 0x7f090001, 1, 1, 0, "PROXY TCP4 127.0.0.1 1.1.1.1 5 6\r\n", kDrip, kPause});
    untrusted_proxy.start();
    fixture.until([&] { return untrusted_proxy.results().errors >= 3; });
    assert(untrusted_proxy.results().served == 0);
    untrusted_proxy.stop();
    Flood malformed(fixture.io, fixture.town.listen,
                    {Behavior::send_one_rpc, 0x7f080001, 1, 1, 0, "PROXY TCP9 \r\n", kDrip, kPause});
    malformed.start();
    fixture.until([&] { return malformed.results().ended >= 3; });
    assert(fixture.router.has_logged("invalid PROXY header: version 1: neither TCP4"));
    malformed.stop();
}

// Clients that write a command too slowly and clients that half-close are each disconnected by their own
// limit.
void slow_clients_are_disconnected() {
    Fixture fixture(R"(<others/><crowd name="desks" reserve="60"><network address="127.0.0.1/32"/></crowd>
<slow first-byte-s="0.5" command-s="0.5" unread-s="1"/>)");
    using std::chrono::milliseconds;
    Flood slow_writers(fixture.io, fixture.town.listen,
                       {Behavior::send_slowly, 0x7f070001, 20, 1, 30, "", milliseconds(100)});
    Flood half_closers(fixture.io, fixture.town.listen, {Behavior::half_close, 0x7f070201, 10, 1, 10});
    slow_writers.start();
    half_closers.start();
    fixture.send_rpcs(60);
    assert(fixture.served_share() >= 0.95);
    fixture.until([&] { return slow_writers.results().ended >= 30 && half_closers.results().ended >= 10; });
    assert(slow_writers.results().served == 0); // a command of 100 bytes takes them longer than command-s
    slow_writers.stop();
    half_closers.stop();
}

// A host drains while clients and connections to hosts use all descriptors: its RPCs still go to other hosts.
void a_host_drains_while_descriptors_are_short() {
    Fixture fixture(
        R"(<others per-address="10" most="30"/><crowd name="desks" reserve="18" weight="3"><network address="127.0.0.1/32"/></crowd>)",
        128);
    for (auto &host : fixture.town.hosts) host.answer_delay = std::chrono::milliseconds(20);
    Flood flood(fixture.io, fixture.town.listen,
                {Behavior::send_one_rpc, 0x7f070001, 200, 10, 0, "", kDrip, kPause});
    flood.start();
    fixture.until([&] { return flood.results().pushed_back > 100; });
    auto &drained = fixture.town.hosts.front();
    for (int i = 0; i < 40; ++i)
        fixture.town.clients.send_rpc("acme", "lookup", "k" + std::to_string(i), 5000);
    fixture.until([&] { return fixture.town.clients.open_rpcs() < 30; });
    drained.state = "terminating";
    fixture.town.discovery.notify_watches();
    fixture.send_rpcs(200);
    assert(fixture.served_share() >= 0.95);
    assert(!fixture.router.has_logged("no descriptor"));
    flood.stop();
}

// Incomplete commands fill the memory for commands: connections that hold it are closed, none that waits for
// an answer, and the memory becomes available again.
void memory_of_client_buffers_is_reclaimed() {
    Fixture fixture(R"(<others/><crowd name="desks" reserve="20"><network address="127.0.0.1/32"/></crowd>)",
                    256, 32);
    Flood flood(fixture.io, fixture.town.listen, {Behavior::send_huge_command, 0x7f070001, 100, 1, 100});
    flood.start();
    fixture.until([&] {
        return fixture.router.has_logged("client buffers over the memory limit, connections closed");
    });
    fixture.send_rpcs(60);
    assert(fixture.served_share() >= 0.95 && flood.results().ended > 0);
    // Each of them is closed in time, also where there is memory enough for it.
    fixture.until([&] { return flood.results().ended == 100; });
    flood.stop();
    fixture.send_rpcs(60);
    assert(fixture.served_share() >= 0.95);
}

// In observe mode every connection is admitted, and the log says what would have been refused.
void observe_mode_refuses_nothing() {
    Fixture fixture("<others per-address=\"2\"/>");
    fixture.write_settings("<others per-address=\"2\"/>", " mode=\"observe\"");
    fixture.router.router_config.reload_settings = [path = (fixture.town.folder / "settings.xml").string()] {
        return read_settings_file(path);
    };
    std::raise(SIGHUP);
    fixture.until([&] { return fixture.router.has_logged("settings read again"); });
    Flood flood(fixture.io, fixture.town.listen, {Behavior::send_one_rpc, 0x7f070001, 1, 1, 20});
    flood.start();
    fixture.until([&] {
        return flood.results().served > 20 && fixture.router.has_logged("would have refused connections");
    });
    assert(flood.results().pushed_back == 0);
    flood.stop();
}

// RPCs over a quota are pushed back before any pick; the others reach the module as usual.
void rpcs_over_a_quota_are_not_picked() {
    Fixture fixture(
        R"(<others/><quotas><quota customer="acme" method="lookup" per-s="20" burst="20"/></quotas>)");
    fixture.town.clients.use_client_timeouts(0);
    fixture.send_rpcs(200);
    int lookups = 0;
    int bookings = 0;
    for (const auto &row : fixture.town.clients.rpcs())
        if (row.answer == "served") ++(row.method == "lookup" ? lookups : bookings);
    assert(bookings == 40);
    assert(lookups >= 20 && lookups < 120);
    assert(fixture.town.picks.size() <= static_cast<std::size_t>(lookups + bookings) * 2);
}

} // namespace

int main() {
    a_flood_of_new_connections();
    configured_clients_reconnect_under_a_flood();
    rules_are_reloaded_under_a_flood();
    clients_behind_a_proxy_are_distinguished();
    slow_clients_are_disconnected();
    a_host_drains_while_descriptors_are_short();
    memory_of_client_buffers_is_reclaimed();
    observe_mode_refuses_nothing();
    rpcs_over_a_quota_are_not_picked();
}
