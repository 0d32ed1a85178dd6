#include "settings/load.hpp"

#include "settings/read.hpp"

extern "C" bool pineridge_read_wishes(const std::string &path, std::size_t size, pineridge::Wishes &wishes,
                                      std::string &fault) {
    if (size != sizeof wishes) {
        fault = "settings: pineridge_settings.so is of another build";
        return false;
    }
    try {
        wishes = pineridge::read_wishes_file(path);
        return true;
    } catch (const std::exception &bad) {
        fault = bad.what();
        return false;
    }
}

static_assert(std::is_same_v<decltype(&pineridge_read_wishes), pineridge::ReadWishes>);
