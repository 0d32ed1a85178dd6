// Tests that a router with its hosts from a registry stops picking a host within 250 ms of its drain, also
// when the watch breaks, its revision is compacted, or it misses an update.
#undef NDEBUG
#include "standins/checker/membership.hpp"
#include "world.hpp"

using namespace pineridge;
using namespace pineridge::test;

int main() {
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
