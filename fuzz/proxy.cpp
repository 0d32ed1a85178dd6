// Fuzz target: the scan of a PROXY header gives the same result however the bytes are split, and never
// requests more bytes than the longest header has.
#include "net/proxy/proxy.hpp"
#include "target.hpp"

#include <algorithm>
#include <cstdlib>

using namespace pineridge;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    proxy::Header whole;
    const proxy::ScanResult result = proxy::scan(bytes, whole);
    if (result == proxy::ScanResult::incomplete && bytes.size() > proxy::kMaxHeaderBytes) std::abort();
    if (result == proxy::ScanResult::malformed && whole.error.empty()) std::abort();
    if (result == proxy::ScanResult::complete && (whole.size == 0 || whole.size > bytes.size())) std::abort();
    for (std::size_t at = 0; at < std::min<std::size_t>(bytes.size(), 300); ++at) {
        proxy::Header part;
        const proxy::ScanResult part_result = proxy::scan(bytes.substr(0, at), part);
        // A result on part of the bytes must hold for all of them.
        if (part_result == proxy::ScanResult::malformed && result != proxy::ScanResult::malformed)
            std::abort();
        if (part_result == proxy::ScanResult::complete &&
            (result != proxy::ScanResult::complete || part.size != whole.size))
            std::abort();
        if (result == proxy::ScanResult::complete && at >= whole.size &&
            part_result != proxy::ScanResult::complete)
            std::abort();
    }
    return 0;
}
