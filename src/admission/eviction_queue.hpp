// Keeps the client connections by what each of them waits for, and tells which to close: first when room is
// needed for new connections, and which has stayed in its state for longer than it may. Every open connection
// is in exactly one state, so that none holds a descriptor without a time limit or a place in the order of
// eviction. The caller reports the states and closes the connections; the queue touches no socket and reads
// no clock. No call blocks. Not thread-safe.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <vector>

namespace pineridge::admission {

// What a client connection waits for, in the order in which connections are evicted.
enum class ConnectionState {
    refused, // refused by the connection limiter, and kept until its first command has been pushed back
    lingering, // all replies have been written, and further input is discarded
    silent, // no command has begun
    partial_command, // a command or a PROXY header has begun, and no reply is pending
    idle, // between two commands
    unread_replies, // the client has not read a reply that is being written
    busy, // a reply is pending: never evicted, as the decision module answers each RPC by its deadline
};
inline constexpr std::size_t kConnectionStateCount = 7;

class EvictionQueue {
  public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    // One connection, owned by the caller. It must not move or be destroyed before `remove` is called for it.
    struct Entry {
        // For the caller's use.
        void *owner = nullptr;

        // Set by the queue.
        bool queued = false;
        ConnectionState state = ConnectionState::silent;
        TimePoint since{}; // when it entered the state
        TimePoint deadline{}; // by which it has to leave the state
        std::list<Entry *>::iterator position{};
    };

    // `min_ages`: a connection is not evicted before it has been in its state for this long, by state.
    explicit EvictionQueue(const std::array<Duration, kConnectionStateCount> &min_ages)
        : min_ages_(min_ages) {}

    // Adds a connection, or changes its state. In the state that it is in already, only the deadline is set.
    // TimePoint::max() stands for no deadline.
    void set_state(Entry &entry, ConnectionState state, TimePoint now, TimePoint deadline);
    // Has no effect on a connection that is not in the queue.
    void remove(Entry &entry);

    // Returns up to `max_count` connections that may be evicted, in the order of eviction: by state, and
    // within a state the one that entered it first. Only those for which `is_candidate` returns true.
    std::vector<Entry *> candidates(TimePoint now, std::size_t max_count,
                                    const std::function<bool(const Entry &)> &is_candidate) const;
    // The same for the connections of one state.
    std::vector<Entry *> candidates(ConnectionState state, TimePoint now, std::size_t max_count) const;

    // Returns the connections whose deadline has passed.
    std::vector<Entry *> expired(TimePoint now) const;
    // Whether a connection is in a state that usually has a deadline.
    bool has_deadlines() const;

    std::size_t count(ConnectionState state) const { return entries_[index(state)].size(); }

  private:
    static constexpr std::size_t index(ConnectionState state) { return static_cast<std::size_t>(state); }
    // Adds those of the state's candidates that fit to `found`.
    void append_candidates(ConnectionState state, TimePoint now, std::size_t max_count,
                           const std::function<bool(const Entry &)> &is_candidate,
                           std::vector<Entry *> &found) const;

    std::array<Duration, kConnectionStateCount> min_ages_;
    std::array<std::list<Entry *>, kConnectionStateCount> entries_; // each in the order of `since`
};

} // namespace pineridge::admission
