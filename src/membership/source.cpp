#include "membership/source.hpp"

#include "membership/cache.hpp"

#include <sstream>

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

Source::Source(asio::io_context &io, Plot plot, ReadValue read, const Limits &limits, const Log &log,
               std::uint64_t seed, Pump::Clock clock, Told told)
    : io_(io), plot_(std::move(plot)), read_(std::move(read)), log_(log), clock_(std::move(clock)),
      told_(std::move(told)), view_(plot_.view), ends_(plot_.endpoints.size(), plot_.ends, seed),
      pump_(io, limits, clock_, plot_.tls, plot_.protocol), timer_(io) {}

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

void Source::stop() {
    stopped_ = true;
    pump_.stop();
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
        if (!view_.synced() || view_.age() > plot_.quiet)
            if (const Ticks wait = ends_.read_wait(); wait > 0) co_await pause(wait);
        std::ostringstream address;
        address << plot_.endpoints[at];
        const std::string why = co_await follow(at, address.str());
        if (stopped_) co_return;
        ends_.bad(at, clock_());
        log_.event(Level::info, "registry.left",
                   {{"endpoint", address.str()}, {"why", why}, {"rev", view_.revision()}});
    }
}

asio::awaitable<std::string> Source::follow(int at, const std::string &address) {
    view_.clock(clock_());
    const std::uint64_t before = view_.words();
    const std::string why =
        co_await pump_.run(plot_.endpoints[at], plot_.follow(view_, address), [this, at, before] {
            view_.clock(clock_());
            if (view_.synced() && view_.words() > before) ends_.good(at);
            flush();
        });
    if (plot_.tls)
        if (const std::string complaint = plot_.tls->take_reload_error(); !complaint.empty())
            log_.event(Level::warning, "registry.tls", {{"kept", complaint}});
    view_.broken();
    flush();
    co_return why;
}

void Source::flush() {
    if (stopped_) return;
    for (const std::string &line : view_.take_lines())
        log_.event(Level::info, "registry.view", {{"what", line}});
    if (const auto listing = view_.take()) {
        save_due_ = true;
        told_(*listing);
    }
    save_known();
}

} // namespace pineridge::membership
