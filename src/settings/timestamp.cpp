#include "settings/read.hpp"

#include <chrono>
#include <cmath>
#include <cstdio>

namespace pineridge {

Ticks read_timestamp(const std::string &text, const std::string &key) {
    int year, month, day, hour, minute, consumed = 0;
    double second;
    const auto fail = [&](const char *fault) { throw BadInput(key + ": " + fault + ": " + text); };
    if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%lf%n", &year, &month, &day, &hour, &minute, &second,
                    &consumed) != 6)
        fail("not a time like 2026-12-24T18:00:00+01:00");
    const std::string zone = text.substr(static_cast<std::size_t>(consumed));
    int offset_minutes = 0;
    if (zone != "Z") {
        int hours, minutes;
        char sign;
        if (zone.size() != 6 || std::sscanf(zone.c_str(), "%c%2d:%2d", &sign, &hours, &minutes) != 3 ||
            (sign != '+' && sign != '-') || hours > 14 || minutes > 59)
            fail("no time zone offset");
        offset_minutes = (sign == '-' ? -1 : 1) * (hours * 60 + minutes);
    }
    const std::chrono::year_month_day date{std::chrono::year(year),
                                           std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(day))};
    if (!date.ok() || hour > 24 || minute > 59 || hour < 0 || minute < 0 || second < 0 || second >= 60)
        fail("not a valid time");
    const auto days = std::chrono::sys_days(date).time_since_epoch().count();
    const double second_of_day = (hour * 60.0 + minute - offset_minutes) * 60 + second;
    return static_cast<Ticks>(days) * 864000000 + std::llround(second_of_day * 10000);
}

} // namespace pineridge
