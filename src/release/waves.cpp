#include "release/waves.hpp"

#include "random.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pineridge::release {

namespace {

// The rank of each customer, in ascending order of the proportion of its RPCs that went to withdrawn builds.
std::vector<int> ranks_by_withdrawn_share(const ReleaseSettings &scheme,
                                          const std::vector<CustomerTraffic> &traffic,
                                          const BuildName &build) {
    std::vector<std::tuple<double, std::uint64_t, int>> order; // withdrawn proportion, tie-breaker, customer
    double total = 0;
    for (const CustomerTraffic &customer : traffic) total += customer.total;
    for (int i = 0; i < static_cast<int>(scheme.customers.size()); ++i) {
        const double share = total > 0 ? std::max(1e-9, traffic[i].total / total) : scheme.customers[i].share;
        order.emplace_back(traffic[i].withdrawn / share,
                           salted_hash(scheme.customers[i].name + build.text(), 11), i);
    }
    std::sort(order.begin(), order.end());
    std::vector<int> ranks(order.size());
    for (std::size_t i = 0; i < order.size(); ++i) ranks[std::get<2>(order[i])] = static_cast<int>(i);
    return ranks;
}

} // namespace

Waves make_waves(const ReleaseSettings &scheme, const std::vector<CustomerTraffic> &traffic,
                 const BuildName &build) {
    Waves waves;
    waves.by_cell.resize(scheme.cell_count());
    std::vector<int> rank(scheme.customers.size());
    std::iota(rank.begin(), rank.end(), 0);
    if (scheme.order == WaveOrder::balanced) rank = ranks_by_withdrawn_share(scheme, traffic, build);
    const bool by_customer = scheme.order == WaveOrder::customers || scheme.order == WaveOrder::balanced;
    const int canary_waves = scheme.order == WaveOrder::canary;
    for (int cell = 0; cell < static_cast<int>(scheme.cell_count()); ++cell)
        waves.by_cell[cell] = static_cast<std::uint16_t>(
            canary_waves + (by_customer ? rank[scheme.customer_of(cell)] : scheme.zone_of(cell)));
    if (canary_waves)
        for (const int cell : scheme.canaries) waves.by_cell[cell] = 0;
    waves.count =
        canary_waves + static_cast<int>(by_customer ? scheme.customers.size() : scheme.zones.size());
    return waves;
}

} // namespace pineridge::release
