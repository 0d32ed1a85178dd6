// Parses the answer of a host to one command. Performs no I/O.
#pragma once

#include "base/limits.hpp"
#include "logic.hpp"
#include "net/resp/resp.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pineridge::router::hosts {

// How a pick ended, and what its host has sent.
struct PickResult {
    Outcome outcome = Outcome::connection_lost;
    std::string value{}; // encoded as a bulk string, as it is sent to the client
    std::vector<double> report{}; // values by configured field; empty unless all of them are there and valid
    bool reusable = false; // the connection may be used again: nothing was sent, or only a valid answer came
};

// Parses the load report `name=value,...` of a host. Returns the values in the order of `fields`, or an empty
// vector if one of them is missing, negative or not a finite number. Other fields are ignored.
std::vector<double> read_report(std::string_view text, const std::vector<std::string> &fields);

class AnswerParser {
  public:
    AnswerParser(const Limits &limits, const std::vector<std::string> &fields)
        : limits_(limits), fields_(fields) {}

    // Adds received bytes. Returns the result once the answer is complete or is known to be invalid.
    std::optional<PickResult> feed(std::string_view bytes);

    bool has_input() const { return !received_.empty(); }

  private:
    PickResult read(const resp::Value &answer) const;

    const Limits &limits_;
    const std::vector<std::string> &fields_;
    std::string received_;
};

} // namespace pineridge::router::hosts
