// The world around routers for the cases of the second review: hosts, clients, a registry with blocking
// queries, the router as a process, its configuration, and a record of what was sent, answered and run. All
// of it runs on loopback and on one io_context. Discovery, platform, release desk and HTTP server are the
// project's stand-ins.
#pragma once

#include "net/resp/resp.hpp"
#include "standins/desk/desk.hpp"
#include "standins/discovery/faulty.hpp"
#include "standins/http/reserved_port.hpp"
#include "standins/http/server.hpp"
#include "standins/platform/platform.hpp"
#include "standins/program/program.hpp"

#include <boost/asio.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace rig {

namespace asio = boost::asio;
namespace standins = pineridge::standins;
namespace resp = pineridge::resp;
using asio::as_tuple;
using asio::use_awaitable;
using nlohmann::json;
using std::chrono::milliseconds;

// Milliseconds since the Unix epoch.
inline std::int64_t now() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// What cannot be set up; the case then exits with 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Writes one line for each event, with the time in ms since the start of the case.
class Record {
  public:
    explicit Record(const std::string &path) : out_(path), start_(now()) {
        if (!out_) throw CannotRun("cannot write " + path);
    }
    template <class... Parts> void operator()(const Parts &...parts) {
        out_ << now() - start_ << ' ';
        (out_ << ... << parts) << '\n';
    }
    template <class... Parts> void say(const Parts &...parts) { // in the record and on standard output
        std::ostringstream line;
        (line << ... << parts);
        (*this)(line.str());
        std::cout << line.str() << std::endl;
    }
    void flush() { out_.flush(); }
    std::int64_t start() const { return start_; }

  private:
    std::ofstream out_;
    std::int64_t start_;
};

// One command that a host has received whole.
struct Attempt {
    std::int64_t first_byte_at = 0, at = 0; // of its first byte; of its last byte
    std::string host, id, method, tenant, key;
    int build = 0;
    bool ran = false; // false: turned away
};

struct World;

// A host. It runs each command after `work`, one behind another on a connection, and answers with a value
// that names the command's id, the host and its build. While it drains it turns new commands away with -BUSY.
class Host {
  public:
    Host(World &world, std::string host_id, int host_build);
    json entry() const {
        return {{"id", id},           {"addr", address()}, {"zone", "a"},   {"kind", "m"},
                {"cell", 0},          {"state", state},    {"weight", 1.0}, {"started_ms", started_ms},
                {"version_no", build}};
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    std::string id;
    int build;
    std::string state = "in_service";
    bool drains = false; // turns new commands away
    bool silent = false; // its machine is gone: it says nothing any more, on open connections and on new ones
    std::int64_t started_ms = 0; // long ago
    milliseconds work{40};

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket);

    World &world_;
    asio::ip::tcp::acceptor acceptor_;
    unsigned short port_;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> silent_; // stay open
};

// One request of a client.
struct Asked {
    std::int64_t at = 0; // when its last byte was written
    std::string id, method, tenant, key;
    std::string
        answer{}; // empty: none; served, refused, failed, wrong, closed (without an answer), unreachable
    std::int64_t answered_at = 0;
    int build = 0; // that served it
};

struct World {
    explicit World(const std::string &record_path)
        : record(record_path), signals_(io, SIGTERM, SIGINT), limit_(io) {
        // Thrown out of the loop, so that the router is ended and the folder removed on these ways too.
        signals_.async_wait([](boost::system::error_code failed, int) {
            if (!failed) throw CannotRun("ended by a signal");
        });
        limit_.expires_after(kLongestRun);
        limit_.async_wait([](boost::system::error_code failed) {
            if (!failed) throw CannotRun("it took too long");
        });
        static int count = 0;
        folder = std::filesystem::temp_directory_path() /
                 ("pineridge-review-" + std::to_string(::getpid()) + "-" + std::to_string(++count));
        std::filesystem::create_directories(folder);
    }
    ~World() {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    asio::io_context io;
    Record record;
    std::filesystem::path folder;
    std::list<Host> hosts;
    std::deque<Attempt> attempts;
    std::deque<Asked> asked;
    std::mt19937_64 random{20261205};

    Host &add_host(const std::string &id, int build) { return hosts.emplace_back(*this, id, build); }
    void later(milliseconds delay, std::function<void()> act) {
        const auto timer = std::make_shared<asio::steady_timer>(io, delay);
        timer->async_wait([timer, act = std::move(act)](boost::system::error_code failed) {
            if (!failed) act();
        });
    }
    void run_for(milliseconds duration) { standins::run_for(io, duration); }
    bool run_until(const std::function<bool()> &condition, milliseconds limit) {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) return false;
            io.run_one_for(milliseconds(5));
        }
        return true;
    }

  private:
    static constexpr std::chrono::seconds kLongestRun{110};
    asio::signal_set signals_;
    asio::steady_timer limit_;
};

