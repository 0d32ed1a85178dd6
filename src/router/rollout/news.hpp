// What the platform tells of builds, read from its JSON; and a vote, written in it.
#pragma once

#include "router/start.hpp"

#include <variant>

namespace pineridge::router::rollout {

struct Flag {
    std::string host;
    Ticks age;
};

RolloutUpdate read_news(const json &from);

// One line of the stream; monostate is a sign of life or of a kind not known. Throws BadInput.
using Told = std::variant<std::monostate, RolloutUpdate, PlatformStats, Flag>;
Told read_line(std::string_view line, const Names &names);

std::string write_vote(int build, int stage, Verdict verdict);

// Would this take the place of what is known? Answers and the stream overtake each other.
bool supersedes(const RolloutUpdate &told, const RolloutUpdate &known);

} // namespace pineridge::router::rollout
