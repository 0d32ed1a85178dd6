#include "net/tls/library.hpp"

extern "C" bool pineridge_make_tls(const pineridge::tls::Files &files, std::size_t size,
                                   std::unique_ptr<pineridge::tls::Maker> &maker, std::string &fault) {
    if (size != sizeof files) {
        fault = "tls: pineridge_tls.so is of another build";
        return false;
    }
    try {
        maker = pineridge::tls::make(files);
        return true;
    } catch (const std::exception &bad) {
        fault = bad.what();
        return false;
    }
}

static_assert(std::is_same_v<decltype(&pineridge_make_tls), pineridge::tls::MakeTls>);