inline Host::Host(World &world, std::string host_id, int host_build)
    : id(std::move(host_id)), build(host_build), world_(world),
      acceptor_(world.io, {asio::ip::address_v4::loopback(), 0}), port_(acceptor_.local_endpoint().port()) {
    asio::co_spawn(world.io, accept(), asio::detached);
}

inline asio::awaitable<void> Host::accept() {
    for (;;) {
        auto [failed, socket] = co_await acceptor_.async_accept(as_tuple(use_awaitable));
        if (failed) co_return;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        asio::co_spawn(world_.io, serve(std::make_shared<asio::ip::tcp::socket>(std::move(socket))),
                       asio::detached);
    }
}

inline std::string bulk(const std::string &text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

inline std::map<std::string, std::string> fields_of(std::string_view text) {
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos)
            fields[std::string(field.substr(0, equals))] = std::string(field.substr(equals + 1));
    }
    return fields;
}

inline asio::awaitable<void> Host::serve(std::shared_ptr<asio::ip::tcp::socket> socket) {
    std::string received, buffer(16384, '\0');
    asio::steady_timer timer(world_.io);
    std::int64_t first_byte_at = 0;
    for (;;) {
        const auto [failed, size] =
            co_await socket->async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (failed) co_return;
        if (received.empty()) first_byte_at = now();
        received.append(buffer, 0, size);
        resp::Value value;
        while (resp::scan(received, {65536, 16, 4, 1024}, value) == resp::ScanResult::complete) {
            std::vector<std::string> arguments;
            for (const resp::Value &item : value.items) arguments.emplace_back(item.body);
            received.erase(0, value.raw.size());
            std::string reply = "-SYNTAX\r\n";
            if (!arguments.empty() && arguments[0] == "PING") reply = "+PONG\r\n";
            if (arguments.size() >= 4 && (arguments[0] == "Q.ASK" || arguments[0] == "Q.DO")) {
                const auto fields = fields_of(arguments[3]);
                const auto field = [&](const char *name) {
                    const auto at = fields.find(name);
                    return at == fields.end() ? std::string() : at->second;
                };
                const bool runs = !drains && !silent;
                world_.attempts.push_back({first_byte_at, now(), id, arguments[2], field("c"), field("t"),
                                           arguments[1], build, runs});
                world_.record("host ", id, " build ", build,
                              silent ? " is gone and gets "
                              : runs ? " runs "
                                     : " turns away ",
                              arguments[2], ' ', arguments[3]);
                if (silent) {
                    silent_.push_back(socket);
                    continue;
                }
                if (runs) {
                    timer.expires_after(work);
                    co_await timer.async_wait(as_tuple(use_awaitable));
                }
                reply = runs ? "*3\r\n" + bulk(arguments[2] + "@" + id + "@" + std::to_string(build)) +
                                   "$-1\r\n$-1\r\n"
                             : "-BUSY\r\n";
            }
            const auto [broken, written] =
                co_await asio::async_write(*socket, asio::buffer(reply), as_tuple(use_awaitable));
            if (broken) co_return;
            first_byte_at = now();
        }
    }
}

// Clients that keep connections open and open more when all are busy. A client waits for its answer until its
// time is up and `extra_wait` more.
class Clients {
  public:
    Clients(World &world, asio::ip::tcp::endpoint router) : world_(world), router_(router) {}

