// The daemon with its hosts from a registry: each drain is honoured within 250 ms of being told, in calm and
// through breaks, compaction and words told to nobody.
#undef NDEBUG
#include "standins/checker/membership.hpp"
#include "world.hpp"

using namespace pineridge;
using namespace pineridge::test;

int main() {
    RegistryWorld world;
    standins::Host &host = world.town.hosts.front();
    const auto nothing = [] {};
    assert(world.drain_delay_ms(host, nothing, nothing) <= 250);
    // The stream is cancelled just before the word: it is told by the next watch, which begins within 100 ms.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.cancel_streams(); }, nothing) <= 250 + 100);
    // Compacted while nobody watches: the whole is read.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.stop(); },
               [&] {
                   world.registry.compact(world.registry.revision());
                   world.registry.start();
               }) <= 250 + 250);
    assert(world.has_logged("is compacted"));
    // Told to nobody: found by the next look, 0.4 s apart.
    assert(world.drain_delay_ms(
               host, [&] { world.registry.skip_events(1); }, nothing) <= 250 + 500);
    assert(world.has_logged("the watch has missed /hosts/h0"));
    // By the registry's record and the hosts', not the router's word.
    const auto late = standins::late_picks(world.registry.sent_events(), world.town.picks, 250);
    for (const std::string &one : late) std::cerr << one << "\n";
    assert(late.empty());
    for (const auto &row : world.town.clients.rpcs()) assert(row.answer != "lost" && row.answer != "refused");
}
