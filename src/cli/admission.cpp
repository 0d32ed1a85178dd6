// `admission show` and `admission explain ADDRESS`: what the settings' rules come to, worked out as a router
// does that has nobody in it yet.
#include "admission/connection_limiter.hpp"
#include "base/bad_input.hpp"
#include "cli/commands.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>

namespace pineridge::cli {

namespace {

struct Asked {
    std::string settings, address;
    std::size_t room = 586; // of a router with 1,024 descriptors
};

Entrance entrance_of(const Asked &asked) {
    const Wishes wishes = load_wishes_file(asked.settings);
    if (!wishes.entrance) throw BadInput(asked.settings + ": admission: missing");
    return *wishes.entrance;
}

void print_bound(const char *name, double bound) {
    std::cout << ", " << name << " ";
    if (bound > 0)
        std::cout << bound;
    else
        std::cout << "unbounded";
}

int show(const Asked &asked) {
    const Entrance rules = entrance_of(asked);
    std::cout << (rules.observe ? "observing: nothing is refused" : "enforced") << ", networks "
              << rules.networks.size() << ", fronts " << rules.fronts.size() << "\n";
    for (const Crowd &crowd : rules.crowds) {
        std::cout << "crowd " << crowd.name << ": weight " << crowd.weight << ", reserve " << crowd.reserve;
        print_bound("connections", crowd.most);
        print_bound("of an address", crowd.per_address);
        print_bound("of a network", crowd.per_network);
        print_bound("opened a second by an address", crowd.opens);
        std::cout << "\n";
    }
    for (const Quota &quota : rules.quotas)
        std::cout << "quota of " << (quota.customer.empty() ? "all customers" : "customer " + quota.customer)
                  << ", " << (quota.method.empty() ? "all methods" : "method " + quota.method) << ": "
                  << quota.rate << " RPCs a second over all routers, " << quota.burst << " at once\n";
    if (rules.retry_share > 0)
        std::cout << "retries: " << rules.retry_share * 100 << "% of first tries, and " << rules.retry_least
                  << " a second\n";
    if (rules.late_aim > 0)
        std::cout << "lateness: RPCs under way are bounded while what clients send lies unread for over "
                  << static_cast<double>(rules.late_aim) / 10 << " ms\n";
    return 0;
}

int explain(const Asked &asked) {
    const Entrance rules = entrance_of(asked);
    boost::system::error_code failed;
    const auto address = boost::asio::ip::make_address(asked.address, failed);
    if (failed) throw BadInput("address: not one of IPv4 or IPv6: " + asked.address);
    const Number number = number_of(address);
    const admission::ConnectionLimiter limiter(rules, asked.room, 0);
    std::cout << limiter.explain(number, 0);
    for (const Network &front : rules.fronts)
        if (front.holds(number))
            std::cout << "a front, by " << front.text()
                      << ": its connections begin with a PROXY header, and what holds "
                      << "is told by the address in it\n";
    if (rules.observe) std::cout << "observing: what would be refused is counted and let in\n";
    return 0;
}

} // namespace

Command admission(CLI::App &app) {
    auto asked = std::make_shared<Asked>();
    auto *said = app.add_subcommand("admission", "what the rules of admission come to");
    said->require_subcommand(1);
    auto *shows = said->add_subcommand("show", "all crowds, quotas and bounds");
    auto *explains = said->add_subcommand("explain", "what holds for an address, and why");
    for (CLI::App *one : {shows, explains})
        one->add_option("--settings", asked->settings, "our own settings, as XML")
            ->envname("PINERIDGE_SETTINGS")
            ->required();
    explains->add_option("ADDRESS", asked->address, "of IPv4 or IPv6")->required();
    explains->add_option("--room", asked->room, "connections of clients that the router holds")
        ->capture_default_str();
    return [shows, explains, asked]() -> std::optional<int> {
        if (shows->parsed()) return show(*asked);
        if (explains->parsed()) return explain(*asked);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
