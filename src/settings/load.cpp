#include "settings/load.hpp"

#include "base/shared_library.hpp"
#include "settings/read.hpp"

namespace pineridge {

Settings load_settings_file(const std::string &path) {
    const auto read =
        reinterpret_cast<ReadSettings>(load_symbol("pineridge_settings.so", kReadSettingsSymbol));
    Settings settings;
    std::string error;
    if (!read(path, sizeof settings, settings, error)) throw BadInput(error);
    return settings;
}

} // namespace pineridge
