// Fuzz target: the reader of the cached host list on disk. Any file that it accepts is encoded to the same
// list again.
#include "membership/cache.hpp"
#include "target.hpp"

#include <cstdlib>

using namespace pineridge::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string bytes(bytes_of(data, size));
    std::string why;
    if (const auto decoded = decode_list(bytes, "/hosts/", why)) {
        const auto decoded_again = decode_list(encode_list(*decoded, "/hosts/"), "/hosts/", why);
        if (!decoded_again || decoded_again->entries != decoded->entries ||
            decoded_again->revision != decoded->revision)
            std::abort();
    } else if (why.empty()) {
        std::abort();
    }
    // The same input behind a valid checksum also reaches the code after the checksum test.
    CachedList list{7, 8, {{"/hosts/a", bytes}, {bytes.substr(0, 100), "v"}}};
    const auto unpacked = decode_list(encode_list(list, "/hosts/"), "/hosts/", why);
    if (!unpacked || unpacked->entries != list.entries) std::abort();
    return 0;
}