    void send(const std::string &method, const std::string &tenant, const std::string &key, int time_ms) {
        char id[24];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(world_.random()));
        world_.asked.push_back({0, id, method, tenant, key});
        asio::co_spawn(world_.io, run(world_.asked.size() - 1, time_ms), asio::detached);
    }
    // Sends at a steady rate, with random gaps, until stop().
    void send_steadily(double per_second, std::function<void()> send_one) {
        asio::co_spawn(world_.io, steadily(per_second, std::move(send_one)), asio::detached);
    }
    void stop() { sending_ = false; }
    // Whether the router answers PING.
    asio::awaitable<bool> ping() {
        asio::ip::tcp::socket socket(world_.io);
        const auto [refused] = co_await socket.async_connect(router_, as_tuple(use_awaitable));
        if (refused) co_return false;
        co_await asio::async_write(socket, asio::buffer(std::string("*1\r\n$4\r\nPING\r\n")),
                                   as_tuple(use_awaitable));
        char answer[16];
        const auto [failed, size] =
            co_await socket.async_read_some(asio::buffer(answer), as_tuple(use_awaitable));
        co_return !failed && std::string(answer, size).rfind("+PONG", 0) == 0;
    }
    milliseconds extra_wait{3000};
    std::set<std::string> unsafe{"book-slot"}; // methods that go to Q.DO

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    asio::awaitable<void> steadily(double per_second, std::function<void()> send_one) {
        asio::steady_timer timer(world_.io);
        std::exponential_distribution<double> gap(per_second);
        auto next = std::chrono::steady_clock::now();
        while (sending_) {
            next += std::chrono::microseconds(static_cast<long>(gap(world_.random) * 1e6));
            timer.expires_at(next);
            co_await timer.async_wait(as_tuple(use_awaitable));
            if (sending_) send_one();
        }
    }
    void finish(std::size_t index, const std::string &answer, const std::string &bytes = "") {
        Asked &asked = world_.asked[index];
        asked.answer = answer;
        asked.answered_at = now();
        world_.record("client ", asked.id, ' ', asked.method, ' ', asked.tenant, " answer ", answer, ' ',
                      bytes.substr(0, bytes.find('\r')));
    }
    asio::awaitable<void> run(std::size_t index, int time_ms) {
        Socket socket;
        bool reused = false;
        if (!idle_.empty()) {
            socket = idle_.back();
            idle_.pop_back();
            reused = true;
        }
        for (;; reused = false) {
            if (!reused) {
                socket = std::make_shared<asio::ip::tcp::socket>(world_.io);
                const auto [refused] = co_await socket->async_connect(router_, as_tuple(use_awaitable));
                if (refused) co_return finish(index, "unreachable");
            }
            const Asked asked = world_.asked[index];
            const bool safe = unsafe.count(asked.method) == 0;
            const std::string names = "c=" + asked.method +
                                      (asked.tenant.empty() ? "" : ",t=" + asked.tenant) +
                                      ",d=" + std::to_string(time_ms);
            std::string command = safe ? "*4\r\n" + bulk("Q.ASK") : "*5\r\n" + bulk("Q.DO");
            command += bulk(asked.key) + bulk(asked.id) + bulk(names);
            if (!safe) command += bulk("body of " + asked.id);
            co_await asio::async_write(*socket, asio::buffer(command), as_tuple(use_awaitable));
            world_.asked[index].at = now();
            if (!reused) world_.record("client ", asked.id, ' ', asked.method, ' ', asked.tenant, " sent");
            asio::steady_timer timer(world_.io);
            timer.expires_after(milliseconds(time_ms) + extra_wait);
            bool expired = false;
            timer.async_wait([&expired, socket](boost::system::error_code cancelled) {
                if (cancelled) return;
                expired = true;
                boost::system::error_code ignored;
                socket->close(ignored);
            });
            std::string received, buffer(16384, '\0');
            resp::Value value;
            resp::ScanResult scanned = resp::ScanResult::incomplete;
            boost::system::error_code failed;
            while (!failed && scanned == resp::ScanResult::incomplete) {
                std::size_t size = 0;
                std::tie(failed, size) =
                    co_await socket->async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
                received.append(buffer, 0, size);
                if (size > 0) scanned = resp::scan(received, {65536, 16, 4, 1024}, value);
            }
            timer.cancel();
            if (scanned != resp::ScanResult::complete) {
                // The router may close between requests: the client sends the request once more then.
                if (reused && !expired && received.empty()) continue;
                co_return finish(index, expired ? "none" : "closed");
            }
            idle_.push_back(socket);
            if (value.kind == resp::Kind::bulk_string) {
                const std::string body(value.body);
                const bool right = body.rfind(asked.id + "@", 0) == 0;
                world_.asked[index].build = std::atoi(body.c_str() + body.rfind('@') + 1);
                co_return finish(index, right ? "served" : "wrong", body);
            }
            co_return finish(index, received.rfind("-BUSY", 0) == 0 ? "refused" : "failed", received);
        }
    }

    World &world_;
    asio::ip::tcp::endpoint router_;
    std::vector<Socket> idle_;
    bool sending_ = true;
};

