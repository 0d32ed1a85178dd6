#include "cli/commands.hpp"
#include "router/service.hpp"
#include "settings/read.hpp"

#include <cstdlib>
#include <iostream>
#include <map>

namespace pineridge::cli {

namespace {

struct Asked {
    std::string path, settings;
    Level level = Level::info;
    Form form = Form::plain;
};

int run(const Asked &asked) {
    const router::Environment environment = [](const char *name) { return std::getenv(name); };
    router::Start start = router::read_start_file(asked.path, environment);
    if (!asked.settings.empty()) {
        start.wishes_again = [path = asked.settings] { return load_wishes_file(path); };
        router::take_wishes(start, start.wishes_again());
    }
    const Log log(std::cerr, start.name, asked.level, asked.form);
    boost::asio::io_context io(1);
    const router::Service service(io, asked.path, environment, start, log, [&] { io.stop(); });
    io.run();
    log(Level::info, "left");
    return 0;
}

} // namespace

Command serve(CLI::App &app) {
    static const std::map<std::string, Level> levels{
        {"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}};
    static const std::map<std::string, Form> forms{{"plain", Form::plain}, {"json", Form::json}};
    auto asked = std::make_shared<Asked>();
    auto *said = app.add_subcommand("serve", "serve clients until SIGTERM");
    said->add_option("--config", asked->path, "configuration, as JSON")
        ->envname("BALANCER_CONFIG")
        ->required();
    said->add_option("--settings", asked->settings, "our own settings, as XML")
        ->envname("PINERIDGE_SETTINGS");
    said->add_option("--log-level", asked->level, "least level of log lines")
        ->envname("BALANCER_LOG_LEVEL")
        ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
    said->add_option("--log-form", asked->form, "plain or json")
        ->envname("PINERIDGE_LOG_FORM")
        ->transform(CLI::CheckedTransformer(forms, CLI::ignore_case));
    return [said, asked]() -> std::optional<int> {
        if (!said->parsed()) return std::nullopt;
        return run(*asked);
    };
}

} // namespace pineridge::cli
