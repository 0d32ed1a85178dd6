#include "release/waves.hpp"

#include "random.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pineridge::release {

namespace {

std::vector<int> least_burdened_first(const Scheme &scheme, const std::vector<Burden> &burdens,
                                      const BuildName &build) {
    std::vector<std::tuple<double, std::uint64_t, int>> ranks;
    double traffic = 0;
    for (const Burden &burden : burdens) traffic += burden.traffic;
    for (int i = 0; i < static_cast<int>(scheme.customers.size()); ++i) {
        const double share =
            traffic > 0 ? std::max(1e-9, burdens[i].traffic / traffic) : scheme.customers[i].share;
        ranks.emplace_back(burdens[i].withdrawn / share,
                           salted_hash(scheme.customers[i].name + build.text(), 11), i);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<int> place(ranks.size());
    for (std::size_t i = 0; i < ranks.size(); ++i) place[std::get<2>(ranks[i])] = static_cast<int>(i);
    return place;
}

} // namespace

Waves make_waves(const Scheme &scheme, const std::vector<Burden> &burdens, const BuildName &build) {
    Waves waves;
    waves.of.resize(scheme.cells());
    std::vector<int> rank(scheme.customers.size());
    std::iota(rank.begin(), rank.end(), 0);
    if (scheme.order == Order::balanced) rank = least_burdened_first(scheme, burdens, build);
    const bool by_customer = scheme.order == Order::customers || scheme.order == Order::balanced;
    const int first = scheme.order == Order::canary;
    for (int cell = 0; cell < static_cast<int>(scheme.cells()); ++cell)
        waves.of[cell] = static_cast<std::uint16_t>(
            first + (by_customer ? rank[scheme.customer_of(cell)] : scheme.zone_of(cell)));
    if (first)
        for (const int cell : scheme.canaries) waves.of[cell] = 0;
    waves.count = first + static_cast<int>(by_customer ? scheme.customers.size() : scheme.zones.size());
    return waves;
}

} // namespace pineridge::release
