#include "net/resp/resp.hpp"

#include <charconv>

namespace pineridge::resp {

namespace {

bool whole_number(std::string_view text, long &number) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

Scan scan_line(std::string_view bytes, std::size_t most, std::string_view &line) {
    const std::size_t end = bytes.substr(0, most + 2).find('\n');
    if (end == std::string_view::npos) return bytes.size() >= most + 2 ? Scan::bad : Scan::more;
    if (end == 0 || bytes[end - 1] != '\r') return Scan::bad;
    line = bytes.substr(0, end - 1);
    return line.find('\r') == std::string_view::npos ? Scan::whole : Scan::bad;
}

Scan scan_bulk(std::string_view bytes, std::size_t head, const Bounds &bounds, Value &value) {
    long size = 0;
    if (!whole_number(value.body, size) || size < -1 || size > static_cast<long>(bounds.bulk))
        return Scan::bad;
    if (size < 0) {
        value.kind = Kind::null;
        value.body = {};
        value.raw = bytes.substr(0, head);
        return Scan::whole;
    }
    const std::size_t end = head + static_cast<std::size_t>(size);
    if (bytes.size() > end && bytes[end] != '\r') return Scan::bad;
    if (bytes.size() > end + 1 && bytes[end + 1] != '\n') return Scan::bad;
    if (bytes.size() < end + 2) return Scan::more;
    value.body = bytes.substr(head, static_cast<std::size_t>(size));
    value.raw = bytes.substr(0, end + 2);
    return Scan::whole;
}

Scan scan_array(std::string_view bytes, std::size_t head, const Bounds &bounds, Value &value) {
    long count = 0;
    if (!whole_number(value.body, count) || count < -1 || count > static_cast<long>(bounds.words))
        return Scan::bad;
    value.body = {};
    if (count < 0) value.kind = Kind::null;
    if (count > 0 && bounds.depth == 0) return Scan::bad;
    Bounds inner = bounds;
    if (count > 0) --inner.depth;
    std::size_t at = head;
    value.items.clear();
    for (long i = 0; i < count; ++i) {
        Value &item = value.items.emplace_back();
        if (const Scan got = scan(bytes.substr(at), inner, item); got != Scan::whole) return got;
        at += item.raw.size();
    }
    value.raw = bytes.substr(0, at);
    return Scan::whole;
}

} // namespace

Scan scan(std::string_view bytes, const Bounds &bounds, Value &value) {
    if (bytes.empty()) return Scan::more;
    static constexpr std::string_view kMarks = "+-:$*";
    const std::size_t mark = kMarks.find(bytes[0]);
    if (mark == std::string_view::npos) return Scan::bad;
    static constexpr Kind kKinds[] = {Kind::line, Kind::error, Kind::number, Kind::bulk, Kind::array};
    value.kind = kKinds[mark];
    const bool counted = value.kind == Kind::bulk || value.kind == Kind::array;
    const std::size_t most = counted || value.kind == Kind::number ? 20 : bounds.line;
    const Scan got = scan_line(bytes.substr(1), most, value.body);
    if (got != Scan::whole) return got;
    const std::size_t head = value.body.size() + 3;
    if (value.kind == Kind::bulk) return scan_bulk(bytes, head, bounds, value);
    if (value.kind == Kind::array) return scan_array(bytes, head, bounds, value);
    long number = 0;
    if (value.kind == Kind::number && !whole_number(value.body, number)) return Scan::bad;
    value.raw = bytes.substr(0, head);
    return Scan::whole;
}

} // namespace pineridge::resp
