// What a router tells its peers of a build on trial, and its bytes. Decides nothing.
#pragma once

#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pineridge {

struct Count {
    double picks = 0;
    double failed = 0;
    double timed = 0; // those that the latency stands on
    double pace = 0; // their log latencies, summed
    double ok() const { return picks - failed; }
    double share() const { return picks > 0 ? failed / picks : 0; }
    double mean_pace() const { return timed > 0 ? pace / timed : 0; }
    void add(double more, double bad) { picks += more, failed += bad; }
    void time(double more, double mean) { timed += more, pace += more * mean; }
    void add(const Count &other) {
        add(other.picks, other.failed);
        timed += other.timed, pace += other.pace;
    }
};

struct Word {
    Ticks at = 0; // when it came
    int build = 0;
    double routers = 1; // whose figures it sums
    double witnesses = 0; // of them, those that saw the trial begin
    double traffic = 0, calm = 0; // first tries a second: now and when the trial began
    Count answers; // passed on from the build; failed: found wrong by clients
    std::vector<Count> trial, before; // by method

    // Of other routers, on the same build and with as many methods.
    void add(const Word &other) {
        routers += other.routers;
        witnesses += other.witnesses;
        traffic += other.traffic, calm += other.calm;
        answers.add(other.answers);
        for (std::size_t i = 0; i < trial.size(); ++i)
            trial[i].add(other.trial[i]), before[i].add(other.before[i]);
    }

    static constexpr char kVersion = 2;
    static constexpr std::size_t kMost = 256; // bytes that peers take
    static constexpr double kScale = 32; // steps of a log latency

    std::string pack() const {
        std::string bytes{kVersion};
        const auto put = [&](double value, int width) {
            const auto limit = static_cast<double>((1 << 8 * width) - 1);
            auto whole = static_cast<unsigned>(std::clamp(std::round(value), 0.0, limit));
            for (; width-- > 0; whole >>= 8) bytes += static_cast<char>(whole & 255);
        };
        const auto put_log = [&](double value) { put(value * kScale + 128, 1); };
        put(build, 2), put(routers, 2), put(witnesses, 2);
        put(traffic * 10, 3), put(calm * 10, 3);
        put(answers.picks, 2), put(answers.failed, 1);
        for (const auto *side : {&trial, &before})
            for (const Count &count : *side) {
                put(count.picks, 2), put(count.failed, 2), put(count.timed, 2);
                put_log(count.mean_pace());
            }
        return bytes.size() <= kMost ? bytes : "";
    }

    // Nothing where the bytes are not of this version or not of so many methods.
    static std::optional<Word> unpack(const std::string &bytes, std::size_t methods) {
        if (bytes.size() != 16 + methods * 14 || bytes[0] != kVersion) return std::nullopt;
        std::size_t at = 1;
        const auto take = [&](int width) {
            unsigned whole = 0;
            for (int i = 0; i < width; ++i) whole |= static_cast<unsigned char>(bytes[at++]) << 8 * i;
            return static_cast<double>(whole);
        };
        const auto take_log = [&] { return (take(1) - 128) / kScale; };
        Word word;
        word.build = static_cast<int>(take(2));
        word.routers = std::max(1.0, take(2));
        word.witnesses = std::min(word.routers, take(2));
        word.traffic = take(3) / 10;
        word.calm = take(3) / 10;
        word.answers.picks = take(2);
        word.answers.failed = take(1);
        for (auto *side : {&word.trial, &word.before})
            for (std::size_t i = 0; i < methods; ++i) {
                const double picks = take(2), failed = std::min(picks, take(2)), timed = take(2);
                side->emplace_back().add(picks, failed);
                side->back().time(timed, take_log());
            }
        return word;
    }
};

} // namespace pineridge
