#include "simhost/reader.hpp"
#include "simhost/writer.hpp"
#include "terms/terms.hpp"

#include <algorithm>

namespace pineridge::simhost {

namespace {

std::vector<double> report(const json &event) {
    return has(event, "gauge") ? numbers(event, "gauge") : std::vector<double>{};
}

Outcome outcome(const json &from) {
    return word<Outcome>(from, "verdict",
                         {{"pass", Outcome::ok},
                          {"fault", Outcome::error},
                          {"no_room", Outcome::host_busy},
                          {"too_slow", Outcome::timed_out},
                          {"no_route", Outcome::connect_failed},
                          {"cut", Outcome::connection_lost},
                          {"undone", Outcome::cancelled},
                          {"stale_send", Outcome::not_sent}});
}

HostEntry read_entry(const json &from) {
    HostEntry entry{};
    entry.id = text(from, "host");
    entry.zone = whole(from, "locality");
    entry.kind = whole(from, "kind");
    entry.cell = whole(from, "cell");
    entry.build = whole(from, "release");
    const int standing = whole(from, "stageState");
    if (standing < 1 || standing > 3) wrong("stageState", "out of range");
    entry.status = static_cast<HostStatus>(standing);
    entry.rating = number(from, "rating");
    entry.started = has(from, "readyAt") ? ticks(from, "readyAt") : 0;
    return entry;
}

Arrival read_arrival(const json &from) {
    Arrival arrival{};
    arrival.id = text(from, "tid");
    arrival.method = whole(from, "service");
    arrival.tenant = has(from, "org") ? whole(from, "org") : 0;
    arrival.key = has(from, "entity") ? text(from, "entity") : "";
    arrival.deadline = ticks(from, "deadline");
    arrival.retry = mark(from, "retry");
    if (has(from, "sizeHint")) arrival.size_hint = ticks(from, "sizeHint");
    return arrival;
}

RolloutUpdate read_news(const json &from) {
    RolloutUpdate news{};
    news.valid = outcome(from) == Outcome::ok;
    news.answers_vote = whole(from, "reason") == 1;
    if (!news.valid) return news;
    news.build = whole(from, "image");
    news.stage = whole(from, "stage");
    news.phase = static_cast<Phase>(place(from, "whereAt", 4));
    news.cap = number(from, "ceiling");
    news.age = has(from, "old") ? ticks(from, "old") : 0;
    return news;
}

std::string bytes(const json &from, const char *field) {
    const std::string hex = text(from, field);
    const auto digit = [&](char c) {
        if (c >= '0' && c <= '9') return c - '0';
        if (c >= 'a' && c <= 'f') return c - 'a' + 10;
        if (c >= 'A' && c <= 'F') return c - 'A' + 10;
        wrong(field, "not hex digits");
    };
    if (hex.size() % 2) wrong(field, "not hex digits");
    std::string read;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        read += static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1]));
    return read;
}

} // namespace

void Reader::take(const json &event, Ticks now, std::vector<std::string> &touched) {
    const std::string cmd = text(event, "cmd");
    if (cmd == "POOL") {
        std::vector<HostEntry> entries;
        for (const json &item : list(event, "items")) entries.push_back(read_entry(item));
        sheets_[place(event, "sheet", sheets_.size())] = std::move(entries);
        return;
    }
    const std::string who = text(event, "who");
    if (cmd == "DETACH") {
        routers_.erase(who);
        return;
    }
    if (std::find(touched.begin(), touched.end(), who) == touched.end()) touched.push_back(who);
    if (cmd == "SPAWN") {
        const json &seed = need(event, "rngSeed");
        if (!seed.is_number_integer()) wrong("rngSeed", "not a whole number");
        routers_[who] = make_router(read_terms(need(event, "profileData")), seed.get<std::uint64_t>());
        routers_[who]->set_time(now);
        return;
    }
    const auto at = routers_.find(who);
    if (at == routers_.end()) wrong("who", "an instance that has not started");
    Router &router = *at->second;
    router.set_time(now);
    if (cmd == "DEADLINE_HIT") return;
    if (cmd == "ARRIVAL") return router.rpc_arrived(read_arrival(event));
    if (cmd == "REPORT_BACK")
        return router.pick_ended(text(event, "tid"), whole(event, "leg"), outcome(event),
                                 ticks(event, "latency"), mark(event, "complete"), report(event));
    if (cmd == "ENDPOINTS") {
        const int kind = whole(event, "kind");
        if (kind == 3) return router.host_list_failed(-1);
        if (kind < 0 || kind > 3) wrong("kind", "out of range");
        return router.update_hosts(sheets_[place(event, "sheet", sheets_.size())], kind != 0);
    }
    if (cmd == "EXPIRED") return router.rpc_finished(text(event, "tid"), -1);
    if (cmd == "STEP_NEWS") return router.update_rollout(read_news(event));
    if (cmd == "TALLY")
        return router.add_platform_stats({whole(event, "image"), whole(event, "service"),
                                          whole(event, "many"), whole(event, "errors"), ticks(event, "old"),
                                          has(event, "latency") ? number(event, "latency") : 0});
    if (cmd == "FLAGGED") return router.answer_flagged(text(event, "host"), ticks(event, "old"));
    if (cmd == "FLOWING") return router.rpc_finished(text(event, "tid"), whole(event, "leg"));
    if (cmd == "WHISPER") return router.receive_summary(whole(event, "author"), bytes(event, "blob"));
    if (cmd == "PONG") return static_cast<void>(text(event, "host")); // the module asks for no probes
    wrong("cmd", ("unknown event " + cmd).c_str());
}

std::string Reader::reply(const std::string &line) {
    const json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded()) throw BadInput("a line that is not JSON");
    if (!batch.is_object()) throw BadInput("a line that is not an object");
    const std::string frame = has(batch, "frame") ? batch["frame"].dump() : "?";
    std::vector<std::string> touched;
    json actions = json::array();
    try {
        if (!need(batch, "frame").is_number_integer()) wrong("frame", "not a whole number");
        const Ticks now = ticks(batch, "clock");
        for (const json &event : list(batch, "events")) take(event, now, touched);
        for (const std::string &who : touched) {
            const auto at = routers_.find(who);
            if (at == routers_.end()) continue;
            for (Decision d = at->second->next_decision(); d.action != Action::none;
                 d = at->second->next_decision())
                actions.push_back(action(who, d));
        }
    } catch (const std::out_of_range &) {
        throw BadInput(std::string("frame ").append(frame).append(": service or org: beyond the settings"));
    } catch (const BadInput &bad) {
        throw BadInput(std::string("frame ").append(frame).append(": ").append(bad.what()));
    }
    return json{{"frame", batch["frame"]}, {"actions", std::move(actions)}}.dump();
}

} // namespace pineridge::simhost
