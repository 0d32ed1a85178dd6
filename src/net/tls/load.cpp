#include "base/bad_input.hpp"
#include "base/shared_library.hpp"
#include "net/tls/library.hpp"

namespace pineridge::tls {

std::unique_ptr<Maker> load(const Files &files) {
    const auto make = reinterpret_cast<MakeTls>(load_symbol("pineridge_tls.so", kMakeTls));
    std::unique_ptr<Maker> maker;
    std::string fault;
    if (!make(files, sizeof files, maker, fault)) throw BadInput(fault);
    return maker;
}

} // namespace pineridge::tls
