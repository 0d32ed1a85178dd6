#include "base/bad_input.hpp"
#include "base/shared_library.hpp"
#include "net/tls/library.hpp"

namespace pineridge::tls {

std::unique_ptr<EngineFactory> load_engine_factory(const Files &files) {
    const auto make =
        reinterpret_cast<MakeEngineFactory>(load_symbol("pineridge_tls.so", kMakeEngineFactorySymbol));
    std::unique_ptr<EngineFactory> factory;
    std::string error;
    if (!make(files, sizeof files, factory, error)) throw BadInput(error);
    return factory;
}

} // namespace pineridge::tls
