// Tests of the RPC limiter (quotas, retry budget, concurrency limit, retry-after times) and of the descriptor
// budget. Times are ticks.
#undef NDEBUG
#include "admission/descriptor_budget.hpp"
#include "admission/rpc_limiter.hpp"
#include "base/bad_input.hpp"

#include <cassert>
#include <set>

using namespace pineridge;
using namespace pineridge::admission;

namespace {

const std::vector<std::string> kCustomers{"acme", "bern"};
const std::vector<std::string> kMethods{"lookup", "book"};

RpcLimiter make_limiter(const AdmissionSettings &rules, int routers = 1) {
    return RpcLimiter(rules, kCustomers, kMethods, routers, 3);
}

// Offers `per_s` RPCs a second for so many seconds, each finished at once; returns how many are admitted.
int count_admitted(RpcLimiter &limiter, const RpcInfo &rpc, int per_s, int seconds) {
    int admitted = 0;
    for (int i = 0; i < per_s * seconds; ++i) {
        const Ticks now = 10000LL * i / per_s;
        if (limiter.try_admit(rpc, now).reason != PushbackReason::none) continue;
        ++admitted;
        limiter.finished(true, now);
    }
    return admitted;
}

void quota_parts_of_all_routers_add_up() {
    AdmissionSettings rules;
    rules.quotas = {{"acme", "", 300, 30}};
    int admitted = 0;
    for (int router = 0; router < 3; ++router) {
        RpcLimiter limiter = make_limiter(rules, 3);
        admitted += count_admitted(limiter, {0, 0}, 400, 10);
    }
    assert(admitted >= 3000 && admitted <= 3000 + 33);
    RpcLimiter limiter = make_limiter(rules, 3);
    assert(count_admitted(limiter, {1, 0}, 400, 10) == 4000); // another customer, without a quota
}

void a_method_of_a_customer_has_its_own_quota() {
    AdmissionSettings rules;
    rules.quotas = {{"acme", "", 100, 100}, {"acme", "book", 10, 10}};
    RpcLimiter limiter = make_limiter(rules);
    assert(count_admitted(limiter, {0, 1}, 100, 5) <= 60);
    RpcLimiter other_method = make_limiter(rules);
    assert(count_admitted(other_method, {0, 0}, 100, 5) == 500);
    // An RPC that one quota pushes back takes no token of the other.
    RpcLimiter limiter_for_both_methods = make_limiter(rules);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += limiter_for_both_methods.try_admit({0, 1}, 0).reason == PushbackReason::none;
    for (int i = 0; i < 100; ++i)
        admitted += limiter_for_both_methods.try_admit({0, 0}, 0).reason == PushbackReason::none;
    assert(admitted == 100);
}

void an_unknown_customer_is_reported() {
    AdmissionSettings rules;
    rules.quotas = {{"nobody", "", 1, 1}};
    std::string message;
    try {
        make_limiter(rules);
    } catch (const BadInput &error) {
        message = error.what();
    }
    assert(message == "admission.quota.customer: unknown: nobody");
}

AdmissionSettings rules_with_retry_budget() {
    AdmissionSettings rules;
    rules.retry_share = 0.1;
    rules.min_retries_per_s = 5;
    return rules;
}

void marked_retries_have_a_budget() {
    RpcLimiter limiter = make_limiter(rules_with_retry_budget());
    int first_attempts = 0;
    int retries = 0;
    for (int i = 0; i < 2000; ++i) {
        const Ticks now = i * 10LL;
        const auto request_hash = static_cast<std::uint64_t>(i);
        first_attempts += limiter.try_admit({0, 0, request_hash, false}, now).reason == PushbackReason::none;
        retries += limiter.try_admit({0, 0, request_hash, true}, now).reason == PushbackReason::none;
    }
    assert(first_attempts == 2000);
    // A tenth of 2,000 first attempts, five a second for two seconds, and the initial budget.
    assert(retries >= 200 && retries <= 220);
}

void unmarked_retries_are_recognized_by_request_hash() {
    RpcLimiter limiter = make_limiter(rules_with_retry_budget());
    const Ticks retry_after = limiter.schedule_retry({0, 0, 77}, 0, 0);
    assert(limiter.retries() == 0);
    limiter.try_admit({0, 0, 77}, retry_after);
    assert(limiter.retries() == 1);
    limiter.try_admit({0, 0, 77}, retry_after + 1); // one pushback accounts for one retry
    assert(limiter.retries() == 1);
    limiter.schedule_retry({0, 0, 78}, 0, 0);
    limiter.try_admit({0, 0, 79}, 100);
    limiter.try_admit({0, 0, 78}, 20000 + 20000 + 20000); // past the retry window: a first attempt
    assert(limiter.retries() == 1);
}

// A thousand clients that are pushed back at once retry over a period, not together: in each tenth of a
// second come at most about half as many as are served in it.
void simultaneous_pushbacks_retry_at_different_times() {
    RpcLimiter limiter = make_limiter(rules_with_retry_budget());
    for (int i = 0; i < 3000; ++i) {
        limiter.try_admit({0, 0, static_cast<std::uint64_t>(i)}, i * 10LL);
        limiter.finished(true, i * 10LL);
    }
    std::vector<int> retries_by_tenth_of_second(30);
    for (int i = 0; i < 1000; ++i) {
        const Ticks retry_after =
            limiter.schedule_retry({0, 0, static_cast<std::uint64_t>(9000 + i)}, 0, 30000);
        assert(retry_after >= 200 && retry_after <= 20000);
        ++retries_by_tenth_of_second[static_cast<std::size_t>(retry_after / 1000)];
    }
    for (std::size_t i = 0; i < 19; ++i)
        assert(retries_by_tenth_of_second[i] <= 60); // 1,000 a second are served
    // The retry-after time that the module decided is a lower bound.
    assert(limiter.schedule_retry({0, 0, 1}, 50000, 30000) == 50000);
}

void late_reads_limit_rpcs_in_flight() {
    AdmissionSettings rules;
    rules.max_lateness = 200;
    RpcLimiter limiter = make_limiter(rules);
    Ticks now = 0;
    const auto end_interval = [&](Ticks lateness) {
        limiter.record_lateness(lateness);
        now += 1000;
    };
    for (int i = 0; i < 100; ++i) assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::none);
    end_interval(100); // below the target: nothing is pushed back
    assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::none);
    double previous_limit = 101;
    for (int i = 0; i < 5; ++i) {
        end_interval(500);
        assert(limiter.try_admit({0, 0}, now).reason == PushbackReason::lateness);
        assert(limiter.concurrency_limit() < previous_limit);
        previous_limit = limiter.concurrency_limit();
    }
    for (int i = 0; i < 50; ++i) {
        end_interval(5000);
        limiter.try_admit({0, 0}, now);
    }
    assert(limiter.concurrency_limit() == rules.min_in_flight);
    // Reads are timely again and RPCs in flight reach the limit: it is raised.
    while (static_cast<double>(limiter.in_flight()) > limiter.concurrency_limit())
        limiter.finished(true, now);
    for (int i = 0; i < 20; ++i) {
        end_interval(0);
        while (limiter.try_admit({0, 0}, now).reason == PushbackReason::none) {
        }
    }
    assert(limiter.concurrency_limit() > rules.min_in_flight + 15);
}

