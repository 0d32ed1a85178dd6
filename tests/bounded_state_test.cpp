// Tests that what clients choose and how fast they send does not make the state of the decision module grow
// without end.
//
// The failure (picture (b) of issue 58): requests with a time of 1 ms at full speed took a router from 1.7 to
// 28 MB in 20 s, as each arrival was kept until a build came on trial. Sticky keys that a newer build had
// answered were kept one by one, for good.
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
constexpr std::size_t kMaxGrowth = 64 * 1024; // bytes: what is kept for a window varies a little

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

void arrivals_are_forgotten_while_no_build_is_on_trial() {
    const DeploymentConfig config = deployment_config(RepeatPolicy::idempotent);
    DecisionFixture fixture(config);
    fixture.add_host("a", 1);
    fixture.add_host("b", 1);
    fixture.update_rollout(1, 1, Phase::released, 1);
    serve_windows(fixture, 5, config.rollout.exposure_window);
    const std::size_t before = bytes_in_use;
    serve_windows(fixture, 10, config.rollout.exposure_window);
    assert(bytes_in_use <= before + kMaxGrowth);
}

} // namespace

int main() {
    arrivals_are_forgotten_while_no_build_is_on_trial();
}
