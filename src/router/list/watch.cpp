#include "router/list/watch.hpp"

namespace pineridge::router::list {

namespace {

using membership::CallFailure;
using membership::LeaseRules;

// A call that fails within this time without an answer was sent on a kept connection that the other side had
// closed. It is made once more.
constexpr Milliseconds kStaleConnection{500};

LeaseRules lease_rules(const RouterConfig &config) {
    const Limits &limits = config.limits;
    return {.delivery_time = limits.list_lease,
            .watch_overrun = limits.list_watch_overrun,
            .move_delay = limits.list_move_delay,
            .partial_answer = limits.list_partial_answer,
            .transit = limits.list_transit,
            .watch_accepted = std::min(limits.list_watch_accepted, limits.list_lease * 5 / 6),
            .queue_full = limits.list_queue_full,
            .min_queue_wait = limits.list_min_queue_wait,
            .min_outage = limits.list_min_outage,
            .expires_on_failure = !config.has_local_discovery_agent};
}

} // namespace

Watch::Watch(asio::io_context &io, const RouterConfig &config, const Log &log, ListHandler on_list,
             FailureHandler on_failure, LeaseHandler on_lease_change)
    : io_(io), config_(config), log_(log), link_(io, config.discovery, config.limits),
      on_list_(std::move(on_list)), on_failure_(std::move(on_failure)),
      on_lease_change_(std::move(on_lease_change)), view_({.doubt_share = 2}), lease_(lease_rules(config)),
      random_(static_cast<std::uint32_t>(config.seed)), lease_timer_(io), accepted_timer_(io),
      pause_timer_(io) {
    link_.on_first_byte([this] {
        lease_.answer_started(Clock::now());
        update_lease();
    });
}

void Watch::start() {
    if (std::exchange(running_, true)) return;
    asio::co_spawn(io_, run(), asio::detached);
}

void Watch::set_address(const Address &address) {
    if (!link_.set_address(address)) return;
    log_(Level::info, "list: discovery is at ", address, " now");
    ++address_changes_;
    immediate_ = true;
    lease_.address_changed(Clock::now());
    update_lease();
    pause_timer_.cancel();
    start();
}

// --- the lease ---

void Watch::update_lease() {
    const Clock::time_point until = lease_.expires_at();
    const Clock::time_point outage_until = lease_.outage_until();
    if (until == lease_until_ && outage_until == outage_until_) return;
    lease_until_ = until;
    outage_until_ = outage_until;
    on_lease_change_(until, outage_until);
    log_lease_expiry();
}

void Watch::log_lease_expiry() {
    const auto now = Clock::now();
    if (lease_.is_valid(now) && std::exchange(logged_expiry_, false))
        log_(Level::info, "list: lease renewed");
    lease_timer_.cancel();
    if (lease_until_ == Clock::time_point::max() || logged_expiry_) return;
    lease_timer_.expires_at(std::max(now, lease_until_));
    lease_timer_.async_wait([this](boost::system::error_code failed) {
        if (failed || lease_.is_valid(Clock::now()) || std::exchange(logged_expiry_, true)) return;
        const bool outage = Clock::now() <= outage_until_;
        log_(Level::warning, "list: overdue, lease expired: ",
             outage ? "discovery is presumed down, RPCs go only to hosts with no reason to drain"
                    : "no RPCs are sent until discovery answers");
    });
}

asio::awaitable<void> Watch::wait_for_lease(Milliseconds timeout) {
    const auto until = Clock::now() + timeout;
    asio::steady_timer timer(io_);
    while (!lease_.is_valid(Clock::now()) && Clock::now() < until) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// --- calls ---

asio::awaitable<void> Watch::pause(Milliseconds max) {
    pause_timer_.expires_after(max * std::uniform_int_distribution(50, 100)(random_) / 100);
    co_await pause_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

// The wait of each watch is drawn at random. Otherwise the watches of a fleet, which a change of the list
// opens together, would also time out and be opened again together, while discovery answers one call after
// another. A call that is to renew the lease must not wait for a change. It requests only what has changed:
// the full list for all routers that change to a new address together would fill discovery's queue.
Watch::Query Watch::next_query() {
    const bool full = std::exchange(full_list_due_, false);
    if (full || immediate_) return {full, true, Milliseconds(1)};
    return {false, false,
            config_.limits.list_poll_wait * std::uniform_int_distribution(50, 100)(random_) / 100};
}

asio::awaitable<void> Watch::run() {
    const Limits &limits = config_.limits;
    std::size_t retries = 0; // since a watch timed out
    std::size_t malformed = 0; // answers in a row
    std::string reason; // why the last call failed
    for (;;) {
        const Query query = next_query();
        const auto started = Clock::now();
        const std::int64_t version = version_;
        const unsigned address_changes = address_changes_;
        const Result result = co_await send_query(query);
        reason = result.reason;
        if (result.outcome == Outcome::accepted) {
            retries = malformed = 0;
            // Discovery may answer a watch at once without a change: it is not called again without a pause.
            const bool answered_early = Clock::now() - started < query.wait / 4;
            if (!query.immediate && version == version_ && answered_early)
                co_await pause(limits.list_retry_pause);
            continue;
        }
        link_.close();
        full_list_due_ = full_list_due_ || query.full;
        immediate_ = true;
        // No part of a malformed answer is used. The same query is made again at once, as the watch does not
        // continue without it.
        if (result.outcome == Outcome::malformed && ++malformed < limits.max_unreadable_answers) {
            log_(Level::info, "list: malformed answer, queried again: ", reason);
            continue;
        }
        if (result.outcome == Outcome::timed_out && !query.immediate) {
            log_(Level::info, "list: silent watch, queried again: ", reason);
            retries = 1;
            continue;
        }
        if (address_changes != address_changes_) continue;
        if (result.outcome == Outcome::unreachable && !config_.has_local_discovery_agent) {
            if (!std::exchange(logged_failure_, true)) log_(Level::warning, "list: ", reason);
            co_await wait_until_reachable();
            if (address_changes != address_changes_) continue;
            break;
        }
        const bool retry =
            config_.has_local_discovery_agent || (retries > 0 && retries <= limits.max_silent_watch_retries);
        if (!retry) break;
        // A local discovery agent must be read as soon as it has data again: it is called at a steady pace. A
        // discovery that all routers share is called a few times, with a pause that doubles.
        if (!std::exchange(logged_failure_, true)) log_(Level::warning, "list: ", reason);
        co_await pause(config_.has_local_discovery_agent ? limits.list_retry_pause
                                                         : limits.list_retry_pause * (1 << retries++));
    }
    log_(Level::warning, "list: ", reason);
    running_ = false;
    const auto now = Clock::now();
    const auto until = std::max(lease_until_, outage_until_);
    on_failure_(now <= until ? std::chrono::floor<Milliseconds>(until - now) : Milliseconds(-1));
}

// While nobody listens, an attempt to connect tells so at once and takes no place in discovery's queue, so
// that it may be made often. Once somebody listens, the decision module spreads the calls of the fleet.
asio::awaitable<void> Watch::wait_until_reachable() {
    const unsigned address_changes = address_changes_;
    for (;;) {
        co_await pause(config_.limits.list_reconnect_pause);
        if (address_changes != address_changes_) co_return;
        const auto started = Clock::now();
        const http::ConnectResult result = co_await link_.connect();
        if (address_changes != address_changes_) co_return;
        if (result == http::ConnectResult::connected) break;
        if (result != http::ConnectResult::refused) continue; // tells the lease nothing
        lease_.call_started(started, std::nullopt);
        lease_.call_failed(CallFailure::unreachable, Clock::now());
        update_lease();
    }
    log_(Level::info, "list: discovery takes connections again");
}

CallFailure Watch::to_call_failure(Outcome outcome) {
    switch (outcome) {
    case Outcome::refused: return CallFailure::refused;
    case Outcome::unreachable: return CallFailure::unreachable;
    case Outcome::not_connected: return CallFailure::connect_failed;
    case Outcome::timed_out: return CallFailure::timed_out;
    case Outcome::malformed: return CallFailure::unreadable;
    case Outcome::connection_lost:
    case Outcome::accepted: break;
    }
    return CallFailure::connection_lost;
}

asio::awaitable<Watch::Result> Watch::send_query(const Query &query) {
    const Limits &limits = config_.limits;
    http::Response answer(limits.max_http_head_bytes, limits.max_list_body_bytes);
    const std::string path = query.full ? "/v1/endpoints"
                                        : "/v1/endpoints?from=" + std::to_string(version_) +
                                              "&hold_ms=" + std::to_string(query.wait.count());
    const auto started = Clock::now();
    const unsigned address_changes = address_changes_;
    http::CallResult got = co_await make_call(query, path, answer);
    const bool no_answer = got != http::CallResult::answered && !answer.has_started() && !link_.timed_out();
    if (no_answer && address_changes == address_changes_ && Clock::now() - started < kStaleConnection) {
        // It may as well have ended the watch of a discovery that goes down, which the second call then
        // shows.
        if (got == http::CallResult::unknown) lease_.call_failed(CallFailure::connection_lost, Clock::now());
        got = co_await make_call(query, path, answer);
    }
    // An answer from the old address is ignored: only one from the new address renews the lease.
    const Result result = address_changes == address_changes_
                              ? handle_response(query, got, answer)
                              : Result{Outcome::connection_lost, "the address of discovery has changed"};
    const auto ended = Clock::now();
    if (result.outcome == Outcome::accepted)
        lease_.call_succeeded();
    else
        lease_.call_failed(to_call_failure(result.outcome), ended);
    update_lease();
    const auto duration = std::chrono::duration_cast<Milliseconds>(ended - started);
    log_(Level::debug, "list: call ", call_count_, " ended: ",
         result.outcome == Outcome::accepted ? "version " + std::to_string(version_) : result.reason,
         ", after ", duration.count(), " ms");
    co_return result;
}

// Makes one call and reports it to the lease, which counts on every call being reported: it is not retried
// here.
asio::awaitable<http::CallResult> Watch::make_call(const Query &query, const std::string &path,
                                                   http::Response &answer) {
    const Limits &limits = config_.limits;
    const Milliseconds timeout =
        query.immediate ? limits.list_full_timeout : query.wait + limits.list_poll_grace;
    const bool is_watch = !query.immediate;
    log_(Level::debug, "list: call ", ++call_count_, " ", path);
    lease_.call_started(Clock::now(), is_watch ? std::optional(query.wait) : std::nullopt);
    if (is_watch) {
        accepted_timer_.expires_after(lease_.watch_accepted_after());
        accepted_timer_.async_wait([this](boost::system::error_code failed) {
            if (failed) return;
            lease_.watch_still_open(Clock::now());
            update_lease();
        });
    }
    const http::CallResult got = co_await link_.request("GET", path, "", timeout, false, answer);
    accepted_timer_.cancel();
    co_return got;
}

// Checks the answer, and applies it if it is complete and valid.
Watch::Result Watch::handle_response(const Query &query, http::CallResult got, const http::Response &answer) {
    if (answer.has_status() && answer.status() != 200)
        return {Outcome::refused, "status " + std::to_string(answer.status())};
    if (answer.is_malformed() || (answer.has_started() && !answer.is_complete()))
        return {Outcome::malformed, "malformed or truncated HTTP response"};
    if (got == http::CallResult::not_sent)
        return {link_.was_refused() ? Outcome::unreachable : Outcome::not_connected, "connection failed"};
    if (got == http::CallResult::unknown)
        return {link_.timed_out() ? Outcome::timed_out : Outcome::connection_lost, "no answer"};
    const json body = json::parse(answer.body(), nullptr, false);
    if (body.is_discarded()) return {Outcome::malformed, "not JSON"};
    try {
        const DiscoveryResponse response = read_discovery_response(body, config_.names);
        if (query.full && !response.complete)
            return {Outcome::malformed, "changes in answer to a query for the full list"};
        // The version is lower than the present one: discovery has been restarted, so the full list is
        // requested.
        if (!response.complete && response.version < version_) {
            full_list_due_ = true;
            return {Outcome::malformed, "version lower than that of the present list"};
        }
        apply(response);
    } catch (const std::exception &error) {
        return {Outcome::malformed, error.what()};
    }
    logged_failure_ = immediate_ = false;
    return {Outcome::accepted};
}

void Watch::set_initial_list(const DiscoveryResponse &response) { apply(response); }

void Watch::apply(const DiscoveryResponse &response) {
    version_ = response.version;
    ++answer_count_;
    std::vector<membership::Record> records;
    for (const membership::Member &host : response.hosts)
        records.push_back({.key = host.entry.id,
                           .revision = answer_count_,
                           .deleted = host.entry.status == HostStatus::gone,
                           .member = host});
    if (response.complete) {
        std::erase_if(records, [](const membership::Record &record) { return record.deleted; });
        view_.begin_read();
        view_.add_page(records);
        view_.end_read(answer_count_);
    } else {
        for (const membership::Record &record : records) view_.apply_change(record);
    }
    on_list_(view_.take_listing().value_or(membership::Listing{}));
}

} // namespace pineridge::router::list
