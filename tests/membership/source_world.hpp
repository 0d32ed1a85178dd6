// A source with the list it reports and its log, run until a condition holds; for tests with any stand-in
// registry.
#pragma once

#include "../until.hpp"
#include "list_value.hpp"
#include "membership/source.hpp"

#include <cassert>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <source_location>
#include <sstream>

namespace pineridge::membership {

inline std::string host_value(const std::string &state, int started = 0) {
    return R"({"id":"x","addr":"127.0.0.1:1","state":")" + state + R"(","started_ms":)" +
           std::to_string(started) + "}";
}

struct SourceWorld {
    SourceWorld() : log(logged, "n1", Level::info) {}
    ~SourceWorld() { stop(); }
    void stop() { // before what the source refers to is destroyed
        if (!source || std::exchange(stopped, true)) return;
        source->stop();
        io.run_for(std::chrono::milliseconds(50));
    }

    void begin(SourceOptions options) {
        source.emplace(
            io, std::move(options), read_value, limits, log, 7, [this] { return time(); },
            [this](const Listing &listing) { apply(listing); });
        source->begin();
    }
    Ticks time() const {
        return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - began)
                   .count() /
               100;
    }
    void apply(const Listing &listing) {
        for (const Member &member : listing.members) {
            const std::string &id = member.entry.id;
            if (member.entry.status == HostStatus::gone)
                list.erase(id);
            else
                list[id] = member.entry.status;
        }
    }
    void until(const std::function<bool()> &held,
               const std::source_location &place = std::source_location::current()) {
        test::run_until(
            io, held, 20, [&] { return logged.str() + list_text(); }, place);
    }
    std::string list_text() const { // "a+b-": a is ready, b is draining
        std::string all;
        for (const auto &[id, status] : list) all += id + (status == HostStatus::ready ? "+" : "-");
        return all;
    }
    void until_list(const std::string &expected,
                    const std::source_location &place = std::source_location::current()) {
        until([&] { return list_text() == expected; }, place);
    }
    bool has_logged(const std::string &part) const { return logged.str().find(part) != std::string::npos; }

    boost::asio::io_context io;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    std::ostringstream logged;
    Log log;
    Limits limits{};
    std::map<std::string, HostStatus> list;
    std::optional<Source> source;
    bool stopped = false;
};

} // namespace pineridge::membership
