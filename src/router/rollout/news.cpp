#include "router/rollout/news.hpp"

#include <tuple>

namespace pineridge::router::rollout {

namespace {

Ticks age_of(const json &from) { return ticks_down(number(from, "age_ms") / 1000); }

} // namespace

RolloutUpdate read_news(const json &from) {
    RolloutUpdate news{};
    news.valid = true;
    news.build = whole(from, "build");
    news.stage = whole(from, "stage");
    news.phase = word<Phase>(from, "phase",
                             {{"Progressing", Phase::on_trial},
                              {"Aborting", Phase::rolling_back},
                              {"Healthy", Phase::released},
                              {"Aborted", Phase::withdrawn}});
    if (news.stage < 0) wrong("stage", "below 0");
    news.cap = number(from, "cap");
    news.age = age_of(from);
    return news;
}

Told read_line(std::string_view line, const Names &names) {
    const json row = json::parse(line, nullptr, false);
    if (!row.is_object()) wrong("stream", "a line that is not an object");
    if (!has(row, "type")) return {};
    const std::string type = text(row, "type");
    if (type != "stage" && type != "tally" && type != "flag") return {};
    const json &object = need(row, "object");
    if (type == "stage") return read_news(object);
    if (type == "flag") return Flag{text(object, "server"), age_of(object)};
    PlatformStats tally{};
    tally.build = whole(object, "build");
    tally.method = place_of(names.methods, text(object, "class"), "class");
    tally.picks = whole(object, "count");
    tally.failed = whole(object, "failed");
    tally.latency = has(object, "mean_ms") ? number(object, "mean_ms") / 1000 : 0;
    tally.age = age_of(object);
    return tally;
}

std::string write_vote(int build, int stage, Verdict verdict) {
    static constexpr const char *kWords[] = {"abstain", "promote", "pause", "abort"};
    return json{{"build", build}, {"stage", stage}, {"verdict", kWords[static_cast<int>(verdict)]}}.dump();
}

bool supersedes(const RolloutUpdate &told, const RolloutUpdate &known) {
    static constexpr int kOrder[] = {0, 2, 1, 3}; // on trial, going back, released, withdrawn
    const auto rank = [](const RolloutUpdate &news) {
        return std::tuple(news.build, kOrder[static_cast<int>(news.phase)], news.stage);
    };
    return rank(told) >= rank(known);
}

} // namespace pineridge::router::rollout
