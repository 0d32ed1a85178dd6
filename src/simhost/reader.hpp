// Reads the simulator's wire and calls the decision module; its words go no further than this folder.
#pragma once

#include "logic.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace pineridge::simhost {

struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Ticks ticks_down(double seconds);
Terms read_terms(const nlohmann::json &profile);

// The instances that live in this process, and the shared numbered lists they are told of.
class Reader {
  public:
    // Takes one line, gives the reply line. Throws BadInput for what the wire page does not allow.
    std::string reply(const std::string &line);

  private:
    void take(const nlohmann::json &event, Ticks now, std::vector<std::string> &touched);

    std::map<std::string, std::unique_ptr<Router>> routers_;
    std::array<std::vector<HostEntry>, 16> sheets_;
};

} // namespace pineridge::simhost
