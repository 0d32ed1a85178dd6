// Measures the resident memory of the idle daemon without a registry, with a plaintext connection to an etcd
// registry, and with a TLS connection to it.
//
//   build/tests/bench_membership_memory PROGRAM [HOSTS]
#include "standins/certificates/certificates.hpp"
#include "standins/program/program.hpp"
#include "standins/registry/registry.hpp"
#include "standins/town/town.hpp"

#include <fstream>
#include <iostream>

using namespace pineridge::standins;

namespace {

void measure(const char *name, const std::string &program, int hosts, bool use_registry, bool use_tls) {
    asio::io_context io;
    LocalCluster town(io, ClusterOptions{});
    const Authority authority("theirs");
    const CertifiedKey papers = authority.issue("127.0.0.1");
    const ServerTls secure{papers.certificate, papers.key};
    Registry registry(use_tls ? &secure : nullptr);
    std::vector<KeyChange> records;
    for (int i = 0; i < hosts; ++i) {
        const std::string id = "h" + std::to_string(i);
        records.push_back({0, "/hosts/" + id,
                           R"({"id":")" + id +
                               R"(","addr":"127.0.0.1:9","zone":"north","kind":"m","cell":0,)" +
                               R"("state":"terminating","weight":1.0,"started_ms":0,"version_no":1})",
                           false});
    }
    registry.write(records);
    town.write_files();
    const auto path = [&](const char *file) { return (town.folder / file).string(); };
    std::ofstream(path("ca")) << authority.certificate();
    std::ofstream(path("settings.xml"))
        << R"(<pineridge xmlns="urn:pineridge:settings:1"><registry prefix="/hosts/")"
        << (use_tls ? ">" : R"( plaintext="true">)") << R"(<endpoint address=")" << registry.address()
        << R"("/>)" << (use_tls ? R"(<tls ca=")" + path("ca") + R"("/>)" : "") << "</registry></pineridge>";
    std::vector<std::string> arguments{"serve", "--config", path("config.json")};
    if (use_registry) arguments.insert(arguments.end(), {"--settings", path("settings.xml")});
    Program router(town.folder, program, arguments);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end) io.run_one_until(end);
    std::cout << name << ": " << router.memory_kb() / 1024.0 << " MiB, watches " << registry.watches()
              << std::endl;
}

} // namespace

int main(int argc, char **argv) {
    if (argc < 2) return 2;
    const int hosts = argc > 2 ? std::atoi(argv[2]) : 100;
    measure("no registry", argv[1], hosts, false, false);
    measure("etcd, plaintext", argv[1], hosts, true, false);
    measure("etcd over TLS", argv[1], hosts, true, true);
}
