#include "admission/sources.hpp"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pineridge::admission {

std::size_t Sources::Hash::operator()(const Network &key) const {
    const std::uint64_t words[3] = {key.first.high, key.first.low, static_cast<std::uint64_t>(key.bits)};
    return XXH3_64bits_withSeed(words, sizeof words, seed);
}

Source &Sources::at(const Network &key, double burst) {
    if (const auto known = all_.find(key); known != all_.end()) {
        rank(known->second, known->second.trusted);
        return known->second;
    }
    make_room();
    Source &source = all_[key];
    source.key = key;
    source.opens.level = burst;
    source.place = fresh_.insert(fresh_.end(), &source);
    return source;
}

const Source *Sources::find(const Network &key) const {
    const auto known = all_.find(key);
    return known == all_.end() ? nullptr : &known->second;
}

void Sources::closed(Source &source) {
    --source.open;
    if (all_.size() > most_) make_room();
}

void Sources::earn(Source &source, Ticks now) {
    source.earned = std::min(kMostEarned, earned(source, now) + 1);
    source.earned_at = now;
    rank(source, source.earned >= kTrusted);
}

double Sources::earned(const Source &source, Ticks now) const {
    const auto since = static_cast<double>(std::max<Ticks>(0, now - source.earned_at));
    return source.earned * std::exp2(-since / static_cast<double>(half_));
}

void Sources::rank(Source &source, bool trusted) {
    auto &to = trusted ? trusted_ : fresh_;
    to.splice(to.end(), source.trusted ? trusted_ : fresh_, source.place);
    source.trusted = trusted;
}

// Those with nothing earned go first; trusted ones have half of the room for themselves.
void Sources::make_room() {
    while (all_.size() >= most_) {
        const bool trusted_first = trusted_.size() > most_ / 2;
        if (!forget_one(trusted_first ? trusted_ : fresh_) && !forget_one(trusted_first ? fresh_ : trusted_))
            return;
    }
}

// Those with connections are passed over, a few at most: they are as many as there are connections, and move
// to the end.
bool Sources::forget_one(std::list<Source *> &from) {
    constexpr int kLooked = 8;
    for (int i = 0; i < kLooked && !from.empty(); ++i) {
        Source *const oldest = from.front();
        if (oldest->open == 0) {
            from.pop_front();
            all_.erase(Network(oldest->key));
            return true;
        }
        from.splice(from.end(), from, from.begin());
    }
    return false;
}

} // namespace pineridge::admission
