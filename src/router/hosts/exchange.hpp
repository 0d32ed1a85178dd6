// What a host answers to one command: bytes in, outcome out. Knows no socket.
#pragma once

#include "base/limits.hpp"
#include "logic.hpp"
#include "net/resp/resp.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pineridge::router::hosts {

struct Ending {
    Outcome outcome = Outcome::connection_lost;
    std::string value{}; // as a bulk string, for the client
    std::vector<double> report{}; // by the fields told; empty where none came whole
    bool reusable = false; // a whole, well-formed answer and nothing behind it
};

std::vector<double> read_report(std::string_view text, const std::vector<std::string> &fields);

class Exchange {
  public:
    Exchange(const Limits &limits, const std::vector<std::string> &fields)
        : limits_(limits), fields_(fields) {}

    // The ending, once the bytes so far hold it.
    std::optional<Ending> feed(std::string_view bytes);

    bool begun() const { return !unread_.empty(); }

  private:
    Ending read(const resp::Value &answer) const;

    const Limits &limits_;
    const std::vector<std::string> &fields_;
    std::string unread_;
};

} // namespace pineridge::router::hosts
