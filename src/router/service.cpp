#include "router/service.hpp"

#include <csignal>

namespace pineridge::router {

Service::Service(boost::asio::io_context &io, std::string path, Environment environment,
                 const RouterConfig &config, const Log &log, std::function<void()> on_shut_down)
    : path_(std::move(path)), environment_(std::move(environment)), log_(log),
      on_shut_down_(std::move(on_shut_down)), signals_(io, SIGTERM, SIGINT, SIGHUP), driver_(io, config, log),
      config_(config), io_(io) {
    std::signal(SIGPIPE, SIG_IGN);
    handle_signals();
    driver_.start();
}

void Service::handle_signals() {
    signals_.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) return;
        handle_signals();
        if (number == SIGHUP) return reload_config();
        log_(Level::info, "leaving");
        driver_.shut_down(on_shut_down_);
    });
}

// Applies only the addresses of discovery and the platform. The host list and the rollout status in the file
// are older than those in use, and limits and deployment are fixed for the life of the process. An invalid
// file changes nothing.
void Service::reload_config() {
    try {
        const RouterConfig reloaded = read_config_file(path_, environment_);
        log_(Level::info, "configuration read again");
        driver_.set_addresses(reloaded.discovery, reloaded.platform);
    } catch (const std::exception &failure) {
        log_(Level::error, "configuration kept: ", failure.what());
    }
    reload_settings();
}

// Applies only the admission rules. The file is read on another thread, as reading a hundred thousand
// networks would delay the clients. The complete rules are then replaced on the event loop, so that looking
// up an address needs no lock.
void Service::reload_settings() {
    if (!config_.reload_settings || settings_reader_.joinable()) return;
    settings_reader_ = std::jthread([this] {
        std::shared_ptr<const AdmissionSettings> rules;
        std::string error;
        try {
            Settings settings = config_.reload_settings();
            if (settings.admission) {
                check_compatible(config_, *settings.admission);
                rules = std::make_shared<const AdmissionSettings>(std::move(*settings.admission));
            }
        } catch (const std::exception &failure) {
            error = failure.what();
        }
        boost::asio::post(io_, [this, rules, error] { apply_admission(rules, error); });
    });
}

void Service::apply_admission(std::shared_ptr<const AdmissionSettings> rules, const std::string &error) {
    settings_reader_.join();
    if (!error.empty()) return log_(Level::error, "settings kept: ", error);
    log_(Level::info, "settings read again, crowds ", rules ? rules->crowds.size() : 0, ", networks ",
         rules ? rules->networks.size() : 0);
    driver_.set_admission_rules(std::move(rules));
}

} // namespace pineridge::router
