// `admission show` and `admission explain ADDRESS` print the effect of the settings' admission rules on a
// router without connections.
#include "admission/connection_limiter.hpp"
#include "base/bad_input.hpp"
#include "cli/commands.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>

namespace pineridge::cli {

namespace {

struct Options {
    std::string settings_file;
    std::string address;
    std::size_t room = 586; // client connections of a router with 1024 descriptors
};

AdmissionSettings load_admission_settings(const Options &options) {
    const Settings settings = load_settings_file(options.settings_file);
    if (!settings.admission) throw BadInput(options.settings_file + ": admission: missing");
    return *settings.admission;
}

void print_bound(const char *name, double bound) {
    std::cout << ", " << name << " ";
    if (bound > 0)
        std::cout << bound;
    else
        std::cout << "unbounded";
}

int show(const Options &options) {
    const AdmissionSettings rules = load_admission_settings(options);
    std::cout << (rules.observe ? "observing: nothing is refused" : "enforced") << ", networks "
              << rules.networks.size() << ", fronts " << rules.trusted_proxies.size() << "\n";
    for (const Crowd &crowd : rules.crowds) {
        std::cout << "crowd " << crowd.name << ": weight " << crowd.weight << ", reserve "
                  << crowd.reserved_connections;
        print_bound("connections", crowd.max_connections);
        print_bound("of an address", crowd.max_per_address);
        print_bound("of a network", crowd.max_per_network);
        print_bound("opened a second by an address", crowd.opens_per_s);
        std::cout << "\n";
    }
    for (const Quota &quota : rules.quotas)
        std::cout << "quota of " << (quota.customer.empty() ? "all customers" : "customer " + quota.customer)
                  << ", " << (quota.method.empty() ? "all methods" : "method " + quota.method) << ": "
                  << quota.rpcs_per_s << " RPCs a second over all routers, " << quota.burst << " at once\n";
    if (rules.retry_share > 0)
        std::cout << "retries: " << rules.retry_share * 100 << "% of first tries, and "
                  << rules.min_retries_per_s << " a second\n";
    if (rules.max_lateness > 0)
        std::cout << "lateness: RPCs in flight are bounded while received bytes lie unread for over "
                  << static_cast<double>(rules.max_lateness) / 10 << " ms\n";
    return 0;
}

int explain(const Options &options) {
    const AdmissionSettings rules = load_admission_settings(options);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(options.address, error);
    if (error) throw BadInput("address: not one of IPv4 or IPv6: " + options.address);
    const AddressBits bits = to_address_bits(address);
    const admission::ConnectionLimiter limiter(rules, options.room, 0);
    std::cout << limiter.explain(bits, 0);
    for (const Network &front : rules.trusted_proxies)
        if (front.contains(bits))
            std::cout << "a front, by " << front.text() << ": its connections begin with a PROXY header, and "
                      << "the address in it selects the rules\n";
    if (rules.observe) std::cout << "observing: what would be refused is counted and admitted\n";
    return 0;
}

} // namespace

Command admission(CLI::App &app) {
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("admission", "shows the effect of the admission rules");
    command->require_subcommand(1);
    auto *show_command = command->add_subcommand("show", "prints all crowds, quotas and bounds");
    auto *explain_command = command->add_subcommand("explain", "prints the rules that apply to an address");
    for (CLI::App *subcommand : {show_command, explain_command})
        subcommand->add_option("--settings", options->settings_file, "settings file, as XML")
            ->envname("PINERIDGE_SETTINGS")
            ->required();
    explain_command->add_option("ADDRESS", options->address, "IPv4 or IPv6 address")->required();
    explain_command->add_option("--room", options->room, "client connections that the router may hold")
        ->capture_default_str();
    return [show_command, explain_command, options]() -> std::optional<int> {
        if (show_command->parsed()) return show(*options);
        if (explain_command->parsed()) return explain(*options);
        return std::nullopt;
    };
}

} // namespace pineridge::cli
