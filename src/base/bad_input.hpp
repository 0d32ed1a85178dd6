// What cannot be used, with the key, field or place at fault named in the text.
#pragma once

#include <stdexcept>

namespace pineridge {

struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

} // namespace pineridge
