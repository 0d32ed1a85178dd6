// A stand-in discovery service on loopback. It answers with the full host list, and holds watches until the
// next version or until their wait time has passed.
#pragma once

#include "standins/http/server.hpp"

#include <nlohmann/json.hpp>

#include <list>

namespace pineridge::standins {

class Discovery {
  public:
    using Entries = std::function<nlohmann::json()>; // returns all current hosts

    Discovery(asio::io_context &io, Entries entries)
        : io_(io), entries_(std::move(entries)),
          server_(io, [this](const HttpRequest &request, const auto &connection) {
              handle(request, connection);
          }) {}

    std::string address() const { return server_.address(); }
    int version() const { return version_; }
    nlohmann::json full_list() const {
        return {{"version", version_}, {"full", true}, {"servers", entries_()}};
    }

    // Starts a new version and answers every waiting watch with the full list.
    void notify_watches() {
        ++version_;
        for (const auto &weak : std::exchange(waiting_, {}))
            if (const auto connection = weak.lock()) connection->answer(200, full_list().dump());
    }

  private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection) {
        const std::size_t from = request.path.find("from=");
        if (from == std::string::npos || std::stoi(request.path.substr(from + 5)) != version_)
            return connection->answer(200, full_list().dump());
        const std::size_t wait = request.path.find("hold_ms=");
        const std::chrono::milliseconds wait_time(
            wait == std::string::npos ? 0 : std::stol(request.path.substr(wait + 8)));
        waiting_.push_back(connection);
        asio::co_spawn(io_, answer_after_wait(connection, version_, wait_time), asio::detached);
    }
    asio::awaitable<void> answer_after_wait(std::weak_ptr<HttpConnection> weak, int version,
                                            std::chrono::milliseconds wait_time) {
        asio::steady_timer timer(io_, wait_time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const auto connection = weak.lock();
        if (!connection || version != version_) co_return;
        waiting_.remove_if([&](const auto &waiting) { return waiting.lock() == connection; });
        connection->answer(
            200, nlohmann::json{{"version", version_}, {"full", false}, {"servers", nlohmann::json::array()}}
                     .dump());
    }

    asio::io_context &io_;
    Entries entries_;
    Server server_;
    std::list<std::weak_ptr<HttpConnection>> waiting_;
    int version_ = 1;
};

} // namespace pineridge::standins
