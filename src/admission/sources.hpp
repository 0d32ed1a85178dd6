// What is remembered of addresses and of networks: connections open, opening rate, trust earned. So many at
// most; what has earned nothing is forgotten first, so that a flood from ever new addresses pushes out
// itself.
#pragma once

#include "admission/bucket.hpp"
#include "base/networks.hpp"

#include <list>
#include <unordered_map>

namespace pineridge::admission {

struct Source {
    Network key; // an address is a network of all its bits
    int open = 0; // while there is one, it is not forgotten
    Bucket opens;
    double earned = 0; // RPCs served, fading
    Ticks earned_at = 0;
    bool trusted = false; // which of the lists it stands in
    std::list<Source *>::iterator place{};
};

class Sources {
  public:
    // `most` sources; each open connection pins two of them beyond that. The seed keeps others from choosing
    // addresses that fall together.
    Sources(std::size_t most, Ticks half, std::uint64_t seed)
        : all_(0, Hash{seed}), most_(most), half_(half) {}

    Source &at(const Network &key, double burst); // made, with a full bucket, where it is not known
    const Source *find(const Network &key) const;
    void opened(Source &source) { ++source.open; }
    void closed(Source &source);
    void earn(Source &source, Ticks now); // an RPC of it was served
    double earned(const Source &source, Ticks now) const;

    // Trusted from this many served RPCs on: one could be luck, and a flood's first command is answered too.
    static constexpr double kTrusted = 3;
    // Earned at most: what an address once did is forgotten in a told time, not in that times its past.
    static constexpr double kMostEarned = 64;
    bool trusts(const Source &source, Ticks now) const { return earned(source, now) >= kTrusted; }

    std::size_t size() const { return all_.size(); }

  private:
    struct Hash {
        std::uint64_t seed;
        std::size_t operator()(const Network &key) const;
    };
    void make_room();
    bool forget_one(std::list<Source *> &from);
    void rank(Source &source, bool trusted);

    std::unordered_map<Network, Source, Hash> all_;
    std::list<Source *> fresh_, trusted_; // the one heard of longest ago first
    std::size_t most_;
    Ticks half_;
};

} // namespace pineridge::admission
