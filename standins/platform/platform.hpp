// A stand-in for the operators' platform on loopback. It streams the state of the newest build and records
// votes. With `applies_votes` set, a vote on advances the build by one stage and a vote back aborts it;
// otherwise only set() changes the state.
#pragma once

#include "standins/http/server.hpp"

#include <nlohmann/json.hpp>

#include <list>
#include <vector>

namespace pineridge::standins {

class Platform {
  public:
    explicit Platform(asio::io_context &io, std::vector<double> caps)
        : io_(io), caps_(std::move(caps)),
          server_(io, [this](const HttpRequest &request, const auto &connection) {
              handle(request, connection);
          }) {
        asio::co_spawn(io, send_keepalives(), asio::detached);
    }

    std::string address() const { return server_.address(); }
    nlohmann::json state() const {
        return {
            {"build", build}, {"stage", stage}, {"phase", phase}, {"cap", caps_.at(stage)}, {"age_ms", 0}};
    }
    void set(int new_build, int new_stage, const std::string &new_phase) {
        build = new_build;
        stage = new_stage;
        phase = new_phase;
        send_line({{"type", "stage"}, {"object", state()}});
    }
    void send_line(const nlohmann::json &line) {
        for (const auto &weak : streams_)
            if (const auto connection = weak.lock()) connection->send_line(line.dump());
    }

    int build = 1;
    int stage = 0;
    std::string phase = "Healthy";
    bool applies_votes = false;
    std::vector<nlohmann::json> votes;

  private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection) {
        if (request.path == "/apis/fleet/stream") {
            connection->begin_stream();
            connection->send_line(nlohmann::json{{"type", "stage"}, {"object", state()}}.dump());
            streams_.push_back(connection);
            return;
        }
        const auto vote = nlohmann::json::parse(request.body, nullptr, false);
        votes.push_back(vote);
        if (applies_votes && vote.at("build") == build && vote.at("stage") == stage &&
            phase == "Progressing") {
            const std::string verdict = vote.at("verdict");
            if (verdict == "abort")
                set(build, stage, "Aborted");
            else if (verdict == "promote" && stage + 1 < static_cast<int>(caps_.size()))
                set(build, stage + 1, phase);
        }
        connection->answer(200, state().dump());
    }
    asio::awaitable<void> send_keepalives() {
        asio::steady_timer timer(io_);
        for (;;) {
            timer.expires_after(std::chrono::seconds(1));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            streams_.remove_if([](const auto &weak) { return weak.expired(); });
            for (const auto &weak : streams_)
                if (const auto connection = weak.lock()) connection->send_line("{}");
        }
    }

    asio::io_context &io_;
    std::vector<double> caps_;
    Server server_;
    std::list<std::weak_ptr<HttpConnection>> streams_;
};

} // namespace pineridge::standins
