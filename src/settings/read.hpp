// Our own settings: XML, validated against src/settings/pineridge.xsd, which is compiled into the reader. The
// reader and libxml2 lie in a library of their own, loaded when settings are told: a router without any does
// not carry them.
#pragma once

#include "base/bad_input.hpp"
#include "settings/entrance.hpp"
#include "settings/registry.hpp"
#include "settings/scheme.hpp"

#include <optional>

namespace pineridge {

// All that the settings may wish for; what a file leaves out is off.
struct Wishes {
    std::optional<Scheme> release;
    std::optional<Registry> registry;
    std::optional<Entrance> entrance;
    std::string
        rehearsal{}; // file of the settings of another shape of deployment; empty: nothing is rehearsed
};

// Both throw BadInput as "FILE:LINE: KEY: what is wrong". `file` names the text in messages.
Wishes read_wishes(const std::string &text, const std::string &file);
Wishes read_wishes_file(const std::string &path);

// The same, by the library beside the program; throws std::runtime_error where it cannot be loaded.
Wishes load_wishes_file(const std::string &path);

// Ticks since the Unix epoch of "2026-12-24T18:00:00+01:00"; throws BadInput naming the key.
Ticks read_moment(const std::string &text, const std::string &key);

} // namespace pineridge
