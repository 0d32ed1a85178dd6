// Per-source state of clients' addresses and networks: open connections, the rate of new connections, and
// trust earned by served RPCs. The table is bounded; untrusted sources are evicted first, so that a flood
// from ever new addresses evicts its own entries. Times are ticks. Not thread-safe.
#pragma once

#include "admission/token_bucket.hpp"
#include "base/networks.hpp"

#include <list>
#include <unordered_map>

namespace pineridge::admission {

struct Source {
    Network key; // a single address is a network of 128 bits
    int open_connections = 0; // a source with open connections is not evicted
    TokenBucket open_rate; // of new connections
    double trust_score = 0; // RPCs served, decaying, as of `trust_updated_at`
    Ticks trust_updated_at = 0;
    bool trusted = false; // which of the two eviction lists it is in
    std::list<Source *>::iterator position{}; // in that list
};

class SourceTable {
  public:
    // Holds `max_sources` entries; sources with open connections may exceed that, by two for each connection.
    // Trust halves every `trust_half_life`. The hash is seeded so that clients cannot choose addresses that
    // collide.
    SourceTable(std::size_t max_sources, Ticks trust_half_life, std::uint64_t seed)
        : sources_(0, Hash{seed}), max_sources_(max_sources), trust_half_life_(trust_half_life) {}

    // Returns the entry of `key`; a new entry starts with `burst` tokens. The reference is valid until the
    // entry is evicted.
    Source &find_or_add(const Network &key, double burst);
    const Source *find(const Network &key) const;
    void connection_opened(Source &source) { ++source.open_connections; }
    void connection_closed(Source &source);
    void rpc_served(Source &source, Ticks now);
    double trust_score(const Source &source, Ticks now) const;

    // A source is trusted from this many served RPCs on: the first command of a flood is served too, so that
    // one or two prove nothing.
    static constexpr double kTrustThreshold = 3;
    // Upper bound of the score, so that trust decays within a bounded time, however many RPCs a source had
    // served.
    static constexpr double kMaxTrustScore = 64;
    bool is_trusted(const Source &source, Ticks now) const {
        return trust_score(source, now) >= kTrustThreshold;
    }

    std::size_t size() const { return sources_.size(); }

  private:
    struct Hash {
        std::uint64_t seed;
        std::size_t operator()(const Network &key) const;
    };
    void evict_excess();
    bool evict_one(std::list<Source *> &list);
    void move_to_back(Source &source, bool trusted);

    std::unordered_map<Network, Source, Hash> sources_;
    // The eviction lists, least recently used first.
    std::list<Source *> untrusted_;
    std::list<Source *> trusted_;
    std::size_t max_sources_;
    Ticks trust_half_life_;
};

} // namespace pineridge::admission
