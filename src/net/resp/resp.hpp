// A parser for RESP2, the Redis serialization protocol. It copies nothing: every text of a value is a view
// into the bytes that it was parsed from.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace pineridge::resp {

enum class ScanResult { incomplete, complete, malformed };
enum class Kind { simple_string, error, integer, bulk_string, null, array };

struct Value {
    Kind kind = Kind::null;
    std::string_view body{}; // the content, without type byte, length and line ends
    std::string_view raw{}; // the whole value as received
    std::vector<Value> items{}; // the elements of an array
};

struct Bounds {
    std::size_t max_bulk_bytes;
    std::size_t max_items;
    std::size_t max_nesting;
    std::size_t max_line_bytes;
};

// Parses one value from the front of the bytes. Returns `incomplete` where the value has not arrived whole;
// the caller then calls again with the same bytes followed by more. The value is valid only after `complete`.
ScanResult scan(std::string_view bytes, const Bounds &bounds, Value &value);

} // namespace pineridge::resp
