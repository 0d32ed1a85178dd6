// Tests that what clients choose and how fast they send does not make the state of the decision module grow
// without end.
//
// The failure (picture (b) of issue 58): requests with a time of 1 ms at full speed took a router from 1.7 to
// 28 MB in 20 s, as each arrival was kept until a build came on trial. Sticky keys that a newer build had
// answered were kept one by one, for good.
#include "held_keys.hpp"
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {
std::size_t bytes_in_use = 0; // on the heap
}

void *operator new(std::size_t size) {
    void *const block = std::malloc(size);
    if (!block) throw std::bad_alloc();
    bytes_in_use += malloc_usable_size(block);
    return block;
}
void operator delete(void *block) noexcept {
    if (block) bytes_in_use -= malloc_usable_size(block);
    std::free(block);
}
void operator delete(void *block, std::size_t) noexcept { operator delete(block); }

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr int kRpcsPerWindow = 20000;
constexpr std::ptrdiff_t kMaxGrowth = 64 * 1024; // bytes: what is kept for a window varies a little
constexpr std::ptrdiff_t kMaxHeldBytes = 4 * 1024 * 1024;

// Sends RPCs, each with a key of its own, for some exposure windows; all of them are served.
void serve_windows(DecisionFixture &fixture, int windows, Ticks window) {
    for (int i = 0; i < windows * kRpcsPerWindow; ++i) {
        if (i % 20 == 0) fixture.set_time(fixture.now + window * 20 / kRpcsPerWindow);
        const std::string id = std::to_string(fixture.next_id++) + "b";
        fixture.send_rpc(id, fixture.now + 10, "key" + id);
        for (const Decision &pick : fixture.take_decisions(Action::pick))
            fixture.end_pick(id, pick.pick, Outcome::ok, true);
    }
}

// Returns by how much the heap has grown over these windows, once what is kept for one window is there.
std::ptrdiff_t growth_over(DecisionFixture &fixture, int windows, Ticks window) {
    serve_windows(fixture, 5, window);
    const std::size_t before = bytes_in_use;
    serve_windows(fixture, windows, window);
    return static_cast<std::ptrdiff_t>(bytes_in_use) - static_cast<std::ptrdiff_t>(before);
}

void arrivals_are_forgotten_while_no_build_is_on_trial() {
    const DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    DecisionFixture fixture(config);
    fixture.add_host("a", 1);
    fixture.add_host("b", 1);
    fixture.update_rollout(1, 1, Phase::released, 1);
    assert(growth_over(fixture, 10, config.rollout.exposure_window) <= kMaxGrowth);
}

void ever_new_sticky_keys_take_bounded_memory() {
    DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    config.rollout.sticky_keys = true;
    DecisionFixture fixture(config);
    fixture.add_host("old", 1);
    fixture.add_host("new", 2);
    fixture.update_rollout(2, 1, Phase::released, 1);
    assert(growth_over(fixture, 30, config.rollout.exposure_window) <= kMaxHeldBytes);
}

// No key that was held is let go, however many follow; below the limit no other key is taken for one.
void held_keys_are_never_forgotten() {
    HeldKeys keys;
    const auto key = [](const char *name, std::size_t number) { return name + std::to_string(number); };
    for (std::size_t i = 0; i < HeldKeys::kMaxExactKeys; ++i) keys.insert(key("held", i));
    for (std::size_t i = 0; i < HeldKeys::kMaxExactKeys; ++i) assert(!keys.contains(key("other", i)));
    for (std::size_t i = 0; i < 200000; ++i) keys.insert(key("more", i));
    for (std::size_t i = 0; i < HeldKeys::kMaxExactKeys; ++i) assert(keys.contains(key("held", i)));
    for (std::size_t i = 0; i < 200000; ++i) assert(keys.contains(key("more", i)));
    std::size_t taken_for_held = 0;
    for (std::size_t i = 0; i < 100000; ++i) taken_for_held += keys.contains(key("other", i));
    assert(taken_for_held < 5000); // some 265,000 keys in 8 million parts: 3 in 100
    keys.clear();
    assert(!keys.contains(key("held", 0)));
}

} // namespace

int main() {
    arrivals_are_forgotten_while_no_build_is_on_trial();
    ever_new_sticky_keys_take_bounded_memory();
    held_keys_are_never_forgotten();
}
