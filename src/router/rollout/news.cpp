#include "router/rollout/news.hpp"

#include <tuple>

namespace pineridge::router::rollout {

namespace {

Ticks age_of(const json &from) { return ticks_from_seconds(read_number(from, "age_ms") / 1000); }

} // namespace

RolloutUpdate read_news(const json &from) {
    RolloutUpdate news{};
    news.valid = true;
    news.build = read_int(from, "build");
    news.stage = read_int(from, "stage");
    news.phase = read_enum<Phase>(from, "phase",
                                  {{"Progressing", Phase::on_trial},
                                   {"Aborting", Phase::rolling_back},
                                   {"Healthy", Phase::released},
                                   {"Aborted", Phase::withdrawn}});
    if (news.stage < 0) throw_field_error("stage", "below 0");
    news.cap = read_number(from, "cap");
    news.age = age_of(from);
    return news;
}

Told read_line(std::string_view line, const Names &names) {
    const json row = json::parse(line, nullptr, false);
    if (!row.is_object()) throw_field_error("stream", "a line that is not an object");
    if (!has_field(row, "type")) return {};
    const std::string type = read_string(row, "type");
    if (type != "stage" && type != "tally" && type != "flag") return {};
    const json &object = required_field(row, "object");
    if (type == "stage") return read_news(object);
    if (type == "flag") return Flag{read_string(object, "server"), age_of(object)};
    PlatformStats tally{};
    tally.build = read_int(object, "build");
    tally.method = place_of(names.methods, read_string(object, "class"), "class");
    tally.picks = read_int(object, "count");
    tally.failed = read_int(object, "failed");
    tally.latency = has_field(object, "mean_ms") ? read_number(object, "mean_ms") / 1000 : 0;
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
