// The demo runs one router as a process and the stand-ins around it on loopback. It plays 30 seconds of a
// release that advances cell by cell, with a freeze in between, and checks every release rule at the end.
#include "settings/read.hpp"
#include "standins/town/town.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

using namespace pineridge;
using namespace pineridge::standins;

namespace {

struct ScriptLine {
    double at; // seconds
    std::string command; // for the release desk
    std::string explanation; // printed; empty: nothing is printed
};

const std::vector<ScriptLine> kScript{
    {0.0, "ledger acme 5000 40", ""},
    {0.0, "ledger bern 3000 90", ""},
    {0.0, "ledger cord 2000 30", ""},
    {1.0, "offer donor/3", "donor-details build 3 is released first: booking build 7 needs it"},
    {1.1, "stage donor/3 north acme 3", ""},
    {1.1, "stage donor/3 north cord 3", ""},
    {1.2, "offer booking/7 needs donor/3 released",
     "booking build 7 is offered; acme had the least withdrawn traffic for its size"},
    {6.0, "freeze appeal", "an appeal on the radio: all releases are frozen"},
    {11.0, "lift appeal", "the appeal is over"},
    {17.0, "stage donor/3 north bern 3", "donor-details build 3 reaches bern"},
    {24.0, "pull donor/3",
     "donor-details build 3 is pulled: booking build 7 holds, then is rolled back cell by cell"},
};

pid_t start_router(const std::string &program, const LocalCluster &cluster) {
    const std::string config = (cluster.folder / "config.json").string(),
                      settings = (cluster.folder / "settings.xml").string();
    const std::string log = (cluster.folder / "router.log").string();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT, 0644);
    const char *arguments[] = {program.c_str(), "serve",          "--config", config.c_str(),
                               "--settings",    settings.c_str(), nullptr};
    pid_t child = 0;
    const int failed =
        posix_spawn(&child, program.c_str(), &files, nullptr, const_cast<char **>(arguments), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed) throw std::runtime_error("cannot start " + program);
    return child;
}

std::string stages_text(const LocalCluster &cluster) {
    std::string text;
    for (const std::string &customer : cluster.options.customers)
        text += customer + " " + std::to_string(cluster.desk.log().stage("booking/7", {"north", customer})) +
                "  ";
    return text;
}

asio::awaitable<void> run_script(LocalCluster &cluster, double seconds) {
    asio::steady_timer timer(cluster.io);
    const auto start_time = std::chrono::steady_clock::now();
    const auto elapsed_s = [&] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_time).count();
    };
    bool ready = false;
    while (!ready && elapsed_s() < 10) {
        ready = co_await cluster.clients.ready();
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (!ready) throw std::runtime_error("the router did not answer PING within 10 s");
    const double rates[] = {50, 30, 20};
    for (std::size_t i = 0; i < cluster.options.customers.size(); ++i)
        cluster.send_steadily(cluster.options.customers[i], rates[i]);
    std::size_t next = 0;
    std::string previous;
    const double script_start_s = elapsed_s();
    while (elapsed_s() - script_start_s < seconds) {
        const double now = elapsed_s() - script_start_s;
        for (; next < kScript.size() && kScript[next].at <= now; ++next) {
            cluster.desk.execute(kScript[next].command);
            if (!kScript[next].explanation.empty())
                std::cout << std::setw(6) << now << " s  " << kScript[next].explanation << std::endl;
        }
        if (const std::string text = stages_text(cluster); text != previous) {
            std::cout << std::setw(6) << now << " s    stage of booking/7:  " << text << std::endl;
            previous = text;
        }
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
    }
    cluster.stop();
    while (cluster.clients.open_rpcs() > 0 && elapsed_s() - script_start_s < seconds + 5) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    cluster.io.stop();
}

void print_totals(const LocalCluster &cluster) {
    std::cout << "\ncustomer      RPCs  served  pushed back  aborted  picks at 7\n";
    for (const std::string &customer : cluster.options.customers) {
        std::map<std::string, int> answers;
        int total = 0;
        int at_new_build = 0;
        for (const RpcRecord &rpc : cluster.clients.rpcs())
            if (rpc.customer == customer) {
                ++total;
                ++answers[rpc.answer];
            }
        for (const PickRecord &pick : cluster.picks)
            at_new_build += pick.customer == customer && pick.build == 7;
        std::cout << std::left << std::setw(10) << customer << std::right << std::setw(8) << total
                  << std::setw(8) << answers["served"] << std::setw(13) << answers["pushed back"]
                  << std::setw(9) << answers["aborted"] << std::setw(12) << at_new_build << "\n";
    }
}

int demo(const std::string &program, double seconds) {
    asio::io_context io;
    ClusterOptions options;
    options.order = R"(<order by="balanced" follow="2"/>)";
    options.evidence = R"(<evidence picks="25" silent-after-s="10" renew-s="0.5"/>)";
    options.extra = R"(<freezes settle-s="1"/><dependencies hold-s="1" step-s="1"/>)";
    options.zones = {"north"};
    options.stages = "0.1 0.4 1";
    options.caps = {1, 1};
    LocalCluster cluster(io, options);
    for (int i = 0; i < 4; ++i) cluster.host("old" + std::to_string(i), "north", 1);
    for (int i = 0; i < 4; ++i) cluster.host("new" + std::to_string(i), "north", 7);
    cluster.platform.build = 7;
    cluster.platform.phase = "Progressing";
    cluster.platform.applies_votes = true;
    cluster.write_files();
    std::cout << std::fixed << std::setprecision(1) << "one router, 8 hosts, 3 customers, a release desk, "
              << seconds << " s; stages: 0 none, 1 a tenth, 2 four tenths, 3 all\n";
    const pid_t router = start_router(program, cluster);
    std::exception_ptr failed;
    asio::co_spawn(io, run_script(cluster, seconds), [&](std::exception_ptr error) {
        failed = error;
        io.stop();
    });
    io.run();
    kill(router, SIGTERM);
    int status = 0;
    waitpid(router, &status, 0);
    if (failed) {
        std::cerr << std::ifstream(cluster.folder / "router.log").rdbuf();
        std::rethrow_exception(failed);
    }
    print_totals(cluster);
    const ReleaseRules rules{*read_settings(cluster.settings_text(), "demo").release};
    const auto found = breaches(rules, cluster.desk.log().steps(), cluster.picks, cluster.clients.rpcs());
    for (const std::string &breach : found) std::cout << "rule broken: " << breach << "\n";
    int lost = 0;
    for (const RpcRecord &rpc : cluster.clients.rpcs()) lost += rpc.answer.empty() || rpc.answer == "lost";
    std::cout << "rules: " << found.size() << " breaches of a cap, a freeze or a pull; " << lost
              << " RPCs without a final answer\n";
    return found.empty() && lost == 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
    try {
        return demo(argc > 1 ? argv[1] : "build/pineridge", argc > 2 ? std::stod(argv[2]) : 30);
    } catch (const std::exception &failed) {
        std::cerr << "demo: " << failed.what() << "\n";
        return 1;
    }
}
