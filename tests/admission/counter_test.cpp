// What is pushed back before any pick: quotas, retries, lateness; and when clients are told to come back.
#undef NDEBUG
#include "admission/counter.hpp"
#include "admission/ledger.hpp"
#include "base/bad_input.hpp"

#include <cassert>
#include <set>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

const std::vector<std::string> kCustomers{"acme", "bern"}, kMethods{"lookup", "book"};

Counter counter_of(const Entrance &rules, int routers = 1) {
    return Counter(rules, kCustomers, kMethods, routers, 3);
}

// RPCs let on in so many seconds, at so many a second.
int let_on(Counter &counter, const Wanted &wanted, int a_second, int seconds) {
    int on = 0;
    for (int i = 0; i < a_second * seconds; ++i) {
        const Ticks now = 10000LL * i / a_second;
        if (counter.arrived(wanted, now).by != Held::none) continue;
        ++on;
        counter.over(true, now);
    }
    return on;
}

void quotas_of_all_routers_add_up() {
    Entrance rules;
    rules.quotas = {{"acme", "", 300, 30}};
    int all = 0;
    for (int router = 0; router < 3; ++router) {
        Counter counter = counter_of(rules, 3);
        all += let_on(counter, {0, 0}, 400, 10);
    }
    assert(all >= 3000 && all <= 3000 + 33);
    Counter counter = counter_of(rules, 3);
    assert(let_on(counter, {1, 0}, 400, 10) == 4000); // another customer
}

void a_method_of_a_customer_has_its_own() {
    Entrance rules;
    rules.quotas = {{"acme", "", 100, 100}, {"acme", "book", 10, 10}};
    Counter counter = counter_of(rules);
    assert(let_on(counter, {0, 1}, 100, 5) <= 60);
    Counter other = counter_of(rules);
    assert(let_on(other, {0, 0}, 100, 5) == 500);
    // What the narrow one refuses takes nothing of the wide one.
    Counter both = counter_of(rules);
    int on = 0;
    for (int i = 0; i < 100; ++i) on += both.arrived({0, 1}, 0).by == Held::none;
    for (int i = 0; i < 100; ++i) on += both.arrived({0, 0}, 0).by == Held::none;
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
    Counter counter = counter_of(with_retries());
    int first = 0, again = 0;
    for (int i = 0; i < 2000; ++i) {
        const Ticks now = i * 10LL;
        const auto work = static_cast<std::uint64_t>(i);
        first += counter.arrived({0, 0, work, false}, now).by == Held::none;
        again += counter.arrived({0, 0, work, true}, now).by == Held::none;
    }
    assert(first == 2000);
    assert(again >= 200 && again <= 220); // a tenth, five a second, and what was there
}

void unmarked_retries_are_known_by_their_work() {
    Counter counter = counter_of(with_retries());
    const Ticks back = counter.pushed_back({0, 0, 77}, 0, 0);
    assert(counter.retries() == 0);
    counter.arrived({0, 0, 77}, back);
    assert(counter.retries() == 1);
    counter.arrived({0, 0, 77}, back + 1); // one pushback tells of one retry
    assert(counter.retries() == 1);
    counter.pushed_back({0, 0, 78}, 0, 0);
    counter.arrived({0, 0, 79}, 100);
    counter.arrived({0, 0, 78}, 20000 + 20000 + 20000); // so late it is new
    assert(counter.retries() == 1);
}

// A thousand pushed back at once come back over a time, not in a wave: no tenth of a second sees more than
// half of what is served in it.
void a_herd_comes_back_apart() {
    Counter counter = counter_of(with_retries());
    for (int i = 0; i < 3000; ++i) {
        counter.arrived({0, 0, static_cast<std::uint64_t>(i)}, i * 10LL);
        counter.over(true, i * 10LL);
    }
    std::vector<int> by_tenth(30);
    for (int i = 0; i < 1000; ++i) {
        const Ticks back = counter.pushed_back({0, 0, static_cast<std::uint64_t>(9000 + i)}, 0, 30000);
        assert(back >= 200 && back <= 20000);
        ++by_tenth[static_cast<std::size_t>(back / 1000)];
    }
    for (std::size_t i = 0; i < 19; ++i) assert(by_tenth[i] <= 60); // 1,000 a second are served
    // What the module has told is the least.
    assert(counter.pushed_back({0, 0, 1}, 50000, 30000) == 50000);
}

void lateness_bounds_what_is_under_way() {
    Entrance rules;
    rules.late_aim = 200;
    Counter counter = counter_of(rules);
    Ticks now = 0;
    const auto beat = [&](Ticks unread) {
        counter.lay(unread);
        now += 1000;
    };
    for (int i = 0; i < 100; ++i) assert(counter.arrived({0, 0}, now).by == Held::none);
    beat(100); // in time: nothing is held back
    assert(counter.arrived({0, 0}, now).by == Held::none);
    double before = 101;
    for (int i = 0; i < 5; ++i) {
        beat(500);
        assert(counter.arrived({0, 0}, now).by == Held::late);
        assert(counter.bound() < before);
        before = counter.bound();
    }
    for (int i = 0; i < 50; ++i) {
        beat(5000);
        counter.arrived({0, 0}, now);
    }
    assert(counter.bound() == rules.least_under_way);
    // In time again, with the bound filled: it rises.
    while (static_cast<double>(counter.under_way()) > counter.bound()) counter.over(true, now);
    for (int i = 0; i < 20; ++i) {
        beat(0);
        while (counter.arrived({0, 0}, now).by == Held::none) {
        }
    }
    assert(counter.bound() > rules.least_under_way + 15);
}

void descriptors_are_counted_by_purpose() {
    const auto at = [](Purpose purpose) { return static_cast<std::size_t>(purpose); };
    std::array<Ledger::Part, kPurposes> parts{};
    parts[at(Purpose::clients)] = {0, 90};
    parts[at(Purpose::hosts)] = {20, 80};
    parts[at(Purpose::drains)] = {10, 10};
    Ledger ledger(100, parts);
    while (ledger.take(Purpose::clients)) {
    }
    assert(ledger.taken(Purpose::clients) == 70 && ledger.free() == 30);
    while (ledger.take(Purpose::hosts)) {
    }
    assert(ledger.taken(Purpose::hosts) == 20);
    // A drain needs connections to other hosts just then.
    assert(ledger.room(Purpose::drains) == 10 && ledger.take(Purpose::drains));
    assert(!ledger.move(Purpose::drains, Purpose::clients) && ledger.taken(Purpose::drains) == 1);
    ledger.give_back(Purpose::clients);
    assert(ledger.move(Purpose::drains, Purpose::hosts) && ledger.taken(Purpose::hosts) == 21);
    bool told = false;
    try {
        Ledger(29, parts);
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
