#include "base/shared_library.hpp"

#include <dlfcn.h>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace pineridge {

void *load_symbol(const char *library, const char *symbol) {
    const auto path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / library;
    void *const handle = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    void *const address = handle ? dlsym(handle, symbol) : nullptr;
    if (!address) throw std::runtime_error(std::string(library) + ": " + dlerror());
    return address;
}

} // namespace pineridge
