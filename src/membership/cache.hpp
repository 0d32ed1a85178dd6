// The list of hosts cached on disk, which a router uses from its start until the registry answers.
// encode_list and decode_list do no I/O; save_file and load_file block for as long as the disk takes. Format:
// a header line (version, revision, time of writing in ms since the Unix epoch, count, length of the prefix),
// the prefix, each key and value with their lengths, and a checksum (XXH64, seed 0, of all bytes before it).
#pragma once

#include "membership/member.hpp"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pineridge::membership {

struct CachedList {
    std::int64_t revision = 0;
    std::int64_t written_ms = 0; // since the Unix epoch
    std::vector<std::pair<std::string, std::string>> entries{}; // keys and values
};

std::string encode_list(const CachedList &list, const std::string &prefix);

// Returns none for bytes that are truncated, changed, of another version or of another prefix; `why` names
// the cause.
std::optional<CachedList> decode_list(const std::string &bytes, const std::string &prefix, std::string &why);

// Replaces the file atomically: writes a temporary file next to it, syncs and renames it. Returns an error
// message, or an empty string. After an error the old file is unchanged.
std::string save_file(const std::string &path, const std::string &bytes);
// Returns none if the file is missing or larger than `max_bytes`.
std::optional<std::string> load_file(const std::string &path, std::size_t max_bytes);

} // namespace pineridge::membership
