// Messages of the platform about rollouts, parsed from JSON, and votes, encoded in it. The functions that
// parse throw BadInput, which names the field at fault.
#pragma once

#include "router/config.hpp"

#include <variant>

namespace pineridge::router::rollout {

// An answer that a client has flagged as wrong.
struct FlaggedAnswer {
    std::string host;
    Ticks age; // time since the answer
};

RolloutUpdate read_rollout_update(const json &from);

// One line of the stream. std::monostate stands for a keepalive or a message of an unknown type.
using StreamLine = std::variant<std::monostate, RolloutUpdate, PlatformStats, FlaggedAnswer>;
StreamLine read_stream_line(std::string_view line, const Names &names);

std::string encode_vote(int build, int stage, Verdict verdict);

// Returns whether the update takes effect over the present one. Answers to votes and lines of the stream may
// arrive out of order.
bool supersedes(const RolloutUpdate &update, const RolloutUpdate &present);

} // namespace pineridge::router::rollout
