#include "standins/desk/desk.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

void put_build(json &update, const std::string &text) {
    const std::size_t at = text.find('/');
    if (at == std::string::npos) throw std::runtime_error("not SERVICE/BUILD: " + text);
    update["service"] = text.substr(0, at);
    update["build"] = std::stoi(text.substr(at + 1));
}

// Reads the KEY=VALUE arguments in the rest of a line.
std::map<std::string, std::string> read_pairs(std::istringstream &from) {
    std::map<std::string, std::string> read;
    for (std::string argument; from >> argument;) {
        const std::size_t at = argument.find('=');
        if (at == std::string::npos) throw std::runtime_error("not KEY=VALUE: " + argument);
        read[argument.substr(0, at)] = argument.substr(at + 1);
    }
    return read;
}

json stage_value(const std::string &text) {
    return text == "released" || text == "match" ? json(text) : json(std::stoi(text));
}

} // namespace

Desk::Desk(asio::io_context &io, Now now, std::ostream *record, unsigned short port)
    : io_(io), now_(std::move(now)), record_(record),
      server_(
          io, [this](const HttpRequest &request, const auto &connection) { handle(request, connection); },
          port) {
    asio::co_spawn(io, send_keepalives(), asio::detached);
}

asio::awaitable<void> Desk::send_keepalives() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(std::chrono::seconds(1));
        co_await timer.async_wait(as_tuple(use_awaitable));
        if (!muted_)
            for (const auto &weak : streams_)
                if (const auto connection = weak.lock()) connection->send_line("{}");
    }
}

