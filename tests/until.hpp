// Runs the event loop of a test until a condition holds. On a timeout it prints the line that waited and the
// given diagnostics, and aborts the test.
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <source_location>
#include <string>

namespace pineridge::test {

inline void run_until(boost::asio::io_context &io, const std::function<bool()> &condition, int timeout_s,
                      const std::function<std::string()> &diagnostics, const std::source_location &caller) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(timeout_s);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            std::cerr << "condition not met in time, line " << caller.line() << "\n" << diagnostics() << "\n";
            std::abort();
        }
        io.run_one_for(std::chrono::milliseconds(5));
    }
}

} // namespace pineridge::test
