#include "settings/release.hpp"

#include <deque>
#include <map>

namespace pineridge {

// A breadth-first search over the dependencies, which ends when it returns to the build.
std::string dependency_cycle(const std::vector<Dependency> &dependencies, const BuildName &build) {
    std::multimap<BuildName, BuildName> required_by_dependent;
    for (const Dependency &dependency : dependencies)
        required_by_dependent.emplace(dependency.dependent, dependency.required);
    std::map<BuildName, BuildName> reached_from; // each reached build, and a build that depends on it
    std::deque<BuildName> queue{build};
    while (!queue.empty() && !reached_from.count(build)) {
        const BuildName current = queue.front();
        queue.pop_front();
        const auto [first, last] = required_by_dependent.equal_range(current);
        for (auto required = first; required != last; ++required)
            if (reached_from.emplace(required->second, current).second) queue.push_back(required->second);
    }
    if (!reached_from.count(build)) return "";
    std::string text = build.text();
    BuildName current = build;
    do {
        current = reached_from.at(current);
        text = current.text() + " -> " + text;
    } while (current != build);
    return text;
}

} // namespace pineridge
