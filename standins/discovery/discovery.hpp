// A stand-in discovery service on loopback: the whole list, and watches that wait for the next version.
#pragma once

#include "standins/http/server.hpp"

#include <nlohmann/json.hpp>

#include <list>

namespace pineridge::standins {

class Discovery {
  public:
    using Entries = std::function<nlohmann::json()>; // all hosts, as they are now

    Discovery(asio::io_context &io, Entries entries)
        : io_(io), entries_(std::move(entries)),
          server_(io, [this](const Call &call, const auto &talk) { take(call, talk); }) {}

    std::string address() const { return server_.address(); }
    int version() const { return version_; }
    nlohmann::json whole() const { return {{"version", version_}, {"full", true}, {"servers", entries_()}}; }

    // Something changed: every watch is answered with the whole list.
    void changed() {
        ++version_;
        for (const auto &weak : std::exchange(waiting_, {}))
            if (const auto talk = weak.lock()) talk->answer(200, whole().dump());
    }

  private:
    void take(const Call &call, const std::shared_ptr<Talk> &talk) {
        const std::size_t at = call.path.find("from=");
        if (at == std::string::npos || std::stoi(call.path.substr(at + 5)) != version_)
            return talk->answer(200, whole().dump());
        const std::size_t wait = call.path.find("hold_ms=");
        const std::chrono::milliseconds span(
            wait == std::string::npos ? 0 : std::stol(call.path.substr(wait + 8)));
        waiting_.push_back(talk);
        asio::co_spawn(io_, hold(talk, version_, span), asio::detached);
    }
    asio::awaitable<void> hold(std::weak_ptr<Talk> weak, int version, std::chrono::milliseconds span) {
        asio::steady_timer timer(io_, span);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto talk = weak.lock();
        if (!talk || version != version_) co_return;
        waiting_.remove_if([&](const auto &one) { return one.lock() == talk; });
        talk->answer(
            200, nlohmann::json{{"version", version_}, {"full", false}, {"servers", nlohmann::json::array()}}
                     .dump());
    }

    asio::io_context &io_;
    Entries entries_;
    Server server_;
    std::list<std::weak_ptr<Talk>> waiting_;
    int version_ = 1;
};

} // namespace pineridge::standins
