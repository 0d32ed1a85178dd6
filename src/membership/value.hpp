// Parses a registry's values: hosts as JSON, in the format of discovery's entries.
#pragma once

#include "membership/member.hpp"

#include <functional>
#include <string_view>

namespace pineridge::membership {

// Parses a value. Throws BadInput naming the field.
using ReadValue = std::function<Member(const std::string &key, std::string_view value)>;

// Returns the record of a key and its value. If the value cannot be parsed, `error` says why and `member` is
// unset.
Record make_record(const ReadValue &read, std::string key, std::int64_t rev, std::string_view value);

} // namespace pineridge::membership
