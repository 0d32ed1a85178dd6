#include "standins/desk/desk.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

void put_build(json &word, const std::string &text) {
    const std::size_t at = text.find('/');
    if (at == std::string::npos) throw std::runtime_error("not SERVICE/BUILD: " + text);
    word["service"] = text.substr(0, at);
    word["build"] = std::stoi(text.substr(at + 1));
}

// key=value words of the rest of a line.
std::map<std::string, std::string> pairs(std::istringstream &from) {
    std::map<std::string, std::string> read;
    for (std::string word; from >> word;) {
        const std::size_t at = word.find('=');
        if (at == std::string::npos) throw std::runtime_error("not KEY=VALUE: " + word);
        read[word.substr(0, at)] = word.substr(at + 1);
    }
    return read;
}

json stage_word(const std::string &text) {
    return text == "released" || text == "match" ? json(text) : json(std::stoi(text));
}

} // namespace

Desk::Desk(asio::io_context &io, Now now, std::ostream *record, unsigned short port)
    : io_(io), now_(std::move(now)), record_(record),
      server_(
          io, [this](const Call &call, const auto &talk) { take(call, talk); }, port) {
    asio::co_spawn(io, live(), asio::detached);
}

asio::awaitable<void> Desk::live() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(std::chrono::seconds(1));
        co_await timer.async_wait(as_tuple(use_awaitable));
        if (!mute_)
            for (const auto &weak : streams_)
                if (const auto talk = weak.lock()) talk->line("{}");
    }
}

void Desk::take(const Call &call, const std::shared_ptr<Talk> &talk) {
    if (call.method == "GET" && call.path == "/release/v1/snapshot") {
        ++snapshots_;
        return talk->answer(200, ledger_.snapshot(now_()));
    }
    if (call.method == "GET" && call.path.rfind("/release/v1/stream?from=", 0) == 0) {
        const std::int64_t from = std::stoll(call.path.substr(24));
        ++streams_taken_;
        talk->begin_lines();
        if (mute_) {
            streams_.push_back(talk);
            return;
        }
        if (!ledger_.holds(from)) {
            talk->line(R"({"type":"resync"})");
            return;
        }
        streams_.push_back(talk);
        talk->line("{}");
        for (const std::string &line : ledger_.lines_after(from)) talk->line(line);
        return;
    }
    const json body = json::parse(call.body, nullptr, false);
    if (call.method == "POST" && call.path == "/release/v1/opinions" && body.is_object())
        return opinion(body, talk);
    if (call.method == "POST" && call.path == "/release/v1/words" && body.is_object()) {
        add(body);
        return talk->answer(200, json{{"rev", ledger_.revision()}}.dump());
    }
    talk->answer(400, R"({"error":"bad_request"})");
}

void Desk::opinion(const json &said, const std::shared_ptr<Talk> &talk) {
    opinions_.push_back(said);
    if (mode_ == "deaf") return;
    if (mode_ == "full") return talk->answer(429, R"({"error":"too_many_calls"})");
    if (mode_ == "late") {
        late_.push_back(said);
        return; // no answer: its giver cannot know
    }
    const bool counted = count(said);
    if (mode_ == "unclear") return talk->reset();
    talk->answer(counted ? 200 : 409,
                 counted ? json{{"rev", ledger_.revision()}}.dump() : R"({"error":"out_of_date"})");
}

bool Desk::count(const json &said) {
    const std::string name = build_text(said), verdict = said.at("verdict");
    json word{{"service", said["service"]}, {"build", said["build"]}};
    if (!said.contains("zone")) {
        if (verdict != "back") return false;
        word["type"] = "pull";
        add(word);
        return true;
    }
    const CellName cell{said["zone"], said["customer"]};
    const bool on = verdict == "on";
    if (on && (ledger_.stage(name, cell) != said["stage"] ||
               (heed_ && ledger_.frozen(said["service"], cell, now_()))))
        return false;
    word["type"] = "stage";
    word["zone"] = cell.first;
    word["customer"] = cell.second;
    word["stage"] = said["stage"].get<int>() + (on ? 1 : 0);
    add(word);
    return true;
}

void Desk::add(json word) {
    const std::string line = ledger_.add(std::move(word), now_());
    if (record_) *record_ << now_() << ' ' << line << std::endl;
    recent_.push_back(line);
    publish(line);
}

