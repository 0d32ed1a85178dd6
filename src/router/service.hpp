// One serving program: a driver, and what signals ask of it.
#pragma once

#include "router/driver.hpp"

namespace pineridge::router {

class Service {
  public:
    // The configuration is read again on each SIGHUP; `left` is called once service has ended in order.
    Service(boost::asio::io_context &io, std::string path, Environment environment, const Start &start,
            const Log &log, std::function<void()> left);

  private:
    void heed_signals();
    void reread();

    std::string path_;
    Environment environment_;
    const Log &log_;
    std::function<void()> left_;
    boost::asio::signal_set signals_;
    Driver driver_;
};

} // namespace pineridge::router
