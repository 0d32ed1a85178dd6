// A parser for RESP2, the Redis serialization protocol. It copies nothing: every text of a value is a view
// into the bytes that it was parsed from.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace pineridge::resp {

// `too_long`: a text that is longer than its bound has begun.
enum class ScanResult { incomplete, complete, malformed, too_long };
enum class Kind { simple_string, error, integer, bulk_string, null, array };

struct Value {
    Kind kind = Kind::null;
    std::string_view body{}; // the content, without type byte, length and line ends
    std::string_view raw{}; // the whole value as received
    std::vector<Value> items{}; // the elements of an array; if too_long, the last one is the one too long
    std::size_t min_size = 0; // if incomplete: the value has at least this many bytes
};

struct Bounds {
    std::size_t max_bulk_bytes;
    std::size_t max_items;
    std::size_t max_nesting;
    std::size_t max_line_bytes;
    // Bounds of the texts in an array, by position, instead of max_bulk_bytes, which holds for those beyond.
    std::span<const std::size_t> max_item_bytes{};
};

// Parses one value from the front of the bytes. Returns `incomplete` where the value has not arrived whole;
// the caller then calls again with the same bytes followed by more. Apart from `min_size` and the number of
// items the value is valid only after `complete`.
ScanResult scan(std::string_view bytes, const Bounds &bounds, Value &value);

} // namespace pineridge::resp
