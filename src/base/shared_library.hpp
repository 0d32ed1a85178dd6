// Loads shared libraries that are installed in the program's own directory, so that a router carries a
// dependency (libxml2, OpenSSL) only when its configuration needs it.
#pragma once

namespace pineridge {

// Loads the library, which stays loaded, and returns the symbol's address. Throws std::runtime_error that
// names the library if it or the symbol cannot be found.
void *load_symbol(const char *library, const char *symbol);

} // namespace pineridge
