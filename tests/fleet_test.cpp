// Many instances of the real module against one platform: what is harmless in one and adds up in all.
#undef NDEBUG
#include "helpers.hpp"

#include <cassert>
#include <deque>

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr Ticks kStep = 100; // 10 ms

Terms fleet_terms(int instances) {
    Terms given = terms(Repeat::idempotent);
    given.instances = instances;
    given.list_by_asking = true;
    return given;
}

std::vector<Bench> fleet(const Terms &given) {
    std::vector<Bench> routers;
    for (int i = 0; i < given.instances; ++i) {
        routers.emplace_back(given);
        routers.back().router = make_router(given, 1000 + i);
    }
    return routers;
}

// Discovery: one call after the other, those given up too; a caller gives up after two seconds.
struct Discovery {
    static constexpr Ticks kCall = 500, kPatience = 20000;
    struct Call {
        int router;
        Ticks at;
    };
    std::deque<Call> line;
    Ticks free_at = 0;
    int calls = 0, given_up = 0;
    std::vector<Ticks> answered;

    explicit Discovery(std::size_t routers) : answered(routers, -1) {}

    void step(std::vector<Bench> &routers, Ticks now) {
        for (std::size_t i = 0; i < routers.size(); ++i) {
            routers[i].at(now);
            if (routers[i].pull(Act::watch_list).empty()) continue;
            line.push_back({static_cast<int>(i), now});
            ++calls;
        }
        for (const Call &call : line)
            if (now - call.at == kPatience) ++given_up, routers[call.router].router->list_failed();
        while (!line.empty() && free_at <= now) {
            const Call call = line.front();
            line.pop_front();
            free_at = std::max(free_at, now - kStep) + kCall;
            if (now - call.at >= kPatience) continue; // worked through for nobody
            answered[call.router] = now;
            routers[call.router].router->list({}, false);
        }
    }
    Ticks wait(Ticks now) const { return std::max<Ticks>(0, free_at - now) + line.size() * kCall; }
};

// A hundred routers start in one instant where discovery takes twenty calls a second: hardly one is given up,
// and what changes seconds later does not wait behind calls that nobody waits for any more.
void a_fleets_start_leaves_discoverys_line_short() {
    std::vector<Bench> routers = fleet(fleet_terms(100));
    Discovery discovery(routers.size());
    Ticks longest = 0;
    for (Ticks now = 0; now <= 200000; now += kStep) {
        discovery.step(routers, now);
        if (now >= 60000) longest = std::max(longest, discovery.wait(now));
    }
    assert(discovery.given_up <= 30 && discovery.calls <= 130 && longest <= 10000);
    for (const Ticks at : discovery.answered) assert(at >= 0 && at < 120000);
}

// One or two routers ask at once, and again soon after a call that failed.
void few_routers_ask_at_once() {
    std::vector<Bench> routers = fleet(fleet_terms(2));
    for (Bench &one : routers) {
        one.at(0);
        one.at(600);
        assert(one.pull(Act::watch_list).size() == 1);
        one.router->list_failed();
        one.at(11000);
        assert(one.pull(Act::watch_list).size() == 1);
    }
}

} // namespace

int main() {
    a_fleets_start_leaves_discoverys_line_short();
    few_routers_ask_at_once();
}
