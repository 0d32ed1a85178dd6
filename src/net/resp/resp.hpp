// RESP2 read in place: nothing is copied, every text is a view into the bytes given.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace pineridge::resp {

enum class Scan { more, whole, bad };
enum class Kind { line, error, number, bulk, null, array };

struct Value {
    Kind kind = Kind::null;
    std::string_view body{}; // without marks and line ends
    std::string_view raw{}; // as it came
    std::vector<Value> items{};
};

struct Bounds {
    std::size_t bulk;
    std::size_t words;
    std::size_t depth;
    std::size_t line;
};

// Reads one value from the front of the bytes. Given fewer than it needs it answers `more`, and is then
// called again with the same bytes and those after them.
Scan scan(std::string_view bytes, const Bounds &bounds, Value &value);

} // namespace pineridge::resp
