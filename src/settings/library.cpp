#include "settings/load.hpp"

#include "settings/read.hpp"

extern "C" bool pineridge_read_wishes(const std::string &path, pineridge::Wishes &wishes,
                                      std::string &fault) {
    try {
        wishes = pineridge::read_wishes_file(path);
        return true;
    } catch (const std::exception &bad) {
        fault = bad.what();
        return false;
    }
}
