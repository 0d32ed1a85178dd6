// Tests the registration of the router's own key under a lease, on loopback against a grpc++ registry.
#undef NDEBUG
#include "../until.hpp"
#include "membership/registration.hpp"
#include "source_world.hpp"
#include "standins/registry/registry.hpp"

using namespace pineridge;
using namespace pineridge::membership;
using standins::Registry;

namespace {

const std::string kKey = "/routers/n1";

struct World {
    World() : log(logged, "n1", Level::info) {
        std::vector<Address> endpoints{read_address(registry.address(), "endpoint")};
        registration.emplace(io, endpoints, etcd::LeasedKey{kKey, "here", 1, 5000}, "", nullptr, limits, log,
                             7, [this] {
                                 return std::chrono::duration_cast<std::chrono::microseconds>(
                                            std::chrono::steady_clock::now() - began)
                                            .count() /
                                        100;
                             });
    }
    ~World() {
        if (!unregistered) registration->unregister([this] { unregistered = true; });
        until([&] { return unregistered; });
        io.run_for(std::chrono::milliseconds(50));
    }
    void until(const std::function<bool()> &held,
               const std::source_location &place = std::source_location::current()) {
        test::run_until(
            io, held, 20, [&] { return logged.str(); }, place);
    }
    bool key_exists() const { return registry.entries().count(kKey) > 0; }

    Registry registry;
    boost::asio::io_context io;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::ostringstream logged;
    Log log;
    Limits limits{};
    std::optional<Registration> registration;
    bool unregistered = false;
};

void the_key_is_written_renewed_and_deleted() {
    World world;
    world.registration->begin();
    world.until([&] { return world.key_exists() && world.registration->registered(); });
    assert(world.registry.entries().at(kKey) == "here" && world.registry.leases() == 1);
    world.until([&] { return world.registry.renewals() >= 3; });
    world.registration->unregister([&] { world.unregistered = true; });
    world.until([&] { return world.unregistered; });
    assert(!world.key_exists() && world.registry.leases() == 0);
}

// The lease expired unnoticed: the next renewal shows it, and the key is written under a new lease.
void an_expired_lease_is_requested_again() {
    World world;
    world.registration->begin();
    world.until([&] { return world.key_exists() && world.registry.renewals() >= 1; });
    world.registry.expire_leases();
    world.until([&] { return world.key_exists(); });
    assert(world.registry.leases() == 1);
}

// A new connection continues the existing lease, or requests a new one if it has expired.
void a_new_connection_keeps_the_lease() {
    World world;
    world.registration->begin();
    world.until([&] { return world.key_exists() && world.registry.renewals() >= 1; });
    const std::int64_t rev = world.registry.revision();
    world.registry.stop();
    world.until([&] { return world.logged.str().find("why=") != std::string::npos; });
    world.registry.start();
    const int before = world.registry.renewals();
    world.until([&] { return world.registry.renewals() > before; });
    assert(world.registry.revision() == rev && world.registry.leases() == 1); // the key was not written again
    world.registry.stop();
    world.registry.expire_leases();
    world.registry.start();
    world.until([&] { return world.key_exists(); });
    assert(world.registry.leases() == 1);
}

// The connection is open but dead: it is closed after a timeout. Unregistering is bounded too, as the lease
// expires.
void a_silent_registry_delays_nothing() {
    World world;
    world.registration->begin();
    world.until([&] { return world.key_exists() && world.registry.renewals() >= 1; });
    world.registry.mute(true);
    world.until([&] { return world.logged.str().find("no answer") != std::string::npos; });
    world.registry.stop();
    world.registration->unregister([&] { world.unregistered = true; });
    world.until([&] { return world.unregistered; });
    assert(world.logged.str().find("left=unknown") != std::string::npos);
}

} // namespace

int main() {
    the_key_is_written_renewed_and_deleted();
    an_expired_lease_is_requested_again();
    a_new_connection_keeps_the_lease();
    a_silent_registry_delays_nothing();
}