void Desk::handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection) {
    if (request.method == "GET" && request.path == "/release/v1/snapshot") {
        ++snapshots_;
        return connection->answer(200, log_.snapshot(now_()));
    }
    if (request.method == "GET" && request.path.rfind("/release/v1/stream?from=", 0) == 0) {
        const std::int64_t from = std::stoll(request.path.substr(24));
        ++streams_accepted_;
        connection->begin_stream();
        if (muted_) {
            streams_.push_back(connection);
            return;
        }
        if (!log_.can_follow_from(from)) {
            connection->send_line(R"({"type":"resync"})");
            return;
        }
        streams_.push_back(connection);
        connection->send_line("{}");
        for (const std::string &line : log_.lines_after(from)) connection->send_line(line);
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (request.method == "POST" && request.path == "/release/v1/opinions" && body.is_object())
        return handle_opinion(body, connection);
    if (request.method == "POST" && request.path == "/release/v1/words" && body.is_object()) {
        add(body);
        return connection->answer(200, json{{"rev", log_.revision()}}.dump());
    }
    connection->answer(400, R"({"error":"bad_request"})");
}

void Desk::handle_opinion(const json &opinion, const std::shared_ptr<HttpConnection> &connection) {
    opinions_.push_back(opinion);
    if (opinion_mode_ == "deaf") return;
    if (opinion_mode_ == "full") return connection->answer(429, R"({"error":"too_many_calls"})");
    if (opinion_mode_ == "late") {
        late_opinions_.push_back(opinion);
        return; // without an answer its sender cannot know whether it counts
    }
    const bool counted = count(opinion);
    if (opinion_mode_ == "unclear") return connection->reset();
    connection->answer(counted ? 200 : 409,
                       counted ? json{{"rev", log_.revision()}}.dump() : R"({"error":"out_of_date"})");
}

bool Desk::count(const json &opinion) {
    const std::string name = build_text(opinion), verdict = opinion.at("verdict");
    json update{{"service", opinion["service"]}, {"build", opinion["build"]}};
    if (!opinion.contains("zone")) {
        if (verdict != "back") return false;
        update["type"] = "pull";
        add(update);
        return true;
    }
    const CellName cell{opinion["zone"], opinion["customer"]};
    const bool advances = verdict == "on";
    if (advances && (log_.stage(name, cell) != opinion["stage"] ||
                     (heeds_freezes_ && log_.frozen(opinion["service"], cell, now_()))))
        return false;
    update["type"] = "stage";
    update["zone"] = cell.first;
    update["customer"] = cell.second;
    update["stage"] = opinion["stage"].get<int>() + (advances ? 1 : 0);
    add(update);
    return true;
}

void Desk::add(json update) {
    const std::string line = log_.add(std::move(update), now_());
    if (record_) *record_ << now_() << ' ' << line << std::endl;
    sent_lines_.push_back(line);
    publish(line);
}

void Desk::publish(const std::string &line) {
    if (muted_ || lines_to_swap_ > 0) {
        held_lines_.push_back(line);
        if (muted_ || --lines_to_swap_ > 0) return;
        const std::vector<std::string> lines(held_lines_.rbegin(), held_lines_.rend());
        held_lines_.clear();
        for (const std::string &held_line : lines) publish(held_line);
        return;
    }
    const bool cut_line = std::exchange(cut_next_line_, false),
               corrupt_line = std::exchange(corrupt_next_line_, false);
    for (const auto &weak : streams_) {
        const auto connection = weak.lock();
        if (!connection) continue;
        if (!cut_line) {
            connection->send_line(corrupt_line ? "\x01 {noise" : line);
            continue;
        }
        // Sends half of the chunk, and closes the connection once the write has begun.
        connection->send("ffff\r\n" + line.substr(0, line.size() / 2));
        asio::post(io_, [this, connection] { asio::post(io_, [connection] { connection->close(); }); });
    }
}

void Desk::execute(const std::string &line) {
    std::istringstream from(line);
    std::string verb, build;
    from >> verb;
    if (verb.empty() || verb[0] == '#') return;
    if (verb == "offer" || verb == "stage" || verb == "pull") {
        json update{{"type", verb}};
        from >> build;
        put_build(update, build);
        if (verb == "stage") {
            std::string zone, customer;
            int stage = 0;
            from >> zone >> customer >> stage;
            update["zone"] = zone;
            update["customer"] = customer;
            update["stage"] = stage;
        }
        for (std::string next; verb == "offer" && from >> next;) {
            if (next == "strict") {
                update["needs"].back()["strict"] = true;
                continue;
            }
            std::string required, stage;
            from >> required >> stage;
            json need{{"stage", stage_value(stage)}};
            put_build(need, required);
            update["needs"].push_back(need);
        }
        return add(update);
    }
    if (verb == "freeze") {
        json update{{"type", verb}};
        std::string id;
        from >> id;
        update["id"] = id;
        update["from_ms"] = now_();
        for (const auto &[key, value] : read_pairs(from))
            if (key == "from" || key == "to")
                update[key + "_ms"] = now_() + std::stoll(value);
            else
                update[key] = value;
        return add(update);
    }
    if (verb == "lift") {
        std::string id;
        from >> id;
        return add({{"type", verb}, {"id", id}});
    }
    if (verb == "cap") {
        double cap = 0;
        from >> cap;
        json update{{"type", verb}, {"cap", cap}};
        for (const auto &[key, value] : read_pairs(from)) update[key] = value;
        return add(update);
    }
    if (verb == "ledger") {
        std::string customer;
        double traffic = 0, withdrawn = 0;
        from >> customer >> traffic >> withdrawn;
        return add({{"type", verb}, {"customer", customer}, {"traffic", traffic}, {"withdrawn", withdrawn}});
    }
    if (verb == "opinions") {
        from >> opinion_mode_;
        if (opinion_mode_ == "count")
            for (const json &opinion : std::exchange(late_opinions_, {})) count(opinion);
        return;
    }
    if (verb == "heed") {
        std::string answer;
        from >> answer;
        heeds_freezes_ = answer == "yes";
        return;
    }
    if (verb == "repeat") {
        std::size_t update_count = 0;
        from >> update_count;
        const std::vector<std::string> lines(
            sent_lines_.rbegin(),
            sent_lines_.rbegin() + static_cast<long>(std::min(update_count, sent_lines_.size())));
        for (const std::string &held_line : lines) publish(held_line);
        return;
    }
    if (verb == "forget") {
        std::int64_t updates = 0;
        from >> updates;
        server_.stop();
        streams_.clear();
        log_.forget_after(std::max<std::int64_t>(0, log_.revision() - updates));
        return server_.start();
    }
    if (verb == "speak") {
        muted_ = false;
        for (const std::string &held_line : std::exchange(held_lines_, {})) publish(held_line);
        return;
    }
    if (verb == "torn")
        cut_next_line_ = true;
    else if (verb == "spoil")
        corrupt_next_line_ = true;
    else if (verb == "swap")
        lines_to_swap_ = 2;
    else if (verb == "mute")
        muted_ = true;
    else if (verb == "compact")
        log_.compact();
    else if (verb == "start")
        server_.start();
    else if (verb == "stop") {
        streams_.clear();
        server_.stop();
    } else
        throw std::runtime_error("desk script: unknown line: " + line);
}

} // namespace pineridge::standins
