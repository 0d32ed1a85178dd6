// What the settings' library and the program agree on: both are of one build, which the size of what is read
// tells.
#pragma once

#include <cstddef>
#include <string>

namespace pineridge {

struct Wishes;

// False, with the fault's text, for settings that cannot be used. Throws nothing.
using ReadWishes = bool (*)(const std::string &path, std::size_t size, Wishes &wishes, std::string &fault);
inline constexpr char kReadWishes[] = "pineridge_read_wishes";

} // namespace pineridge
