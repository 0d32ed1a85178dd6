#include "cli/commands.hpp"
#include "router/start.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>

namespace pineridge::cli {

Command check(CLI::App &app) {
    struct Asked {
        std::string path, settings;
    };
    auto asked = std::make_shared<Asked>();
    auto *said =
        app.add_subcommand("check", "read configuration and settings and say whether they are sound");
    auto *config =
        said->add_option("--config", asked->path, "configuration, as JSON")->envname("BALANCER_CONFIG");
    auto *settings = said->add_option("--settings", asked->settings, "our own settings, as XML")
                         ->envname("PINERIDGE_SETTINGS");
    return [said, config, settings, asked]() -> std::optional<int> {
        if (!said->parsed()) return std::nullopt;
        if (config->empty() && settings->empty()) throw BadInput("--config or --settings: one is needed");
        std::optional<Wishes> wishes;
        if (!settings->empty()) {
            wishes = load_wishes_file(asked->settings);
            std::cout << "sound: " << asked->settings;
            if (const auto &scheme = wishes->release)
                std::cout << ", cells " << scheme->cells() << ", stages " << scheme->stages.size() - 1
                          << ", freezes " << scheme->freezes.size() << ", dependencies "
                          << scheme->needs.size();
            if (wishes->registry) std::cout << ", registry endpoints " << wishes->registry->endpoints.size();
            if (const auto &entrance = wishes->entrance)
                std::cout << ", crowds " << entrance->crowds.size() << ", networks "
                          << entrance->networks.size();
            std::cout << '\n';
        }
        if (config->empty()) return 0;
        const router::Start start =
            router::read_start_file(asked->path, [](const char *name) { return std::getenv(name); });
        if (wishes && wishes->release) router::check_fits(start, *wishes->release);
        if (wishes && wishes->entrance) router::check_fits(start, *wishes->entrance);
        if (wishes && !wishes->rehearsal.empty()) {
            router::read_rehearsed(start, wishes->rehearsal);
            std::cout << "sound: " << wishes->rehearsal << ", to be rehearsed\n";
        }
        std::cout << "sound: " << start.name << ", methods " << start.names.methods.size() << ", descriptors "
                  << start.limits.descriptors << '\n';
        return 0;
    };
}

} // namespace pineridge::cli
