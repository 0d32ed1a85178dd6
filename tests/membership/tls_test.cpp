// Tests a registry over TLS: the engine's bytes, unusable files, and a source on loopback against grpc++'s
// TLS with wrong, expired and replaced certificates.
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
        // Replaces the file atomically, by a rename.
        std::ofstream(path / (name + ".new")) << text;
        std::filesystem::rename(path / (name + ".new"), path / name);
        return (path / name).string();
    }
    std::filesystem::path path;
};

std::string load_error(const tls::Files &files) {
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
    assert(load_error({ca, own, key, ""}).empty());
    assert(load_error({ca + "-", own, key, ""}).find(ca + "-: ") == 0);
    assert(load_error({folder.put("odd", "no PEM"), own, key, ""}).find("odd: ") != std::string::npos);
    assert(load_error({ca, key, key, ""}).find(key + ": ") == 0);
    assert(load_error({ca, own, wrong, ""}).find(wrong + ": ") == 0);
}

void invalid_bytes_fail_the_handshake() {
    const Folder folder;
    const auto maker =
        tls::make_engine_factory({folder.put("ca", Authority("one").certificate()), "", "", ""});
    const auto engine = maker->make_engine("127.0.0.1", "h2");
    assert(engine->take_output().size() > 100); // the ClientHello
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
    // One answer larger than a TLS record.
    for (int i = 0; i < 300; ++i)
        world.registry.put("/hosts/c" + std::to_string(i), host_value("in_service"));
    world.until([&] { return world.list.size() == 302; });
    assert(!world.has_logged("token-of-ours") && !world.has_logged("PRIVATE"));
}

void a_router_without_a_certificate_is_rejected() {
    const Folder folder;
    const Authority theirs("theirs"), ours("ours");
    World world(theirs.issue("127.0.0.1"), ours.certificate());
    world.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    world.until([&] { return world.has_logged("registry.left"); });
    assert(!world.source->view().synced());
}

// A registry with a wrong certificate is rejected. New files are loaded while running, unusable ones are not.
void wrong_expired_and_replaced_certificates() {
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

    World wrong_name(theirs.issue("elsewhere.example"));
    wrong_name.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    wrong_name.until([&] { return wrong_name.has_logged("TLS: server certificate: IP address mismatch"); });
    World configured_name(theirs.issue("elsewhere.example"));
    configured_name.begin({folder.put("ca", theirs.certificate()), "", "", "elsewhere.example"});
    configured_name.until_list("a+");
    World expired(theirs.issue("127.0.0.1", -1));
    expired.begin({folder.put("ca", theirs.certificate()), "", "", ""});
    expired.until([&] { return expired.has_logged("TLS: server certificate: certificate has expired"); });
}

// A registry that answers in plaintext is rejected.
void there_is_no_fallback_to_plaintext() {
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
    invalid_bytes_fail_the_handshake();
    a_list_is_followed_with_certificates_on_both_sides();
    a_router_without_a_certificate_is_rejected();
    wrong_expired_and_replaced_certificates();
    there_is_no_fallback_to_plaintext();
}
