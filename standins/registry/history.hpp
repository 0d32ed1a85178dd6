// A record of what a registry has sent, and when.
#pragma once

#include <cstdint>
#include <string>

namespace pineridge::standins {

// One pair of a page, or one event of a watch. Times are in ms since the Unix epoch.
struct SentEvent {
    std::int64_t send_began_at = 0; // before it was passed to the transport; it may arrive from then on
    std::int64_t sent_at = 0; // after it was passed to the transport
    int call = 0; // number of the call that it answers: a page or a watch
    std::int64_t revision = 0;
    std::string key, value;
    bool deleted = false;
};

} // namespace pineridge::standins
