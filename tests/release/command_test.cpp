// The sub-commands as a person calls them, against a stand-in desk: what they print, and how they end.
#undef NDEBUG
#include "standins/town/town.hpp"

#include <cassert>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

extern char **environ;

using namespace pineridge;
using namespace pineridge::standins;

namespace {

struct Ran {
    int status;
    std::string said; // standard output and error
};

// Runs the program while the town's loop goes on.
Ran run(Town &town, const std::string &program, std::vector<std::string> words) {
    const std::string out = (town.folder / "said").string();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    words.insert(words.begin(), program);
    std::vector<char *> argv;
    for (std::string &word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    pid_t child = 0;
    const int failed = posix_spawn(&child, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    assert(!failed);
    int status = 0;
    while (waitpid(child, &status, WNOHANG) == 0) town.io.run_one_for(std::chrono::milliseconds(5));
    std::ostringstream said;
    said << std::ifstream(out).rdbuf();
    const Ran ran{WIFEXITED(status) ? WEXITSTATUS(status) : -1, said.str()};
    if (ran.status != 0) std::cerr << ran.said; // read where a status is not the one wanted
    return ran;
}

bool has(const Ran &ran, const std::string &part) {
    if (ran.said.find(part) != std::string::npos) return true;
    std::cerr << ran.said << "lacks: " << part << "\n";
    return false;
}

} // namespace

int main(int, char **argv) {
    const std::string program = argv[1];
    asio::io_context io;
    Town town(io, Plot{});
    town.write_files();
    const std::string settings = (town.folder / "settings.xml").string(),
                      config = (town.folder / "config.json").string();
    town.desk.tell("offer donor/3");
    town.desk.tell("offer booking/7 needs donor/3 released");
    town.desk.tell("stage booking/7 north acme 2");

    const Ran checked = run(town, program, {"check", "--settings", settings, "--config", config});
    assert(checked.status == 0 && has(checked, "cells 6, stages 3") && has(checked, "sound: n1"));

    const Ran frozen = run(
        town, program, {"release", "freeze", "--settings", settings, "--id", "appeal", "--customer", "acme"});
    assert(frozen.status == 0 && has(frozen, "{\"rev\":4}"));
    assert(town.desk.ledger().frozen("booking", {"south", "acme"}, Town::now()));

    const Ran told = run(town, program, {"release", "status", "--settings", settings});
    assert(told.status == 0 && has(told, "revision 4") &&
           has(told, "freeze appeal: zone all, customer acme"));
    assert(has(told, "build booking/7") && has(told, "frozen"));

    const Ran lifted =
        run(town, program, {"release", "freeze", "--desk", town.desk.address(), "--id", "appeal", "--lift"});
    assert(lifted.status == 0 && !town.desk.ledger().frozen("booking", {"south", "acme"}, Town::now()));

    const Ran planned = run(town, program, {"release", "plan", "--settings", settings, "--build", "7"});
    assert(planned.status == 0 &&
           has(planned, "wave 1: north/acme north/bern north/cord\nwave 2: south/acme"));

    town.desk.tell("stop");
    const Ran dark = run(town, program, {"release", "status", "--settings", settings});
    assert(dark.status == 1 && has(dark, "desk: not reached at"));

    std::ofstream(settings) << "<pineridge xmlns=\"urn:pineridge:settings:1\">\n<release/></pineridge>";
    const Ran bad = run(town, program, {"serve", "--config", config, "--settings", settings});
    assert(bad.status == 2 && has(bad, "settings.xml:2: ") && has(bad, "'service' is required"));
}
