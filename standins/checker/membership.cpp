#include "standins/checker/membership.hpp"

#include <algorithm>

namespace pineridge::standins {

namespace {

bool withdraws_host(const SentEvent &event) {
    return event.deleted || event.value.find("\"terminating\"") != std::string::npos;
}

std::string id_of(const std::string &key) { return key.substr(key.rfind('/') + 1); }

} // namespace

std::vector<std::string> late_picks(const std::vector<SentEvent> &sent, const Picks &picks,
                                    std::int64_t grace) {
    struct Period {
        std::int64_t from, to;
    };
    std::map<std::string, std::vector<Period>>
        withdrawn; // by host: from the sending of its withdrawal until the sending of its return
    std::map<std::string, std::int64_t> newest; // revision by key: older events are ignored
    for (const SentEvent &event : sent) {
        if (event.revision <= newest[event.key]) continue;
        newest[event.key] = event.revision;
        std::vector<Period> &periods = withdrawn[id_of(event.key)];
        const bool open = !periods.empty() && periods.back().to < 0;
        if (withdraws_host(event) && !open) periods.push_back({event.sent_at, -1});
        if (!withdraws_host(event) && open)
            periods.back().to = event.send_began_at; // the router may receive it before sent_at
    }
    std::vector<std::string> found;
    for (const PickRecord &pick : picks)
        for (const Period &period : withdrawn[pick.host])
            if (pick.at > period.from + grace && (period.to < 0 || pick.at < period.to))
                found.push_back(pick.host + ": a pick " + std::to_string(pick.at - period.from) +
                                " ms after the host was withdrawn");
    return found;
}

std::vector<std::string> differences(const std::map<std::string, std::string> &registry,
                                     const std::map<std::string, std::string> &view,
                                     const std::vector<std::string> &unreadable) {
    const auto is_unreadable = [&](const std::string &key) {
        return std::find(unreadable.begin(), unreadable.end(), key) != unreadable.end();
    };
    std::vector<std::string> found;
    for (const auto &[key, value] : registry) {
        const auto at = view.find(key);
        if (is_unreadable(key) || (at != view.end() && at->second == value)) continue;
        found.push_back(key + (at == view.end() ? ": not in the view" : ": different in the view"));
    }
    for (const auto &[key, value] : view)
        if (!registry.count(key) && !is_unreadable(key)) found.push_back(key + ": only in the view");
    return found;
}

} // namespace pineridge::standins
