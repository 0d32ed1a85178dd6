#include "router/rollout/messages.hpp"

#include <tuple>

namespace pineridge::router::rollout {

namespace {

Ticks read_age(const json &from) { return ticks_from_seconds(read_number(from, "age_ms") / 1000); }

} // namespace

RolloutUpdate read_rollout_update(const json &from) {
    RolloutUpdate update{};
    update.valid = true;
    update.build = read_int(from, "build");
    update.stage = read_int(from, "stage");
    update.phase = read_enum<Phase>(from, "phase",
                                    {{"Progressing", Phase::on_trial},
                                     {"Aborting", Phase::rolling_back},
                                     {"Healthy", Phase::released},
                                     {"Aborted", Phase::withdrawn}});
    if (update.stage < 0) throw_field_error("stage", "below 0");
    update.cap = read_number(from, "cap");
    update.age = read_age(from);
    return update;
}

StreamLine read_stream_line(std::string_view line, const Names &names) {
    const json row = json::parse(line, nullptr, false);
    if (!row.is_object()) throw_field_error("stream", "line is not a JSON object");
    if (!has_field(row, "type")) return {};
    const std::string type = read_string(row, "type");
    if (type != "stage" && type != "tally" && type != "flag") return {};
    const json &object = required_field(row, "object");
    if (type == "stage") return read_rollout_update(object);
    if (type == "flag") return FlaggedAnswer{read_string(object, "server"), read_age(object)};
    PlatformStats stats{};
    stats.build = read_int(object, "build");
    stats.method = index_of(names.methods, read_string(object, "class"), "class");
    stats.picks = read_int(object, "count");
    stats.failed = read_int(object, "failed");
    stats.latency = has_field(object, "mean_ms") ? read_number(object, "mean_ms") / 1000 : 0;
    stats.age = read_age(object);
    return stats;
}

std::string encode_vote(int build, int stage, Verdict verdict) {
    static constexpr const char *kVerdictNames[] = {"abstain", "promote", "pause", "abort"};
    return json{{"build", build}, {"stage", stage}, {"verdict", kVerdictNames[static_cast<int>(verdict)]}}
        .dump();
}

bool supersedes(const RolloutUpdate &update, const RolloutUpdate &present) {
    static constexpr int kPhaseRank[] = {0, 2, 1, 3}; // on trial, rolling back, released, withdrawn
    const auto rank = [](const RolloutUpdate &status) {
        return std::tuple(status.build, kPhaseRank[static_cast<int>(status.phase)], status.stage);
    };
    return rank(update) >= rank(present);
}

} // namespace pineridge::router::rollout
