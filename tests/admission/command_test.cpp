// `pineridge admission show` and `explain`, and `check`, as a person calls them.
#undef NDEBUG
#include "standins/program/program.hpp"

#include <cassert>
#include <fstream>
#include <unistd.h>

using namespace pineridge;
using namespace pineridge::standins;

int main(int, char **argv) {
    const std::string program = argv[1];
    const auto folder =
        std::filesystem::temp_directory_path() / ("pineridge-admission-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string file = (folder / "s.xml").string();
    boost::asio::io_context io;
    const auto call = [&](std::vector<std::string> words) {
        return run(io, folder, program, std::move(words));
    };
    const auto write = [&](const std::string &inner) {
        std::ofstream(file) << "<pineridge xmlns=\"urn:pineridge:settings:1\"><admission>\n"
                            << inner << "\n</admission></pineridge>\n";
    };
    write(R"(<others per-address="9"/>
<crowd name="desks" reserve="40" per-network="7"><network address="10.0.0.0/8"/><network address="2001:db8::/32"/></crowd>
<front address="10.9.9.9"/>
<quotas><quota customer="acme" per-s="100"/></quotas><retries share="0.1"/><lateness aim-s="0.05"/>)");
    Ran ran = call({"admission", "show", "--settings", file});
    assert(ran.status == 0 && has(ran, "enforced, networks 2, fronts 1") &&
           has(ran, "crowd desks: weight 1, reserve 40") &&
           has(ran, "quota of customer acme, all methods: 100") && has(ran, "retries: 10%") &&
           has(ran, "over 50 ms"));
    ran = call({"admission", "explain", "--settings", file, "10.1.2.3"});
    assert(ran.status == 0 && has(ran, "crowd desks: by network 10.0.0.0/8") &&
           has(ran, "connections of its network 10.1.2.0/24: 0 open, at most 7") &&
           ran.said.find("a front, by") == std::string::npos);
    ran = call({"admission", "explain", "--settings", file, "::ffff:10.9.9.9"});
    assert(ran.status == 0 && has(ran, "a front, by 10.9.9.9/32"));
    ran = call({"admission", "explain", "--settings", file, "9.9.9.9"});
    assert(ran.status == 0 && has(ran, "crowd others: in no network") && has(ran, "at most 9"));
    ran = call({"admission", "explain", "--settings", file, "nine"});
    assert(ran.status == 2 && has(ran, "address: not one of IPv4 or IPv6: nine"));
    ran = call({"check", "--settings", file});
    assert(ran.status == 0 && has(ran, "crowds 2, networks 2"));

    // Faults name file, line and key.
    const std::pair<const char *, const char *> faults[] = {
        {"<crowd name=\"a\"><network address=\"10.0.0.0/8\"/></crowd>\n<crowd name=\"b\"><network "
         "address=\"10.0.0.0/8\"/></crowd>",
         "s.xml:3: network.address: 10.0.0.0/8: told before, in a"},
        {"<crowd name=\"a\"><network address=\"10.0.0.0/33\"/></crowd>",
         "s.xml:2: network.address: not a network"},
        {"<crowd name=\"a\" most=\"3\" reserve=\"4\"><network address=\"10.0.0.0/8\"/></crowd>",
         "s.xml:2: crowd.most: below reserve"},
        {"<crowd name=\"a\"><network address=\"10.0.0.0/8\"/></crowd><crowd name=\"a\"><network "
         "address=\"11.0.0.0/8\"/></crowd>",
         "crowd.name: twice: a"},
        {"<others reserve=\"-1\"/>", "reserve"},
        {"<quotas><quota per-s=\"5\"/></quotas>", "quota.customer: neither it nor method is told"},
        {"<front address=\"front\"/>", "front.address: neither an address nor a network: front"},
        {"<retries share=\"2\"/>", "share"},
    };
    for (const auto &[inner, told] : faults) {
        write(inner);
        ran = call({"check", "--settings", file});
        assert(ran.status == 2 && has(ran, told));
    }
    std::filesystem::remove_all(folder);
}