// A registry that answers blocking queries as Consul's KV API does.
class Registry {
  public:
    explicit Registry(World &world)
        : world_(world),
          server_(world.io, [this](const standins::HttpRequest &request,
                                   const std::shared_ptr<standins::HttpConnection> &connection) {
              handle(request, connection);
          }) {}

    std::string address() const { return server_.address(); }
    void put(const std::string &key, const json &value) {
        pairs_[key] = {value.dump(), ++index_};
        world_.record("registry writes ", key, ' ', value.at("state").get<std::string>(), " at index ",
                      index_);
        answer_waiting();
    }
    void remove(const std::string &key) {
        pairs_.erase(key);
        ++index_;
        world_.record("registry deletes ", key, " at index ", index_);
        answer_waiting();
    }
    // The connections break, and new ones are refused until start().
    void stop() {
        world_.record("registry: its connections break");
        waiting_.clear();
        server_.stop();
    }
    void start() {
        world_.record("registry: reached again");
        server_.start();
    }
    // The registry is cut off: it says nothing, on open connections and on new ones. Once it is back it
    // resets those on which it was asked meanwhile.
    void cut_off(bool on) {
        world_.record(on ? "registry: cut off" : "registry: reached again");
        cut_off_ = on;
        for (const auto &weak : std::exchange(silent_, {}))
            if (const auto connection = weak.lock()) connection->reset();
        if (!on) return;
        for (const Waiting &waiting : std::exchange(waiting_, {})) silent_.push_back(waiting.connection);
    }

    // One answer that was written: when, at which index, and the keys that it held.
    struct Answer {
        std::int64_t at;
        std::int64_t index;
        std::set<std::string> keys;
    };
    // One query that waits: when it came, and for how long it waits.
    struct Query {
        std::int64_t at;
        std::int64_t wait_ms;
    };
    std::deque<Answer> answers;
    std::deque<Query> queries; // those that wait
    std::size_t waiting() const { return waiting_.size(); }

  private:
    struct Waiting {
        std::weak_ptr<standins::HttpConnection> connection;
        std::uint64_t number;
    };
    static std::int64_t parameter(const std::string &path, const std::string &name) {
        const std::size_t at = path.find(name + "=");
        return at == std::string::npos ? 0 : std::atoll(path.c_str() + at + name.size() + 1);
    }
    static std::string base64(const std::string &bytes) {
        static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            const auto byte = [&](std::size_t at) {
                return at < bytes.size() ? static_cast<unsigned>(static_cast<unsigned char>(bytes[at])) : 0u;
            };
            const unsigned three = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
            for (int digit = 0; digit < 4; ++digit)
                text += i + static_cast<std::size_t>(digit) > bytes.size() && digit > 1
                            ? '='
                            : kDigits[three >> (18 - 6 * digit) & 63];
        }
        return text;
    }
    void handle(const standins::HttpRequest &request,
                const std::shared_ptr<standins::HttpConnection> &connection) {
        if (cut_off_) return silent_.push_back(connection);
        world_.record("registry is asked ", request.path);
        const std::int64_t from = parameter(request.path, "index");
        if (from <= 0 || from != index_) return answer(connection);
        queries.push_back({now(), parameter(request.path, "wait")});
        waiting_.push_back({connection, ++number_});
        asio::co_spawn(world_.io, end_wait(number_, queries.back().wait_ms), asio::detached);
    }
    asio::awaitable<void> end_wait(std::uint64_t number, std::int64_t wait_ms) {
        asio::steady_timer timer(world_.io, milliseconds(wait_ms));
        co_await timer.async_wait(as_tuple(use_awaitable));
        for (auto at = waiting_.begin(); at != waiting_.end(); ++at)
            if (at->number == number) {
                const auto connection = at->connection.lock();
                waiting_.erase(at);
                if (connection) answer(connection);
                co_return;
            }
    }
    void answer_waiting() {
        for (const Waiting &waiting : std::exchange(waiting_, {}))
            if (const auto connection = waiting.connection.lock()) answer(connection);
    }
    void answer(const std::shared_ptr<standins::HttpConnection> &connection) {
        json all = json::array();
        Answer told{now(), index_, {}};
        for (const auto &[key, pair] : pairs_) {
            all.push_back({{"LockIndex", 0},
                           {"Key", key},
                           {"Flags", 0},
                           {"Value", base64(pair.first)},
                           {"CreateIndex", pair.second},
                           {"ModifyIndex", pair.second}});
            told.keys.insert(key);
        }
        const std::string body = all.empty() ? "" : all.dump();
        connection->send(std::string("HTTP/1.1 ") + (all.empty() ? "404 Not Found" : "200 OK") +
                         "\r\nX-Consul-Index: " + std::to_string(index_) +
                         "\r\nX-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
        world_.record("registry answers with ", pairs_.size(), " keys at index ", index_);
        answers.push_back(std::move(told));
    }

    World &world_;
    std::map<std::string, std::pair<std::string, std::int64_t>> pairs_; // value, index of its last write
    std::int64_t index_ = 1;
    std::uint64_t number_ = 0;
    std::list<Waiting> waiting_;
    bool cut_off_ = false;
    std::vector<std::weak_ptr<standins::HttpConnection>> silent_; // asked or waiting while it is cut off
    standins::Server server_;
};

