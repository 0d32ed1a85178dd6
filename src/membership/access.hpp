// Prepares access to the registry that the settings describe: parses its addresses, reads the token and loads
// the TLS files.
#pragma once

#include "membership/source.hpp"
#include "settings/registry.hpp"

#include <memory>

namespace pineridge::membership {

struct RegistryAccess {
    std::vector<Address> endpoints;
    std::string token; // never logged
    std::unique_ptr<tls::EngineFactory> tls; // null: plaintext
};

// Reads files, so it blocks. Throws BadInput naming the settings key or the file, and std::runtime_error if
// the TLS library is missing.
RegistryAccess make_registry_access(const RegistrySettings &settings);

// Returns the options for a source; `access` must outlive it.
SourceOptions make_source_options(const RegistrySettings &settings, const RegistryAccess &access,
                                  const ReadValue &read, std::uint64_t seed);

} // namespace pineridge::membership
