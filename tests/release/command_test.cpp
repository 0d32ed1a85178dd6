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
    LocalCluster town(io, ClusterOptions{});
    town.write_files();
    const std::string settings = (town.folder / "settings.xml").string();
    const std::string config = (town.folder / "config.json").string();
    town.desk.execute("offer donor/3");
    town.desk.execute("offer booking/7 needs donor/3 released");
    town.desk.execute("stage booking/7 north acme 2");

    const ProgramResult checked =
        run(town.io, town.folder, program, {"check", "--settings", settings, "--config", config});
    assert(checked.status == 0 && output_contains(checked, "cells 6, stages 3") &&
           output_contains(checked, "sound: n1"));

    const ProgramResult frozen =
        run(town.io, town.folder, program,
            {"release", "freeze", "--settings", settings, "--id", "appeal", "--customer", "acme"});
    assert(frozen.status == 0 && output_contains(frozen, "{\"rev\":4}"));
    assert(town.desk.log().frozen("booking", {"south", "acme"}, LocalCluster::now()));

    const ProgramResult status =
        run(town.io, town.folder, program, {"release", "status", "--settings", settings});
    assert(status.status == 0 && output_contains(status, "revision 4") &&
           output_contains(status, "freeze appeal: zone all, customer acme"));
    assert(output_contains(status, "build booking/7") && output_contains(status, "frozen"));

    const ProgramResult lifted =
        run(town.io, town.folder, program,
            {"release", "freeze", "--desk", town.desk.address(), "--id", "appeal", "--lift"});
    assert(lifted.status == 0 && !town.desk.log().frozen("booking", {"south", "acme"}, LocalCluster::now()));

    const ProgramResult planned =
        run(town.io, town.folder, program, {"release", "plan", "--settings", settings, "--build", "7"});
    assert(planned.status == 0 &&
           output_contains(planned, "wave 1: north/acme north/bern north/cord\nwave 2: south/acme"));

    town.desk.execute("stop");
    const ProgramResult unreachable =
        run(town.io, town.folder, program, {"release", "status", "--settings", settings});
    assert(unreachable.status == 1 && output_contains(unreachable, "desk: not reached at"));

    std::ofstream(settings) << "<pineridge xmlns=\"urn:pineridge:settings:1\">\n<release/></pineridge>";
    const ProgramResult invalid =
        run(town.io, town.folder, program, {"serve", "--config", config, "--settings", settings});
    assert(invalid.status == 2 && output_contains(invalid, "settings.xml:2: ") &&
           output_contains(invalid, "'service' is required"));
}
