// The router process: owns the driver and handles signals. SIGTERM and SIGINT end the service, SIGHUP reads
// the configuration and the settings again.
#pragma once

#include "router/driver.hpp"

#include <thread>

namespace pineridge::router {

class Service {
  public:
    // `path` is the configuration file. `on_shut_down` is called once the service has ended after a signal.
    Service(boost::asio::io_context &io, std::string path, Environment environment,
            const RouterConfig &config, const Log &log, std::function<void()> on_shut_down);

  private:
    void handle_signals();
    void reload_config();
    void reload_settings();
    void apply_admission(std::shared_ptr<const AdmissionSettings> rules, const std::string &error);

    std::string path_;
    Environment environment_;
    const Log &log_;
    std::function<void()> on_shut_down_;
    boost::asio::signal_set signals_;
    Driver driver_;
    const RouterConfig &config_;
    boost::asio::io_context &io_;
    std::jthread settings_reader_; // runs while the settings are read again
};

} // namespace pineridge::router
