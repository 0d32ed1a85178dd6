#include "settings/load.hpp"

#include "base/beside.hpp"
#include "settings/read.hpp"

namespace pineridge {

Wishes load_wishes_file(const std::string &path) {
    const auto read = reinterpret_cast<ReadWishes>(symbol_beside("pineridge_settings.so", kReadWishes));
    Wishes wishes;
    std::string fault;
    if (!read(path, sizeof wishes, wishes, fault)) throw BadInput(fault);
    return wishes;
}

} // namespace pineridge
