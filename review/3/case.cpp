// Bad clients by the hundreds send half a command and stay. The router must stay within its memory limit, over which the
// platform kills it; this program takes the platform's place in that.
#include "../rig/rig.hpp"

using namespace rig;

namespace {

constexpr int kBad = 400; // clients that send half a command and stay
constexpr std::size_t kHalf = 159 * 1024; // bytes of it: two values of 64 KiB and a part of a third
constexpr int kUsual = 6; // usual clients, each with one request at a time
constexpr double kPlay = 15; // seconds of the usual clients
constexpr int kMemoryMb = 64; // of the router
constexpr std::size_t kDescriptors = 640; // of the router

// Memory of the process that no file backs, in KB: less than what a platform counts.
long anonymous_kb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;)
        if (word == "RssAnon:") {
            long kb = 0;
            status >> kb;
            return kb;
        }
    return 0;
}

// Half a command: an array of five values, of which two and a part of the third are sent.
std::string half_a_command() {
    const std::string value = "$65536\r\n" + std::string(65536, 'x') + "\r\n";
    std::string half = "*5\r\n$4\r\nQ.DO\r\n" + value + value + value;
    half.resize(kHalf);
    return half;
}

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
    router.descriptors = kDescriptors;
    router.prepare(discovery.address(), platform.address(), platform.state, discovery.whole_list(), small_settings(),
                   kMemoryMb);
    routers.push_back(&router);
    router.start();
    if (!router.wait_ready(30)) finish(2);

    const pid_t pid = router.pid;
    const double end = now_s() + kPlay;
    std::atomic<bool> over{false};
    std::atomic<long> peak_kb{0};
    std::thread limit([&] { // the platform's memory limit
        while (now_s() < end && !over) {
            const long kb = anonymous_kb(pid);
            if (kb > peak_kb) peak_kb = kb;
            if (kb > kMemoryMb * 1024L) {
                over = true;
                record("platform: the router holds %ld KB of its %d MB and is killed", kb, kMemoryMb);
                ::kill(pid, SIGKILL);
            }
            ::usleep(2000);
        }
    });
    UsualClients totals(router.port);
    std::vector<std::thread> clients;
    for (int i = 0; i < kUsual; ++i) clients.emplace_back([&, i] { totals.play(i, end); });
    sleep_s(3);
    record("router: %ld KB before the bad clients come", anonymous_kb(pid));
    if (trouble()) {
        std::vector<std::thread> bad;
        std::atomic<int> answered{0}, sent{0};
        const std::string half = half_a_command();
        for (int i = 0; i < kBad; ++i)
            bad.emplace_back([&] {
                const int socket = connect_to(router.port);
                if (socket < 0) return;
                sent += write_all(socket, half);
                answered += wait_readable(socket, 6); // an error or a close
                if (end > now_s() + 1) sleep_s(1);
                ::close(socket);
            });
        sleep_s(3);
        record("bad clients: %d of %d have sent half a command of %zu bytes, %d have an error or a close after 3 s",
               sent.load(), kBad, kHalf, answered.load());
        for (std::thread &client : bad) client.join();
    }
    for (std::thread &client : clients) client.join();
    limit.join();
    const bool alive = router.running();
    record("asked %d, served %d, refused %d, failed %d, lost %d; the router %s, with a peak of %ld KB of %d MB",
           totals.asked, totals.served, totals.refused, totals.failed, totals.lost,
           over ? "was killed for memory" : alive ? "runs" : "has ended", peak_kb.load(), kMemoryMb);
    if (totals.served == 0) finish(2);
    finish(over || !alive ? 1 : 0);
}
