// Parses the answer of a host to one command. Performs no I/O.
#pragma once

#include "admission/memory_budget.hpp"
#include "base/limits.hpp"
#include "logic.hpp"
#include "net/resp/receive_buffer.hpp"
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
    admission::MemoryReservation memory{}; // of the value, if it is not small
};

// Parses the load report `name=value,...` of a host. Returns the values in the order of `fields`, or an empty
// vector if one of them is missing, negative or not a finite number. Other fields are ignored.
std::vector<double> read_report(std::string_view text, const std::vector<std::string> &fields);

class AnswerParser {
  public:
    AnswerParser(const Limits &limits, const std::vector<std::string> &fields)
        : limits_(limits), fields_(fields) {}

    // Adds received bytes, of which there are at most `space()`. Returns the result once the answer is
    // complete or is known to be invalid; the parser is then not used again.
    std::optional<PickResult> feed(std::string_view bytes);
    // Returns how many bytes can be fed.
    std::size_t space() const { return received_.space(); }
    // Returns the size of buffer that the answer needs; 0 where the buffer suffices.
    std::size_t wanted_capacity() const { return wanted_bytes_ > received_.capacity() ? wanted_bytes_ : 0; }
    void grow(std::size_t capacity) { received_.grow(capacity); }

    bool has_input() const { return !received_.empty(); }

  private:
    PickResult read(const resp::Value &answer);
    std::string take_value(const resp::Value &value);

    const Limits &limits_;
    const std::vector<std::string> &fields_;
    resp::ReceiveBuffer received_;
    std::size_t wanted_bytes_ = 0; // the answer has at least this many
};

} // namespace pineridge::router::hosts
