// The summary of a trial that routers send to each other, and its encoding. Takes no decisions.
#pragma once

#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pineridge {

// Counts of picks, and the log latency of those whose latency is comparable. The log is of ticks; in the
// counts of routers it is relative to the method's baseline latency.
struct PickCounts {
    double picks = 0;
    double failed = 0;
    double timed = 0; // picks included in log_latency_sum
    double log_latency_sum = 0;
    double succeeded() const { return picks - failed; }
    double failure_share() const { return picks > 0 ? failed / picks : 0; }
    double mean_log_latency() const { return timed > 0 ? log_latency_sum / timed : 0; }
    void add(double more_picks, double more_failed) {
        picks += more_picks;
        failed += more_failed;
    }
    void add_latency(double more_timed, double mean) {
        timed += more_timed;
        log_latency_sum += more_timed * mean;
    }
    void add(const PickCounts &other) {
        add(other.picks, other.failed);
        timed += other.timed;
        log_latency_sum += other.log_latency_sum;
    }
};

// What one router, or several together, counted during a trial.
struct TrialSummary {
    Ticks received_at = 0;
    int build = 0;
    double routers = 1; // whose counts it holds
    double with_baseline = 0; // those of them that ran when the trial began
    double first_tries = 0; // per second
    double baseline_first_tries = 0; // per second when the trial began
    PickCounts answers; // answers passed on from the build; failed: flagged as wrong by clients
    std::vector<PickCounts> trial; // picks at the build, by method
    std::vector<PickCounts> earlier; // picks at earlier builds, by method

    // Adds the counts of other routers. Both summaries must be of the same build and number of methods.
    void add(const TrialSummary &other) {
        routers += other.routers;
        with_baseline += other.with_baseline;
        first_tries += other.first_tries;
        baseline_first_tries += other.baseline_first_tries;
        answers.add(other.answers);
        for (std::size_t i = 0; i < trial.size(); ++i) {
            trial[i].add(other.trial[i]);
            earlier[i].add(other.earlier[i]);
        }
    }

    static constexpr char kVersion = 2;
    static constexpr std::size_t kMaxBytes = 256; // peers accept no longer message
    static constexpr double kLogLatencySteps = 32; // encoded steps per unit of log latency

    // Returns the little-endian encoding; an empty string where it would exceed kMaxBytes.
    std::string encode() const {
        std::string bytes{kVersion};
        const auto put = [&](double value, int width) {
            const auto limit = static_cast<double>((1 << 8 * width) - 1);
            auto rounded = static_cast<unsigned>(std::clamp(std::round(value), 0.0, limit));
            for (; width-- > 0; rounded >>= 8) bytes += static_cast<char>(rounded & 255);
        };
        const auto put_log = [&](double value) { put(value * kLogLatencySteps + 128, 1); };
        put(build, 2);
        put(routers, 2);
        put(with_baseline, 2);
        put(first_tries * 10, 3);
        put(baseline_first_tries * 10, 3);
        put(answers.picks, 2);
        put(answers.failed, 1);
        for (const auto *side : {&trial, &earlier})
            for (const PickCounts &counts : *side) {
                put(counts.picks, 2);
                put(counts.failed, 2);
                put(counts.timed, 2);
                put_log(counts.mean_log_latency());
            }
        return bytes.size() <= kMaxBytes ? bytes : "";
    }

    // Returns nothing where the bytes are of another version or another number of methods.
    static std::optional<TrialSummary> decode(const std::string &bytes, std::size_t methods) {
        if (bytes.size() != 16 + methods * 14 || bytes[0] != kVersion) return std::nullopt;
        std::size_t at = 1;
        const auto take = [&](int width) {
            unsigned value = 0;
            for (int i = 0; i < width; ++i) value |= static_cast<unsigned char>(bytes[at++]) << 8 * i;
            return static_cast<double>(value);
        };
        const auto take_log = [&] { return (take(1) - 128) / kLogLatencySteps; };
        TrialSummary summary;
        summary.build = static_cast<int>(take(2));
        summary.routers = std::max(1.0, take(2));
        summary.with_baseline = std::min(summary.routers, take(2));
        summary.first_tries = take(3) / 10;
        summary.baseline_first_tries = take(3) / 10;
        summary.answers.picks = take(2);
        summary.answers.failed = take(1);
        for (auto *side : {&summary.trial, &summary.earlier})
            for (std::size_t i = 0; i < methods; ++i) {
                const double picks = take(2);
                const double failed = std::min(picks, take(2));
                const double timed = take(2);
                side->emplace_back().add(picks, failed);
                side->back().add_latency(timed, take_log());
            }
        return summary;
    }
};

} // namespace pineridge
