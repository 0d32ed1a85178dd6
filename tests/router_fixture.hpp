// Runs one router in the test's process on loopback. Discovery, the platform and one host are scripted peers:
// a test sets what each of them answers. All of it runs on one io_context and one thread.
#pragma once

#undef NDEBUG
#include "router/service.hpp"
#include "standins/http/reserved_port.hpp"
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

// A TCP server that records all bytes sent to it and answers with what `answer` returns. It accepts
// connections from its construction on.
struct ScriptedPeer {
    explicit ScriptedPeer(asio::io_context &io) : acceptor(io, {asio::ip::address_v4::loopback(), 0}) {
        asio::co_spawn(io, accept(), asio::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
    bool was_sent(const std::string &part) const { return sent.find(part) != std::string::npos; }

    asio::awaitable<void> accept() {
        for (;;) {
            auto [failed, socket] = co_await acceptor.async_accept(as_tuple(use_awaitable));
            if (failed) co_return;
            ++accepted;
            asio::co_spawn(acceptor.get_executor(), serve(std::make_shared<tcp::socket>(std::move(socket))),
                           asio::detached);
        }
    }
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> connection) {
        tcp::socket &socket = *connection;
        open.insert(connection);
        std::string received; // since the last answer
        std::string buffer(4096, '\0');
        for (;;) {
            const auto [failed, size] =
                co_await socket.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
            if (failed) break;
            sent.append(buffer, 0, size);
            received.append(buffer, 0, size);
            const std::string reply = answer(received);
            if (reply.empty()) continue;
            received.clear();
            co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
            if (!repeats_answers && repeat_delay.count() == 0) continue;
            asio::steady_timer repeat_timer(acceptor.get_executor(), repeat_delay);
            co_await repeat_timer.async_wait(as_tuple(use_awaitable));
            co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
        }
        ++closed;
        open.erase(connection);
    }
    // Sends the text on every open connection, without a request.
    void send_to_all(const std::string &text) {
        for (const auto &socket : open) asio::write(*socket, asio::buffer(text));
    }

    tcp::acceptor acceptor;
    std::set<std::shared_ptr<tcp::socket>> open;
    // Returns the answer to what a connection has received since its last answer; empty: none yet.
    std::function<std::string(const std::string &received)> answer = [](const auto &) { return ""; };
    std::string sent; // all bytes sent to this peer
    bool repeats_answers = false; // sends each answer a second time,
    std::chrono::milliseconds repeat_delay{0}; // after this delay; above 0 it also enables the repeats
    int accepted = 0; // connections
    int closed = 0;
};

// Returns a 200 response with this body.
inline std::string http_response(const std::string &body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns whether a request for the host list is to be answered without waiting for a change.
inline bool is_immediate_query(const std::string &request) {
    return request.find("hold_ms=1 ") != std::string::npos;
}

inline json default_settings() {
    const json method{{"name", "lookup"}, {"repeat", "read_like"}, {"group", "all"},
                      {"aim", 0.5},       {"window", 1},           {"worth", 1},
                      {"stream", false}};
    json order = method;
    order["name"] = "order";
    order["repeat"] = "non_idempotent";
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

// Returns the entry of a host in service, as discovery sends it.
inline json host_entry(const std::string &id, const std::string &address) {
    return {{"id", id},     {"addr", address}, {"zone", "a"},
            {"kind", "m2"}, {"cell", 0},       {"state", "in_service"},
            {"weight", 1},  {"started_ms", 0}, {"version_no", 1}};
}

// A router with its scripted peers, configured by a file as in production.
struct RouterFixture {
    RouterFixture()
        : listen_address(io), discovery(io), platform(io), host(io), log(log_output, "n", Level::debug) {
        discovery.answer = [this](const std::string &request) {
            const bool waits = request.find("from=7") != std::string::npos && !is_immediate_query(request);
            return waits ? "" : http_response(full_list(7).dump());
        };
        config_json = {{"name", "n"},
                       {"listen", "127.0.0.1:" + std::to_string(listen_address.port())},
                       {"discovery", discovery.address()},
                       {"seed", "ff"},
                       {"limits", {{"cores", 1}, {"memory_mb", 32}, {"sockets", 256}}},
                       {"deployer", {{"address", platform.address()}}},
                       {"known", full_list(5)},
                       {"settings", default_settings()}};
        config_json["deployer"]["news"] = {
            {"build", 1}, {"stage", 1}, {"phase", "Healthy"}, {"cap", 1}, {"age_ms", 1}};
        config_path =
            std::filesystem::temp_directory_path() / ("pineridge-" + std::to_string(::getpid()) + ".json");
        write_config(config_json.dump());
    }
    ~RouterFixture() { std::filesystem::remove(config_path); }

    // Returns discovery's full list with one host, `host`.
    json full_list(int version) const {
        return {{"version", version}, {"full", true}, {"servers", {host_entry("s", host.address())}}};
    }
    // From now on discovery answers a query that does not wait with the configured list, and no other.
    void leave_watches_unanswered() {
        discovery.answer = [this](const std::string &request) {
            return is_immediate_query(request) ? http_response(config_json["known"].dump()) : "";
        };
    }
    void write_config(const std::string &text) const { std::ofstream(config_path) << text; }
    // Reads the configuration file and starts the router.
    void start_service() {
        config = read_config_file(config_path, environment);
        service.emplace(io, config_path, environment, config, log, [this] { has_shut_down = true; });
    }
    // Runs the loop until the condition holds; fails the test after 20 s.
    void run_until(const std::function<bool()> &condition,
                   const std::source_location &place = std::source_location::current()) {
        test::run_until(
            io, condition, 20, [&] { return log_output.str(); }, place);
    }
    bool has_logged(const std::string &part) const {
        return log_output.str().find(part) != std::string::npos;
    }

    asio::io_context io;
    standins::ReservedPort listen_address; // of the router
    ScriptedPeer discovery, platform, host;
    const Environment environment = [](const char *) -> const char * { return nullptr; };
    std::ostringstream log_output;
    Log log;
    json config_json; // content of the configuration file
    std::string config_path;
    RouterConfig config;
    std::optional<Service> service;
    bool has_shut_down = false;
};

inline std::string bulk(const std::string &text) {
    return std::string("$") + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

// Returns the command of an idempotent RPC; `deadline_ms` is the time that its client waits for the answer.
inline std::string ask_command(const std::string &id, const std::string &deadline_ms = "5000") {
    return std::string("*4\r\n") + bulk("Q.ASK") + bulk("key") + bulk(id) + bulk("c=lookup,d=" + deadline_ms);
}

// Returns the command of an RPC that must not be executed twice.
inline std::string order_command(const std::string &id, const std::string &body = "body",
                                 const std::string &deadline_ms = "5000") {
    return std::string("*5\r\n") + bulk("Q.DO") + bulk("key") + bulk(id) + bulk("c=order,d=" + deadline_ms) +
           bulk(body);
}

// Answers a command as a host does; the value is the id of the RPC. Empty until the command is complete.
inline std::string host_answer(const std::string &received) {
    const std::size_t id = received.find("\r\nid-");
    if (id == std::string::npos || received.find("c=lookup") == std::string::npos) return "";
    return std::string("*3\r\n") + bulk(received.substr(id + 2, 6)) + "$-1\r\n$-1\r\n";
}

// Connects to the router once it serves.
inline tcp::socket connect_client(RouterFixture &fixture) {
    fixture.run_until([&] { return fixture.has_logged("serving"); });
    tcp::socket client(fixture.io);
    client.connect({asio::ip::address_v4::loopback(), fixture.config.listen.port()});
    client.non_blocking(true);
    return client;
}

// Returns whether the router has closed the connection; discards what it has sent.
inline bool is_closed(tcp::socket &client) {
    char byte;
    boost::system::error_code failed;
    while (client.read_some(asio::buffer(&byte, 1), failed) > 0) {
    }
    return failed && failed != asio::error::would_block;
}

} // namespace pineridge::test
