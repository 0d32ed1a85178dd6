// Libraries that lie beside the program and are loaded only where something told needs them.
#pragma once

namespace pineridge {

// The library stays loaded. Throws std::runtime_error naming it where it, or the symbol, is not there.
void *symbol_beside(const char *library, const char *symbol);

} // namespace pineridge
