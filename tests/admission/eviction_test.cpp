// Tests of the eviction queue: which connection is closed first, and which has exceeded its time.
#undef NDEBUG
#include "admission/eviction_queue.hpp"

#include <cassert>

using namespace pineridge::admission;
using std::chrono::milliseconds;

namespace {

using Entry = EvictionQueue::Entry;
using TimePoint = EvictionQueue::TimePoint;

constexpr milliseconds kMinAge(100); // of every state that has one here
constexpr TimePoint kNever = TimePoint::max();

TimePoint at(int ms) { return TimePoint(milliseconds(ms)); }

EvictionQueue make_queue() {
    std::array<EvictionQueue::Duration, kConnectionStateCount> min_ages{};
    for (const ConnectionState state :
         {ConnectionState::silent, ConnectionState::partial_command, ConnectionState::idle})
        min_ages[static_cast<std::size_t>(state)] = kMinAge;
    return EvictionQueue(min_ages);
}

std::vector<Entry *> all_candidates(const EvictionQueue &queue, TimePoint now) {
    return queue.candidates(now, 100, [](const Entry &) { return true; });
}

void connections_are_evicted_by_state_and_then_by_age() {
    EvictionQueue queue = make_queue();
    Entry busy, unread, idle, older_idle, partial, silent, lingering, refused;
    queue.set_state(older_idle, ConnectionState::idle, at(0), kNever);
    queue.set_state(busy, ConnectionState::busy, at(0), kNever);
    queue.set_state(unread, ConnectionState::unread_replies, at(0), kNever);
    queue.set_state(idle, ConnectionState::idle, at(1), kNever);
    queue.set_state(partial, ConnectionState::partial_command, at(2), kNever);
    queue.set_state(silent, ConnectionState::silent, at(3), kNever);
    queue.set_state(lingering, ConnectionState::lingering, at(4), kNever);
    queue.set_state(refused, ConnectionState::refused, at(5), kNever);
    const std::vector<Entry *> expected{&refused, &lingering, &silent, &partial, &older_idle, &idle, &unread};
    assert(all_candidates(queue, at(1000)) == expected);
    assert(queue.candidates(at(1000), 2, [](const Entry &) { return true; }).size() == 2);
    assert(queue.candidates(at(1000), 1, [&](const Entry &entry) { return &entry != &refused; }).front() ==
           &lingering);
    assert(queue.candidates(ConnectionState::idle, at(1000), 9).size() == 2);
}

void a_connection_that_has_just_entered_its_state_is_kept() {
    EvictionQueue queue = make_queue();
    Entry silent;
    queue.set_state(silent, ConnectionState::silent, at(0), kNever);
    assert(all_candidates(queue, at(99)).empty());
    assert(all_candidates(queue, at(100)).size() == 1);
    // Staying in a state does not make the connection younger.
    queue.set_state(silent, ConnectionState::silent, at(100), kNever);
    assert(all_candidates(queue, at(100)).size() == 1);
    queue.set_state(silent, ConnectionState::idle, at(100), kNever);
    assert(all_candidates(queue, at(199)).empty());
}

void deadlines_hold_in_states_that_have_one() {
    EvictionQueue queue = make_queue();
    Entry silent, partial, idle;
    assert(!queue.has_deadlines());
    queue.set_state(idle, ConnectionState::idle, at(0), kNever);
    assert(!queue.has_deadlines());
    queue.set_state(silent, ConnectionState::silent, at(0), at(50));
    queue.set_state(partial, ConnectionState::partial_command, at(0), at(20));
    assert(queue.has_deadlines() && queue.expired(at(19)).empty());
    assert(queue.expired(at(20)) == std::vector<Entry *>{&partial});
    queue.set_state(partial, ConnectionState::partial_command, at(20), at(60)); // only the deadline changes
    assert(queue.expired(at(50)) == std::vector<Entry *>{&silent});
    queue.remove(silent);
    queue.remove(partial);
    queue.remove(partial);
    assert(!queue.has_deadlines() && queue.expired(at(1000)).empty());
    assert(queue.count(ConnectionState::idle) == 1);
}

} // namespace

int main() {
    connections_are_evicted_by_state_and_then_by_age();
    a_connection_that_has_just_entered_its_state_is_kept();
    deadlines_hold_in_states_that_have_one();
}
