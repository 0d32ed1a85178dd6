#include "admission/source_table.hpp"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pineridge::admission {

std::size_t SourceTable::Hash::operator()(const Network &key) const {
    const std::uint64_t words[3] = {key.first.high, key.first.low,
                                    static_cast<std::uint64_t>(key.prefix_length)};
    return XXH3_64bits_withSeed(words, sizeof words, seed);
}

Source &SourceTable::find_or_add(const Network &key, double burst) {
    if (const auto found = sources_.find(key); found != sources_.end()) {
        move_to_back(found->second, found->second.trusted);
        return found->second;
    }
    evict_excess();
    Source &source = sources_[key];
    source.key = key;
    source.open_rate.tokens = burst;
    source.position = untrusted_.insert(untrusted_.end(), &source);
    return source;
}

const Source *SourceTable::find(const Network &key) const {
    const auto found = sources_.find(key);
    return found == sources_.end() ? nullptr : &found->second;
}

void SourceTable::connection_closed(Source &source) {
    --source.open_connections;
    if (sources_.size() > max_sources_) evict_excess();
}

void SourceTable::rpc_served(Source &source, Ticks now) {
    source.trust_score = std::min(kMaxTrustScore, trust_score(source, now) + 1);
    source.trust_updated_at = now;
    move_to_back(source, source.trust_score >= kTrustThreshold);
}

double SourceTable::trust_score(const Source &source, Ticks now) const {
    const auto elapsed = static_cast<double>(std::max<Ticks>(0, now - source.trust_updated_at));
    return source.trust_score * std::exp2(-elapsed / static_cast<double>(trust_half_life_));
}

void SourceTable::move_to_back(Source &source, bool trusted) {
    auto &destination = trusted ? trusted_ : untrusted_;
    destination.splice(destination.end(), source.trusted ? trusted_ : untrusted_, source.position);
    source.trusted = trusted;
}

// Untrusted sources are evicted first, unless trusted ones take up more than half of the table.
void SourceTable::evict_excess() {
    while (sources_.size() >= max_sources_) {
        const bool trusted_first = trusted_.size() > max_sources_ / 2;
        if (!evict_one(trusted_first ? trusted_ : untrusted_) &&
            !evict_one(trusted_first ? untrusted_ : trusted_))
            return;
    }
}

// Evicts the least recently used source without open connections. Sources with open connections move to the
// end of the list; the search looks at a few entries only, as there may be as many of those as connections.
bool SourceTable::evict_one(std::list<Source *> &list) {
    constexpr int kMaxExamined = 8;
    for (int i = 0; i < kMaxExamined && !list.empty(); ++i) {
        Source *const oldest = list.front();
        if (oldest->open_connections == 0) {
            list.pop_front();
            sources_.erase(Network(oldest->key));
            return true;
        }
        list.splice(list.end(), list, list.begin());
    }
    return false;
}

} // namespace pineridge::admission
