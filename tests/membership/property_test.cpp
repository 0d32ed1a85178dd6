// Compares the view with a plain model of the registry over random histories: late, lost, repeated and
// reordered updates, paged reads while the list changes, lagging members, broken watches.
#include "membership/view.hpp"

#include <rapidcheck.h>

#include <iostream>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

struct Step {
    int kind, host, variant;
};
std::ostream &operator<<(std::ostream &out, const Step &step) {
    return out << "{" << step.kind << "," << step.host << "," << step.variant << "}";
}

rc::Gen<Step> steps() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 8), rc::gen::inRange(0, 10)),
        [](const auto &t) {
            return Step{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
        });
}

struct Registry {
    std::int64_t revision = 5;
    std::map<std::string, Record> held;
    std::vector<Record> log; // every update, in order
};

void check(bool held, const char *name) {
    if (!held) RC_FAIL(name);
}

void write(Registry &registry, const Step &step) {
    Record record;
    record.key = "h" + std::to_string(step.host);
    record.revision = ++registry.revision;
    if (step.variant < 2) {
        if (!registry.held.erase(record.key)) {
            --registry.revision;
            return;
        }
        record.deleted = true;
    } else if (step.variant == 2) {
        record.error = "spoilt";
        registry.held[record.key] = record;
    } else {
        const HostStatus status = step.variant < 5 ? HostStatus::draining : HostStatus::ready;
        record.member = Member{{record.key, 0, 0, 0, 1, status, 1, registry.revision}, {}};
        registry.held[record.key] = record;
    }
    registry.log.push_back(record);
}

// The hosts as the decision module has them: by id, the status and the start time.
using HostList = std::map<std::string, std::pair<HostStatus, Ticks>>;

void take(View &view, HostList &hosts) {
    while (const auto listing = view.take_listing())
        for (const Member &member : listing->members) {
            if (member.entry.status == HostStatus::gone)
                hosts.erase(member.entry.id);
            else
                hosts[member.entry.id] = {member.entry.status, member.entry.started};
        }
}

void play(const std::vector<Step> &history) {
    ViewRules rules;
    rules.doubt_timeout = 5000;
    View view(rules);
    Registry registry;
    HostList hosts;
    Ticks now = 1000;
    view.set_time(now);
    std::vector<Registry> earlier_states;
    std::optional<Registry> reading; // the state that a read in progress returns
    std::vector<std::string> pages; // keys not yet sent in the read
    bool watching = false;
    std::size_t sent = 0; // entries of the log that the watch has sent
    const auto start_read = [&](const Registry &from) {
        reading = from;
        pages.clear();
        for (const auto &[key, record] : from.held) pages.push_back(key);
        view.begin_read();
    };
    const auto end_read = [&] {
        std::vector<Record> rest;
        for (const std::string &key : pages) rest.push_back(reading->held.at(key));
        view.add_page(rest);
        const std::int64_t rev = reading->revision;
        view.end_read(rev);
        reading.reset();
    };
    std::map<std::string, std::int64_t> drained; // by key: the revision of the drain that was sent
    for (const Step &step : history) {
        if (step.kind < 5) {
            earlier_states.push_back(registry);
            write(registry, step);
        } else if (step.kind == 5 && !reading) {
            const bool lags = step.variant == 0 && earlier_states.size() > 3;
            start_read(lags ? earlier_states[earlier_states.size() - 3] : registry);
        } else if (step.kind == 6 && reading) {
            for (int i = 0; i < 2 && !pages.empty(); ++i) {
                view.add_page({reading->held.at(pages.back())});
                pages.pop_back();
            }
        } else if (step.kind == 7 && reading) {
            end_read();
            const NextAction action = view.take_next_action();
            if (action == NextAction::resume_watch) {
                // The watch starts at the revision of the read.
                watching = true;
                for (sent = 0; sent < registry.log.size() && registry.log[sent].revision <= view.revision();)
                    ++sent;
            }
        } else if (step.kind >= 8 && step.kind <= 9 && watching) {
            for (int i = 0; i <= step.variant && sent < registry.log.size(); ++i, ++sent) {
                const Record &update = registry.log[sent];
                view.apply_change(update);
                if (update.deleted || (update.member && update.member->entry.status == HostStatus::draining))
                    drained[update.key] = update.revision;
                else if (update.member)
                    drained.erase(update.key);
            }
            if (step.variant == 9 && sent > 2) view.apply_change(registry.log[sent - 2]); // repeated late
        } else if (step.kind == 10) {
            view.watch_ended();
            reading.reset();
            watching = false;
        } else {
            view.set_time(now += 100 * step.variant);
        }
        take(view, hosts);
        for (const auto &[key, rev] : drained)
            check(!hosts.count(key) || hosts[key].first != HostStatus::ready || hosts[key].second > rev,
                  "a received drain takes effect at once");
    }
    // After two full reads and the timeouts, the view equals the registry.
    for (int i = 0; i < 2; ++i) {
        if (reading) view.watch_ended();
        start_read(registry);
        end_read();
        view.set_time(now += 10000);
    }
    take(view, hosts);
    for (const auto &[key, record] : registry.held) {
        if (!record.member) continue;
        check(hosts.count(key) == 1, "every host of the registry is in the view");
        check(hosts[key] == std::pair(record.member->entry.status, record.member->entry.started),
              "each host has the status and start time of the registry");
    }
    for (const auto &[key, one] : hosts)
        check(registry.held.count(key) == 1, "the view has no host that the registry lacks");
}

} // namespace

int main() {
    const bool held = rc::check("the view is right over random histories",
                                [] { play(*rc::gen::container<std::vector<Step>>(steps())); });
    return held ? 0 : 1;
}
