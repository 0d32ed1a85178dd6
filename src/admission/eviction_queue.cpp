#include "admission/eviction_queue.hpp"

namespace pineridge::admission {

namespace {

constexpr std::array kEvictableStates{ConnectionState::refused, ConnectionState::lingering,
                                      ConnectionState::silent,  ConnectionState::partial_command,
                                      ConnectionState::idle,    ConnectionState::unread_replies};
constexpr std::array kLimitedStates{ConnectionState::refused, ConnectionState::silent,
                                    ConnectionState::partial_command, ConnectionState::unread_replies};

} // namespace

void EvictionQueue::set_state(Entry &entry, ConnectionState state, TimePoint now, TimePoint deadline) {
    entry.deadline = deadline;
    if (entry.queued && entry.state == state) return;
    std::list<Entry *> &entries = entries_[index(state)];
    if (entry.queued)
        entries.splice(entries.end(), entries_[index(entry.state)], entry.position);
    else
        entry.position = entries.insert(entries.end(), &entry);
    entry.queued = true;
    entry.state = state;
    entry.since = now;
}

void EvictionQueue::remove(Entry &entry) {
    if (!entry.queued) return;
    entries_[index(entry.state)].erase(entry.position);
    entry.queued = false;
}

void EvictionQueue::append_candidates(ConnectionState state, TimePoint now, std::size_t max_count,
                                      const std::function<bool(const Entry &)> &is_candidate,
                                      std::vector<Entry *> &found) const {
    for (Entry *const entry : entries_[index(state)]) {
        if (found.size() >= max_count || now - entry->since < min_ages_[index(state)]) return;
        if (is_candidate(*entry)) found.push_back(entry);
    }
}

std::vector<EvictionQueue::Entry *> EvictionQueue::candidates(
    TimePoint now, std::size_t max_count, const std::function<bool(const Entry &)> &is_candidate) const {
    std::vector<Entry *> found;
    for (const ConnectionState state : kEvictableStates)
        append_candidates(state, now, max_count, is_candidate, found);
    return found;
}

std::vector<EvictionQueue::Entry *> EvictionQueue::candidates(ConnectionState state, TimePoint now,
                                                              std::size_t max_count) const {
    std::vector<Entry *> found;
    append_candidates(
        state, now, max_count, [](const Entry &) { return true; }, found);
    return found;
}

std::vector<EvictionQueue::Entry *> EvictionQueue::expired(TimePoint now) const {
    std::vector<Entry *> found;
    for (const ConnectionState state : kLimitedStates)
        for (Entry *const entry : entries_[index(state)])
            if (entry->deadline <= now) found.push_back(entry);
    return found;
}

bool EvictionQueue::has_deadlines() const {
    for (const ConnectionState state : kLimitedStates)
        if (!entries_[index(state)].empty()) return true;
    return false;
}

} // namespace pineridge::admission
