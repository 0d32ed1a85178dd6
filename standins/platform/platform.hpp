// A stand-in for the operators' platform on loopback: tells the newest build's state, takes votes. Which
// votes move it is told, not decided: with `obeys` set, a vote on goes a stage on and a vote back withdraws.
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
          server_(io, [this](const Call &call, const auto &talk) { take(call, talk); }) {
        asio::co_spawn(io, live(), asio::detached);
    }

    std::string address() const { return server_.address(); }
    nlohmann::json news() const {
        return {
            {"build", build}, {"stage", stage}, {"phase", phase}, {"cap", caps_.at(stage)}, {"age_ms", 0}};
    }
    void set(int its_build, int its_stage, const std::string &its_phase) {
        build = its_build, stage = its_stage, phase = its_phase;
        tell({{"type", "stage"}, {"object", news()}});
    }
    void tell(const nlohmann::json &line) {
        for (const auto &weak : streams_)
            if (const auto talk = weak.lock()) talk->line(line.dump());
    }

    int build = 1, stage = 0;
    std::string phase = "Healthy";
    bool obeys = false;
    std::vector<nlohmann::json> votes;

  private:
    void take(const Call &call, const std::shared_ptr<Talk> &talk) {
        if (call.path == "/apis/fleet/stream") {
            talk->begin_lines();
            talk->line(nlohmann::json{{"type", "stage"}, {"object", news()}}.dump());
            streams_.push_back(talk);
            return;
        }
        const auto vote = nlohmann::json::parse(call.body, nullptr, false);
        votes.push_back(vote);
        if (obeys && vote.at("build") == build && vote.at("stage") == stage && phase == "Progressing") {
            const std::string verdict = vote.at("verdict");
            if (verdict == "abort")
                set(build, stage, "Aborted");
            else if (verdict == "promote" && stage + 1 < static_cast<int>(caps_.size()))
                set(build, stage + 1, phase);
        }
        talk->answer(200, news().dump());
    }
    asio::awaitable<void> live() {
        asio::steady_timer timer(io_);
        for (;;) {
            timer.expires_after(std::chrono::seconds(1));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            streams_.remove_if([](const auto &one) { return one.expired(); });
            for (const auto &weak : streams_)
                if (const auto talk = weak.lock()) talk->line("{}");
        }
    }

    asio::io_context &io_;
    std::vector<double> caps_;
    Server server_;
    std::list<std::weak_ptr<Talk>> streams_;
};

} // namespace pineridge::standins
