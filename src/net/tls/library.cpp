#include "net/tls/library.hpp"

extern "C" bool pineridge_make_tls(const pineridge::tls::Files &files, std::size_t size,
                                   std::unique_ptr<pineridge::tls::EngineFactory> &factory,
                                   std::string &error) {
    if (size != sizeof files) {
        error = "tls: pineridge_tls.so is of another build";
        return false;
    }
    try {
        factory = pineridge::tls::make_engine_factory(files);
        return true;
    } catch (const std::exception &failure) {
        error = failure.what();
        return false;
    }
}

static_assert(std::is_same_v<decltype(&pineridge_make_tls), pineridge::tls::MakeEngineFactory>);
