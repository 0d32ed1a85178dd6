#include "simhost/reader.hpp"
#include "simhost/writer.hpp"
#include "terms/deployment_config.hpp"

#include <algorithm>

namespace pineridge::simhost {

namespace {

std::vector<double> read_report(const json &event) {
    return has_field(event, "gauge") ? read_numbers(event, "gauge") : std::vector<double>{};
}

Outcome read_outcome(const json &object) {
    return read_enum<Outcome>(object, "verdict",
                              {{"pass", Outcome::ok},
                               {"fault", Outcome::error},
                               {"no_room", Outcome::host_busy},
                               {"too_slow", Outcome::timed_out},
                               {"no_route", Outcome::connect_failed},
                               {"cut", Outcome::connection_lost},
                               {"undone", Outcome::cancelled},
                               {"stale_send", Outcome::not_sent}});
}

HostEntry read_entry(const json &object) {
    HostEntry entry{};
    entry.id = read_string(object, "host");
    entry.zone = read_int(object, "locality");
    entry.kind = read_int(object, "kind");
    entry.cell = read_int(object, "cell");
    entry.build = read_int(object, "release");
    const int status = read_int(object, "stageState");
    if (status < 1 || status > 3) throw_field_error("stageState", "out of range");
    entry.status = static_cast<HostStatus>(status);
    entry.rating = read_number(object, "rating");
    entry.started = has_field(object, "readyAt") ? read_ticks(object, "readyAt") : 0;
    return entry;
}

Arrival read_arrival(const json &object) {
    Arrival arrival{};
    arrival.id = read_string(object, "tid");
    arrival.method = read_int(object, "service");
    arrival.tenant = has_field(object, "org") ? read_int(object, "org") : 0;
    arrival.key = has_field(object, "entity") ? read_string(object, "entity") : "";
    arrival.deadline = read_ticks(object, "deadline");
    arrival.retry = read_optional_bool(object, "retry");
    if (has_field(object, "sizeHint")) arrival.size_hint = read_ticks(object, "sizeHint");
    return arrival;
}

RolloutUpdate read_rollout_update(const json &object) {
    RolloutUpdate update{};
    update.valid = read_outcome(object) == Outcome::ok;
    update.answers_vote = read_int(object, "reason") == 1;
    if (!update.valid) return update;
    update.build = read_int(object, "image");
    update.stage = read_int(object, "stage");
    update.phase = static_cast<Phase>(read_index(object, "whereAt", 4));
    update.cap = read_number(object, "ceiling");
    update.age = has_field(object, "old") ? read_ticks(object, "old") : 0;
    return update;
}

std::string read_hex(const json &object, const char *field) {
    const std::string hex = read_string(object, field);
    const auto digit = [&](char c) {
        if (c >= '0' && c <= '9') return c - '0';
        if (c >= 'a' && c <= 'f') return c - 'a' + 10;
        if (c >= 'A' && c <= 'F') return c - 'A' + 10;
        throw_field_error(field, "not an even number of hex digits");
    };
    if (hex.size() % 2) throw_field_error(field, "not an even number of hex digits");
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2)
        bytes += static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1]));
    return bytes;
}

} // namespace

void Reader::apply(const json &event, Ticks now, std::vector<std::string> &affected) {
    const std::string cmd = read_string(event, "cmd");
    if (cmd == "POOL") {
        std::vector<HostEntry> entries;
        for (const json &item : read_array(event, "items")) entries.push_back(read_entry(item));
        host_lists_[read_index(event, "sheet", host_lists_.size())] = std::move(entries);
        return;
    }
    const std::string who = read_string(event, "who");
    if (cmd == "DETACH") {
        routers_.erase(who);
        return;
    }
    if (std::find(affected.begin(), affected.end(), who) == affected.end()) affected.push_back(who);
    if (cmd == "SPAWN") {
        const json &seed = required_field(event, "rngSeed");
        if (!seed.is_number_integer()) throw_field_error("rngSeed", "not an integer");
        routers_[who] = make_router(read_deployment_config(required_field(event, "profileData")),
                                    seed.get<std::uint64_t>());
        routers_[who]->set_time(now);
        return;
    }
    const auto at = routers_.find(who);
    if (at == routers_.end()) throw_field_error("who", "this instance has not been started");
    Router &router = *at->second;
    router.set_time(now);
    if (cmd == "DEADLINE_HIT") return;
    if (cmd == "ARRIVAL") return router.rpc_arrived(read_arrival(event));
    if (cmd == "REPORT_BACK")
        return router.pick_ended(read_string(event, "tid"), read_int(event, "leg"), read_outcome(event),
                                 read_ticks(event, "latency"), read_optional_bool(event, "complete"),
                                 read_report(event));
    if (cmd == "ENDPOINTS") {
        const int kind = read_int(event, "kind");
        if (kind == 3) return router.host_list_failed(-1);
        if (kind < 0 || kind > 3) throw_field_error("kind", "out of range");
        return router.update_hosts(host_lists_[read_index(event, "sheet", host_lists_.size())], kind != 0);
    }
    if (cmd == "EXPIRED") return router.rpc_finished(read_string(event, "tid"), -1);
    if (cmd == "STEP_NEWS") return router.update_rollout(read_rollout_update(event));
    if (cmd == "TALLY")
        return router.add_platform_stats({read_int(event, "image"), read_int(event, "service"),
                                          read_int(event, "many"), read_int(event, "errors"),
                                          read_ticks(event, "old"),
                                          has_field(event, "latency") ? read_number(event, "latency") : 0});
    if (cmd == "FLAGGED") return router.answer_flagged(read_string(event, "host"), read_ticks(event, "old"));
    if (cmd == "FLOWING") return router.rpc_finished(read_string(event, "tid"), read_int(event, "leg"));
    if (cmd == "WHISPER") return router.receive_summary(read_int(event, "author"), read_hex(event, "blob"));
    if (cmd == "PONG")
        return static_cast<void>(read_string(event, "host")); // the decision module requests no probes
    throw_field_error("cmd", ("unknown event " + cmd).c_str());
}

std::string Reader::reply(const std::string &line) {
    const json batch = json::parse(line, nullptr, false);
    if (batch.is_discarded()) throw BadInput("the line is not JSON");
    if (!batch.is_object()) throw BadInput("the line is not a JSON object");
    const std::string frame = has_field(batch, "frame") ? batch["frame"].dump() : "?";
    std::vector<std::string> affected;
    json actions = json::array();
    try {
        if (!required_field(batch, "frame").is_number_integer()) throw_field_error("frame", "not an integer");
        const Ticks now = read_ticks(batch, "clock");
        for (const json &event : read_array(batch, "events")) apply(event, now, affected);
        for (const std::string &who : affected) {
            const auto at = routers_.find(who);
            if (at == routers_.end()) continue;
            for (Decision d = at->second->next_decision(); d.action != Action::none;
                 d = at->second->next_decision())
                actions.push_back(action(who, d));
        }
    } catch (const std::out_of_range &) {
        throw BadInput(std::string("frame ").append(frame).append(": service or org: not in the profile"));
    } catch (const BadInput &bad) {
        throw BadInput(std::string("frame ").append(frame).append(": ").append(bad.what()));
    }
    return json{{"frame", batch["frame"]}, {"actions", std::move(actions)}}.dump();
}

} // namespace pineridge::simhost
