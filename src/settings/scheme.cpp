#include "settings/scheme.hpp"

#include <deque>
#include <map>

namespace pineridge {

std::string way_back(const std::vector<Need> &needs, const BuildName &build) {
    std::multimap<BuildName, BuildName> on;
    for (const Need &need : needs) on.emplace(need.of, need.on);
    std::map<BuildName, BuildName> from; // each build reached, by the one that needs it
    std::deque<BuildName> next{build};
    while (!next.empty() && !from.count(build)) {
        const BuildName at = next.front();
        next.pop_front();
        const auto [first, last] = on.equal_range(at);
        for (auto need = first; need != last; ++need)
            if (from.emplace(need->second, at).second) next.push_back(need->second);
    }
    if (!from.count(build)) return "";
    std::string text = build.text();
    BuildName at = build;
    do {
        at = from.at(at);
        text = at.text() + " -> " + text;
    } while (at != build);
    return text;
}

} // namespace pineridge
