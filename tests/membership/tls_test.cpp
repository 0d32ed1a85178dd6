// A registry over TLS: the engine by its bytes, files that cannot be used, and a source on loopback against
// grpc++'s own TLS, through wrong, old and replaced certificates.
#undef NDEBUG
#include "base/bad_input.hpp"
#include "membership/etcd/follower.hpp"
#include "source_world.hpp"
#include "standins/certificates/certificates.hpp"
#include "standins/registry/registry.hpp"

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pineridge;
using namespace pineridge::membership;
using standins::Authority;
using standins::CertifiedKey;

namespace {

struct Folder {
    Folder()
        : path(std::filesystem::temp_directory_path() / ("pineridge-tls-" + std::to_string(::getpid()))) {
        std::filesystem::create_directories(path);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string put(const std::string &name, const std::string &text) const {
        // As a careful hand replaces a file: whole, by a rename.
        std::ofstream(path / (name + ".new")) << text;
        std::filesystem::rename(path / (name + ".new"), path / name);
        return (path / name).string();
    }
    std::filesystem::path path;
};

std::string fault_of(const tls::Files &files) {
    try {
        tls::make_engine_factory(files);
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void files_that_cannot_be_used_are_named() {
    const Folder folder;
    const Authority authority("one");
    const CertifiedKey mine = authority.issue("router"), other = authority.issue("other");
    const std::string ca = folder.put("ca", authority.certificate()),
                      own = folder.put("own", mine.certificate);
    const std::string key = folder.put("key", mine.key), wrong = folder.put("wrong", other.key);
    assert(fault_of({ca, own, key, ""}).empty());
    assert(fault_of({ca + "-", own, key, ""}).find(ca + "-: ") == 0);
    assert(fault_of({folder.put("odd", "no PEM"), own, key, ""}).find("odd: ") != std::string::npos);
    assert(fault_of({ca, key, key, ""}).find(key + ": ") == 0);
    assert(fault_of({ca, own, wrong, ""}).find(wrong + ": ") == 0);
}

void noise_breaks_the_handshake() {
    const Folder folder;
    const auto maker =
        tls::make_engine_factory({folder.put("ca", Authority("one").certificate()), "", "", ""});
    const auto engine = maker->make_engine("127.0.0.1", "h2");
    assert(engine->take_output().size() > 100); // the client's first words
    engine->send("kept until the handshake is done");
    assert(engine->take_output().empty());
    assert(!engine->feed("HTTP/1.1 400 Bad Request\r\n\r\n") && !engine->error().empty());
    const auto bounded = maker->make_engine("127.0.0.1", "h2");
    for (int i = 0; i < 3; ++i) bounded->send(std::string(1 << 19, 'x'));
    assert(bounded->error() == "over 1 MiB queued before the end of the handshake");
}

struct World : SourceWorld {
    explicit World(const CertifiedKey &server, const std::string &clients = "")
        : secure{server.certificate, server.key, clients}, registry(&secure) {
        registry.put("/hosts/a", host_value("in_service"));
    }
    ~World() { stop(); }
    void begin(const tls::Files &files) {
        maker = tls::make_engine_factory(files);
        SourceOptions options;
        options.endpoints = {read_address(registry.address(), "endpoint")};
        options.prefix = "/hosts/";
        options.endpoint_rules = {500, 2000, 0};
        options.tls = maker.get();
        options.make_protocol = [](View &view, const std::string &authority) {
            return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "token-of-ours",
                                                    etcd::Timing{5000, 1000, 4000, 3000}, 2);
        };
        SourceWorld::begin(std::move(options));
    }
    standins::ServerTls secure;
    standins::Registry registry;
    std::unique_ptr<tls::EngineFactory> maker;
};

void a_list_is_followed_with_certificates_on_both_sides() {
    const Folder folder;
    const Authority theirs("theirs"), ours("ours");
    const CertifiedKey mine = ours.issue("router");
    World world(theirs.issue("127.0.0.1"), ours.certificate());
    world.begin({folder.put("ca", theirs.certificate()), folder.put("own", mine.certificate),
                 folder.put("key", mine.key), ""});
    world.until_list("a+");
    world.registry.put("/hosts/a", host_value("terminating"));
    world.until_list("a-");
    world.registry.cancel_streams();
    world.registry.put("/hosts/b", host_value("in_service"));
    world.until_list("a-b+");
    // Larger than one record of TLS, in one answer.
    for (int i = 0; i < 300; ++i)
        world.registry.put("/hosts/c" + std::to_string(i), host_value("in_service"));
    world.until([&] { return world.list.size() == 302; });
    assert(!world.has_logged("token-of-ours") && !world.has_logged("PRIVATE"));
}

void without_its_certificate_a_router_is_not_let_in() {
    const Folder folder;
    const Authority theirs("theirs"), ours("ours");
    World world(theirs.issue("127.0.0.1"), ours.certificate());
    world.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    world.until([&] { return world.has_logged("registry.left"); });
    assert(!world.source->view().synced());
}

// Nothing is told to, or believed of, a registry that is not the one; new files are taken while it runs, bad
// ones are not.
void wrong_and_old_certificates_and_files_that_change() {
    const Folder folder;
    const Authority theirs("theirs"), foreign("foreign");
    World world(theirs.issue("127.0.0.1"));
    world.begin({folder.put("ca", foreign.certificate()), "", "", ""});
    world.until([&] { return world.has_logged("TLS: server certificate: "); });
    assert(!world.source->view().synced());
    folder.put("ca", "no longer PEM");
    world.until([&] { return world.has_logged("registry.tls kept="); });
    folder.put("ca", theirs.certificate());
    world.until_list("a+");

    World named(theirs.issue("elsewhere.example"));
    named.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    named.until([&] { return named.has_logged("TLS: server certificate: IP address mismatch"); });
    World told(theirs.issue("elsewhere.example"));
    told.begin({folder.put("ca", theirs.certificate()), "", "", "elsewhere.example"});
    told.until_list("a+");
    World old(theirs.issue("127.0.0.1", -1));
    old.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    old.until([&] { return old.has_logged("TLS: server certificate: certificate has expired"); });
}

// Plaintext on the other side is no registry.
void plaintext_is_not_fallen_back_to() {
    const Folder folder;
    const Authority theirs("theirs");
    standins::Registry plain;
    plain.put("/hosts/a", host_value("in_service"));
    World world(theirs.issue("127.0.0.1"));
    world.maker = tls::make_engine_factory({folder.put("ca", theirs.certificate()), "", "", ""});
    SourceOptions options;
    options.endpoints = {read_address(plain.address(), "endpoint")};
    options.endpoint_rules = {500, 2000, 0};
    options.tls = world.maker.get();
    options.make_protocol = [](View &view, const std::string &authority) {
        return std::make_shared<etcd::Follower>(view, read_value, "/hosts/", authority, "", etcd::Timing{},
                                                2);
    };
    world.SourceWorld::begin(std::move(options));
    world.until([&] { return world.has_logged("why=\"TLS: "); });
    assert(!world.source->view().synced() && plain.reads() == 0);
}

} // namespace

int main() {
    files_that_cannot_be_used_are_named();
    noise_breaks_the_handshake();
    a_list_is_followed_with_certificates_on_both_sides();
    without_its_certificate_a_router_is_not_let_in();
    wrong_and_old_certificates_and_files_that_change();
    plaintext_is_not_fallen_back_to();
}