void Desk::publish(const std::string &line) {
    if (mute_ || swap_ > 0) {
        held_.push_back(line);
        if (mute_ || --swap_ > 0) return;
        const std::vector<std::string> lines(held_.rbegin(), held_.rend());
        held_.clear();
        for (const std::string &one : lines) publish(one);
        return;
    }
    const bool torn = std::exchange(torn_, false), spoil = std::exchange(spoil_, false);
    for (const auto &weak : streams_) {
        const auto talk = weak.lock();
        if (!talk) continue;
        if (!torn) {
            talk->line(spoil ? "\x01 {noise" : line);
            continue;
        }
        // Half of the chunk goes out; the reset comes once it is on its way.
        talk->send("ffff\r\n" + line.substr(0, line.size() / 2));
        asio::post(io_, [this, talk] { asio::post(io_, [talk] { talk->close(); }); });
    }
}

void Desk::tell(const std::string &line) {
    std::istringstream from(line);
    std::string verb, build;
    from >> verb;
    if (verb.empty() || verb[0] == '#') return;
    if (verb == "offer" || verb == "stage" || verb == "pull") {
        json word{{"type", verb}};
        from >> build;
        put_build(word, build);
        if (verb == "stage") {
            std::string zone, customer;
            int stage = 0;
            from >> zone >> customer >> stage;
            word["zone"] = zone, word["customer"] = customer, word["stage"] = stage;
        }
        for (std::string next; verb == "offer" && from >> next;) {
            if (next == "strict") {
                word["needs"].back()["strict"] = true;
                continue;
            }
            std::string on, stage;
            from >> on >> stage;
            json need{{"stage", stage_word(stage)}};
            put_build(need, on);
            word["needs"].push_back(need);
        }
        return add(word);
    }
    if (verb == "freeze") {
        json word{{"type", verb}};
        std::string id;
        from >> id;
        word["id"] = id;
        word["from_ms"] = now_();
        for (const auto &[key, value] : pairs(from))
            if (key == "from" || key == "to")
                word[key + "_ms"] = now_() + std::stoll(value);
            else
                word[key] = value;
        return add(word);
    }
    if (verb == "lift") {
        std::string id;
        from >> id;
        return add({{"type", verb}, {"id", id}});
    }
    if (verb == "cap") {
        double cap = 0;
        from >> cap;
        json word{{"type", verb}, {"cap", cap}};
        for (const auto &[key, value] : pairs(from)) word[key] = value;
        return add(word);
    }
    if (verb == "ledger") {
        std::string customer;
        double traffic = 0, withdrawn = 0;
        from >> customer >> traffic >> withdrawn;
        return add({{"type", verb}, {"customer", customer}, {"traffic", traffic}, {"withdrawn", withdrawn}});
    }
    if (verb == "opinions") {
        from >> mode_;
        if (mode_ == "count")
            for (const json &said : std::exchange(late_, {})) count(said);
        return;
    }
    if (verb == "heed") {
        std::string word;
        from >> word;
        heed_ = word == "yes";
        return;
    }
    if (verb == "repeat") {
        std::size_t most = 0;
        from >> most;
        const std::vector<std::string> lines(
            recent_.rbegin(), recent_.rbegin() + static_cast<long>(std::min(most, recent_.size())));
        for (const std::string &one : lines) publish(one);
        return;
    }
    if (verb == "forget") {
        std::int64_t words = 0;
        from >> words;
        server_.stop();
        streams_.clear();
        ledger_.forget_after(std::max<std::int64_t>(0, ledger_.revision() - words));
        return server_.start();
    }
    if (verb == "speak") {
        mute_ = false;
        for (const std::string &one : std::exchange(held_, {})) publish(one);
        return;
    }
    if (verb == "torn")
        torn_ = true;
    else if (verb == "spoil")
        spoil_ = true;
    else if (verb == "swap")
        swap_ = 2;
    else if (verb == "mute")
        mute_ = true;
    else if (verb == "compact")
        ledger_.compact();
    else if (verb == "start")
        server_.start();
    else if (verb == "stop")
        streams_.clear(), server_.stop();
    else
        throw std::runtime_error("desk script: unknown: " + line);
}

} // namespace pineridge::standins
