// Translates the simulator's events into calls of the decision module. The names of the simulator's protocol
// are used in this folder only.
#pragma once

#include "terms/fields.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace pineridge::simhost {

// Holds the router instances of this process and the numbered host lists that they share.
class Reader {
  public:
    // Applies one line of events and returns the reply line with the resulting actions. Throws BadInput, with
    // the frame and the field, for a line that violates the protocol.
    std::string reply(const std::string &line);

  private:
    // Adds the instance that the event is addressed to, if any, to `affected`.
    void apply(const json &event, Ticks now, std::vector<std::string> &affected);

    std::map<std::string, std::unique_ptr<Router>> routers_; // by name
    std::array<std::vector<HostEntry>, 16> host_lists_;
};

} // namespace pineridge::simhost
