// Clients open connections by the hundreds and say nothing; every request of the usual clients must still get its
// final answer.
#include "../rig/rig.hpp"

using namespace rig;

namespace {

constexpr int kSilent = 200; // connections that say nothing
constexpr int kUsual = 6; // usual clients, each with one request at a time
constexpr double kPlay = 40; // seconds of the usual clients

} // namespace

int main(int argc, char **argv) {
    begin(argc, argv);
    std::vector<std::unique_ptr<Host>> hosts;
    Discovery discovery;
    Platform platform;
    for (int i = 0; i < 6; ++i) {
        hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i)));
        hosts.back()->start();
        discovery.hosts.push_back(hosts.back().get());
    }
    discovery.start();
    platform.start();
    Router router;
    router.folder = temporary_folder;
    router.prepare(discovery.address(), platform.address(), platform.state, discovery.whole_list(), small_settings());
    routers.push_back(&router);
    router.start();
    if (!router.wait_ready(30)) finish(2);

    const double end = now_s() + kPlay;
    UsualClients totals(router.port);
    std::vector<std::thread> clients;
    for (int i = 0; i < kUsual; ++i) clients.emplace_back([&, i] { totals.play(i, end); });
    sleep_s(2);
    std::vector<int> silent;
    if (trouble()) {
        for (int i = 0; i < kSilent; ++i) {
            const int socket = connect_to(router.port);
            if (socket >= 0) silent.push_back(socket);
        }
        record("silent clients: %zu connections are open and say nothing", silent.size());
    }
    int closed_in_time = 0;
    const double opened = now_s();
    for (bool looked = false; now_s() < end; sleep_s(1)) {
        record("router: %zu descriptors open", router.open_descriptors());
        if (!looked && now_s() > opened + 3) {
            looked = true;
            for (const int socket : silent) closed_in_time += wait_readable(socket, 0);
            record("silent clients: %d of %zu have an error or a close after 3 s", closed_in_time, silent.size());
        }
    }
    for (std::thread &client : clients) client.join();
    const bool alive = router.running();
    record("asked %d, served %d, refused %d, failed %d, lost %d; the router %s", totals.asked, totals.served,
           totals.refused, totals.failed, totals.lost, alive ? "runs" : "has ended");
    if (totals.served == 0) finish(2);
    finish(totals.lost > 0 || !alive ? 1 : 0);
}
