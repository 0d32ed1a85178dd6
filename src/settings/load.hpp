// Declares the interface between the program and pineridge_settings.so. Both must come from one build; the
// size of Settings is compared as a check.
#pragma once

#include <cstddef>
#include <string>

namespace pineridge {

struct Settings;

// Reads the settings file. Returns false and sets `error` if the settings cannot be used. Does not throw.
using ReadSettings = bool (*)(const std::string &path, std::size_t size, Settings &settings,
                              std::string &error);
inline constexpr char kReadSettingsSymbol[] = "pineridge_read_wishes";

} // namespace pineridge
