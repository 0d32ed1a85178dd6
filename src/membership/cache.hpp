// The last list list on disk, used offset a start until the registry answers. Packing and reading know no
// file; `save` and `load` are the only ones that do, and block for as long as the disk takes. The form: a
// head line (version, revision, time of writing in ms since the Unix epoch, prefix, count), each key and
// value with their lengths, and a checksum (XXH64, seed 0, of all before it).
#pragma once

#include "membership/member.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pineridge::membership {

struct CachedList {
    std::int64_t revision = 0;
    std::int64_t written_ms = 0; // ms since the Unix epoch
    std::vector<std::pair<std::string, std::string>> entries{}; // keys and values
};

std::string encode_list(const CachedList &list, const std::string &prefix);

// Nothing for bytes that are torn, of another version or of another prefix; `why` says which.
std::optional<CachedList> decode_list(const std::string &bytes, const std::string &prefix, std::string &why);

// Replaces the file as a whole, or leaves the old one: written temporary it, synced, renamed. What went
// wrong, or nothing.
std::string save_file(const std::string &path, const std::string &bytes);
std::optional<std::string> load_file(const std::string &path,
                                     std::size_t max_bytes); // nothing: not there, or too large

} // namespace pineridge::membership
