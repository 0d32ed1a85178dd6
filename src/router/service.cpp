#include "router/service.hpp"

#include <csignal>

namespace pineridge::router {

Service::Service(boost::asio::io_context &io, std::string path, Environment environment, const Start &start,
                 const Log &log, std::function<void()> left)
    : path_(std::move(path)), environment_(std::move(environment)), log_(log), left_(std::move(left)),
      signals_(io, SIGTERM, SIGINT, SIGHUP), driver_(io, start, log) {
    std::signal(SIGPIPE, SIG_IGN);
    heed_signals();
    driver_.begin();
}

void Service::heed_signals() {
    signals_.async_wait([this](boost::system::error_code failed, int number) {
        if (failed) return;
        heed_signals();
        if (number == SIGHUP) return reread();
        log_(Level::info, "leaving");
        driver_.leave(left_);
    });
}

// Addresses alone are taken anew. The list and the news in the file are those of its writing, older than what
// stands; sizes and terms hold for the program's life. A file that is not sound changes nothing.
void Service::reread() {
    try {
        const Start told = read_start_file(path_, environment_);
        log_(Level::info, "configuration read again");
        driver_.move(told.discovery, told.platform);
    } catch (const std::exception &bad) {
        log_(Level::error, "configuration kept: ", bad.what());
    }
}

} // namespace pineridge::router
