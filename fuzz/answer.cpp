// An HTTP/1.1 answer: the same verdict and body however it is cut.
#include "net/http/http.hpp"
#include "target.hpp"

#include <cstdlib>

using pineridge::http::Answer;

namespace {

std::string read(std::string_view bytes, std::size_t piece) {
    Answer answer(512, 4096);
    answer.keep("X-Consul-Index");
    for (std::size_t at = 0; at < bytes.size() && !answer.done() && !answer.bad(); at += piece)
        answer.feed(bytes.substr(at, piece));
    if (answer.body().size() > 4096) std::abort();
    if (answer.bad()) return "bad";
    return std::to_string(answer.status()) + (answer.done() ? "." : "-") + answer.kept(0) + "\n" +
           answer.body();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
    const std::string_view bytes = bytes_of(data, size);
    const std::string whole = read(bytes, std::max<std::size_t>(1, size));
    if (whole != "bad" && read(bytes, 1) != whole) std::abort();
    return 0;
}
