// What the settings' library and the program agree on: both are of one build.
#pragma once

#include <string>

namespace pineridge {

struct Wishes;

// False, with the fault's text, for settings that cannot be used. Throws nothing.
using ReadWishes = bool (*)(const std::string &path, Wishes &wishes, std::string &fault);
inline constexpr char kReadWishes[] = "pineridge_read_wishes";

} // namespace pineridge
