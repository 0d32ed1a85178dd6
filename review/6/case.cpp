// Discovery is down for 8 s and crowded for 11 s after its return: it takes calls and ends each with 503
// after 2 s in its queue. Shortly before it returns build 42 is released; when it returns the hosts of build
// 41 drain, as after every release: they turn new commands away for 2 s, in which they finish what they have,
// and say nothing then. 8 s later build 42 is called back. A change counts as told at the latest 6 s after
// discovery had it and could be reached, whatever became of the calls; nothing new may go to a host 250 ms
// later.
#include "review/rig-2.hpp"

namespace {

using namespace rig;

constexpr int kHostsOfABuild = 8;
constexpr double kRequestsPerSecond = 60;
constexpr std::int64_t kDownMs = 8000, kCrowdedMs = 11000, kCalledBackMs = 8000, kFinishMs = 2000;
constexpr std::int64_t kToldMs = 6000, kGraceMs = 250, kSocketSlackMs = 50;

bool run(World &world, bool trouble) {
    standins::Platform platform(world.io, {0.096, 0.3, 0.72, 1});
    platform.build = 42;
    platform.stage = 3;
    platform.phase = "Progressing";
    Discovery discovery(world);
    for (int i = 0; i < kHostsOfABuild; ++i) world.add_host("s-41" + std::to_string(i), 41);
    for (int i = 0; i < kHostsOfABuild; ++i) world.add_host("s-42" + std::to_string(i), 42);
    for (const Host &host : world.hosts) discovery.set_entry(host.entry());
    const standins::ReservedPort port(world.io);
    Setup setup;
    setup.listen = text(port.endpoint());
    setup.discovery = discovery.address();
    setup.platform = platform.address();
    setup.news = platform.state();
    setup.known = discovery.full_list();
    Router router(world, configuration(setup));
    Clients clients(world, port.endpoint());
    router.start();
    router.wait_ready(clients);
    const std::vector<std::string> methods{"slot-lookup", "slot-lookup", "donor-update", "donor-update",
                                           "book-slot"};
    clients.send_steadily(kRequestsPerSecond, [&] {
        clients.send(methods[world.random() % methods.size()], "northcoast-blood",
                     "k" + std::to_string(world.random() % 2000), 1500);
    });
    world.run_for(milliseconds(7000)); // the watch has stood for some seconds
    if (discovery.watches() == 0) throw CannotRun("the router holds no watch open");
    const std::int64_t begin = now();
    if (trouble) discovery.go_down();
    world.run_for(milliseconds(begin + kDownMs - 500 - now()));
    world.record("build 42 is released");
    platform.set(42, 3, "Healthy");
    world.run_for(milliseconds(begin + kDownMs - now()));
    if (trouble) discovery.come_back(true);
    const std::int64_t back = now(), told = back + kToldMs;
    std::set<std::string> draining;
    for (Host &host : world.hosts) {
        if (host.build != 41) continue;
        host.state = "terminating";
        host.drains = true;
        discovery.set_entry(host.entry());
        draining.insert(host.id);
        world.later(milliseconds(kFinishMs), [&host] { host.silent = true; });
    }
    world.run_for(milliseconds(back + kCalledBackMs - now()));
    world.record("build 42 is called back");
    platform.phase = "Aborting";
    json state = platform.state();
    state["cap"] = 0;
    platform.send_line({{"type", "stage"}, {"object", state}});
    world.run_for(milliseconds(back + kCrowdedMs - now()));
    if (trouble) discovery.be_crowded(false);
    world.run_for(milliseconds(4000));
    clients.stop();
    world.run_for(milliseconds(3000));
    router.signal(SIGTERM);
    world.run_until([&] { return router.has_ended(); }, milliseconds(5000));

    std::set<std::string> late_ids;
    int late = 0, lost = 0;
    std::int64_t last = 0;
    for (const Attempt &attempt : world.attempts) {
        const std::int64_t after = attempt.first_byte_at - told;
        if (draining.count(attempt.host) == 0 || after <= kGraceMs + kSocketSlackMs) continue;
        ++late;
        last = std::max(last, after);
        late_ids.insert(attempt.id);
        world.record("broken: ", attempt.id, ' ', attempt.method, " is sent to ", attempt.host, ' ', after,
                     " ms after its drain counts as told");
    }
    for (const Asked &asked : world.asked) lost += late_ids.count(asked.id) > 0 && asked.answer != "served";
    world.record.say(late, " attempts at draining hosts over ", kGraceMs + kSocketSlackMs,
                     " ms after their drain counts as told, the last ", last, " ms; ", lost,
                     " of these requests not served; ", world.asked.size(), " requests");
    return late == 0;
}

} // namespace

int main(int count, char **argv) { return rig::run_case(count, argv, run); }
