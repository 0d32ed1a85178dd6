// The order in which cells receive a build. Cells are grouped into waves; a wave opens once the cells of the
// preceding waves have reached the stage `ReleaseSettings::wave_gate_stage`.
#pragma once

#include "settings/release.hpp"

#include <cstdint>
#include <vector>

namespace pineridge::release {

// The RPCs of one customer so far, and how many of them went to builds that were withdrawn later.
struct CustomerTraffic {
    double total = 0, withdrawn = 0;
};

struct Waves {
    std::vector<std::uint16_t> by_cell; // wave number of each cell
    int count = 0;
};

// Assigns each cell to a wave. Deterministic: equal arguments give equal waves. In balanced order the
// customer with the lowest proportion of RPCs at withdrawn builds goes first, which evens this proportion out
// over releases; ties are broken by a hash of the customer's and the build's names.
Waves make_waves(const ReleaseSettings &scheme, const std::vector<CustomerTraffic> &traffic,
                 const BuildName &build);

} // namespace pineridge::release
