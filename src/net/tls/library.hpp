// The interface between the program and the shared library for TLS. Both must come from the same build; the
// size of `Files` is passed along to detect a library of another one.
#pragma once

#include "net/tls/tls.hpp"

namespace pineridge::tls {

// Returns false, with the reason in `error`, if the files cannot be used. Does not throw.
using MakeEngineFactory = bool (*)(const Files &files, std::size_t size,
                                   std::unique_ptr<EngineFactory> &factory, std::string &error);
inline constexpr char kMakeEngineFactorySymbol[] = "pineridge_make_tls";

} // namespace pineridge::tls
