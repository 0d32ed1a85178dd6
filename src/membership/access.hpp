// A registry as the settings tell of it, made ready to be followed: addresses and token read, TLS loaded
// where it is told.
#pragma once

#include "membership/source.hpp"
#include "settings/registry.hpp"

#include <memory>

namespace pineridge::membership {

struct RegistryAccess {
    std::vector<Address> endpoints;
    std::string token; // never logged
    std::unique_ptr<tls::EngineFactory> tls; // none: plaintext
};

// Throws BadInput naming the key or the file; std::runtime_error where the library of TLS is not there.
RegistryAccess make_registry_access(const RegistrySettings &from);

// The options for a source; `access` must outlive it.
SourceOptions make_source_options(const RegistrySettings &from, const RegistryAccess &access,
                                  const ReadValue &read, std::uint64_t seed);

} // namespace pineridge::membership
