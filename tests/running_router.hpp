// A router that runs on the event loop of a test, configured by the files config.json and settings.xml of a
// folder. Its log is kept in memory.
#pragma once

#include "router/service.hpp"

#include <filesystem>
#include <optional>
#include <sstream>

namespace pineridge::test {

struct RunningRouter {
    void launch(boost::asio::io_context &io, const std::filesystem::path &folder) {
        const std::string config = (folder / "config.json").string();
        const router::Environment environment = [](const char *) { return nullptr; };
        router_config = router::read_config_file(config, environment);
        router::apply_settings(router_config, read_settings_file((folder / "settings.xml").string()));
        log.emplace(log_text, "n1", Level::info);
        service = std::make_unique<router::Service>(io, config, environment, router_config, *log, [] {});
    }
    bool has_logged(const std::string &part) const { return log_text.str().find(part) != std::string::npos; }

    router::RouterConfig router_config;
    std::ostringstream log_text;
    std::optional<Log> log;
    std::unique_ptr<router::Service> service;
};

} // namespace pineridge::test
