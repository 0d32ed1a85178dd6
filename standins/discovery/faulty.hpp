// A stand-in discovery service on loopback that fails as a test tells it to. It answers with the entries
// changed since the version asked from, keeps watches open, and records when each change was made. It decides
// nothing about routers.
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
    // How calls end from now on. `refusing` and `resetting` also end the watches that stand, in the same way.
    enum class Mode {
        serving,
        refusing, // 503, after `refuse_after`
        crowded, // the same, but the watches that stand go on
        resetting, // the connection is reset, after `refuse_after`
        hanging, // taken and never answered; standing watches stay open and silent
        cutting, // the answer breaks off in its middle
    };
    struct Change {
        std::int64_t at = 0; // ms since the Unix epoch
        std::string host, state;
    };
    using Now = std::function<std::int64_t()>;

    FaultyDiscovery(asio::io_context &io, Now now)
        : io_(io), now_(std::move(now)),
          server_(io, [this](const Call &call, const auto &talk) { take(call, talk); }) {}

    std::string address() const { return server_.address(); }

    // A host is listed, or its entry changes.
    void list(const nlohmann::json &entry) {
        const std::string id = entry.at("id");
        entries_[id] = {entry, ++version_};
        changes.push_back({now_(), id, entry.at("state")});
        if (mode_ == Mode::serving || mode_ == Mode::crowded || mode_ == Mode::cutting) tell_watches();
    }
    nlohmann::json whole() const {
        nlohmann::json all = {{"version", version_}, {"full", true}, {"servers", nlohmann::json::array()}};
        for (const auto &[id, listed] : entries_) all["servers"].push_back(listed.entry);
        return all;
    }

    void set(Mode mode) {
        mode_ = mode;
        if (mode == Mode::refusing || mode == Mode::resetting) end_watches();
    }

    std::size_t standing() const { return watches_.size(); }

    std::vector<Change> changes;
    int calls = 0; // taken so far
    std::chrono::milliseconds refuse_after{300};

  private:
    struct Listed {
        nlohmann::json entry;
        int version = 0;
    };
    struct Watch {
        std::weak_ptr<Talk> talk;
        int from = 0;
    };

    static int number(const std::string &path, const std::string &name) {
        const std::size_t at = path.find(name + "=");
        return at == std::string::npos ? -1 : std::stoi(path.substr(at + name.size() + 1));
    }
    std::string changed_since(int version) const {
        nlohmann::json some = {{"version", version_}, {"full", false}, {"servers", nlohmann::json::array()}};
        for (const auto &[id, listed] : entries_)
            if (listed.version > version) some["servers"].push_back(listed.entry);
        return some.dump();
    }

    void take(const Call &call, const std::shared_ptr<Talk> &talk) {
        ++calls;
        if (mode_ == Mode::hanging) return hung_.push_back(talk);
        if (mode_ == Mode::refusing || mode_ == Mode::crowded || mode_ == Mode::resetting) {
            asio::co_spawn(io_, refuse(talk), asio::detached);
            return;
        }
        const int from = number(call.path, "from");
        if (from < 0) return answer(talk, whole().dump());
        if (from < version_) return answer(talk, changed_since(from));
        watches_.push_back({talk, from});
        asio::co_spawn(io_, hold(talk, std::chrono::milliseconds(number(call.path, "hold_ms"))),
                       asio::detached);
    }
    void answer(const std::shared_ptr<Talk> &talk, const std::string &body) {
        if (mode_ != Mode::cutting) return talk->answer(200, body);
        talk->send("HTTP/1.1 200 -\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                   body.substr(0, body.size() / 2));
        asio::co_spawn(io_, break_off(talk), asio::detached);
    }
    void tell_watches() {
        for (const Watch &watch : std::exchange(watches_, {}))
            if (const auto talk = watch.talk.lock()) answer(talk, changed_since(watch.from));
    }
    void end_watches() {
        for (const Watch &watch : std::exchange(watches_, {}))
            if (const auto talk = watch.talk.lock()) end(talk);
    }
    void end(const std::shared_ptr<Talk> &talk) const {
        if (mode_ == Mode::resetting) return talk->reset();
        talk->answer(503, "");
    }
    asio::awaitable<void> refuse(std::shared_ptr<Talk> talk) {
        asio::steady_timer timer(io_, refuse_after);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        end(talk);
    }
    asio::awaitable<void> break_off(std::shared_ptr<Talk> talk) {
        asio::steady_timer timer(io_, std::chrono::milliseconds(20));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        talk->reset();
    }
    asio::awaitable<void> hold(std::weak_ptr<Talk> weak, std::chrono::milliseconds span) {
        asio::steady_timer timer(io_, span);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto talk = weak.lock();
        const auto at = std::find_if(watches_.begin(), watches_.end(),
                                     [&](const Watch &one) { return talk && one.talk.lock() == talk; });
        if (at == watches_.end()) co_return;
        watches_.erase(at);
        answer(talk, changed_since(version_));
    }

    asio::io_context &io_;
    Now now_;
    Server server_;
    Mode mode_ = Mode::serving;
    int version_ = 0;
    std::map<std::string, Listed> entries_;
    std::list<Watch> watches_;
    std::vector<std::shared_ptr<Talk>> hung_;
};

} // namespace pineridge::standins
