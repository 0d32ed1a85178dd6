// Random histories of the view against a plain model of the registry: words late, lost, repeated and
// crossing, reads in pages while the list changes, members that lag, breaks, compactions.
#include "membership/view.hpp"

#include <rapidcheck.h>

#include <iostream>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

struct Move {
    int kind, host, way;
};
std::ostream &operator<<(std::ostream &out, const Move &move) {
    return out << "{" << move.kind << "," << move.host << "," << move.way << "}";
}

rc::Gen<Move> moves() {
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 8), rc::gen::inRange(0, 10)),
        [](const auto &t) {
            return Move{std::get<0>(t), std::get<1>(t), std::get<2>(t)};
        });
}

struct Registry {
    std::int64_t rev = 5;
    std::map<std::string, Record> held;
    std::vector<Record> log; // every word, in order
};

void hold(bool held, const char *name) {
    if (!held) RC_FAIL(name);
}

void write(Registry &registry, const Move &move) {
    Record record;
    record.key = "h" + std::to_string(move.host);
    record.revision = ++registry.rev;
    if (move.way < 2) {
        if (!registry.held.erase(record.key)) {
            --registry.rev;
            return;
        }
        record.deleted = true;
    } else if (move.way == 2) {
        record.error = "spoilt";
        registry.held[record.key] = record;
    } else {
        const HostStatus standing = move.way < 5 ? HostStatus::draining : HostStatus::ready;
        record.member = Member{{record.key, 0, 0, 0, 1, standing, 1, registry.rev}, {}};
        registry.held[record.key] = record;
    }
    registry.log.push_back(record);
}

// What the module holds: by id, the standing and the start.
using Module = std::map<std::string, std::pair<HostStatus, Ticks>>;

void take(View &view, Module &module) {
    while (const auto listing = view.take_listing())
        for (const Member &member : listing->members) {
            if (member.entry.status == HostStatus::gone)
                module.erase(member.entry.id);
            else
                module[member.entry.id] = {member.entry.status, member.entry.started};
        }
}

void play(const std::vector<Move> &history) {
    ViewRules rules;
    rules.doubt_timeout = 5000;
    View view(rules);
    Registry registry;
    Module module;
    Ticks now = 1000;
    view.set_time(now);
    std::vector<Registry> past;
    std::optional<Registry> reading; // a read in pages goes on at this state
    std::vector<std::string> pages; // keys still to be told
    bool watching = false;
    std::size_t told = 0; // of the log, by the watch
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
        const std::int64_t rev = reading->rev;
        view.end_read(rev);
        reading.reset();
    };
    std::map<std::string, std::int64_t>
        drained; // by key: the revision at which a word of its drain was given over
    for (const Move &move : history) {
        if (move.kind < 5) {
            past.push_back(registry);
            write(registry, move);
        } else if (move.kind == 5 && !reading) {
            const bool lags = move.way == 0 && past.size() > 3;
            start_read(lags ? past[past.size() - 3] : registry);
        } else if (move.kind == 6 && reading) {
            for (int i = 0; i < 2 && !pages.empty(); ++i) {
                view.add_page({reading->held.at(pages.back())});
                pages.pop_back();
            }
        } else if (move.kind == 7 && reading) {
            end_read();
            const NextAction action = view.take_next_action();
            if (action == NextAction::resume_watch) {
                // The watch begins where the read ended.
                watching = true;
                for (told = 0; told < registry.log.size() && registry.log[told].revision <= view.revision();)
                    ++told;
            }
        } else if (move.kind >= 8 && move.kind <= 9 && watching) {
            for (int i = 0; i <= move.way && told < registry.log.size(); ++i, ++told) {
                const Record &word = registry.log[told];
                view.apply_change(word);
                if (word.deleted || (word.member && word.member->entry.status == HostStatus::draining))
                    drained[word.key] = word.revision;
                else if (word.member)
                    drained.erase(word.key);
            }
            if (move.way == 9 && told > 2) view.apply_change(registry.log[told - 2]); // once more, late
        } else if (move.kind == 10) {
            view.watch_ended();
            reading.reset();
            watching = false;
        } else {
            view.set_time(now += 100 * move.way);
        }
        take(view, module);
        for (const auto &[key, rev] : drained)
            hold(!module.count(key) || module[key].first != HostStatus::ready || module[key].second > rev,
                 "a drain that was told is honoured at once");
    }
    // In the end a whole read, twice, and all time: the view equals the registry.
    for (int i = 0; i < 2; ++i) {
        if (reading) view.watch_ended();
        start_read(registry);
        end_read();
        view.set_time(now += 10000);
    }
    take(view, module);
    for (const auto &[key, record] : registry.held) {
        if (!record.member) continue;
        hold(module.count(key) == 1, "every host of the registry is in the view");
        hold(module[key] == std::pair(record.member->entry.status, record.member->entry.started),
             "as the registry has it");
    }
    for (const auto &[key, one] : module)
        hold(registry.held.count(key) == 1, "no host that the registry has not");
}

} // namespace

int main() {
    const bool held = rc::check("the view is right over random histories",
                                [] { play(*rc::gen::container<std::vector<Move>>(moves())); });
    return held ? 0 : 1;
}
