// What is pushed back before any pick: quotas, retries, lateness; and when clients are told to come back.
#undef NDEBUG
#include "admission/descriptor_budget.hpp"
#include "admission/rpc_limiter.hpp"
#include "base/bad_input.hpp"

#include <cassert>
#include <set>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

const std::vector<std::string> kCustomers{"acme", "bern"}, kMethods{"lookup", "book"};

RpcLimiter counter_of(const Entrance &rules, int routers = 1) {
    return RpcLimiter(rules, kCustomers, kMethods, routers, 3);
}

// RPCs let on in so many seconds, at so many a second.
int let_on(RpcLimiter &limiter, const RpcInfo &rpc, int a_second, int seconds) {
    int on = 0;
    for (int i = 0; i < a_second * seconds; ++i) {
        const Ticks now = 10000LL * i / a_second;
        if (limiter.try_admit(rpc, now).reason != PushbackReason::none) continue;
        ++on;
        limiter.finished(true, now);
    }
    return on;
}

void quotas_of_all_routers_add_up() {
    Entrance rules;
    rules.quotas = {{"acme", "", 300, 30}};
    int all = 0;
    for (int router = 0; router < 3; ++router) {
        RpcLimiter limiter = counter_of(rules, 3);
        all += let_on(limiter, {0, 0}, 400, 10);
    }
    assert(all >= 3000 && all <= 3000 + 33);
    RpcLimiter limiter = counter_of(rules, 3);
    assert(let_on(limiter, {1, 0}, 400, 10) == 4000); // another customer
}

void a_method_of_a_customer_has_its_own() {
    Entrance rules;
    rules.quotas = {{"acme", "", 100, 100}, {"acme", "book", 10, 10}};
    RpcLimiter limiter = counter_of(rules);
    assert(let_on(limiter, {0, 1}, 100, 5) <= 60);
    RpcLimiter other = counter_of(rules);
    assert(let_on(other, {0, 0}, 100, 5) == 500);
    // What the narrow one refuses takes nothing of the wide one.
    RpcLimiter both = counter_of(rules);
    int on = 0;
    for (int i = 0; i < 100; ++i) on += both.try_admit({0, 1}, 0).reason == PushbackReason::none;
    for (int i = 0; i < 100; ++i) on += both.try_admit({0, 0}, 0).reason == PushbackReason::none;
    assert(on == 100);
}

void an_unknown_name_is_told() {
    Entrance rules;
    rules.quotas = {{"nobody", "", 1, 1}};
    std::string fault;
    try {
        counter_of(rules);
    } catch (const BadInput &bad) {
        fault = bad.what();
    }
    assert(fault == "admission.quota.customer: unknown: nobody");
}

Entrance with_retries() {
    Entrance rules;
    rules.retry_share = 0.1;
    rules.retry_least = 5;
    return rules;
}

void marked_retries_have_a_budget() {
    RpcLimiter limiter = counter_of(with_retries());
    int first = 0, again = 0;
    for (int i = 0; i < 2000; ++i) {
        const Ticks now = i * 10LL;
        const auto work = static_cast<std::uint64_t>(i);
        first += limiter.try_admit({0, 0, work, false}, now).reason == PushbackReason::none;
        again += limiter.try_admit({0, 0, work, true}, now).reason == PushbackReason::none;
    }
    assert(first == 2000);
    assert(again >= 200 && again <= 220); // a tenth, five a second, and what was there
}

void unmarked_retries_are_known_by_their_work() {
    RpcLimiter limiter = counter_of(with_retries());
    const Ticks back = limiter.schedule_retry({0, 0, 77}, 0, 0);
    assert(limiter.retries() == 0);
    limiter.try_admit({0, 0, 77}, back);
    assert(limiter.retries() == 1);
    limiter.try_admit({0, 0, 77}, back + 1); // one pushback tells of one retry
    assert(limiter.retries() == 1);
    limiter.schedule_retry({0, 0, 78}, 0, 0);
    limiter.try_admit({0, 0, 79}, 100);
    limiter.try_admit({0, 0, 78}, 20000 + 20000 + 20000); // so late it is new
    assert(limiter.retries() == 1);
}

