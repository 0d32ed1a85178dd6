// The body of a blocking query: the same entries however it is cut, and no more held than bounded.
#include "membership/blocking/entry_parser.hpp"
#include "target.hpp"

#include <cstdlib>

using pineridge::membership::blocking::Entry;
using pineridge::membership::blocking::EntryParser;

namespace {

std::string read(std::string_view bytes, std::size_t piece) {
    std::string all;
    EntryParser entries(
        [&](const Entry &entry) {
            if (entry.key.empty() || entry.key.size() > 64 || entry.value.size() > 260 || entry.rev <= 0)
                std::abort();
            all += entry.key + '\0' + std::to_string(entry.rev) + entry.value + entry.fault + '\n';
        },
        256, 64);
    for (std::size_t at = 0; at < bytes.size(); at += piece)
        if (!entries.feed(bytes.substr(at, piece))) return all + "!";
    return all + (entries.end() ? "." : "!");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    const std::string whole = read(bytes, std::max<std::size_t>(1, size));
    if (whole.back() == '.' && (read(bytes, 1) != whole || read(bytes, 7) != whole)) std::abort();
    return 0;
}