void descriptors_are_budgeted_by_purpose() {
    const auto index = [](Purpose purpose) { return static_cast<std::size_t>(purpose); };
    std::array<DescriptorBudget::Allotment, kPurposeCount> allotments{};
    allotments[index(Purpose::clients)] = {0, 90};
    allotments[index(Purpose::hosts)] = {20, 80};
    allotments[index(Purpose::drains)] = {10, 10};
    DescriptorBudget budget(100, allotments);
    while (budget.acquire(Purpose::clients)) {
    }
    assert(budget.in_use(Purpose::clients) == 70 && budget.free() == 30);
    while (budget.acquire(Purpose::hosts)) {
    }
    assert(budget.in_use(Purpose::hosts) == 20);
    // While a host drains, connections to other hosts are needed although the shared descriptors are in use.
    assert(budget.available(Purpose::drains) == 10 && budget.acquire(Purpose::drains));
    assert(!budget.reassign(Purpose::drains, Purpose::clients) && budget.in_use(Purpose::drains) == 1);
    budget.release(Purpose::clients);
    assert(budget.reassign(Purpose::drains, Purpose::hosts) && budget.in_use(Purpose::hosts) == 21);
    bool reported = false;
    try {
        DescriptorBudget(29, allotments);
    } catch (const BadInput &error) {
        reported = std::string(error.what()).rfind("limits.sockets: 29", 0) == 0;
    }
    assert(reported);
}

} // namespace

int main() {
    quota_parts_of_all_routers_add_up();
    a_method_of_a_customer_has_its_own_quota();
    an_unknown_customer_is_reported();
    marked_retries_have_a_budget();
    unmarked_retries_are_recognized_by_request_hash();
    simultaneous_pushbacks_retry_at_different_times();
    late_reads_limit_rpcs_in_flight();
    descriptors_are_budgeted_by_purpose();
}
