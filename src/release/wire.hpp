// The release desk's JSON, read and written; docs/release/protocol.md tells its forms. Knows no socket.
#pragma once

#include "base/bad_input.hpp"
#include "release/notice.hpp"

#include <optional>
#include <string_view>

namespace pineridge::release {

// Both throw BadInput naming the field. `released` is the number of the last stage.
Snapshot read_snapshot(const std::string &body, int released);

// One line of the stream.
struct Told {
    std::optional<Notice> notice; // none: a sign of life, or of a type not known
    bool resync = false; // the desk no longer holds what was asked for: read the snapshot
};
Told read_line(std::string_view line, int released);

std::string write_opinion(const Opinion &opinion, const Scheme &scheme, const std::string &router);

} // namespace pineridge::release
