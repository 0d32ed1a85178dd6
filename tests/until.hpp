// Runs a test's loop until something holds. In vain, it says where the test waited and what else is told, and
// ends the test.
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <source_location>
#include <string>

namespace pineridge::test {

inline void run_until(boost::asio::io_context &io, const std::function<bool()> &held, int seconds,
                      const std::function<std::string()> &told, const std::source_location &place) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!held()) {
        if (std::chrono::steady_clock::now() > end) {
            std::cerr << "waited in vain at line " << place.line() << "\n" << told() << "\n";
            std::abort();
        }
        io.run_one_for(std::chrono::milliseconds(5));
    }
}

} // namespace pineridge::test
