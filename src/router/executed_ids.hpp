// Remembers the ids of RPCs that may have been executed and must not be executed twice. An id that comes
// again after its RPC has ended is not a new RPC: its first attempt may have had its effect, or may still
// have it, also where its client has left without an answer. Does no I/O and reads no clock. Not thread-safe.
//
// Source: the protocol page ("every request gets a new id"), rule 2 (no effect twice).
#pragma once

#include "random.hpp"

#include <boost/unordered/unordered_flat_set.hpp>

#include <chrono>
#include <deque>
#include <string>

namespace pineridge::router {

class ExecutedIds {
  public:
    using Instant = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    // An id is remembered for `lifetime`, but at most `max_count` ids are, the newest ones. The salt keeps
    // clients from choosing ids that are taken for one another.
    ExecutedIds(std::uint64_t salt, std::size_t max_count, Duration lifetime)
        : salt_(salt), max_count_(max_count), lifetime_(lifetime) {}

    void add(const std::string &id, Instant now) {
        forget_old(now);
        const std::uint64_t hash = hash_of(id);
        if (!hashes_.insert(hash).second) return;
        entries_.push_back({now, hash});
        if (entries_.size() > max_count_) forget_oldest();
    }
    bool contains(const std::string &id, Instant now) {
        forget_old(now);
        return hashes_.contains(hash_of(id));
    }
    std::size_t size() const { return entries_.size(); }

  private:
    struct Entry {
        Instant added_at;
        std::uint64_t hash;
    };

    // Ids are long and chosen by clients, so that only their hashes are kept.
    std::uint64_t hash_of(const std::string &id) const { return salted_hash(id, salt_); }
    void forget_old(Instant now) {
        while (!entries_.empty() && now - entries_.front().added_at > lifetime_) forget_oldest();
    }
    void forget_oldest() {
        hashes_.erase(entries_.front().hash);
        entries_.pop_front();
    }

    const std::uint64_t salt_;
    const std::size_t max_count_;
    const Duration lifetime_;
    std::deque<Entry> entries_; // oldest first
    boost::unordered_flat_set<std::uint64_t> hashes_; // of the entries
};

} // namespace pineridge::router
