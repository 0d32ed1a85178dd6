// A stand-in discovery service on loopback with faults that a test selects. It answers with the entries that
// have changed since the requested version, keeps watches open, and records when each change was made.
#pragma once

#include "standins/http/server.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace pineridge::standins {

class FaultyDiscovery {
  public:
    // How calls end from now on. Entering `refusing`, `resetting` or `unreachable` also ends the open watches
    // in that way.
    enum class Mode {
        serving,
        unreachable, // nobody listens: connections are reset, and new ones are refused
        refusing, // answers 503 after `refuse_after`
        refusing_new_calls, // as `refusing`, but open watches continue
        resetting, // resets the connection after `refuse_after`
        hanging, // accepts and never answers; open watches stay open and silent
        truncating, // resets the connection in the middle of an answer
    };
    // One change of an entry, in the order of the versions.
    struct Change {
        std::int64_t at = 0; // ms since the Unix epoch
        std::string host, state;
    };
    using Now = std::function<std::int64_t()>;

    FaultyDiscovery(asio::io_context &io, Now now)
        : io_(io), now_(std::move(now)),
          server_(io, [this](const HttpRequest &request, const auto &connection) {
              handle(request, connection);
          }) {}

    std::string address() const { return server_.address(); }

    // Adds a host or changes its entry.
    void set_entry(const nlohmann::json &entry) {
        const std::string id = entry.at("id");
        entries_[id] = {entry, ++version_};
        changes.push_back({now_(), id, entry.at("state")});
        if (mode_ == Mode::serving || mode_ == Mode::refusing_new_calls || mode_ == Mode::truncating)
            answer_watches();
    }
    nlohmann::json full_list() const {
        nlohmann::json list = {{"version", version_}, {"full", true}, {"servers", nlohmann::json::array()}};
        for (const auto &[id, listed] : entries_) list["servers"].push_back(listed.entry);
        return list;
    }

    void set(Mode mode) {
        const Mode before = std::exchange(mode_, mode);
        if (mode == Mode::refusing || mode == Mode::resetting) end_watches();
        if (mode == Mode::unreachable) {
            watches_.clear();
            server_.stop();
        } else if (before == Mode::unreachable) {
            server_.start();
        }
    }

    std::size_t open_watches() const { return watches_.size(); }

    std::vector<Change> changes;
    int calls = 0; // received so far
    std::chrono::milliseconds refuse_after{300};

  private:
    struct Listed {
        nlohmann::json entry;
        int version = 0;
    };
    struct Watch {
        std::weak_ptr<HttpConnection> connection;
        int from = 0;
    };

    static int query_number(const std::string &path, const std::string &name) {
        const std::size_t at = path.find(name + "=");
        return at == std::string::npos ? -1 : std::stoi(path.substr(at + name.size() + 1));
    }
    std::string changed_since(int version) const {
        nlohmann::json changes_only = {
            {"version", version_}, {"full", false}, {"servers", nlohmann::json::array()}};
        for (const auto &[id, listed] : entries_)
            if (listed.version > version) changes_only["servers"].push_back(listed.entry);
        return changes_only.dump();
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection) {
        ++calls;
        if (mode_ == Mode::hanging) return unanswered_.push_back(connection);
        if (mode_ == Mode::refusing || mode_ == Mode::refusing_new_calls || mode_ == Mode::resetting) {
            asio::co_spawn(io_, end_after_delay(connection), asio::detached);
            return;
        }
        const int from = query_number(request.path, "from");
        if (from < 0) return answer(connection, full_list().dump());
        if (from < version_) return answer(connection, changed_since(from));
        watches_.push_back({connection, from});
        asio::co_spawn(
            io_,
            answer_after_wait(connection, std::chrono::milliseconds(query_number(request.path, "hold_ms"))),
            asio::detached);
    }
    void answer(const std::shared_ptr<HttpConnection> &connection, const std::string &body) {
        if (mode_ != Mode::truncating) return connection->answer(200, body);
        connection->send("HTTP/1.1 200 -\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                         body.substr(0, body.size() / 2));
        asio::co_spawn(io_, reset_soon(connection), asio::detached);
    }
    void answer_watches() {
        for (const Watch &watch : std::exchange(watches_, {}))
            if (const auto connection = watch.connection.lock())
                answer(connection, changed_since(watch.from));
    }
    void end_watches() {
        for (const Watch &watch : std::exchange(watches_, {}))
            if (const auto connection = watch.connection.lock()) end(connection);
    }
    void end(const std::shared_ptr<HttpConnection> &connection) const {
        if (mode_ == Mode::resetting) return connection->reset();
        connection->answer(503, "");
    }
    asio::awaitable<void> end_after_delay(std::shared_ptr<HttpConnection> connection) {
        asio::steady_timer timer(io_, refuse_after);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        end(connection);
    }
    asio::awaitable<void> reset_soon(std::shared_ptr<HttpConnection> connection) {
        asio::steady_timer timer(io_, std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        connection->reset();
    }
    asio::awaitable<void> answer_after_wait(std::weak_ptr<HttpConnection> weak,
                                            std::chrono::milliseconds wait_time) {
        asio::steady_timer timer(io_, wait_time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto connection = weak.lock();
        const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const Watch &watch) {
            return connection && watch.connection.lock() == connection;
        });
        if (found == watches_.end()) co_return;
        watches_.erase(found);
        answer(connection, changed_since(version_));
    }

    asio::io_context &io_;
    Now now_;
    Server server_;
    Mode mode_ = Mode::serving;
    int version_ = 0;
    std::map<std::string, Listed> entries_;
    std::list<Watch> watches_;
    std::vector<std::shared_ptr<HttpConnection>> unanswered_;
};

} // namespace pineridge::standins
