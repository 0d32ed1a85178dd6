// A front's header: the same however it is cut, and never more asked for than it may take.
#include "net/proxy/proxy.hpp"
#include "target.hpp"

#include <algorithm>
#include <cstdlib>

using namespace pineridge;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    proxy::Header whole;
    const proxy::ScanResult all = proxy::scan(bytes, whole);
    if (all == proxy::ScanResult::incomplete && bytes.size() > proxy::kMaxHeaderBytes) std::abort();
    if (all == proxy::ScanResult::malformed && whole.error.empty()) std::abort();
    if (all == proxy::ScanResult::complete && (whole.size == 0 || whole.size > bytes.size())) std::abort();
    for (std::size_t at = 0; at < std::min<std::size_t>(bytes.size(), 300); ++at) {
        proxy::Header part;
        const proxy::ScanResult got = proxy::scan(bytes.substr(0, at), part);
        // What a part has told is what the whole tells.
        if (got == proxy::ScanResult::malformed && all != proxy::ScanResult::malformed) std::abort();
        if (got == proxy::ScanResult::complete &&
            (all != proxy::ScanResult::complete || part.size != whole.size))
            std::abort();
        if (all == proxy::ScanResult::complete && at >= whole.size && got != proxy::ScanResult::complete)
            std::abort();
    }
    return 0;
}
