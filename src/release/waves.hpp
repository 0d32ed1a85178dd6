// The order in which cells take a build: waves, each opened once the one before has come far enough.
#pragma once

#include "settings/scheme.hpp"

#include <cstdint>
#include <vector>

namespace pineridge::release {

// By customer: its RPCs so far, and those of them at builds that were withdrawn later.
struct Burden {
    double traffic = 0, withdrawn = 0;
};

struct Waves {
    std::vector<std::uint16_t> of; // by cell
    int count = 0;
};

// The same scheme, burdens and build give the same waves. Balanced: the customer that carried least for its
// traffic goes first, so that what each has carried grows level; the build's name breaks ties.
Waves make_waves(const Scheme &scheme, const std::vector<Burden> &burdens, const BuildName &build);

} // namespace pineridge::release
