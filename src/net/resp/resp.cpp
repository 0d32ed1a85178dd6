#include "net/resp/resp.hpp"

#include <charconv>

namespace pineridge::resp {

namespace {

// A 64-bit integer has at most 20 characters, its sign included.
constexpr std::size_t kMaxNumberBytes = 20;

bool read_integer(std::string_view text, long &number) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
}

ScanResult scan_line(std::string_view bytes, std::size_t max_bytes, std::string_view &line) {
    const std::size_t end = bytes.substr(0, max_bytes + 2).find('\n');
    if (end == std::string_view::npos)
        return bytes.size() >= max_bytes + 2 ? ScanResult::malformed : ScanResult::incomplete;
    if (end == 0 || bytes[end - 1] != '\r') return ScanResult::malformed;
    line = bytes.substr(0, end - 1);
    return line.find('\r') == std::string_view::npos ? ScanResult::complete : ScanResult::malformed;
}

ScanResult scan_bulk(std::string_view bytes, std::size_t header_size, const Bounds &bounds, Value &value) {
    long size = 0;
    if (!read_integer(value.body, size) || size < -1) return ScanResult::malformed;
    if (size > static_cast<long>(bounds.max_bulk_bytes)) return ScanResult::too_long;
    if (size < 0) {
        value.kind = Kind::null;
        value.body = {};
        value.raw = bytes.substr(0, header_size);
        return ScanResult::complete;
    }
    const std::size_t end = header_size + static_cast<std::size_t>(size);
    if (bytes.size() > end && bytes[end] != '\r') return ScanResult::malformed;
    if (bytes.size() > end + 1 && bytes[end + 1] != '\n') return ScanResult::malformed;
    value.min_size = end + 2;
    if (bytes.size() < value.min_size) return ScanResult::incomplete;
    value.body = bytes.substr(header_size, static_cast<std::size_t>(size));
    value.raw = bytes.substr(0, end + 2);
    return ScanResult::complete;
}

ScanResult scan_array(std::string_view bytes, std::size_t header_size, const Bounds &bounds, Value &value) {
    long count = 0;
    if (!read_integer(value.body, count) || count < -1 || count > static_cast<long>(bounds.max_items))
        return ScanResult::malformed;
    value.body = {};
    if (count < 0) value.kind = Kind::null;
    if (count > 0 && bounds.max_nesting == 0) return ScanResult::malformed;
    Bounds inner = bounds;
    if (count > 0) --inner.max_nesting;
    inner.max_item_bytes = {};
    std::size_t position = header_size;
    value.items.clear();
    for (long i = 0; i < count; ++i) {
        const auto index = static_cast<std::size_t>(i);
        inner.max_bulk_bytes =
            index < bounds.max_item_bytes.size() ? bounds.max_item_bytes[index] : bounds.max_bulk_bytes;
        Value &item = value.items.emplace_back();
        const ScanResult result = scan(bytes.substr(position), inner, item);
        value.min_size = position + item.min_size;
        if (result != ScanResult::complete) return result;
        position += item.raw.size();
    }
    value.raw = bytes.substr(0, position);
    return ScanResult::complete;
}

} // namespace

ScanResult scan(std::string_view bytes, const Bounds &bounds, Value &value) {
    value.min_size = bytes.size() + 1;
    if (bytes.empty()) return ScanResult::incomplete;
    static constexpr std::string_view kTypeBytes = "+-:$*";
    const std::size_t type_index = kTypeBytes.find(bytes[0]);
    if (type_index == std::string_view::npos) return ScanResult::malformed;
    static constexpr Kind kKinds[] = {Kind::simple_string, Kind::error, Kind::integer, Kind::bulk_string,
                                      Kind::array};
    value.kind = kKinds[type_index];
    const bool has_length = value.kind == Kind::bulk_string || value.kind == Kind::array;
    const std::size_t max_line_bytes =
        has_length || value.kind == Kind::integer ? kMaxNumberBytes : bounds.max_line_bytes;
    const ScanResult result = scan_line(bytes.substr(1), max_line_bytes, value.body);
    if (result != ScanResult::complete) return result;
    const std::size_t header_size = value.body.size() + 3;
    if (value.kind == Kind::bulk_string) return scan_bulk(bytes, header_size, bounds, value);
    if (value.kind == Kind::array) return scan_array(bytes, header_size, bounds, value);
    long number = 0;
    if (value.kind == Kind::integer && !read_integer(value.body, number)) return ScanResult::malformed;
    value.raw = bytes.substr(0, header_size);
    return ScanResult::complete;
}

} // namespace pineridge::resp
