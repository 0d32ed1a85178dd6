#include "release/desk.hpp"

#include "release/wire.hpp"

#include <algorithm>

namespace pineridge::release {

using asio::as_tuple;
using asio::use_awaitable;

Desk::Desk(asio::io_context &io, const Address &address, const Limits &limits, const Log &log,
           std::string router, std::uint64_t seed, Plan &plan, std::function<void()> told)
    : io_(io), address_(address), limits_(limits), log_(log), router_(std::move(router)), plan_(plan),
      told_(std::move(told)), chance_(static_cast<std::minstd_rand::result_type>(seed ^ seed >> 32)),
      whole_(io, address, limits), opinions_(io, address, limits), lines_(io, limits, log, "desk"),
      take_([this](std::string_view line) { return take(line); }), pause_(io) {}

void Desk::begin() { asio::co_spawn(io_, run(), asio::detached); }

asio::awaitable<void> Desk::run() {
    Span pause = limits_.retry_least;
    for (;;) {
        bool told = false;
        const auto began = std::chrono::steady_clock::now();
        if (plan_.wants_snapshot()) told = co_await read_whole();
        // A desk that is behind tells nothing that may be taken: it is asked for the whole again after a
        // pause.
        const bool behind = plan_.wants_snapshot();
        if (!behind) told = co_await follow();
        if (told && plan_.wants_snapshot() && !behind) continue; // a word was missing: nothing has failed
        const bool lasted = std::chrono::steady_clock::now() - began > limits_.retry_least;
        pause = told && lasted && !behind ? limits_.retry_least
                                          : std::clamp(pause * 2, limits_.retry_least, limits_.retry_most);
        pause_.expires_after(pause * std::uniform_int_distribution(75, 125)(chance_) / 100);
        co_await pause_.async_wait(as_tuple(use_awaitable));
    }
}

asio::awaitable<bool> Desk::read_whole() {
    http::Answer answer(limits_.head, limits_.snapshot);
    const http::Call got =
        co_await whole_.call("GET", "/release/v1/snapshot", "", limits_.desk_whole, true, answer);
    if (got != http::Call::answered || answer.status() != 200) co_return false;
    try {
        plan_.snapshot(read_snapshot(answer.body(), plan_.scheme().released()));
    } catch (const std::exception &bad) {
        log_(Level::warning, "desk: snapshot: ", bad.what());
        co_return false;
    }
    told_();
    co_return true;
}

asio::awaitable<bool> Desk::follow() {
    const std::string path = "/release/v1/stream?from=" + std::to_string(plan_.revision());
    const bool told = co_await lines_.follow(address_, path, take_);
    plan_.linked(false);
    told_();
    co_return told;
}

bool Desk::take(std::string_view line) {
    const Told told = read_line(line, plan_.scheme().released());
    if (told.resync) {
        plan_.lost();
    } else {
        plan_.linked(true);
        if (told.notice) plan_.notice(*told.notice);
    }
    told_();
    return !plan_.wants_snapshot();
}

void Desk::give(const Opinion &opinion) {
    if (waiting_.size() >= limits_.opinions) waiting_.pop_front();
    waiting_.push_back(write_opinion(opinion, plan_.scheme(), router_));
    if (!std::exchange(sending_, true)) asio::co_spawn(io_, send(), asio::detached);
}

asio::awaitable<void> Desk::send() {
    while (!waiting_.empty()) {
        const std::string opinion = std::move(waiting_.front());
        waiting_.pop_front();
        http::Answer answer(limits_.head, limits_.news_line);
        const http::Call got = co_await opinions_.call("POST", "/release/v1/opinions", opinion,
                                                       limits_.desk_answer, false, answer);
        // Whether one without an answer counted is not known: the desk's words tell, and it may be given
        // again.
        if (got != http::Call::answered || answer.status() != 200)
            log_.event(got == http::Call::unclear ? Level::info : Level::debug, "desk.opinion",
                       {{"sent", opinion},
                        {"counted", got == http::Call::unclear ? "unknown" : "no"},
                        {"status", answer.status()}});
    }
    sending_ = false;
}

} // namespace pineridge::release
