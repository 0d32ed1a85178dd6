// Reads and writes the JSON messages of the release desk (docs/release/protocol.md). No I/O.
#pragma once

#include "base/bad_input.hpp"
#include "release/messages.hpp"

#include <optional>
#include <string_view>

namespace pineridge::release {

// read_snapshot and read_line throw BadInput, which names the field. `released` is the number of the last
// stage.
Snapshot read_snapshot(const std::string &body, int released);

// One line of the stream.
struct StreamLine {
    std::optional<Update> update; // none in a keep-alive line and in one that asks for a resync
    bool resync = false; // the desk no longer holds the requested revisions: the snapshot must be read
};
StreamLine read_line(std::string_view line, int released);

std::string write_opinion(const Opinion &opinion, const ReleaseSettings &scheme, const std::string &router);

} // namespace pineridge::release
