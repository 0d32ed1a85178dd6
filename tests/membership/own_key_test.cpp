// The router's own key under a lease, on loopback against a registry on grpc++.
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
        own.emplace(io, endpoints, etcd::LeasedKey{kKey, "here", 1, 5000}, "", nullptr, limits, log, 7,
                    [this] {
                        return std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::steady_clock::now() - began)
                                   .count() /
                               100;
                    });
    }
    ~World() {
        if (!left) own->unregister([this] { left = true; });
        until([&] { return left; });
        io.run_for(std::chrono::milliseconds(50));
    }
    void until(const std::function<bool()> &held,
               const std::source_location &place = std::source_location::current()) {
        test::run_until(
            io, held, 20, [&] { return logged.str(); }, place);
    }
    bool there() const { return registry.entries().count(kKey) > 0; }

    Registry registry;
    boost::asio::io_context io;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::ostringstream logged;
    Log log;
    Limits limits{};
    std::optional<Registration> own;
    bool left = false;
};

void the_key_is_placed_renewed_and_taken_away() {
    World world;
    world.own->begin();
    world.until([&] { return world.there() && world.own->registered(); });
    assert(world.registry.entries().at(kKey) == "here" && world.registry.leases() == 1);
    world.until([&] { return world.registry.renewals() >= 3; });
    world.own->unregister([&] { world.left = true; });
    world.until([&] { return world.left; });
    assert(!world.there() && world.registry.leases() == 0);
}

// The lease ran out while nobody looked: it shows at the next renewal, and the key is placed anew.
void a_lease_that_ran_out_is_asked_for_anew() {
    World world;
    world.own->begin();
    world.until([&] { return world.there() && world.registry.renewals() >= 1; });
    world.registry.expire_leases();
    world.until([&] { return world.there(); });
    assert(world.registry.leases() == 1);
}

// A new connection goes on with the lease that stands, and asks for another where it does not.
void a_break_keeps_the_lease_that_stands() {
    World world;
    world.own->begin();
    world.until([&] { return world.there() && world.registry.renewals() >= 1; });
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
    world.until([&] { return world.there(); });
    assert(world.registry.leases() == 1);
}

// Open and dead: left in time. Leaving is bounded too: the lease takes the key away.
void a_silent_registry_holds_up_nothing() {
    World world;
    world.own->begin();
    world.until([&] { return world.there() && world.registry.renewals() >= 1; });
    world.registry.mute(true);
    world.until([&] { return world.logged.str().find("no answer") != std::string::npos; });
    world.registry.stop();
    world.own->unregister([&] { world.left = true; });
    world.until([&] { return world.left; });
    assert(world.logged.str().find("left=unknown") != std::string::npos);
}

} // namespace

int main() {
    the_key_is_placed_renewed_and_taken_away();
    a_lease_that_ran_out_is_asked_for_anew();
    a_break_keeps_the_lease_that_stands();
    a_silent_registry_holds_up_nothing();
}
