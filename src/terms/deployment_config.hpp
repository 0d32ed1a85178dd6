// Reads the deployment's settings of a router instance, for the simulator's adapter and for the router.
#pragma once

#include "terms/fields.hpp"

namespace pineridge {

// Throws BadInput that names the field at fault.
DeploymentConfig read_deployment_config(const json &profile);

} // namespace pineridge
