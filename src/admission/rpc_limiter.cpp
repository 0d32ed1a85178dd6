#include "admission/rpc_limiter.hpp"

#include "base/bad_input.hpp"

#include <algorithm>

namespace pineridge::admission {

namespace {

// Returns the index of `name`, or -1 where it is empty.
int index_of(const std::vector<std::string> &names, const std::string &name, const char *key) {
    if (name.empty()) return -1;
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) throw BadInput(std::string("admission.quota.") + key + ": unknown: " + name);
    return static_cast<int>(found - names.begin());
}

} // namespace

RpcLimiter::RpcLimiter(const RpcLimitSettings &rules, const std::vector<std::string> &customers,
                       const std::vector<std::string> &methods, int deployed_routers, std::uint64_t seed)
    : rules_(rules), random_{seed} {
    // Each router enforces an equal part of a quota, so that the parts add up to it without any exchange
    // between routers.
    const double routers = std::max(1, rules.routers > 0 ? rules.routers : deployed_routers);
    for (const Quota &quota : rules.quotas) {
        QuotaBucket quota_bucket{index_of(customers, quota.customer, "customer"),
                                 index_of(methods, quota.method, "method"), quota.rpcs_per_s / routers,
                                 std::max(1.0, quota.burst / routers)};
        quota_bucket.bucket.tokens = quota_bucket.burst;
        quota_buckets_.push_back(quota_bucket);
    }
    if (rules.retry_share > 0) recent_pushbacks_.resize(kPushbackSets * kPushbackWays);
    retry_budget_.tokens = rules.min_retries_per_s;
}

bool RpcLimiter::is_retry(const RpcInfo &rpc, Ticks now) {
    RecentPushback *const set = pushback_set(rpc.request_hash);
    RecentPushback *const found = std::find_if(set, set + kPushbackWays, [&](const RecentPushback &pushback) {
        return pushback.request_hash == rpc.request_hash && pushback.expires_at > now;
    });
    const bool pushed_back = found != set + kPushbackWays;
    if (pushed_back) found->expires_at = 0; // one pushback accounts for one retry
    return rpc.marked_retry || pushed_back;
}

RpcDecision RpcLimiter::try_admit(const RpcInfo &rpc, Ticks now) {
    update_concurrency_limit(now);
    const auto push_back = [&](PushbackReason reason, Ticks min_retry_after) {
        ++pushbacks_[static_cast<std::size_t>(reason)];
        return RpcDecision{reason, schedule_retry(rpc, min_retry_after, now)};
    };
    if (rules_.retry_share > 0) {
        const double max_budget = std::max(1.0, rules_.min_retries_per_s);
        retry_budget_.refill(rules_.min_retries_per_s, max_budget, now);
        if (is_retry(rpc, now)) {
            ++retries_;
            if (retry_budget_.tokens < 1) return push_back(PushbackReason::retry_budget, kMinRetryAfter);
            --retry_budget_.tokens;
        } else {
            retry_budget_.tokens = std::min(max_budget, retry_budget_.tokens + rules_.retry_share);
        }
    }
    if (rules_.max_lateness > 0 && static_cast<double>(in_flight_) >= concurrency_limit_)
        return push_back(PushbackReason::lateness, kMinRetryAfter);
    // Every quota that covers the RPC needs a token; none is taken unless all have one.
    for (QuotaBucket &quota : quota_buckets_) {
        if (!quota.covers(rpc)) continue;
        quota.bucket.refill(quota.rate, quota.burst, now);
        if (quota.bucket.tokens < 1)
            return push_back(PushbackReason::quota,
                             std::max(kMinRetryAfter, quota.bucket.ticks_until_token(quota.rate)));
    }
    for (QuotaBucket &quota : quota_buckets_)
        if (quota.covers(rpc)) --quota.bucket.tokens;
    ++in_flight_;
    peak_in_flight_ = std::max(peak_in_flight_, in_flight_);
    return {};
}

void RpcLimiter::finished(bool served, Ticks now) {
    --in_flight_;
    if (!served) return;
    ++served_;
    if (now - rate_updated_at_ < kUpdateInterval) return;
    const double rate = static_cast<double>(served_) * 10000 / static_cast<double>(now - rate_updated_at_);
    served_per_s_ = served_per_s_ > 0 ? (served_per_s_ + rate) / 2 : rate;
    served_ = 0;
    rate_updated_at_ = now;
}

Ticks RpcLimiter::schedule_retry(const RpcInfo &rpc, Ticks min_retry_after, Ticks now) {
    const double retry_rate = std::max(kMinRetryRate, served_per_s_ * kRetryRateShare);
    const auto interval = static_cast<Ticks>(10000 / retry_rate);
    last_retry_at_ = std::min(std::max(last_retry_at_, now) + interval, now + kMaxRetryAfter);
    const Ticks earliest = std::max({min_retry_after, kMinRetryAfter, last_retry_at_ - now});
    // Up to a quarter is added at random, so that retries do not arrive in step.
    const Ticks retry_after = std::min(
        kMaxRetryAfter, earliest + static_cast<Ticks>(static_cast<double>(earliest) / 4 * random_.uniform()));
    if (!recent_pushbacks_.empty()) {
        RecentPushback *const set = pushback_set(rpc.request_hash);
        RecentPushback *const oldest =
            std::min_element(set, set + kPushbackWays, [](const RecentPushback &a, const RecentPushback &b) {
                return a.expires_at < b.expires_at;
            });
        *oldest = {rpc.request_hash, now + retry_after + rules_.retry_window};
    }
    return std::max(retry_after, min_retry_after);
}

void RpcLimiter::record_lateness(Ticks lateness) { peak_lateness_ = std::max(peak_lateness_, lateness); }

// Late reads mean that more RPCs arrive than this router can handle: the limit is cut below the number
// recently in flight, again in each interval until reads are timely. It is raised only where RPCs in flight
// reached it in the last interval.
void RpcLimiter::update_concurrency_limit(Ticks now) {
    if (rules_.max_lateness <= 0 || now - limit_updated_at_ < kUpdateInterval) return;
    const auto peak = static_cast<double>(peak_in_flight_);
    if (peak_lateness_ > rules_.max_lateness)
        concurrency_limit_ = std::max<double>(
            rules_.min_in_flight, std::min(concurrency_limit_, std::max(peak, 1.0)) * kLimitDecrease);
    else if (peak >= concurrency_limit_ - 1)
        concurrency_limit_ = std::min(
            kMaxConcurrencyLimit, concurrency_limit_ + std::max(1.0, concurrency_limit_ * kLimitIncrease));
    peak_lateness_ = 0;
    peak_in_flight_ = in_flight_;
    limit_updated_at_ = now;
}

} // namespace pineridge::admission
