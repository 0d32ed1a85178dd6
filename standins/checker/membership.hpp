// Reads what a registry recorded of its words beside what hosts saw, and says where a drain or a deletion was
// not kept, or where a view differs from the registry. It knows nothing of the router's own word.
#pragma once

#include "standins/host/host.hpp"
#include "standins/registry/history.hpp"

#include <map>
#include <string>
#include <vector>

namespace pineridge::standins {

// One line for each pick that began more than the grace (ms) after its host was told to drain or be gone, and
// before it was told ready again. `told` as the registry recorded it, in the order of time; keys end in a
// host's id.
std::vector<std::string> late_picks(const std::vector<Told> &told, const Picks &picks, std::int64_t grace);

// Keys that one holds and the other does not, or holds otherwise, but for those named (values that cannot be
// read).
std::vector<std::string> differences(const std::map<std::string, std::string> &registry,
                                     const std::map<std::string, std::string> &view,
                                     const std::vector<std::string> &unreadable = {});

} // namespace pineridge::standins
