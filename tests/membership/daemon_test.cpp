// Tests that a router with its hosts from a registry stops picking a host within 250 ms of its drain, also
// when the watch breaks, its revision is compacted, or it misses an update.
#undef NDEBUG
#include "standins/checker/membership.hpp"
#include "standins/http/server.hpp"
#include "world.hpp"

#include <csignal>

using namespace pineridge;
using namespace pineridge::test;

namespace {

// Guards against the failure of review/7: SIGHUP with another address of discovery began to ask it beside the
// registry, and hosts that the registry had taken away came back into use.
void a_new_configuration_does_not_turn_to_discovery() {
    RegistryWorld world;
    const standins::Server discovery(
        world.io, [](const standins::HttpRequest &, const std::shared_ptr<standins::HttpConnection> &) {});
    const std::filesystem::path file = world.town.folder / "config.json";
    json config = json::parse(std::ifstream(file));
    config["discovery"] = discovery.address();
    std::ofstream(file) << config.dump();
    std::raise(SIGHUP);
    world.until([&] { return world.has_logged("configuration read again"); });
    const std::int64_t reloaded_at = standins::LocalCluster::now();
    world.until([&] { return standins::LocalCluster::now() > reloaded_at + 500; });
    assert(discovery.accepted() == 0);
    assert(world.picks_at("h0", reloaded_at) > 0);
}

} // namespace

int main() {
    a_new_configuration_does_not_turn_to_discovery();
    RegistryWorld world;
    standins::Host &host = world.town.hosts.front();
    const auto no_fault = [] {};
    assert(world.drain_delay_ms(host, no_fault, no_fault) <= 250);
    // The stream is cancelled just before the update, so the next watch, within 100 ms, delivers it.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.cancel_streams(); }, no_fault) <= 250 + 100);
    // The revision is compacted while no watch is open, so the router reads the list in full.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.stop(); },
               [&] {
                   world.registry.compact(world.registry.revision());
                   world.registry.start();
               }) <= 250 + 250);
    assert(world.has_logged("is compacted"));
    // The update is sent to no watch; the audit, every 0.4 s, finds it.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.skip_events(1); }, no_fault) <= 250 + 500);
    assert(world.has_logged("the watch has missed /hosts/h0"));
    // Checked by the records of the registry and the hosts, not by the router's log.
    const auto late_picks = standins::late_picks(world.registry.sent_events(), world.town.picks, 250);
    for (const std::string &one : late_picks) std::cerr << one << "\n";
    assert(late_picks.empty());
    for (const auto &row : world.town.clients.rpcs()) assert(row.answer != "lost" && row.answer != "refused");
}
