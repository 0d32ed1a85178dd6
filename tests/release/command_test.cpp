// The command-line sub-commands against a stand-in desk: their output and exit status.
#undef NDEBUG
#include "standins/program/program.hpp"
#include "standins/town/town.hpp"

#include <cassert>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace pineridge;
using namespace pineridge::standins;

int main(int, char **argv) {
    const std::string program = argv[1];
    asio::io_context io;
    Town town(io, Plot{});
    town.write_files();
    const std::string settings = (town.folder / "settings.xml").string();
    const std::string config = (town.folder / "config.json").string();
    town.desk.tell("offer donor/3");
    town.desk.tell("offer booking/7 needs donor/3 released");
    town.desk.tell("stage booking/7 north acme 2");

    const Ran checked =
        run(town.io, town.folder, program, {"check", "--settings", settings, "--config", config});
    assert(checked.status == 0 && has(checked, "cells 6, stages 3") && has(checked, "sound: n1"));

    const Ran frozen =
        run(town.io, town.folder, program,
            {"release", "freeze", "--settings", settings, "--id", "appeal", "--customer", "acme"});
    assert(frozen.status == 0 && has(frozen, "{\"rev\":4}"));
    assert(town.desk.ledger().frozen("booking", {"south", "acme"}, Town::now()));

    const Ran status = run(town.io, town.folder, program, {"release", "status", "--settings", settings});
    assert(status.status == 0 && has(status, "revision 4") &&
           has(status, "freeze appeal: zone all, customer acme"));
    assert(has(status, "build booking/7") && has(status, "frozen"));

    const Ran lifted = run(town.io, town.folder, program,
                           {"release", "freeze", "--desk", town.desk.address(), "--id", "appeal", "--lift"});
    assert(lifted.status == 0 && !town.desk.ledger().frozen("booking", {"south", "acme"}, Town::now()));

    const Ran planned =
        run(town.io, town.folder, program, {"release", "plan", "--settings", settings, "--build", "7"});
    assert(planned.status == 0 &&
           has(planned, "wave 1: north/acme north/bern north/cord\nwave 2: south/acme"));

    town.desk.tell("stop");
    const Ran unreachable = run(town.io, town.folder, program, {"release", "status", "--settings", settings});
    assert(unreachable.status == 1 && has(unreachable, "desk: not reached at"));

    std::ofstream(settings) << "<pineridge xmlns=\"urn:pineridge:settings:1\">\n<release/></pineridge>";
    const Ran invalid =
        run(town.io, town.folder, program, {"serve", "--config", config, "--settings", settings});
    assert(invalid.status == 2 && has(invalid, "settings.xml:2: ") && has(invalid, "'service' is required"));
}
