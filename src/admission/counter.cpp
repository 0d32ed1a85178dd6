#include "admission/counter.hpp"

#include "base/bad_input.hpp"

#include <algorithm>

namespace pineridge::admission {

namespace {

int place(const std::vector<std::string> &names, const std::string &name, const char *key) {
    if (name.empty()) return -1;
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) throw BadInput(std::string("admission.quota.") + key + ": unknown: " + name);
    return static_cast<int>(at - names.begin());
}

} // namespace

Counter::Counter(const Counting &rules, const std::vector<std::string> &customers,
                 const std::vector<std::string> &methods, int told_routers, std::uint64_t seed)
    : rules_(rules), dice_{seed} {
    // Each router takes its part, so that all parts add up to the quota without a word between them.
    const double routers = std::max(1, rules.routers > 0 ? rules.routers : told_routers);
    for (const Quota &quota : rules.quotas) {
        Line line{place(customers, quota.customer, "customer"), place(methods, quota.method, "method"),
                  quota.rate / routers, std::max(1.0, quota.burst / routers)};
        line.bucket.level = line.burst;
        lines_.push_back(line);
    }
    if (rules.retry_share > 0) marks_.resize(kSets * kWays);
    retry_budget_.level = rules.retry_least;
}

bool Counter::is_retry(const Wanted &wanted, Ticks now) {
    Mark *const set = set_of(wanted.work);
    Mark *const mark = std::find_if(
        set, set + kWays, [&](const Mark &one) { return one.work == wanted.work && one.until > now; });
    const bool pushed_back = mark != set + kWays;
    if (pushed_back) mark->until = 0; // it tells of one retry
    return wanted.marked || pushed_back;
}

Told Counter::arrived(const Wanted &wanted, Ticks now) {
    adapt(now);
    const auto hold = [&](Held by, Ticks back) {
        ++held_[static_cast<std::size_t>(by)];
        return Told{by, pushed_back(wanted, back, now)};
    };
    if (rules_.retry_share > 0) {
        const double most = std::max(1.0, rules_.retry_least);
        retry_budget_.fill(rules_.retry_least, most, now);
        if (is_retry(wanted, now)) {
            ++retries_;
            if (retry_budget_.level < 1) return hold(Held::retries, kLeastBack);
            --retry_budget_.level;
        } else {
            retry_budget_.level = std::min(most, retry_budget_.level + rules_.retry_share);
        }
    }
    if (rules_.late_aim > 0 && static_cast<double>(under_way_) >= bound_) return hold(Held::late, kLeastBack);
    // All lines that cover it have to have a token; none is taken unless all have.
    for (Line &line : lines_) {
        if (!line.covers(wanted)) continue;
        line.bucket.fill(line.rate, line.burst, now);
        if (line.bucket.level < 1)
            return hold(Held::quota, std::max(kLeastBack, line.bucket.until(line.rate)));
    }
    for (Line &line : lines_)
        if (line.covers(wanted)) --line.bucket.level;
    ++under_way_;
    peak_ = std::max(peak_, under_way_);
    return {};
}

void Counter::over(bool served, Ticks now) {
    --under_way_;
    if (!served) return;
    ++served_;
    if (now - paced_ < kBeat) return;
    const double pace = static_cast<double>(served_) * 10000 / static_cast<double>(now - paced_);
    pace_ = pace_ > 0 ? (pace_ + pace) / 2 : pace;
    served_ = 0;
    paced_ = now;
}

Ticks Counter::pushed_back(const Wanted &wanted, Ticks told, Ticks now) {
    const double pace = std::max(kLeastPace, pace_ * kComeBack);
    const auto step = static_cast<Ticks>(10000 / pace);
    turn_ = std::min(std::max(turn_, now) + step, now + kMostBack);
    const Ticks least = std::max({told, kLeastBack, turn_ - now});
    const Ticks back =
        std::min(kMostBack, least + static_cast<Ticks>(static_cast<double>(least) / 4 * dice_.unit()));
    if (!marks_.empty()) {
        Mark *const set = set_of(wanted.work);
        Mark *const oldest = std::min_element(set, set + kWays,
                                              [](const Mark &a, const Mark &b) { return a.until < b.until; });
        *oldest = {wanted.work, now + back + rules_.retry_window};
    }
    return std::max(back, told);
}

void Counter::lay(Ticks unread) { worst_ = std::max(worst_, unread); }

// Lateness says that more comes in than this router gets done: the bound falls to what was under way, and
// below, until what is read is fresh again. It rises only where it is what held RPCs back.
void Counter::adapt(Ticks now) {
    if (rules_.late_aim <= 0 || now - adapted_ < kBeat) return;
    const auto peak = static_cast<double>(peak_);
    if (worst_ > rules_.late_aim)
        bound_ = std::max<double>(rules_.least_under_way, std::min(bound_, std::max(peak, 1.0)) * kCut);
    else if (peak >= bound_ - 1)
        bound_ = std::min(kMostUnderWay, bound_ + std::max(1.0, bound_ * kGrow));
    worst_ = 0;
    peak_ = under_way_;
    adapted_ = now;
}

} // namespace pineridge::admission
