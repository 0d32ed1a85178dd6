// Fuzz target: the parser of HTTP/1.1 responses gives the same result and body however the bytes are split.
#include "net/http/response.hpp"
#include "target.hpp"

#include <cstdlib>

using pineridge::http::Response;

namespace {

std::string parse(std::string_view bytes, std::size_t piece_size) {
    Response answer(512, 4096);
    answer.capture_header("X-Consul-Index");
    for (std::size_t at = 0; at < bytes.size() && !answer.is_complete() && !answer.is_malformed();
         at += piece_size)
        answer.feed(bytes.substr(at, piece_size));
    if (answer.body().size() > 4096) std::abort();
    if (answer.is_malformed()) return "bad";
    return std::to_string(answer.status()) + (answer.is_complete() ? "." : "-") + answer.captured_header(0) +
           "\n" + answer.body();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    const std::string whole = parse(bytes, std::max<std::size_t>(1, size));
    if (whole != "bad" && parse(bytes, 1) != whole) std::abort();
    return 0;
}
