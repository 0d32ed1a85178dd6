// The router's command line.
#include "router/service.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>
#include <map>

namespace {

using namespace pineridge;
using namespace pineridge::router;

int serve(const std::string &path, Level level) {
    const Environment environment = [](const char *name) { return std::getenv(name); };
    const Start start = read_start_file(path, environment);
    const Log log(std::cerr, start.name, level);
    boost::asio::io_context io(1);
    const Service service(io, path, environment, start, log, [&] { io.stop(); });
    io.run();
    log(Level::info, "left");
    return 0;
}

int check(const std::string &path) {
    const Start start = read_start_file(path, [](const char *name) { return std::getenv(name); });
    std::cout << "sound: " << start.name << ", methods " << start.names.methods.size() << ", descriptors "
              << start.limits.descriptors << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv) {
    CLI::App app("pineridge: a front tier that watches over software updates");
    app.require_subcommand(1);
    std::string path;
    Level level = Level::info;
    const std::map<std::string, Level> levels{
        {"debug", Level::debug}, {"info", Level::info}, {"warning", Level::warning}, {"error", Level::error}};
    auto *serving = app.add_subcommand("serve", "serve clients until SIGTERM");
    auto *checking = app.add_subcommand("check", "read the configuration and say whether it is sound");
    auto *version = app.add_subcommand("version", "print the version");
    for (auto *command : {serving, checking})
        command->add_option("--config", path, "configuration, as JSON")
            ->envname("BALANCER_CONFIG")
            ->required();
    serving->add_option("--log-level", level, "least level of log lines")
        ->envname("BALANCER_LOG_LEVEL")
        ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
    CLI11_PARSE(app, argc, argv);
    try {
        if (version->parsed()) {
            std::cout << "pineridge " << PINERIDGE_VERSION << '\n';
            return 0;
        }
        return checking->parsed() ? check(path) : serve(path, level);
    } catch (const BadInput &bad) {
        std::cerr << "pineridge: configuration: " << bad.what() << '\n';
        return 2;
    } catch (const std::exception &failed) {
        std::cerr << "pineridge: " << failed.what() << '\n';
        return 1;
    }
}