// Discovery, asked by watches. It can go down, and it can be crowded: it then takes calls and ends each with
// 503 after it has waited in the queue for `queue_wait`.
class Discovery {
  public:
    explicit Discovery(World &world)
        : world_(world),
          server_(world.io, [this](const standins::HttpRequest &request,
                                   const std::shared_ptr<standins::HttpConnection> &connection) {
              handle(request, connection);
          }) {}

    std::string address() const { return server_.address(); }
    void set_entry(const json &entry) {
        entries_[entry.at("id")] = {entry, ++version_};
        world_.record("discovery lists ", entry.at("id").get<std::string>(), ' ',
                      entry.at("state").get<std::string>(), " in version ", version_);
        if (!crowded_) answer_watches();
    }
    json full_list() const {
        json list = {{"version", version_}, {"full", true}, {"servers", json::array()}};
        for (const auto &[id, listed] : entries_) list["servers"].push_back(listed.first);
        return list;
    }
    void go_down() { // watches end, connections are reset, and new ones are refused
        world_.record("discovery: down");
        watches_.clear();
        server_.stop();
    }
    void come_back(bool crowded) {
        world_.record("discovery: back", crowded ? ", crowded" : "");
        crowded_ = crowded;
        server_.start();
    }
    void be_crowded(bool on) {
        world_.record(on ? "discovery: crowded" : "discovery: crowded no longer");
        crowded_ = on;
    }
    std::size_t watches() const { return watches_.size(); }
    milliseconds queue_wait{2000};

