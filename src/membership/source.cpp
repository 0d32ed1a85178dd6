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

// Uses the cached list until the registry answers, so that a router that starts while the registry is down
// has hosts.
void Source::load_cached_list() {
    if (options_.cache_file.empty()) return;
    const auto bytes = load_file(options_.cache_file, 64u << 20);
    if (!bytes) return;
    std::string why;
    const auto list = decode_list(*bytes, options_.prefix, why);
    if (!list) return log_.event(Level::warning, "registry.known", {{"ignored", why}});
    std::vector<Record> records;
    for (const auto &[key, value] : list->entries) records.push_back(make_record(read_, key, 0, value));
    view_.start_from(records);
    log_.event(
        Level::info, "registry.known",
        {{"hosts", records.size()}, {"rev", list->revision}, {"age_ms", clock_() / 10 - list->written_ms}});
    flush();
}

// Writes the cache at most once per interval, and only a list that a registry has confirmed.
void Source::save_cached_list() {
    if (options_.cache_file.empty() || !save_due_ || !view_.synced() || view_.has_doubted_hosts()) return;
    if (saved_at_ > 0 && clock_() - saved_at_ < options_.save_interval) return;
    saved_at_ = clock_();
    save_due_ = false;
    CachedList list{view_.revision(), clock_() / 10, {}};
    for (const Record &record : view_.records()) list.entries.emplace_back(record.key, record.value);
    const std::string why = save_file(options_.cache_file, encode_list(list, options_.prefix));
    if (!why.empty()) log_.event(Level::warning, "registry.known", {{"not written", why}});
}

void Source::stop() {
    stopped_ = true;
    connection_.stop();
    timer_.cancel();
}

asio::awaitable<void> Source::pause(Ticks duration) {
    timer_.expires_after(std::chrono::microseconds(std::max<Ticks>(1, duration) * 100));
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
    const std::uint64_t updates_before = view_.update_count();
    const std::string why = co_await connection_.run(
        options_.endpoints[at], options_.make_protocol(view_, address), [this, at, updates_before] {
            view_.set_time(clock_());
            if (view_.synced() && view_.update_count() > updates_before)
                endpoint_selector_.record_success(at);
            flush();
        });
    if (options_.tls)
        if (const std::string error = options_.tls->take_reload_error(); !error.empty())
            log_.event(Level::warning, "registry.tls", {{"kept", error}});
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
