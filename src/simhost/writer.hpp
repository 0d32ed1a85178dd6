// Translates the decision module's decisions into the simulator's actions.
#pragma once

#include "logic.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace pineridge::simhost {

// The action of the instance `who`; null for a decision that has none.
nlohmann::json action(const std::string &who, const Decision &decision);

} // namespace pineridge::simhost