  private:
    struct Watch {
        std::weak_ptr<standins::HttpConnection> connection;
        std::uint64_t number;
        long from;
    };
    static long parameter(const std::string &path, const std::string &name) {
        const std::size_t at = path.find(name + "=");
        return at == std::string::npos ? -1 : std::atol(path.c_str() + at + name.size() + 1);
    }
    std::string changes_since(long version) const {
        json changes = {{"version", version_}, {"full", false}, {"servers", json::array()}};
        for (const auto &[id, listed] : entries_)
            if (listed.second > version) changes["servers"].push_back(listed.first);
        return changes.dump();
    }
    void answer(const std::shared_ptr<standins::HttpConnection> &connection, const std::string &body) {
        world_.record("discovery answers, version ", version_);
        connection->answer(200, body);
    }
    void handle(const standins::HttpRequest &request,
                const std::shared_ptr<standins::HttpConnection> &connection) {
        world_.record("discovery is asked ", request.path);
        if (crowded_) {
            asio::co_spawn(world_.io, refuse(connection), asio::detached);
            return;
        }
        const long from = parameter(request.path, "from");
        if (from < 0) return answer(connection, full_list().dump());
        if (from < version_) return answer(connection, changes_since(from));
        watches_.push_back({connection, ++number_, from});
        asio::co_spawn(world_.io, end_wait(number_, milliseconds(parameter(request.path, "hold_ms"))),
                       asio::detached);
    }
    asio::awaitable<void> refuse(std::shared_ptr<standins::HttpConnection> connection) {
        asio::steady_timer timer(world_.io, queue_wait);
        co_await timer.async_wait(as_tuple(use_awaitable));
        world_.record("discovery answers 503");
        connection->answer(503, "");
    }
    asio::awaitable<void> end_wait(std::uint64_t number, milliseconds wait) {
        asio::steady_timer timer(world_.io, wait);
        co_await timer.async_wait(as_tuple(use_awaitable));
        for (auto at = watches_.begin(); at != watches_.end(); ++at)
            if (at->number == number) {
                const Watch watch = *at;
                watches_.erase(at);
                if (const auto connection = watch.connection.lock())
                    answer(connection, changes_since(watch.from));
                co_return;
            }
    }
    void answer_watches() {
        for (const Watch &watch : std::exchange(watches_, {}))
            if (const auto connection = watch.connection.lock())
                answer(connection, changes_since(watch.from));
    }

    World &world_;
    std::map<std::string, std::pair<json, long>> entries_; // entry, version of its last change
    long version_ = 0;
    std::uint64_t number_ = 0;
    bool crowded_ = false;
    std::list<Watch> watches_;
    standins::Server server_;
};

// The configuration of a router at a small deployment: two routers, as at kingston-booking.
struct Setup {
    std::string name = "n1";
    std::string listen, discovery, platform;
    json news; // of the platform
    json known; // the list that the router had last
    int instances = 2;
    std::vector<double> rings{0.08, 0.25, 0.6, 1}, caps{0.096, 0.3, 0.72, 1};
    std::vector<std::string> tenants{"northcoast-blood", "parish-donors", "hillside-giving"};
};

inline json method(const char *name, const char *repeat, double aim, double deadline, double worth,
                   double window = 5) {
    return {{"name", name},   {"repeat", repeat},     {"group", "all"},
            {"aim", aim},     {"deadline", deadline}, {"window", window},
            {"worth", worth}, {"lateWorth", 0},       {"stream", false}};
}

inline json configuration(const Setup &setup) {
    json tenants = json::array();
    for (const std::string &tenant : setup.tenants) tenants.push_back({{"name", tenant}});
    return {{"name", setup.name},
            {"listen", setup.listen},
            {"discovery", setup.discovery},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"deployer", {{"address", setup.platform}, {"news", setup.news}}},
            {"known", setup.known},
            {"settings",
             {{"instances", setup.instances},
              {"ordinal", 0},
              {"membershipMode", "ask"},
              {"valueBy", "work"},
              {"classes",
               {method("slot-lookup", "read_like", 0.6, 1.5, 3),
                method("donor-update", "read_like", 0.75, 2.5, 3),
                method("book-slot", "non_idempotent", 0.75, 2, 9)}},
              {"tenants", tenants},
              {"zones", {"a"}},
              {"kinds", {"m"}},
              {"report", {{"fields", json::array()}, {"how", "off"}}},
              {"rules",
               {{"answerSlack", 0.02},
                {"askEvery", 10},
                {"coldShare", 0.31},
                {"drainGrace", 0.25},
                {"overloadFor", 3},
                {"tipMultiple", 4},
                {"warmUp", 4.6}}},
              {"permissions",
               {{"cancel", true},
                {"connectTimeout", 0.25},
                {"keepalive", 30},
                {"maxAttempts", 5},
                {"maxOpen", 40000},
                {"maxRetryAfter", 2},
                {"maxStreams", 100},
                {"mayProbe", true},
                {"peers", false},
                {"retryAfter", true},
                {"secondCopies", true}}},
              {"familyInfo",
               {{"answerWait", 0.8},
                {"capScope", "each_class"},
                {"control", "first_voice"},
                {"flagShare", 0.15},
                {"guardedStages", 0},
                {"keysStay", false},
                {"rings", setup.rings},
                {"stageCap", setup.caps},
                {"swap", "parallel"},
                {"toAdvance", 1},
                {"uncounted", 2},
                {"voteAllowance", 80},
                {"voteTtl", 6},
                {"warmKeys", false},
                {"window", 3}}}}}};
}

