#include "membership/etcd/source.hpp"

#include "membership/cache.hpp"

#include <sstream>

namespace pineridge::membership::etcd {

using asio::as_tuple;
using asio::use_awaitable;

Source::Source(asio::io_context &io, Plot plot, ReadValue read, const Limits &limits, const Log &log,
               std::uint64_t seed, Clock clock, Told told)
    : io_(io), plot_(std::move(plot)), read_(std::move(read)), limits_(limits), log_(log),
      clock_(std::move(clock)), told_(std::move(told)), view_(plot_.view),
      ends_(plot_.endpoints.size(), plot_.ends, seed), timer_(io) {}

void Source::begin() {
    start_from_known();
    asio::co_spawn(io_, run(), asio::detached);
}

// What a router knew when it last ran serves until the registry answers: a registry that is away at a start
// would else leave it without a host.
void Source::start_from_known() {
    if (plot_.known_file.empty()) return;
    const auto bytes = load(plot_.known_file, 64u << 20);
    if (!bytes) return;
    std::string why;
    const auto known = unpack(*bytes, plot_.prefix, why);
    if (!known) return log_.event(Level::warning, "registry.known", {{"ignored", why}});
    std::vector<Record> records;
    for (const auto &[key, value] : known->pairs) records.push_back(make_record(read_, key, 0, value));
    view_.start_from(records);
    log_.event(Level::info, "registry.known",
               {{"hosts", records.size()}, {"rev", known->rev}, {"age_ms", clock_() / 10 - known->written}});
    flush();
}

// At most once in a while, and never what is only doubted or not heard from a registry.
void Source::save_known() {
    if (plot_.known_file.empty() || !save_due_ || !view_.synced() || view_.doubting()) return;
    if (saved_at_ > 0 && clock_() - saved_at_ < plot_.save_each) return;
    saved_at_ = clock_();
    save_due_ = false;
    Known known{view_.revision(), clock_() / 10, {}};
    for (const Record &record : view_.records()) known.pairs.emplace_back(record.key, record.value);
    const std::string why = save(plot_.known_file, pack(known, plot_.prefix));
    if (!why.empty()) log_.event(Level::warning, "registry.known", {{"not written", why}});
}

struct Source::Line {
    Line(asio::io_context &io, View &view, const Source &of, const std::string &authority)
        : socket(io), follower(view, of.read_, of.plot_.prefix, authority, of.plot_.token, of.plot_.times,
                               of.plot_.page) {}
    void end() {
        over = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    asio::ip::tcp::socket socket;
    Follower follower;
    bool writing = false, over = false;
};

void Source::stop() {
    stopped_ = true;
    if (line_) line_->end();
    timer_.cancel();
}

asio::awaitable<void> Source::pause(Ticks span) {
    timer_.expires_after(std::chrono::microseconds(std::max<Ticks>(1, span) * 100));
    co_await timer_.async_wait(as_tuple(use_awaitable));
}

asio::awaitable<void> Source::run() {
    while (!stopped_) {
        const int at = ends_.next(clock_());
        if (at < 0) {
            co_await pause(ends_.wake() - clock_());
            continue;
        }
        if (!view_.synced() || view_.age() > plot_.times.quiet)
            if (const Ticks wait = ends_.read_wait(); wait > 0) co_await pause(wait);
        const std::string why = co_await follow(at);
        if (stopped_) co_return;
        ends_.bad(at, clock_());
        std::ostringstream address;
        address << plot_.endpoints[at];
        log_.event(Level::info, "registry.left",
                   {{"endpoint", address.str()}, {"why", why}, {"rev", view_.revision()}});
    }
}

asio::awaitable<std::string> Source::follow(int at) {
    std::ostringstream address;
    address << plot_.endpoints[at];
    const auto line = line_ = std::make_shared<Line>(io_, view_, *this, address.str());
    Fuse fuse(io_.get_executor());
    fuse.light(line->socket, limits_.platform_connect);
    const auto [refused] = co_await line->socket.async_connect(plot_.endpoints[at], as_tuple(use_awaitable));
    if (refused || fuse.blown()) co_return "no connection";
    fuse.put_out();
    boost::system::error_code ignored;
    line->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    view_.clock(clock_());
    line->follower.begin(clock_());
    kick(line);
    asio::co_spawn(io_, beat(line), asio::detached);
    std::string room(limits_.read_step, '\0');
    while (!line->follower.dead() && !line->over) {
        const auto [failed, size] =
            co_await line->socket.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) break;
        view_.clock(clock_());
        line->follower.feed({room.data(), size}, clock_());
        if (view_.synced()) ends_.good(at);
        kick(line);
        flush();
    }
    const std::string why = line->follower.dead() ? line->follower.why() : "the connection ended";
    line->end();
    view_.broken();
    flush();
    co_return why;
}

// Time goes on for the follower while nothing comes: its bounds end the connection.
asio::awaitable<void> Source::beat(std::shared_ptr<Line> line) {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(as_tuple(use_awaitable));
        if (line->over) co_return;
        view_.clock(clock_());
        line->follower.clock(clock_());
        if (line->follower.dead()) co_return line->end();
        kick(line);
        flush();
    }
}

void Source::kick(const std::shared_ptr<Line> &line) {
    if (!std::exchange(line->writing, true)) asio::co_spawn(io_, write(line), asio::detached);
}

// A write that waits is a peer that does not read: what piles up behind it is bounded by the session.
asio::awaitable<void> Source::write(std::shared_ptr<Line> line) {
    for (std::string bytes; !line->over && !(bytes = line->follower.output()).empty();) {
        const auto [failed, size] =
            co_await asio::async_write(line->socket, asio::buffer(bytes), as_tuple(use_awaitable));
        if (failed) line->end();
    }
    line->writing = false;
}

void Source::flush() {
    for (const std::string &line : view_.take_lines())
        log_.event(Level::info, "registry.view", {{"what", line}});
    if (const auto listing = view_.take()) {
        save_due_ = true;
        told_(*listing);
    }
    save_known();
}

} // namespace pineridge::membership::etcd
