// A last known list on disk: whatever stands in the file, a list that is taken packs to the same bytes.
#include "membership/cache.hpp"
#include "target.hpp"

#include <cstdlib>

using namespace pineridge::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string bytes(bytes_of(data, size));
    std::string why;
    if (const auto known = unpack(bytes, "/hosts/", why)) {
        const auto again = unpack(pack(*known, "/hosts/"), "/hosts/", why);
        if (!again || again->pairs != known->pairs || again->rev != known->rev) std::abort();
    } else if (why.empty()) {
        std::abort();
    }
    // The same behind a sound checksum: what lies past that guard is tried too.
    Known one{7, 8, {{"/hosts/a", bytes}, {bytes.substr(0, 100), "v"}}};
    const auto back = unpack(pack(one, "/hosts/"), "/hosts/", why);
    if (!back || back->pairs != one.pairs) std::abort();
    return 0;
}