// A router, started by the command of the deploy file from the root of the repository.
class Router {
  public:
    Router(World &world, const json &config, std::string settings = "")
        : world_(world), config_file_(world.folder / "config.json"),
          settings_file_(world.folder / "settings.xml"), has_settings_(!settings.empty()) {
        std::ofstream(config_file_) << config.dump();
        if (has_settings_) std::ofstream(settings_file_) << settings;
    }
    void start() {
        keep_descriptors();
        std::string environment = "export BALANCER_CONFIG='" + config_file_.string() + "'; ";
        if (has_settings_) environment += "export PINERIDGE_SETTINGS='" + settings_file_.string() + "'; ";
        program_.emplace(world_.folder, "/bin/sh",
                         std::vector<std::string>{"-c", environment + run_command()});
        world_.record("router started");
    }
    void signal(int number) {
        world_.record("router is sent signal ", number);
        program_->signal(number);
    }
    // Replaces the configuration and sends SIGHUP.
    void reload(const json &config) {
        const std::filesystem::path written = config_file_.string() + ".new";
        std::ofstream(written) << config.dump();
        std::filesystem::rename(written, config_file_);
        signal(SIGHUP);
    }
    void kill() {
        signal(SIGKILL);
        program_.reset();
    }
    bool has_ended() { return program_->has_ended(); }
    int status() const { return program_->status(); }
    std::string output() const { return program_->output(); }
    // Waits until it answers PING.
    void wait_ready(Clients &clients, milliseconds limit = milliseconds(20000)) {
        const auto end = std::chrono::steady_clock::now() + limit;
        for (bool ready = false; !ready;) {
            if (std::chrono::steady_clock::now() > end || has_ended())
                throw CannotRun("the router is not ready: " + output());
            bool answered = false;
            asio::co_spawn(world_.io, clients.ping(), [&](const std::exception_ptr &, bool pong) {
                answered = true;
                ready = pong;
            });
            world_.run_until([&] { return answered; }, milliseconds(3000));
            if (!ready) world_.run_for(milliseconds(20));
        }
        world_.record("router is ready");
    }

  private:
    // The router must not hold the sockets of this process.
    static void keep_descriptors() {
        std::vector<int> open;
        for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd"))
            open.push_back(std::atoi(entry.path().filename().c_str()));
        for (const int descriptor : open)
            if (descriptor > 2) ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
    // The value of `run` in the deploy file.
    static std::string run_command() {
        std::ifstream file("deploy/balancer.toml");
        for (std::string line; std::getline(file, line);) {
            const std::size_t key = line.find_first_not_of(' ');
            if (key == std::string::npos || line.compare(key, 4, "run ") != 0) continue;
            const std::size_t from = line.find('"') + 1;
            return line.substr(from, line.find('"', from) - from);
        }
        throw CannotRun("deploy/balancer.toml names no run command; start in the root of the repository");
    }

    World &world_;
    const std::filesystem::path config_file_, settings_file_;
    const bool has_settings_;
    std::optional<standins::Program> program_;
};

inline std::string text(const asio::ip::tcp::endpoint &endpoint) {
    return "127.0.0.1:" + std::to_string(endpoint.port());
}

// Runs a case: `body` returns whether the rule held. The first argument is the case's folder; TROUBLE=0
// leaves the disruption out.
inline int run_case(int count, char **argv, const std::function<bool(World &, bool trouble)> &body) {
    try {
        if (count < 2) throw CannotRun("usage: CASE FOLDER, from the root of the repository");
        const char *trouble = std::getenv("TROUBLE");
        World world(std::string(argv[1]) + "/record.txt");
        const bool with_trouble = !trouble || std::string(trouble) != "0";
        world.record.say(with_trouble ? "with the disruption" : "without the disruption");
        const bool held = body(world, with_trouble);
        world.record.say(held ? "the rule held" : "the rule was broken");
        world.record.flush();
        return held ? 0 : 1;
    } catch (const std::exception &failed) {
        std::cerr << "the case could not run: " << failed.what() << std::endl;
        return 2;
    }
}

} // namespace rig
