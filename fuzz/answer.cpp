// An HTTP/1.1 answer: the same verdict and body however it is cut.
#include "net/http/response.hpp"
#include "target.hpp"

#include <cstdlib>

using pineridge::http::Response;

namespace {

std::string read(std::string_view bytes, std::size_t piece) {
    Response answer(512, 4096);
    answer.capture_header("X-Consul-Index");
    for (std::size_t at = 0; at < bytes.size() && !answer.is_complete() && !answer.is_malformed();
         at += piece)
        answer.feed(bytes.substr(at, piece));
    if (answer.body().size() > 4096) std::abort();
    if (answer.is_malformed()) return "bad";
    return std::to_string(answer.status()) + (answer.is_complete() ? "." : "-") + answer.captured_header(0) +
           "\n" + answer.body();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    const std::string whole = read(bytes, std::max<std::size_t>(1, size));
    if (whole != "bad" && read(bytes, 1) != whole) std::abort();
    return 0;
}
