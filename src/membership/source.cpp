#include "membership/source.hpp"

#include "membership/cache.hpp"

#include <sstream>

namespace pineridge::membership {

using asio::as_tuple;
using asio::use_awaitable;

Source::Source(asio::io_context &io, SourceOptions options, ReadValue read, const Limits &limits,
               const Log &log, std::uint64_t seed, ConnectionDriver::Clock clock, ListingHandler on_listing)
    : io_(io), options_(std::move(options)), read_(std::move(read)), log_(log), clock_(std::move(clock)),
      on_listing_(std::move(on_listing)), view_(options_.view_rules),
      endpoint_selector_(options_.endpoints.size(), options_.endpoint_rules, seed),
      connection_(io, limits, clock_, options_.tls, options_.protocol), timer_(io) {}

void Source::begin() {
    load_cached_list();
    asio::co_spawn(io_, run(), asio::detached);
}

// What a router knew when it last ran serves until the registry answers: a registry that is away at a start
// would else leave it without a host.
void Source::load_cached_list() {
    if (options_.cache_file.empty()) return;
    const auto bytes = load_file(options_.cache_file, 64u << 20);
    if (!bytes) return;
    std::string why;
    const auto known = decode_list(*bytes, options_.prefix, why);
    if (!known) return log_.event(Level::warning, "registry.known", {{"ignored", why}});
    std::vector<Record> records;
    for (const auto &[key, value] : known->entries) records.push_back(make_record(read_, key, 0, value));
    view_.start_from(records);
    log_.event(
        Level::info, "registry.known",
        {{"hosts", records.size()}, {"rev", known->revision}, {"age_ms", clock_() / 10 - known->written_ms}});
    flush();
}

// At most once in a while, and never what is only doubted or not heard from a registry.
void Source::save_cached_list() {
    if (options_.cache_file.empty() || !save_due_ || !view_.synced() || view_.has_doubted_hosts()) return;
    if (saved_at_ > 0 && clock_() - saved_at_ < options_.save_interval) return;
    saved_at_ = clock_();
    save_due_ = false;
    CachedList known{view_.revision(), clock_() / 10, {}};
    for (const Record &record : view_.records()) known.entries.emplace_back(record.key, record.value);
    const std::string why = save_file(options_.cache_file, encode_list(known, options_.prefix));
    if (!why.empty()) log_.event(Level::warning, "registry.known", {{"not written", why}});
}

void Source::stop() {
    stopped_ = true;
    connection_.stop();
    timer_.cancel();
}

asio::awaitable<void> Source::pause(Ticks span) {
    timer_.expires_after(std::chrono::microseconds(std::max<Ticks>(1, span) * 100));
    co_await timer_.async_wait(as_tuple(use_awaitable));
}

asio::awaitable<void> Source::run() {
    while (!stopped_) {
        const int at = endpoint_selector_.next(clock_());
        if (at < 0) {
            co_await pause(endpoint_selector_.next_available_at() - clock_());
            continue;
        }
        if (!view_.synced() || view_.age() > options_.stale_after)
            if (const Ticks wait = endpoint_selector_.read_delay(); wait > 0) co_await pause(wait);
        std::ostringstream address;
        address << options_.endpoints[at];
        const std::string why = co_await follow(at, address.str());
        if (stopped_) co_return;
        endpoint_selector_.record_failure(at, clock_());
        log_.event(Level::info, "registry.left",
                   {{"endpoint", address.str()}, {"why", why}, {"rev", view_.revision()}});
    }
}

asio::awaitable<std::string> Source::follow(int at, const std::string &address) {
    view_.set_time(clock_());
    const std::uint64_t before = view_.update_count();
    const std::string why = co_await connection_.run(
        options_.endpoints[at], options_.make_protocol(view_, address), [this, at, before] {
            view_.set_time(clock_());
            if (view_.synced() && view_.update_count() > before) endpoint_selector_.record_success(at);
            flush();
        });
    if (options_.tls)
        if (const std::string complaint = options_.tls->take_reload_error(); !complaint.empty())
            log_.event(Level::warning, "registry.tls", {{"kept", complaint}});
    view_.watch_ended();
    flush();
    co_return why;
}

void Source::flush() {
    if (stopped_) return;
    for (const std::string &line : view_.take_log_lines())
        log_.event(Level::info, "registry.view", {{"what", line}});
    if (const auto listing = view_.take_listing()) {
        save_due_ = true;
        on_listing_(*listing);
    }
    save_cached_list();
}

} // namespace pineridge::membership
