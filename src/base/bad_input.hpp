// BadInput is thrown for configuration, settings and messages that cannot be used. Its text names the key,
// field or file position at fault.
#pragma once

#include <stdexcept>

namespace pineridge {

struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

} // namespace pineridge
