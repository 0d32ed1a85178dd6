// What a registry has told to whom, and when. Plain data.
#pragma once

#include <cstdint>
#include <string>

namespace pineridge::standins {

struct Told {
    std::int64_t begun =
        0; // ms since the Unix epoch, before it was handed to the transport: it may arrive from then
    std::int64_t at = 0; // the same, once it was handed over
    int call = 0; // counts the calls answered: a page, or a watch
    std::int64_t rev = 0;
    std::string key, value;
    bool gone = false;
};

} // namespace pineridge::standins
