#include "settings/load.hpp"

#include "settings/read.hpp"

#include <dlfcn.h>
#include <filesystem>

namespace pineridge {

Wishes load_wishes_file(const std::string &path) {
    const auto beside =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() / "pineridge_settings.so";
    void *library = dlopen(beside.c_str(), RTLD_NOW | RTLD_LOCAL); // stays: it is needed once
    if (!library) throw std::runtime_error(std::string("settings: ") + dlerror());
    const auto read = reinterpret_cast<ReadWishes>(dlsym(library, kReadWishes));
    if (!read) throw std::runtime_error(std::string("settings: ") + dlerror());
    Wishes wishes;
    std::string fault;
    if (!read(path, sizeof wishes, wishes, fault)) throw BadInput(fault);
    return wishes;
}

} // namespace pineridge
