// Our own settings: XML, validated against src/settings/pineridge.xsd, which is compiled into the program.
#pragma once

#include "base/bad_input.hpp"
#include "settings/scheme.hpp"

#include <optional>

namespace pineridge {

// All that the settings may wish for; what a file leaves out is off.
struct Wishes {
    std::optional<Scheme> release;
};

// Both throw BadInput as "FILE:LINE: KEY: what is wrong". `file` names the text in messages.
Wishes read_wishes(const std::string &text, const std::string &file);
Wishes read_wishes_file(const std::string &path);

// Ticks since the Unix epoch of "2026-12-24T18:00:00+01:00"; throws BadInput naming the key.
Ticks read_moment(const std::string &text, const std::string &key);

} // namespace pineridge
