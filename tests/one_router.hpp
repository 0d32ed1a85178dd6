// One router in this process on loopback, and the peers that a test scripts around it.
#pragma once

#undef NDEBUG
#include "router/service.hpp"
#include "standins/http/place.hpp"
#include "until.hpp"

#include <cassert>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace pineridge::test {

using namespace pineridge::router;
namespace asio = boost::asio;
using asio::as_tuple;
using asio::use_awaitable;
using asio::ip::tcp;

// A peer that keeps what it is sent, and answers what it has heard of a connection as the test tells it to.
struct Peer {
    explicit Peer(asio::io_context &io) : acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    bool was_sent(const std::string &part) const { return sent.find(part) != std::string::npos; }

    asio::awaitable<void> accept() {
        for (;;) {
            auto [failed, socket] = co_await acceptor.async_accept(as_tuple(use_awaitable));
            if (failed) co_return;
            ++taken;
            asio::co_spawn(acceptor.get_executor(), serve(std::make_shared<tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> live) {
        tcp::socket &socket = *live;
        open.insert(live);
        std::string heard, room(4096, '\0');
        for (;;) {
            const auto [failed, size] =
                co_await socket.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
            if (failed) break;
            sent.append(room, 0, size), heard.append(room, 0, size);
            const std::string reply = answer(heard);
            if (reply.empty()) continue;
            heard.clear();
            co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
            if (!twice && twice_after.count() == 0) continue;
            asio::steady_timer later(acceptor.get_executor(), twice_after);
            co_await later.async_wait(as_tuple(use_awaitable));
            co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
        }
        ++closed;
        open.erase(live);
    }
    void say(const std::string &text) { // unasked, to all that are connected
        for (const auto &socket : open) asio::write(*socket, asio::buffer(text));
    }

    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> open;
    std::function<std::string(const std::string &heard)> answer = [](const auto &) { return ""; };
    std::string sent;
    bool twice = false; // sends each answer again, a little later,
    std::chrono::milliseconds twice_after{0}; // or so much later
    int taken = 0, closed = 0; // connections
};

inline std::string sized(const std::string &body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A call for the list that discovery is not to keep waiting.
inline bool asks_at_once(const std::string &heard) { return heard.find("hold_ms=1 ") != std::string::npos; }

inline json settings() {
    const json method{{"name", "lookup"}, {"repeat", "read_like"}, {"group", "all"},
                      {"aim", 0.5},       {"window", 1},           {"worth", 1},
                      {"stream", false}};
    json order = method;
    order["name"] = "order", order["repeat"] = "non_idempotent";
    return {{"instances", 1},
            {"membershipMode", "ask"},
            {"valueBy", "request"},
            {"classes", {method, order}},
            {"zones", {"a"}},
            {"kinds", {"m2"}},
            {"report", {{"fields", {"outstanding"}}}},
            {"rules", {{"warmUp", 4}, {"overloadFor", 2}, {"coldShare", 0.4}, {"tipMultiple", 3}}},
            {"permissions",
             {{"cancel", true},
              {"peers", false},
              {"secondCopies", false},
              {"retryAfter", true},
              {"maxAttempts", 3},
              {"maxRetryAfter", 1},
              {"connectTimeout", 0.3},
              {"keepalive", 10},
              {"maxStreams", 1}}},
            {"familyInfo",
             {{"control", "first_voice"},
              {"swap", "replace"},
              {"capScope", "all"},
              {"keysStay", false},
              {"guardedStages", 0},
              {"toAdvance", 1},
              {"uncounted", 2},
              {"flagShare", 0},
              {"window", 3},
              {"voteTtl", 6},
              {"answerWait", 0.5},
              {"rings", {0.1, 1}},
              {"stageCap", {0.1, 1}}}}};
}

inline json entry(const std::string &id, const std::string &address) {
    return {{"id", id},     {"addr", address}, {"zone", "a"},
            {"kind", "m2"}, {"cell", 0},       {"state", "in_service"},
            {"weight", 1},  {"started_ms", 0}, {"version_no", 1}};
}

// A router with its peers, told by a file as the operators tell it.
struct Town {
    Town() : place(io), list(io), platform(io), host(io), log(logged, "n", Level::debug) {
        list.answer = [this](const std::string &heard) {
            const bool waits = heard.find("from=7") != std::string::npos && !asks_at_once(heard);
            return waits ? "" : sized(whole_list(7).dump());
        };
        told = {{"name", "n"},
                {"listen", "127.0.0.1:" + std::to_string(place.port())},
                {"discovery", list.address()},
                {"seed", "ff"},
                {"limits", {{"cores", 1}, {"memory_mb", 32}, {"sockets", 256}}},
                {"deployer", {{"address", platform.address()}}},
                {"known", whole_list(5)},
                {"settings", settings()}};
        told["deployer"]["news"] = {
            {"build", 1}, {"stage", 1}, {"phase", "Healthy"}, {"cap", 1}, {"age_ms", 1}};
        path = std::filesystem::temp_directory_path() / ("pineridge-" + std::to_string(::getpid()) + ".json");
        write(told.dump());
    }
    ~Town() { std::filesystem::remove(path); }

    json whole_list(int version) const {
        return {{"version", version}, {"full", true}, {"servers", {entry("s", host.address())}}};
    }
    // Discovery answers a call that does not wait with the list known, and says nothing to a watch.
    void keep_watches_silent() {
        list.answer = [this](const std::string &heard) {
            return asks_at_once(heard) ? sized(told["known"].dump()) : "";
        };
    }
    void write(const std::string &text) const { std::ofstream(path) << text; }
    void serve() {
        start = read_start_file(path, environment);
        service.emplace(io, path, environment, start, log, [this] { left = true; });
    }
    void until(const std::function<bool()> &held,
               const std::source_location &place = std::source_location::current()) {
        test::run_until(
            io, held, 20, [&] { return logged.str(); }, place);
    }
    bool has_logged(const std::string &part) const { return logged.str().find(part) != std::string::npos; }

    asio::io_context io;
    standins::Place place; // the router's address
    Peer list, platform, host;
    const Environment environment = [](const char *) -> const char * { return nullptr; };
    std::ostringstream logged;
    Log log;
    json told;
    std::string path;
    Start start;
    std::optional<Service> service;
    bool left = false;
};

inline std::string bulk(const std::string &text) {
    return std::string("$") + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

inline std::string ask(const std::string &id, const std::string &patience = "5000") {
    return std::string("*4\r\n") + bulk("Q.ASK") + bulk("key") + bulk(id) + bulk("c=lookup,d=" + patience);
}

// The value that a host makes is the id asked for.
inline std::string host_answer(const std::string &heard) {
    const std::size_t id = heard.find("\r\nid-");
    if (id == std::string::npos || heard.find("c=lookup") == std::string::npos) return "";
    return std::string("*3\r\n") + bulk(heard.substr(id + 2, 6)) + "$-1\r\n$-1\r\n";
}

inline tcp::socket client_of(Town &town) {
    town.until([&] { return town.has_logged("serving"); });
    tcp::socket client(town.io);
    client.connect({asio::ip::address_v4::loopback(), town.start.listen.port()});
    client.non_blocking(true);
    return client;
}

inline bool ended(tcp::socket &client) {
    char byte;
    boost::system::error_code end;
    while (client.read_some(asio::buffer(&byte, 1), end) > 0) {
    }
    return end && end != asio::error::would_block;
}

} // namespace pineridge::test
