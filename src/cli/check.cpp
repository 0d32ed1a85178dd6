// `check`: reads the configuration and the settings and reports whether a router can start with them.
#include "cli/commands.hpp"
#include "router/config.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>

namespace pineridge::cli {

Command check(CLI::App &app) {
    struct Options {
        std::string config_file;
        std::string settings_file;
    };
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("check", "checks that the configuration and the settings are valid");
    auto *config_option = command->add_option("--config", options->config_file, "configuration file, as JSON")
                              ->envname("BALANCER_CONFIG");
    auto *settings_option = command->add_option("--settings", options->settings_file, "settings file, as XML")
                                ->envname("PINERIDGE_SETTINGS");
    return [command, config_option, settings_option, options]() -> std::optional<int> {
        if (!command->parsed()) return std::nullopt;
        if (config_option->empty() && settings_option->empty())
            throw BadInput("--config or --settings is required");
        std::optional<Settings> settings;
        if (!settings_option->empty()) {
            settings = load_settings_file(options->settings_file);
            std::cout << "sound: " << options->settings_file;
            if (const auto &release = settings->release)
                std::cout << ", cells " << release->cell_count() << ", stages " << release->stages.size() - 1
                          << ", freezes " << release->freezes.size() << ", dependencies "
                          << release->dependencies.size();
            if (settings->registry)
                std::cout << ", registry endpoints " << settings->registry->endpoints.size();
            if (const auto &admission = settings->admission)
                std::cout << ", crowds " << admission->crowds.size() << ", networks "
                          << admission->networks.size();
            std::cout << '\n';
        }
        if (config_option->empty()) return 0;
        const router::RouterConfig router_config = router::read_config_file(
            options->config_file, [](const char *name) { return std::getenv(name); });
        if (settings && settings->release) router::check_compatible(router_config, *settings->release);
        if (settings && settings->admission) router::check_compatible(router_config, *settings->admission);
        if (settings && !settings->rehearsal.empty()) {
            router::read_rehearsed_deployment(router_config, settings->rehearsal);
            std::cout << "sound: " << settings->rehearsal << ", to be rehearsed\n";
        }
        std::cout << "sound: " << router_config.name << ", methods " << router_config.names.methods.size()
                  << ", descriptors " << router_config.limits.descriptors << '\n';
        return 0;
    };
}

} // namespace pineridge::cli