// A thousand pushed back at once come back over a time, not in a wave: no tenth of a second sees more than
// half of what is served in it.
void a_herd_comes_back_apart() {
    RpcLimiter limiter = counter_of(with_retries());
    for (int i = 0; i < 3000; ++i) {
        limiter.try_admit({0, 0, static_cast<std::uint64_t>(i)}, i * 10LL);
        limiter.finished(true, i * 10LL);
    }
    std::vector<int> by_tenth(30);
    for (int i = 0; i < 1000; ++i) {
        const Ticks back = limiter.schedule_retry({0, 0, static_cast<std::uint64_t>(9000 + i)}, 0, 30000);
        assert(back >= 200 && back <= 20000);
        ++by_tenth[static_cast<std::size_t>(back / 1000)];
    }
    for (std::size_t i = 0; i < 19; ++i) assert(by_tenth[i] <= 60); // 1,000 a second are served
    // What the module has told is the least.
    assert(limiter.schedule_retry({0, 0, 1}, 50000, 30000) == 50000);
}

void lateness_bounds_what_is_under_way() {
    Entrance rules;
    rules.late_aim = 200;
    RpcLimiter limiter = counter_of(rules);
    Ticks now = 0;
    const auto beat = [&](Ticks unread) {
        limiter.record_read_delay(unread);
        now += 1000;
    };
    for (int i = 0; i < 100; ++i) assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::none);
    beat(100); // in time: nothing is held back
    assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::none);
    double before = 101;
    for (int i = 0; i < 5; ++i) {
        beat(500);
        assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::lateness);
        assert(limiter.concurrency_limit() < before);
        before = limiter.concurrency_limit();
    }
    for (int i = 0; i < 50; ++i) {
        beat(5000);
        limiter.try_admit({0, 0}, now);
    }
    assert(limiter.concurrency_limit() == rules.least_under_way);
    // In time again, with the bound filled: it rises.
    while (static_cast<double>(limiter.in_flight()) > limiter.concurrency_limit())
        limiter.finished(true, now);
    for (int i = 0; i < 20; ++i) {
        beat(0);
        while (limiter.try_admit({0, 0}, now).reason == PushbackReason::none) {
        }
    }
    assert(limiter.concurrency_limit() > rules.least_under_way + 15);
}

void descriptors_are_counted_by_purpose() {
    const auto at = [](Purpose purpose) { return static_cast<std::size_t>(purpose); };
    std::array<DescriptorBudget::Allotment, kPurposeCount> parts{};
    parts[at(Purpose::clients)] = {0, 90};
    parts[at(Purpose::hosts)] = {20, 80};
    parts[at(Purpose::drains)] = {10, 10};
    DescriptorBudget budget(100, parts);
    while (budget.acquire(Purpose::clients)) {
    }
    assert(budget.in_use(Purpose::clients) == 70 && budget.free() == 30);
    while (budget.acquire(Purpose::hosts)) {
    }
    assert(budget.in_use(Purpose::hosts) == 20);
    // A drain needs connections to other hosts just then.
    assert(budget.available(Purpose::drains) == 10 && budget.acquire(Purpose::drains));
    assert(!budget.reassign(Purpose::drains, Purpose::clients) && budget.in_use(Purpose::drains) == 1);
    budget.release(Purpose::clients);
    assert(budget.reassign(Purpose::drains, Purpose::hosts) && budget.in_use(Purpose::hosts) == 21);
    bool told = false;
    try {
        DescriptorBudget(29, parts);
    } catch (const BadInput &bad) {
        told = std::string(bad.what()).rfind("limits.sockets: 29", 0) == 0;
    }
    assert(told);
}

} // namespace

int main() {
    quotas_of_all_routers_add_up();
    a_method_of_a_customer_has_its_own();
    an_unknown_name_is_told();
    marked_retries_have_a_budget();
    unmarked_retries_are_known_by_their_work();
    a_herd_comes_back_apart();
    lateness_bounds_what_is_under_way();
    descriptors_are_counted_by_purpose();
}
