// The router follows a registry. Two of fourteen hosts hang, and the registry takes them away. Then a new
// configuration with SIGHUP names another address of discovery, which knows no more of a host than whether
// its process runs and so goes on listing the two. Nothing new may go to a host later than 250 ms after the
// router was told that it is gone.
#include "review/rig-2.hpp"

namespace {

using namespace rig;

constexpr int kHosts = 14, kHanging = 2;
constexpr std::int64_t kGraceMs = 250, kSocketSlackMs = 50;

bool run(World &world, bool trouble) {
    standins::Platform platform(world.io, {0.096, 0.3, 0.72, 1});
    platform.build = 41;
    platform.stage = 3;
    platform.phase = "Healthy";
    Registry registry(world);
    Discovery discovery(world);
    const auto key_of = [](const Host &host) { return "booking/hosts/" + host.id; };
    for (int i = 0; i < kHosts; ++i) world.add_host("s-" + std::to_string(100 + i), 41);
    for (const Host &host : world.hosts) {
        registry.put(key_of(host), host.entry());
        discovery.set_entry(host.entry());
    }

    const standins::ReservedPort port(world.io), earlier_discovery(world.io);
    Setup setup;
    setup.listen = text(port.endpoint());
    setup.discovery = text(earlier_discovery.endpoint()); // not asked while a registry is named
    setup.platform = platform.address();
    setup.news = platform.state();
    json config = configuration(setup);
    Router router(
        world, config,
        "<pineridge xmlns=\"urn:pineridge:settings:1\"><registry kind=\"blocking\" prefix=\"booking/hosts/\" "
        "plaintext=\"true\"><endpoint address=\"" +
            registry.address() + "\"/></registry></pineridge>");
    Clients clients(world, port.endpoint());
    router.start();
    router.wait_ready(clients);
    const std::vector<std::string> methods{"slot-lookup", "slot-lookup", "donor-update", "donor-update",
                                           "book-slot"};
    clients.send_steadily(100, [&] {
        clients.send(methods[world.random() % methods.size()], "northcoast-blood",
                     "k" + std::to_string(world.random() % 2000), 1500);
    });
    world.run_for(milliseconds(4000));
    std::set<std::string> hanging;
    for (Host &host : world.hosts)
        if (hanging.size() < kHanging) {
            host.silent = true;
            hanging.insert(host.id);
        }
    world.record("two hosts hang");
    world.run_for(milliseconds(1000));
    for (const std::string &id : hanging) registry.remove("booking/hosts/" + id);
    world.run_for(milliseconds(2000));
    std::int64_t told = 0; // the first answer without both
    for (const Registry::Answer &answer : registry.answers)
        if (told == 0 && answer.keys.size() == kHosts - kHanging) told = answer.at;
    if (told == 0) throw CannotRun("the router has not read the registry again");
    if (trouble) {
        config["discovery"] = discovery.address();
        router.reload(config);
    }
    world.run_for(milliseconds(10000));
    clients.stop();
    world.run_for(milliseconds(2500));
    router.signal(SIGTERM);
    world.run_until([&] { return router.has_ended(); }, milliseconds(5000));

    std::set<std::string> late_ids;
    int late = 0, lost = 0;
    std::int64_t last = 0;
    for (const Attempt &attempt : world.attempts) {
        const std::int64_t after = attempt.first_byte_at - told;
        if (hanging.count(attempt.host) == 0 || after <= kGraceMs + kSocketSlackMs) continue;
        ++late;
        last = std::max(last, after);
        late_ids.insert(attempt.id);
        world.record("broken: ", attempt.id, ' ', attempt.method, " is sent to ", attempt.host, ' ', after,
                     " ms after the router was told that it is gone");
    }
    for (const Asked &asked : world.asked) lost += late_ids.count(asked.id) > 0 && asked.answer != "served";
    world.record.say(late, " attempts at hosts that were told to be gone over ", kGraceMs + kSocketSlackMs,
                     " ms before, the last ", last, " ms; ", lost, " of these requests not served; ",
                     world.asked.size(), " requests");
    return late == 0;
}

} // namespace

int main(int count, char **argv) { return rig::run_case(count, argv, run); }
