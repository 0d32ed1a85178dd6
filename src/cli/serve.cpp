// `serve`: runs the router.
#include "cli/commands.hpp"
#include "router/service.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>
#include <map>

namespace pineridge::cli {

namespace {

struct Options {
    std::string config_file;
    std::string settings_file;
    Level level = Level::info;
    LogFormat format = LogFormat::plain;
};

int run(const Options &options) {
    const router::Environment environment = [](const char *name) { return std::getenv(name); };
    router::RouterConfig router_config = router::read_config_file(options.config_file, environment);
    if (!options.settings_file.empty()) {
        router_config.reload_settings = [file = options.settings_file] { return load_settings_file(file); };
        router::apply_settings(router_config, router_config.reload_settings());
    }
    const Log log(std::cerr, router_config.name, options.level, options.format);
    boost::asio::io_context io(1);
    const router::Service service(io, options.config_file, environment, router_config, log,
                                  [&] { io.stop(); });
    io.run();
    log(Level::info, "left");
    return 0;
}

} // namespace

Command serve(CLI::App &app) {
    static const std::map<std::string, Level> levels{
        {"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}};
    static const std::map<std::string, LogFormat> formats{{"plain", LogFormat::plain},
                                                          {"json", LogFormat::json}};
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("serve", "serves clients until SIGTERM");
    command->add_option("--config", options->config_file, "configuration file, as JSON")
        ->envname("BALANCER_CONFIG")
        ->required();
    command->add_option("--settings", options->settings_file, "settings file, as XML")
        ->envname("PINERIDGE_SETTINGS");
    command->add_option("--log-level", options->level, "lowest level of log lines")
        ->envname("BALANCER_LOG_LEVEL")
        ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
    command->add_option("--log-form", options->format, "format of log lines: plain or json")
        ->envname("PINERIDGE_LOG_FORM")
        ->transform(CLI::CheckedTransformer(formats, CLI::ignore_case));
    return [command, options]() -> std::optional<int> {
        if (!command->parsed()) return std::nullopt;
        return run(*options);
    };
}

} // namespace pineridge::cli
