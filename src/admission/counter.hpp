// Which RPCs that have come in go on to the module, and which are pushed back at once, before any pick:
// beyond a quota, beyond what retries may take, or beyond what this router gets read in time. It narrows what
// the module is asked and never widens it. Told of RPCs, pushbacks, answers and lateness, and of the time.
#pragma once

#include "admission/bucket.hpp"
#include "chance.hpp"
#include "settings/entrance.hpp"

#include <array>
#include <string>

namespace pineridge::admission {

enum class Held { none, quota, retries, late };

struct Told {
    Held by = Held::none;
    Ticks back = 0; // time to come back in
};

// What is asked: places of customer and method in the names given, and what tells one piece of work apart.
struct Wanted {
    int customer = 0, method = 0;
    std::uint64_t work = 0; // hash of key and method
    bool marked = false; // as a retry, by its client
};

class Counter {
  public:
    // `told_routers` share a quota, where the rules name none. Throws BadInput naming a customer or a method
    // that is not among the names.
    Counter(const Counting &rules, const std::vector<std::string> &customers,
            const std::vector<std::string> &methods, int told_routers, std::uint64_t seed);

    Told arrived(const Wanted &wanted, Ticks now); // let on, it is under way until `over`
    void over(bool served, Ticks now);
    // A pushback is about to go out, by the module or from here: the time to come back, `told` at least.
    // Those that are pushed back together come back one after the other, at the pace at which RPCs are
    // served.
    Ticks pushed_back(const Wanted &wanted, Ticks told, Ticks now);
    void lay(Ticks unread); // how long a command had lain unread when it was read

    double bound() const { return bound_; } // RPCs under way
    std::size_t under_way() const { return under_way_; }
    std::uint64_t held(Held by) const { return held_[static_cast<std::size_t>(by)]; }
    std::uint64_t retries() const { return retries_; }

  private:
    struct Line { // one quota
        int customer = -1, method = -1; // below 0: all
        double rate = 0, burst = 0; // of this router
        Bucket bucket{};
        bool covers(const Wanted &wanted) const {
            return (customer < 0 || customer == wanted.customer) && (method < 0 || method == wanted.method);
        }
    };
    // Work pushed back of late, a fixed number: in each set the oldest makes way.
    struct Mark {
        std::uint64_t work = 0;
        Ticks until = 0;
    };
    static constexpr std::size_t kSets = 4096, kWays = 4;

    Mark *set_of(std::uint64_t work) { return &marks_[work % kSets * kWays]; }
    bool is_retry(const Wanted &wanted, Ticks now);
    void adapt(Ticks now);

    Counting rules_;
    std::vector<Line> lines_;
    std::vector<Mark> marks_;
    Bucket retry_budget_{};
    double bound_ = kMostUnderWay;
    std::size_t under_way_ = 0, peak_ = 0;
    Ticks worst_ = 0, adapted_ = 0; // lateness since
    double pace_ = 0; // RPCs served a second, smoothed
    std::size_t served_ = 0;
    Ticks paced_ = 0, turn_ = 0; // when the next one pushed back may come
    std::array<std::uint64_t, 4> held_{};
    std::uint64_t retries_ = 0;
    Pcg dice_;

    static constexpr double kMostUnderWay = 1e6;
    static constexpr Ticks kBeat = 1000; // between changes of the bound: a few round trips
    static constexpr double kCut = 0.85, kGrow = 0.05; // a late beat, a beat in time that filled the bound
    static constexpr Ticks kLeastBack = 200, kMostBack = 20000; // a client that waits longer has gone
    static constexpr double kLeastPace = 50; // a second: nothing served yet is no reason to wait for ever
    // Of the pace, what may come back: the rest is for first tries.
    static constexpr double kComeBack = 0.5;
};

} // namespace pineridge::admission
