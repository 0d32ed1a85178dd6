// Tests of the commands `pineridge admission show`, `admission explain` and `check`: output, exit status and
// messages.
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
    const auto call = [&](std::vector<std::string> arguments) {
        return run(io, folder, program, std::move(arguments));
    };
    const auto write_settings = [&](const std::string &rules) {
        std::ofstream(file) << "<pineridge xmlns=\"urn:pineridge:settings:1\"><admission>\n"
                            << rules << "\n</admission></pineridge>\n";
    };
    write_settings(R"(<others per-address="9"/>
<crowd name="desks" reserve="40" per-network="7"><network address="10.0.0.0/8"/><network address="2001:db8::/32"/></crowd>
<front address="10.9.9.9"/>
<quotas><quota customer="acme" per-s="100"/></quotas><retries share="0.1"/><lateness aim-s="0.05"/>)");
    ProgramResult result = call({"admission", "show", "--settings", file});
    assert(result.status == 0 && output_contains(result, "enforced, networks 2, fronts 1") &&
           output_contains(result, "crowd desks: weight 1, reserve 40") &&
           output_contains(result, "quota of customer acme, all methods: 100") &&
           output_contains(result, "retries: 10%") && output_contains(result, "over 50 ms"));
    result = call({"admission", "explain", "--settings", file, "10.1.2.3"});
    assert(result.status == 0 && output_contains(result, "crowd desks: by network 10.0.0.0/8") &&
           output_contains(result, "connections of its network 10.1.2.0/24: 0 open, at most 7") &&
           result.output.find("a front, by") == std::string::npos);
    result = call({"admission", "explain", "--settings", file, "::ffff:10.9.9.9"});
    assert(result.status == 0 && output_contains(result, "a front, by 10.9.9.9/32"));
    result = call({"admission", "explain", "--settings", file, "9.9.9.9"});
    assert(result.status == 0 && output_contains(result, "crowd others: in no network") &&
           output_contains(result, "at most 9"));
    result = call({"admission", "explain", "--settings", file, "nine"});
    assert(result.status == 2 && output_contains(result, "address: not one of IPv4 or IPv6: nine"));
    result = call({"check", "--settings", file});
    assert(result.status == 0 && output_contains(result, "crowds 2, networks 2"));

    // Messages name the file, the line and the key at fault.
    const std::pair<const char *, const char *> invalid_rules[] = {
        {"<crowd name=\"a\"><network address=\"10.0.0.0/8\"/></crowd>\n<crowd name=\"b\"><network "
         "address=\"10.0.0.0/8\"/></crowd>",
         "s.xml:3: network.address: 10.0.0.0/8: already listed in crowd a"},
        {"<crowd name=\"a\"><network address=\"10.0.0.0/33\"/></crowd>",
         "s.xml:2: network.address: not an IPv4 network: 10.0.0.0/33"},
        {"<crowd name=\"a\" most=\"3\" reserve=\"4\"><network address=\"10.0.0.0/8\"/></crowd>",
         "s.xml:2: crowd.most: below reserve"},
        {"<crowd name=\"a\"><network address=\"10.0.0.0/8\"/></crowd><crowd name=\"a\"><network "
         "address=\"11.0.0.0/8\"/></crowd>",
         "crowd.name: twice: a"},
        {"<others reserve=\"-1\"/>", "reserve"},
        {"<quotas><quota per-s=\"5\"/></quotas>", "quota.customer: neither customer nor method is set"},
        {"<front address=\"front\"/>", "front.address: neither an address nor a network: front"},
        {"<retries share=\"2\"/>", "share"},
    };
    for (const auto &[rules, message] : invalid_rules) {
        write_settings(rules);
        result = call({"check", "--settings", file});
        assert(result.status == 2 && output_contains(result, message));
    }
    std::filesystem::remove_all(folder);
}
