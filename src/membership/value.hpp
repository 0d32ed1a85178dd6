// A registry's value as a host: JSON in the form of discovery's entries.
#pragma once

#include "membership/member.hpp"

#include <functional>
#include <string_view>

namespace pineridge::membership {

// Throws BadInput naming the field.
using ReadValue = std::function<Member(const std::string &key, std::string_view value)>;

// The record of a key and its value; a value that cannot be read leaves the member out and says why.
Record make_record(const ReadValue &read, std::string key, std::int64_t rev, std::string_view value);

} // namespace pineridge::membership
