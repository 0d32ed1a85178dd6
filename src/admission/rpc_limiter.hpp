// Decides which received RPCs are forwarded to the decision module and which are pushed back at once, before
// any pick: those over a quota, retries over the retry budget, and those that exceed the concurrency limit
// while the router reads its clients' commands late. It only ever reduces what the module is asked.
//
// The caller reports RPCs, pushbacks, final answers and lateness, each with the current time in ticks
// (tenths of a millisecond). No call blocks. Not thread-safe.
#pragma once

#include "admission/token_bucket.hpp"
#include "random.hpp"
#include "settings/admission.hpp"

#include <array>
#include <string>

namespace pineridge::admission {

enum class PushbackReason { none, quota, retry_budget, lateness };

struct RpcDecision {
    PushbackReason reason = PushbackReason::none;
    Ticks retry_after = 0; // how long the client is to wait before it retries
};

// What the limiter needs to know about an RPC. Customer and method are indices into the names that the
// constructor received.
struct RpcInfo {
    int customer = 0;
    int method = 0;
    std::uint64_t request_hash = 0; // of key and method; a retry has the hash of its first attempt
    bool marked_retry = false; // the client marked it as a retry
};

class RpcLimiter {
  public:
    // Quotas are divided by the number of routers in `rules`, or by `deployed_routers` where `rules` has
    // none. Throws BadInput that names a quota's customer or method missing from `customers` or `methods`.
    RpcLimiter(const RpcLimitSettings &rules, const std::vector<std::string> &customers,
               const std::vector<std::string> &methods, int deployed_routers, std::uint64_t seed);

    // An admitted RPC is in flight until `finished` is called for it.
    RpcDecision try_admit(const RpcInfo &rpc, Ticks now);
    // `served`: whether it was answered with a value.
    void finished(bool served, Ticks now);
    // Returns the retry-after time for an RPC that the module or this limiter pushes back; it is at least
    // `min_retry_after`. Clients that are pushed back together get times one after the other, at a rate
    // derived from the rate at which RPCs are served.
    Ticks schedule_retry(const RpcInfo &rpc, Ticks min_retry_after, Ticks now);
    // Records how long a command had lain in the socket's receive buffer when it was read.
    void record_lateness(Ticks lateness);

    double concurrency_limit() const { return concurrency_limit_; } // RPCs in flight
    std::size_t in_flight() const { return in_flight_; }
    std::uint64_t pushbacks(PushbackReason reason) const {
        return pushbacks_[static_cast<std::size_t>(reason)];
    }
    std::uint64_t retries() const { return retries_; }

  private:
    struct QuotaBucket {
        int customer = -1; // below 0: all customers
        int method = -1; // below 0: all methods
        double rate = 0; // RPCs a second, this router's part of the quota
        double burst = 0;
        TokenBucket bucket{};
        bool covers(const RpcInfo &rpc) const {
            return (customer < 0 || customer == rpc.customer) && (method < 0 || method == rpc.method);
        }
    };
    // A request that was pushed back recently: its next arrival counts as a retry. They are kept in a
    // set-associative table of fixed size; a new entry replaces the one of its set that expires first.
    struct RecentPushback {
        std::uint64_t request_hash = 0;
        Ticks expires_at = 0;
    };
    static constexpr std::size_t kPushbackSets = 4096;
    static constexpr std::size_t kPushbackWays = 4; // entries in each set

    RecentPushback *pushback_set(std::uint64_t request_hash) {
        return &recent_pushbacks_[request_hash % kPushbackSets * kPushbackWays];
    }
    bool is_retry(const RpcInfo &rpc, Ticks now);
    void update_concurrency_limit(Ticks now);

    RpcLimitSettings rules_;
    std::vector<QuotaBucket> quota_buckets_;
    std::vector<RecentPushback> recent_pushbacks_; // empty without a retry budget
    TokenBucket retry_budget_{};
    double concurrency_limit_ = kMaxConcurrencyLimit;
    std::size_t in_flight_ = 0;
    std::size_t peak_in_flight_ = 0; // since the concurrency limit was last updated
    Ticks peak_lateness_ = 0; // since the concurrency limit was last updated
    Ticks limit_updated_at_ = 0;
    double served_per_s_ = 0; // smoothed
    std::size_t served_ = 0; // since the rate was last updated
    Ticks rate_updated_at_ = 0;
    Ticks last_retry_at_ = 0; // the retry time scheduled last, before jitter
    std::array<std::uint64_t, 4> pushbacks_{}; // by PushbackReason
    std::uint64_t retries_ = 0;
    Pcg32 random_;

    static constexpr double kMaxConcurrencyLimit = 1e6;
    // Minimum time between two updates of the concurrency limit, and of the served rate: a few round trips.
    static constexpr Ticks kUpdateInterval = 1000;
    // Factor applied after an interval with late reads.
    static constexpr double kLimitDecrease = 0.85;
    // Part of the limit that is added after an interval with timely reads in which the limit was reached.
    static constexpr double kLimitIncrease = 0.05;
    static constexpr Ticks kMinRetryAfter = 200;
    static constexpr Ticks kMaxRetryAfter = 20000; // clients that are told a longer wait give up
    // Retries a second that are scheduled at least, so that the wait is bounded before anything is served.
    static constexpr double kMinRetryRate = 50;
    // Part of the served rate that is scheduled for retries; the rest is kept for first attempts.
    static constexpr double kRetryRateShare = 0.5;
};

} // namespace pineridge::admission
