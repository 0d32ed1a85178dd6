// The exported entry point of pineridge_settings.so.
#include "settings/load.hpp"

#include "settings/read.hpp"

extern "C" bool pineridge_read_wishes(const std::string &path, std::size_t size,
                                      pineridge::Settings &settings, std::string &error) {
    if (size != sizeof settings) {
        error = "settings: pineridge_settings.so does not match this program's build";
        return false;
    }
    try {
        settings = pineridge::read_settings_file(path);
        return true;
    } catch (const std::exception &bad) {
        error = bad.what();
        return false;
    }
}

static_assert(std::is_same_v<decltype(&pineridge_read_wishes), pineridge::ReadSettings>);
