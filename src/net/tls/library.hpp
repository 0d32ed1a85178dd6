// What the library of TLS and the program agree on: both are of one build, which the size of what is told
// tells.
#pragma once

#include "net/tls/tls.hpp"

namespace pineridge::tls {

// False, with the fault's text, for files that cannot be used. Throws nothing.
using MakeTls = bool (*)(const Files &files, std::size_t size, std::unique_ptr<Maker> &maker,
                         std::string &fault);
inline constexpr char kMakeTls[] = "pineridge_make_tls";

} // namespace pineridge::tls
