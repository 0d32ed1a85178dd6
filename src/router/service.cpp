#include "router/service.hpp"

#include <csignal>

namespace pineridge::router {

Service::Service(boost::asio::io_context &io, std::string path, Environment environment, const Start &start,
                 const Log &log, std::function<void()> left)
    : path_(std::move(path)), environment_(std::move(environment)), log_(log), left_(std::move(left)),
      signals_(io, SIGTERM, SIGINT, SIGHUP), driver_(io, start, log), start_(start), io_(io) {
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
    reread_wishes();
}

// Of our own settings admission alone is taken anew. Read on a thread of its own: a hundred thousand networks
// take long, and clients wait meanwhile. What they are swapped for is handed over whole, on the loop, so that
// whoever looks an address up takes no lock.
void Service::reread_wishes() {
    if (!start_.wishes_again || reader_.joinable()) return;
    reader_ = std::jthread([this] {
        std::shared_ptr<const AdmissionSettings> entrance;
        std::string fault;
        try {
            Settings wishes = start_.wishes_again();
            if (wishes.admission) {
                check_fits(start_, *wishes.admission);
                entrance = std::make_shared<const AdmissionSettings>(std::move(*wishes.admission));
            }
        } catch (const std::exception &bad) {
            fault = bad.what();
        }
        boost::asio::post(io_, [this, entrance, fault] { take_entrance(entrance, fault); });
    });
}

void Service::take_entrance(std::shared_ptr<const AdmissionSettings> entrance, const std::string &fault) {
    reader_.join();
    if (!fault.empty()) return log_(Level::error, "settings kept: ", fault);
    log_(Level::info, "settings read again, crowds ", entrance ? entrance->crowds.size() : 0, ", networks ",
         entrance ? entrance->networks.size() : 0);
    driver_.admit_by(std::move(entrance));
}

} // namespace pineridge::router
