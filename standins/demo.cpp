// The demo: one router as a process of its own, stand-ins round it on loopback, 30 seconds of a release that
// goes out cell by cell, with a freeze in its middle and a look at every rule at the end.
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

struct Action {
    double at; // seconds
    std::string line, why;
};

const std::vector<Action> kScript{
    {0.0, "ledger acme 5000 40", ""},
    {0.0, "ledger bern 3000 90", ""},
    {0.0, "ledger cord 2000 30", ""},
    {1.0, "offer donor/3", "donor-details build 3 goes out first: booking build 7 needs it"},
    {1.1, "stage donor/3 north acme 3", ""},
    {1.1, "stage donor/3 north cord 3", ""},
    {1.2, "offer booking/7 needs donor/3 released",
     "booking build 7 is offered; acme carried least of bad builds for its traffic"},
    {6.0, "freeze appeal", "an appeal on the radio: everything is frozen"},
    {11.0, "lift appeal", "the appeal is over"},
    {17.0, "stage donor/3 north bern 3", "donor-details build 3 reaches bern"},
    {24.0, "pull donor/3",
     "donor-details build 3 is pulled: booking build 7 holds, then goes back cell by cell"},
};

pid_t start_router(const std::string &program, const Town &town) {
    const std::string config = (town.folder / "config.json").string(),
                      settings = (town.folder / "settings.xml").string();
    const std::string log = (town.folder / "router.log").string();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT, 0644);
    const char *words[] = {program.c_str(), "serve",          "--config", config.c_str(),
                           "--settings",    settings.c_str(), nullptr};
    pid_t child = 0;
    const int failed =
        posix_spawn(&child, program.c_str(), &files, nullptr, const_cast<char **>(words), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed) throw std::runtime_error("cannot start " + program);
    return child;
}

std::string cells(const Town &town) {
    std::string text;
    for (const std::string &customer : town.plot.customers)
        text += customer + " " + std::to_string(town.desk.ledger().stage("booking/7", {"north", customer})) +
                "  ";
    return text;
}

asio::awaitable<void> play(Town &town, double seconds) {
    asio::steady_timer timer(town.io);
    const auto began = std::chrono::steady_clock::now();
    const auto passed = [&] {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    };
    bool ready = false;
    while (!ready && passed() < 10) {
        ready = co_await town.clients.ready();
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (!ready) throw std::runtime_error("the router does not serve");
    const double rates[] = {50, 30, 20};
    for (std::size_t i = 0; i < town.plot.customers.size(); ++i) town.flow(town.plot.customers[i], rates[i]);
    std::size_t next = 0;
    std::string before;
    const double zero = passed();
    while (passed() - zero < seconds) {
        const double now = passed() - zero;
        for (; next < kScript.size() && kScript[next].at <= now; ++next) {
            town.desk.tell(kScript[next].line);
            if (!kScript[next].why.empty())
                std::cout << std::setw(6) << now << " s  " << kScript[next].why << std::endl;
        }
        if (const std::string text = cells(town); text != before) {
            std::cout << std::setw(6) << now << " s    stage of booking/7:  " << text << std::endl;
            before = text;
        }
        timer.expires_after(std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::use_awaitable);
    }
    town.stop();
    while (town.clients.open() > 0 && passed() - zero < seconds + 5) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }
    town.io.stop();
}

void print_totals(const Town &town) {
    std::cout << "\ncustomer      RPCs  served  pushed back  aborted  picks at 7\n";
    for (const std::string &customer : town.plot.customers) {
        std::map<std::string, int> ends;
        int all = 0, there = 0;
        for (const Asked &row : town.clients.asked())
            if (row.customer == customer) ++all, ++ends[row.answer];
        for (const PickRow &pick : town.picks) there += pick.customer == customer && pick.build == 7;
        std::cout << std::left << std::setw(10) << customer << std::right << std::setw(8) << all
                  << std::setw(8) << ends["served"] << std::setw(13) << ends["pushed back"] << std::setw(9)
                  << ends["aborted"] << std::setw(12) << there << "\n";
    }
}

int demo(const std::string &program, double seconds) {
    asio::io_context io;
    Plot plot;
    plot.order = R"(<order by="balanced" follow="2"/>)";
    plot.evidence = R"(<evidence picks="25" silent-after-s="10" renew-s="0.5"/>)";
    plot.extra = R"(<freezes settle-s="1"/><dependencies hold-s="1" step-s="1"/>)";
    plot.zones = {"north"};
    plot.stages = "0.1 0.4 1";
    plot.caps = {1, 1};
    Town town(io, plot);
    for (int i = 0; i < 4; ++i) town.host("old" + std::to_string(i), "north", 1);
    for (int i = 0; i < 4; ++i) town.host("new" + std::to_string(i), "north", 7);
    town.platform.build = 7;
    town.platform.phase = "Progressing";
    town.platform.obeys = true;
    town.write_files();
    std::cout << std::fixed << std::setprecision(1) << "one router, 8 hosts, 3 customers, a release desk, "
              << seconds << " s; stages: 0 none, 1 a tenth, 2 four tenths, 3 all\n";
    const pid_t router = start_router(program, town);
    std::exception_ptr failed;
    asio::co_spawn(io, play(town, seconds), [&](std::exception_ptr why) {
        failed = why;
        io.stop();
    });
    io.run();
    kill(router, SIGTERM);
    int status = 0;
    waitpid(router, &status, 0);
    if (failed) {
        std::cerr << std::ifstream(town.folder / "router.log").rdbuf();
        std::rethrow_exception(failed);
    }
    print_totals(town);
    const Rule rule{*read_settings(town.settings_text(), "demo").release};
    const auto found = breaches(rule, town.desk.ledger().steps(), town.picks, town.clients.asked());
    for (const std::string &one : found) std::cout << "broken: " << one << "\n";
    int lost = 0;
    for (const Asked &row : town.clients.asked()) lost += row.answer.empty() || row.answer == "lost";
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
