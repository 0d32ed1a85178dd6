// A front's header: the same however it is cut, and never more asked for than it may take.
#include "net/proxy/proxy.hpp"
#include "target.hpp"

#include <algorithm>
#include <cstdlib>

using namespace pineridge;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    proxy::Header whole;
    const proxy::Scan all = proxy::scan(bytes, whole);
    if (all == proxy::Scan::more && bytes.size() > proxy::kMost) std::abort();
    if (all == proxy::Scan::bad && whole.fault.empty()) std::abort();
    if (all == proxy::Scan::whole && (whole.size == 0 || whole.size > bytes.size())) std::abort();
    for (std::size_t at = 0; at < std::min<std::size_t>(bytes.size(), 300); ++at) {
        proxy::Header part;
        const proxy::Scan got = proxy::scan(bytes.substr(0, at), part);
        // What a part has told is what the whole tells.
        if (got == proxy::Scan::bad && all != proxy::Scan::bad) std::abort();
        if (got == proxy::Scan::whole && (all != proxy::Scan::whole || part.size != whole.size)) std::abort();
        if (all == proxy::Scan::whole && at >= whole.size && got != proxy::Scan::whole) std::abort();
    }
    return 0;
}
