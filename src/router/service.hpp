// One serving program: a driver, and what signals ask of it.
#pragma once

#include "router/driver.hpp"

#include <thread>

namespace pineridge::router {

class Service {
  public:
    // The configuration is read again on each SIGHUP; `left` is called once service has ended in order.
    Service(boost::asio::io_context &io, std::string path, Environment environment, const Start &start,
            const Log &log, std::function<void()> left);

  private:
    void heed_signals();
    void reread();
    void reread_wishes();
    void take_entrance(std::shared_ptr<const AdmissionSettings> entrance, const std::string &fault);

    std::string path_;
    Environment environment_;
    const Log &log_;
    std::function<void()> left_;
    boost::asio::signal_set signals_;
    Driver driver_;
    const Start &start_;
    boost::asio::io_context &io_;
    std::jthread reader_; // of settings, while they are read again
};

} // namespace pineridge::router
