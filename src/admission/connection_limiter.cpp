#include "admission/connection_limiter.hpp"

#include <algorithm>
#include <sstream>

namespace pineridge::admission {

namespace {

constexpr int kAddressBits = 128;
constexpr int kBitsBeforeV4 = 96; // of an IPv4-mapped IPv6 address
// Minimum retry-after time of a refused connection. Up to as much again is added at random, as connections
// are mostly refused many at a time.
constexpr Ticks kMinRetryAfter = 2000;

bool is_v4(const AddressBits &address) {
    return mask_to_prefix(address, kBitsBeforeV4) == AddressBits{0, 0xffff00000000};
}

} // namespace

ConnectionLimiter::ConnectionLimiter(const AdmissionSettings &rules, std::size_t capacity, std::uint64_t seed)
    : rules_(&rules), capacity_(capacity),
      sources_(static_cast<std::size_t>(rules.max_addresses), rules.trust_half_life, seed),
      crowds_(rules.crowds.size()), random_{seed} {}

Network ConnectionLimiter::network_of(const AddressBits &address) const {
    const int bits = is_v4(address) ? kBitsBeforeV4 + rules_->prefix_v4 : rules_->prefix_v6;
    return {mask_to_prefix(address, bits), bits};
}

ConnectionDecision ConnectionLimiter::try_admit(ClientConnection &connection, const AddressBits &address,
                                                Ticks now) {
    connection.address = address;
    assign_crowd_and_sources(connection);
    const Crowd &rule = crowd_rules(connection.crowd);
    TokenBucket &open_rate = connection.address_source->open_rate;
    if (rule.opens_per_s > 0 && !open_rate.try_take(rule.opens_per_s, rule.open_burst, now))
        return refuse(connection, RefusalReason::open_rate_limit,
                      open_rate.ticks_until_token(rule.opens_per_s));
    if (const RefusalReason reason = exceeded_limit(connection); reason != RefusalReason::none)
        return refuse(connection, reason, 0);
    ConnectionDecision decision;
    if (!has_capacity_for(connection.crowd)) {
        decision.evicted = select_for_eviction(&connection, now, kMinIdleBeforeEviction);
        if (!decision.evicted) return refuse(connection, RefusalReason::no_capacity, 0);
        ++evictions_;
    }
    connection.position = connections_.insert(connections_.end(), &connection);
    count_connection(connection, now);
    return decision;
}

void ConnectionLimiter::assign_crowd_and_sources(ClientConnection &connection) {
    connection.crowd = std::max(0, rules_->networks.group_of(connection.address));
    const Crowd &rule = crowd_rules(connection.crowd);
    connection.address_source = &sources_.find_or_add({connection.address, kAddressBits}, rule.open_burst);
    // Counted as open meanwhile, so that the second look-up cannot evict it.
    ++connection.address_source->open_connections;
    connection.network_source =
        rule.max_per_network > 0 ? &sources_.find_or_add(network_of(connection.address), 0) : nullptr;
    --connection.address_source->open_connections;
}

void ConnectionLimiter::count_connection(ClientConnection &connection, Ticks now) {
    sources_.connection_opened(*connection.address_source);
    if (connection.network_source) sources_.connection_opened(*connection.network_source);
    ++open_connections_;
    ++crowds_[static_cast<std::size_t>(connection.crowd)].open_connections;
    if (connection.open_rpcs == 0) add_to_idle_list(connection, now);
}

RefusalReason ConnectionLimiter::exceeded_limit(const ClientConnection &connection) const {
    const Crowd &rule = crowd_rules(connection.crowd);
    if (rule.max_connections > 0 && open_connections(connection.crowd) >= rule.max_connections)
        return RefusalReason::crowd_limit;
    if (rule.max_per_address > 0 && connection.address_source->open_connections >= rule.max_per_address)
        return RefusalReason::address_limit;
    if (connection.network_source && connection.network_source->open_connections >= rule.max_per_network)
        return RefusalReason::network_limit;
    return RefusalReason::none;
}

// Capacity that other crowds have reserved and do not use yet is not available to this crowd.
bool ConnectionLimiter::has_capacity_for(int crowd) const {
    if (open_connections_ >= capacity_) return false;
    if (open_connections(crowd) < crowd_rules(crowd).reserved_connections) return true;
    std::size_t reserved_for_others = 0;
    for (std::size_t i = 0; i < crowds_.size(); ++i)
        if (static_cast<int>(i) != crowd)
            reserved_for_others +=
                static_cast<std::size_t>(std::max(0, crowd_rules(static_cast<int>(i)).reserved_connections -
                                                         open_connections(static_cast<int>(i))));
    return open_connections_ + reserved_for_others < capacity_;
}

// Returns how many connections a crowd may hold while all crowds with connections want more: its reserve, and
// by weight its part of the capacity that no crowd has reserved. `newcomer_crowd` takes part even without a
// connection; -1 for none.
double ConnectionLimiter::fair_share(int crowd, int newcomer_crowd) const {
    double weights = 0, reserved = 0;
    for (std::size_t i = 0; i < crowds_.size(); ++i) {
        const Crowd &rule = crowd_rules(static_cast<int>(i));
        reserved += rule.reserved_connections;
        if (crowds_[i].open_connections > 0 || static_cast<int>(i) == newcomer_crowd) weights += rule.weight;
    }
    const double unreserved = std::max(0.0, static_cast<double>(capacity_) - reserved);
    return crowd_rules(crowd).reserved_connections + unreserved * crowd_rules(crowd).weight / weights;
}

ClientConnection *ConnectionLimiter::longest_idle(CrowdState &state, IdleClass idle_class, Ticks now,
                                                  Ticks min_idle) const {
    auto &connections = state.idle_lists[idle_class];
    if (connections.empty() || now - connections.front()->idle_since < min_idle) return nullptr;
    return connections.front();
}

// Searches the crowds in the order of how far they exceed their share, and in each the idle classes in their
// order. For a newcomer it selects a connection of the newcomer's own crowd, or one of a crowd above its
// share where the newcomer's crowd is below its own.
ClientConnection *ConnectionLimiter::select_for_eviction(const ClientConnection *newcomer, Ticks now,
                                                         Ticks min_idle) {
    std::vector<std::pair<double, int>> order; // negated excess over the share, crowd
    for (std::size_t i = 0; i < crowds_.size(); ++i) {
        const int crowd = static_cast<int>(i);
        const bool own = newcomer && newcomer->crowd == crowd;
        const double excess = static_cast<double>(crowds_[i].open_connections + own) -
                              fair_share(crowd, newcomer ? newcomer->crowd : -1);
        if (crowds_[i].open_connections > 0 && (own || !newcomer || excess > 0))
            order.emplace_back(-excess, crowd);
    }
    std::sort(order.begin(), order.end());
    const bool below_share = newcomer && static_cast<double>(open_connections(newcomer->crowd)) + 1 <=
                                             fair_share(newcomer->crowd, newcomer->crowd);
    const bool trusted = newcomer && sources_.is_trusted(*newcomer->address_source, now);
    for (const auto &[negated_excess, crowd] : order) {
        CrowdState &state = crowds_[static_cast<std::size_t>(crowd)];
        const bool own = newcomer && newcomer->crowd == crowd;
        if (newcomer && !own && !below_share) continue;
        for (const IdleClass idle_class : {kUnservedUntrusted, kUnservedTrusted})
            if (ClientConnection *const found = longest_idle(state, idle_class, now, min_idle)) return found;
        // A served connection is not closed for an untrusted newcomer of its own crowd.
        if (newcomer && own && !trusted) continue;
        if (ClientConnection *const found = longest_idle(state, kServed, now, min_idle)) return found;
    }
    return nullptr;
}

ClientConnection *ConnectionLimiter::next_to_evict(Ticks now, Ticks min_idle) {
    return select_for_eviction(nullptr, now, min_idle);
}

void ConnectionLimiter::rpc_started(ClientConnection &connection) {
    ++connection.open_rpcs;
    remove_from_idle_list(connection);
}

void ConnectionLimiter::rpc_finished(ClientConnection &connection, bool served, Ticks now) {
    --connection.open_rpcs;
    if (served) {
        connection.had_rpc_served = true;
        sources_.rpc_served(*connection.address_source, now);
    }
    if (connection.open_rpcs == 0) add_to_idle_list(connection, now);
}

void ConnectionLimiter::closed(ClientConnection &connection) {
    remove_from_idle_list(connection);
    connections_.erase(connection.position);
    --open_connections_;
    --crowds_[static_cast<std::size_t>(connection.crowd)].open_connections;
    if (connection.network_source) sources_.connection_closed(*connection.network_source);
    sources_.connection_closed(*connection.address_source);
    connection.address_source = connection.network_source = nullptr;
}

void ConnectionLimiter::add_to_idle_list(ClientConnection &connection, Ticks now) {
    remove_from_idle_list(connection);
    connection.idle_since = now;
    connection.idle_class = connection.had_rpc_served                              ? kServed
                            : sources_.is_trusted(*connection.address_source, now) ? kUnservedTrusted
                                                                                   : kUnservedUntrusted;
    auto &idle_list = crowds_[static_cast<std::size_t>(connection.crowd)]
                          .idle_lists[static_cast<std::size_t>(connection.idle_class)];
    connection.idle_position = idle_list.insert(idle_list.end(), &connection);
}

void ConnectionLimiter::remove_from_idle_list(ClientConnection &connection) {
    if (connection.idle_class < 0) return;
    crowds_[static_cast<std::size_t>(connection.crowd)]
        .idle_lists[static_cast<std::size_t>(connection.idle_class)]
        .erase(connection.idle_position);
    connection.idle_class = -1;
}

ConnectionDecision ConnectionLimiter::refuse(ClientConnection &connection, RefusalReason reason,
                                             Ticks min_retry_after) {
    ++refusals_[static_cast<std::size_t>(reason)];
    connection.address_source = connection.network_source = nullptr;
    const Ticks retry_after = std::max(kMinRetryAfter, min_retry_after);
    return {reason, nullptr,
            retry_after + static_cast<Ticks>(static_cast<double>(retry_after) * random_.uniform())};
}

// Admitted connections stay open and are counted in the crowd that their address now belongs to. Where that
// puts a crowd above its limit, new connections are refused until enough have closed.
void ConnectionLimiter::set_rules(const AdmissionSettings &rules) {
    for (ClientConnection *const connection : connections_) {
        remove_from_idle_list(*connection);
        if (connection->network_source) sources_.connection_closed(*connection->network_source);
        sources_.connection_closed(*connection->address_source);
    }
    rules_ = &rules;
    open_connections_ = 0;
    crowds_ = std::vector<CrowdState>(rules.crowds.size());
    for (ClientConnection *const connection : connections_) {
        assign_crowd_and_sources(*connection);
        count_connection(*connection, connection->idle_since);
    }
}

std::string ConnectionLimiter::explain(const AddressBits &address, Ticks now) const {
    std::ostringstream lines;
    const auto *entry = rules_->networks.entry_of(address);
    const int crowd = entry ? entry->group : 0;
    const Crowd &rule = crowd_rules(crowd);
    lines << "crowd " << rule.name << ": "
          << (entry ? "by network " + entry->network.text() : std::string("in no network")) << "\n";
    lines << "connections of the crowd: " << open_connections(crowd) << " open, " << rule.reserved_connections
          << " reserved, share " << static_cast<long>(fair_share(crowd, crowd)) << " of " << capacity_;
    if (rule.max_connections > 0) lines << ", at most " << rule.max_connections;
    lines << "\n";
    const Source *const source = sources_.find({address, kAddressBits});
    lines << "connections of the address: " << (source ? source->open_connections : 0) << " open";
    if (rule.max_per_address > 0) lines << ", at most " << rule.max_per_address;
    if (rule.opens_per_s > 0)
        lines << ", " << rule.opens_per_s << " new ones a second, " << rule.open_burst << " at once";
    lines << "\n";
    if (rule.max_per_network > 0) {
        const Network network = network_of(address);
        const Source *const network_source = sources_.find(network);
        lines << "connections of its network " << network.text() << ": "
              << (network_source ? network_source->open_connections : 0) << " open, at most "
              << rule.max_per_network << "\n";
    }
    const double trust_score = source ? sources_.trust_score(*source, now) : 0;
    lines << "trust: " << trust_score << " RPCs served, decaying over time; "
          << (trust_score >= SourceTable::kTrustThreshold
                  ? "trusted: its connections are closed after those of untrusted addresses"
                  : "untrusted: its connections are closed first when none are free")
          << "\n";
    return lines.str();
}

} // namespace pineridge::admission
