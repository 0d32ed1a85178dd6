// Fuzz target: the parser of blocking-query bodies yields the same entries however the bytes are split, and
// never an entry beyond its size limits.
#include "membership/blocking/entry_parser.hpp"
#include "target.hpp"

#include <cstdlib>

using pineridge::membership::blocking::Entry;
using pineridge::membership::blocking::EntryParser;

namespace {

std::string parse(std::string_view bytes, std::size_t piece_size) {
    std::string parsed;
    EntryParser parser(
        [&](const Entry &entry) {
            if (entry.key.empty() || entry.key.size() > 64 || entry.value.size() > 260 ||
                entry.modify_index <= 0)
                std::abort();
            parsed +=
                entry.key + '\0' + std::to_string(entry.modify_index) + entry.value + entry.error + '\n';
        },
        256, 64);
    for (std::size_t at = 0; at < bytes.size(); at += piece_size)
        if (!parser.feed(bytes.substr(at, piece_size))) return parsed + "!";
    return parsed + (parser.end() ? "." : "!");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    const std::string whole = parse(bytes, std::max<std::size_t>(1, size));
    if (whole.back() == '.' && (parse(bytes, 1) != whole || parse(bytes, 7) != whole)) std::abort();
    return 0;
}
