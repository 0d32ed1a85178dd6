// The one reader of what a deployment tells an instance, shared by the simulator's adapter and the router.
#pragma once

#include "terms/fields.hpp"

namespace pineridge {

DeploymentConfig read_terms(const json &profile);

} // namespace pineridge
