// Reads the operators' settings from an XML file, which is validated against src/settings/pineridge.xsd. That
// schema is compiled into the reader. The reader and libxml2 are in a shared library that is loaded only when
// a settings file is configured, so that a router without one does not carry them.
#pragma once

#include "base/bad_input.hpp"
#include "settings/admission.hpp"
#include "settings/registry.hpp"
#include "settings/release.hpp"

#include <optional>

namespace pineridge {

// The parts of a settings file; a part that the file leaves out is off.
struct Settings {
    std::optional<ReleaseSettings> release;
    std::optional<RegistrySettings> registry;
    std::optional<AdmissionSettings> admission;
    std::string rehearsal{}; // JSON settings of the deployment to rehearse; empty: no rehearsal
};

// Parse settings. Both throw BadInput with "FILE:LINE: KEY: FAULT"; `file` is the FILE of that text.
Settings read_settings(const std::string &text, const std::string &file);
Settings read_settings_file(const std::string &path);

// Does the same through the shared library in the program's directory, which it loads first. Throws
// std::runtime_error if the library cannot be loaded.
Settings load_settings_file(const std::string &path);

// Converts a time such as "2026-12-24T18:00:00+01:00" to ticks since the Unix epoch. Throws BadInput that
// names the key.
Ticks read_timestamp(const std::string &text, const std::string &key);

} // namespace pineridge
