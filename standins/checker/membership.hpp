// Compares what a registry has sent with what the hosts received. It reports picks that ignored a drain or a
// deletion, and differences between a view and the registry. It does not use the router's own logs or state.
#pragma once

#include "standins/host/host.hpp"
#include "standins/registry/history.hpp"

#include <map>
#include <string>
#include <vector>

namespace pineridge::standins {

// Returns one line for each pick that reached a host more than `grace` (ms) after the registry had sent that
// the host drains or is deleted, and before it sent that the host is ready again. `sent` is in the order of
// time; each key ends in a host's id.
std::vector<std::string> late_picks(const std::vector<SentEvent> &sent, const Picks &picks,
                                    std::int64_t grace);

// Returns one line for each key that only one side holds, or that both hold with different values. Keys in
// `unreadable` are left out.
std::vector<std::string> differences(const std::map<std::string, std::string> &registry,
                                     const std::map<std::string, std::string> &view,
                                     const std::vector<std::string> &unreadable = {});

} // namespace pineridge::standins
