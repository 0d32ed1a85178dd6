// Admission is in observe mode, which refuses nothing, with the settings of deploy/admission.xml. Some clients ask once
// and hold their connection for good; every request of the other clients must still get its final answer.
#include "../rig/rig.hpp"

using namespace rig;

namespace {

constexpr int kHolding = 300; // clients that ask once and hold their connection
constexpr int kUsual = 6; // usual clients, each with one request at a time
constexpr int kComing = 3; // so many times at once a new client comes, asks once and closes its connection
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
    router.descriptors = 512;
    router.environment = {"PINERIDGE_SETTINGS=" + repository() + "/deploy/admission.xml"};
    router.prepare(discovery.address(), platform.address(), platform.state, discovery.whole_list(), small_settings());
    routers.push_back(&router);
    router.start();
    if (!router.wait_ready(30)) finish(2);

    const double end = now_s() + kPlay;
    UsualClients totals(router.port);
    std::vector<std::thread> clients;
    for (int i = 0; i < kUsual; ++i) clients.emplace_back([&, i] { totals.play(i, end); });
    for (int i = 0; i < kComing; ++i)
        clients.emplace_back([&, i] {
            for (int n = i; now_s() < end; ++n, sleep_s(0.3)) {
                int socket = -1;
                totals.ask(socket, n % 3 == 2 ? "book-slot" : "slot-lookup", n % 3 == 2 ? 2000 : 1500,
                           "donor-" + std::to_string(n));
                if (socket >= 0) ::close(socket);
            }
        });
    sleep_s(1);
    // The same requests are sent without the trouble; the clients then close their connections once they are answered.
    std::vector<int> held;
    for (int i = 0; i < kHolding && now_s() < end - 15; ++i) {
        int socket = -1;
        totals.ask(socket, "slot-lookup", 1500, "donor-" + std::to_string(i));
        if (trouble() && socket >= 0)
            held.push_back(socket);
        else if (socket >= 0)
            ::close(socket);
        sleep_s(0.04);
    }
    if (trouble()) record("holding clients: %zu connections are held after one answer", held.size());
    for (; now_s() < end; sleep_s(1)) record("router: %zu descriptors open", router.open_descriptors());
    for (std::thread &client : clients) client.join();
    const bool alive = router.running();
    record("asked %d, served %d, refused %d, failed %d, lost %d; the router %s", totals.asked, totals.served,
           totals.refused, totals.failed, totals.lost, alive ? "runs" : "has ended");
    if (totals.served == 0) finish(2);
    finish(totals.lost > 0 || !alive ? 1 : 0);
}
