#include "base/beside.hpp"

#include <dlfcn.h>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace pineridge {

void *symbol_beside(const char *library, const char *symbol) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / library;
    void *const loaded = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    void *const found = loaded ? dlsym(loaded, symbol) : nullptr;
    if (!found) throw std::runtime_error(std::string(library) + ": " + dlerror());
    return found;
}

} // namespace pineridge
