// Tests the program with a registry over TLS: the sub-commands as an operator runs them, and a daemon that
// registers its own key and deletes it before it exits.
#undef NDEBUG
#include "../until.hpp"
#include "standins/certificates/certificates.hpp"
#include "standins/program/program.hpp"
#include "standins/registry/registry.hpp"
#include "standins/town/town.hpp"

#include <cassert>
#include <csignal>
#include <fstream>
#include <iostream>

using namespace pineridge;
using namespace pineridge::standins;

namespace {

void until(asio::io_context &io, const std::function<bool()> &held,
           const std::source_location &place = std::source_location::current()) {
    test::run_until(
        io, held, 30, [] { return std::string(); }, place);
}

} // namespace

int main(int, char **argv) {
    const std::string program = argv[1];
    asio::io_context io;
    LocalCluster town(io, ClusterOptions{});
    const Authority registry_authority("theirs"), router_authority("ours");
    const CertifiedKey server = registry_authority.issue("127.0.0.1"),
                       router_papers = router_authority.issue("router");
    const ServerTls secure{server.certificate, server.key, router_authority.certificate()};
    Registry registry(&secure);
    for (const char *id : {"h1", "h2"}) {
        const Host &host = town.host(id, "north", 1);
        registry.put(std::string("/hosts/") + id, host.entry().dump());
    }
    const auto path = [&](const char *name) { return (town.folder / name).string(); };
    std::ofstream(path("ca")) << registry_authority.certificate();
    std::ofstream(path("certificate")) << router_papers.certificate;
    std::ofstream(path("key")) << router_papers.key;
    std::ofstream(path("token")) << "token-of-ours\n";
    town.write_files();
    std::ofstream(path("settings.xml"))
        << R"(<pineridge xmlns="urn:pineridge:settings:1"><registry prefix="/hosts/" token-file=")"
        << path("token") << R"(" known-file=")" << path("known") << R"("><endpoint address=")"
        << registry.address() << R"("/><watch progress-s="0.2" quiet-s="1" answer-s="1"/><tls ca=")"
        << path("ca") << R"(" certificate=")" << path("certificate") << R"(" key=")" << path("key")
        << R"("/><register key="/routers/n1" life-s="2"/></registry></pineridge>)";

    assert(run(io, town.folder, program, {"check", "--settings", path("settings.xml")}).status == 0);
    const ProgramResult dumped =
        run(io, town.folder, program, {"registry", "dump", "--settings", path("settings.xml")});
    assert(dumped.status == 0 && output_contains(dumped, "revision 3, age ") &&
           output_contains(dumped, "hosts 2, unreadable 0") &&
           output_contains(dumped, "/hosts/h1 rev 2 ready 127.0.0.1:") &&
           output_contains(dumped, " build 1"));
    // There is no cached list yet.
    assert(run(io, town.folder, program, {"registry", "diff", "--settings", path("settings.xml")}).status ==
           2);

    Program daemon(town.folder, program,
                   {"serve", "--config", path("config.json"), "--settings", path("settings.xml")});
    until(io, [&] { return registry.entries().count("/routers/n1") > 0; });
    assert(registry.entries().at("/routers/n1").find(R"("name":"n1")") != std::string::npos);
    town.clients.send_rpc("acme", "lookup", "k");
    until(io, [&] { return town.clients.open_rpcs() == 0; });
    assert(town.clients.rpcs().back().answer == "served");
    until(io, [&] { return std::filesystem::exists(path("known")); });
    const ProgramResult no_difference =
        run(io, town.folder, program, {"registry", "diff", "--settings", path("settings.xml")});
    assert(no_difference.status == 0 && output_contains(no_difference, "the same"));
    registry.remove("/hosts/h2");
    registry.put("/hosts/odd", "{");
    std::filesystem::copy_file(path("known"), path("kept"));
    const ProgramResult difference =
        run(io, town.folder, program,
            {"registry", "diff", "--settings", path("settings.xml"), "--known", path("kept")});
    assert(difference.status == 1 && output_contains(difference, "- /hosts/h2 ") &&
           output_contains(difference, "1 differ"));

    Program watch(town.folder, program,
                  {"registry", "watch", "--settings", path("settings.xml"), "--for-s", "20"});
    until(io, [&] { return watch.output().find(", hosts 1") != std::string::npos; });
    Host &host = town.hosts.front();
    host.state = "terminating";
    registry.put("/hosts/h1", host.entry().dump());
    until(io, [&] { return watch.output().find("h1 draining build 1") != std::string::npos; });
    watch.signal(SIGINT);
    until(io, [&] { return watch.has_ended(); });
    assert(watch.status() == 0);

    daemon.signal(SIGTERM);
    until(io, [&] { return daemon.has_ended(); });
    assert(daemon.status() == 0 && registry.entries().count("/routers/n1") == 0 && registry.leases() == 0);
    for (const std::string &said : {daemon.output(), dumped.output})
        assert(said.find("token-of-ours") == std::string::npos && said.find("PRIVATE") == std::string::npos);
    assert(daemon.output().find("registry.own key=/routers/n1 left=yes") != std::string::npos);

    // A missing file is named in the error, and nothing starts.
    std::filesystem::remove(path("ca"));
    const ProgramResult refused =
        run(io, town.folder, program, {"registry", "dump", "--settings", path("settings.xml")});
    assert(refused.status == 2 && output_contains(refused, path("ca") + ": "));
}
