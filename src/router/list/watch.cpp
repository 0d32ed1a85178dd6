#include "router/list/watch.hpp"

namespace pineridge::router::list {

namespace {

using membership::CallFailure;
using membership::LeaseRules;

// A call that ends so soon without a byte had found its kept connection ended: it is asked once more.
constexpr Milliseconds kStaleConnection{500};

LeaseRules lease_rules(const Start &start) {
    const Limits &limits = start.limits;
    return {.told_after = limits.list_lease,
            .watch_overrun = limits.list_watch_overrun,
            .moved_told = limits.list_move_delay,
            .partial_told = limits.list_partial_answer,
            .transit = limits.list_transit,
            .stands_after = std::min(limits.list_watch_accepted, limits.list_lease * 5 / 6),
            .line_full = limits.list_queue_full,
            .line_least = limits.list_min_queue_wait,
            .outage_lasts = limits.list_outage,
            .outage_goes_on = limits.list_outage_extension,
            .lapses_on_failure = !start.list_at_hand};
}

} // namespace

Watch::Watch(asio::io_context &io, const Start &start, const Log &log, Told told, Failed failed,
             LeaseTold lease_told)
    : io_(io), start_(start), log_(log), link_(io, start.discovery, start.limits), told_(std::move(told)),
      failed_(std::move(failed)), lease_told_(std::move(lease_told)), view_({.doubt_share = 2}),
      lease_(lease_rules(start)), chance_(static_cast<std::uint32_t>(start.seed)), lease_over_(io),
      stands_(io), pause_(io) {
    link_.on_first_byte([this] {
        lease_.answer_begun(Clock::now());
        lease_changed();
    });
}

void Watch::begin() {
    if (std::exchange(running_, true)) return;
    asio::co_spawn(io_, run(), asio::detached);
}

void Watch::move_to(const Address &address) {
    if (!link_.move_to(address)) return;
    log_(Level::info, "list: from ", address, " now");
    ++moves_;
    at_once_ = true;
    lease_.moved(Clock::now());
    lease_changed();
    pause_.cancel();
    begin();
}

// --- the lease ---

void Watch::lease_changed() {
    const Clock::time_point until = lease_.expires(), outage_until = lease_.outage_until();
    if (until == lease_until_ && outage_until == outage_until_) return;
    lease_until_ = until;
    outage_until_ = outage_until;
    lease_told_(until, outage_until);
    watch_lease();
}

void Watch::watch_lease() {
    const auto now = Clock::now();
    if (lease_.holds(now) && std::exchange(said_over_, false))
        log_(Level::info, "list: its lease is renewed");
    lease_over_.cancel();
    if (lease_until_ == Clock::time_point::max() || said_over_) return;
    lease_over_.expires_at(std::max(now, lease_until_));
    lease_over_.async_wait([this](boost::system::error_code failed) {
        if (failed || lease_.holds(Clock::now()) || std::exchange(said_over_, true)) return;
        const bool outage = Clock::now() <= outage_until_;
        log_(Level::warning, "list: overdue, ",
             outage ? "discovery is presumed down: only hosts with no reason to drain are sent to"
                    : "nothing is sent until it has come");
    });
}

asio::awaitable<void> Watch::wait_for_lease(Milliseconds most) {
    const auto until = Clock::now() + most;
    asio::steady_timer timer(io_);
    while (!lease_.holds(Clock::now()) && Clock::now() < until) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// --- calls ---

asio::awaitable<void> Watch::pause(Milliseconds about) {
    pause_.expires_after(about * std::uniform_int_distribution(50, 100)(chance_) / 100);
    co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Each watch waits for a time of its own. Stops watches that were opened together, as a change of the list
// has them, from falling silent and being opened anew together: discovery answers one call after another.
// A call that is to renew the lease waits for nothing. It asks for what has changed, as the whole list of a
// fleet's routers that move together would fill discovery's line.
Watch::Query Watch::next_query() {
    const bool whole = std::exchange(whole_due_, false);
    if (whole || at_once_) return {whole, true, Milliseconds(1)};
    return {false, false,
            start_.limits.list_poll_wait * std::uniform_int_distribution(50, 100)(chance_) / 100};
}

asio::awaitable<void> Watch::run() {
    const Limits &limits = start_.limits;
    std::size_t silent = 0; // calls in a row since a watch fell silent
    std::size_t unreadable = 0; // in a row
    std::string why;
    for (;;) {
        const Query query = next_query();
        const auto asked = Clock::now();
        const std::int64_t version = version_;
        const unsigned moves = moves_;
        const Result result = co_await ask(query);
        why = result.why;
        if (result.outcome == Outcome::taken) {
            silent = unreadable = 0;
            // Stops a discovery that answers at once with nothing new from being asked without a pause.
            const bool hasty = Clock::now() - asked < query.hold / 4;
            if (!query.at_once && version == version_ && hasty) co_await pause(limits.list_retry_pause);
            continue;
        }
        link_.close();
        whole_due_ = whole_due_ || query.whole;
        at_once_ = true;
        // Nothing of it is believed; the same is asked for at once, as a watch goes on only then.
        if (result.outcome == Outcome::unreadable && ++unreadable < limits.max_unreadable_answers) {
            log_(Level::info, "list: spoilt: ", why);
            continue;
        }
        if (result.outcome == Outcome::silent && !query.at_once) {
            log_(Level::info, "list: a silent watch, asked anew: ", why);
            silent = 1;
            continue;
        }
        if (moves != moves_) continue;
        const bool again = start_.list_at_hand || (silent > 0 && silent <= limits.max_silent_watch_retries);
        if (!again) break;
        // An agent beside this router has to be heard as soon as it knows anything again; of a discovery for
        // all the next call is tried a few times soon, ever later.
        if (!std::exchange(said_failing_, true)) log_(Level::warning, "list: ", why);
        co_await pause(start_.list_at_hand ? limits.list_retry_pause
                                           : limits.list_retry_pause * (1 << silent++));
    }
    log_(Level::warning, "list: ", why);
    running_ = false;
    const auto now = Clock::now(), until = std::max(lease_until_, outage_until_);
    failed_(now <= until ? std::chrono::floor<Milliseconds>(until - now) : Milliseconds(-1));
}

CallFailure Watch::failure_of(Outcome outcome) {
    switch (outcome) {
    case Outcome::refused: return CallFailure::refused;
    case Outcome::unreached: return CallFailure::unreached;
    case Outcome::silent: return CallFailure::silent;
    case Outcome::unreadable: return CallFailure::unreadable;
    case Outcome::broken:
    case Outcome::taken: break;
    }
    return CallFailure::broken;
}

asio::awaitable<Watch::Result> Watch::ask(const Query &query) {
    const Limits &limits = start_.limits;
    http::Answer answer(limits.max_http_head_bytes, limits.max_list_body_bytes);
    const std::string path = query.whole ? "/v1/endpoints"
                                         : "/v1/endpoints?from=" + std::to_string(version_) +
                                               "&hold_ms=" + std::to_string(query.hold.count());
    const auto asked = Clock::now();
    const unsigned moves = moves_;
    http::Call got = co_await call(query, path, answer);
    const bool unheard = got != http::Call::answered && !answer.begun() && !link_.timed_out();
    if (unheard && moves == moves_ && Clock::now() - asked < kStaleConnection)
        got = co_await call(query, path, answer);
    // What the old address still says is not listened to: the lease waits for the new one's answer.
    const Result result =
        moves == moves_ ? read(query, got, answer) : Result{Outcome::broken, "discovery has moved"};
    const auto ended = Clock::now();
    if (result.outcome == Outcome::taken)
        lease_.answered();
    else
        lease_.failed(failure_of(result.outcome), ended);
    lease_changed();
    const auto took = std::chrono::duration_cast<Milliseconds>(ended - asked);
    log_(Level::debug, "list: call ", calls_,
         " ended: ", result.outcome == Outcome::taken ? "version " + std::to_string(version_) : result.why,
         ", after ", took.count(), " ms");
    co_return result;
}

// One call, as the lease is told of it. Nothing sends it again by itself.
asio::awaitable<http::Call> Watch::call(const Query &query, const std::string &path, http::Answer &answer) {
    const Limits &limits = start_.limits;
    const Milliseconds wait = query.at_once ? limits.list_full_timeout : query.hold + limits.list_poll_grace;
    const bool watches = !query.at_once;
    log_(Level::debug, "list: call ", ++calls_, " ", path);
    lease_.asked(Clock::now(), watches ? std::optional(query.hold) : std::nullopt);
    if (watches) {
        stands_.expires_after(lease_.stands_after());
        stands_.async_wait([this](boost::system::error_code failed) {
            if (failed) return;
            lease_.still_open(Clock::now());
            lease_changed();
        });
    }
    const http::Call got = co_await link_.call("GET", path, "", wait, false, answer);
    stands_.cancel();
    co_return got;
}

// What came, taken where it is whole and sound.
Watch::Result Watch::read(const Query &query, http::Call got, const http::Answer &answer) {
    if (answer.headed() && answer.status() != 200)
        return {Outcome::refused, "status " + std::to_string(answer.status())};
    if (answer.bad() || (answer.begun() && !answer.done()))
        return {Outcome::unreadable, "an answer that cannot be read"};
    if (got == http::Call::unsent) return {Outcome::unreached, "cannot be reached"};
    if (got == http::Call::unclear)
        return {link_.timed_out() ? Outcome::silent : Outcome::broken, "no answer"};
    const json body = json::parse(answer.body(), nullptr, false);
    if (body.is_discarded()) return {Outcome::unreadable, "not JSON"};
    try {
        const Listing listing = read_listing(body, start_.names);
        if (query.whole && !listing.whole) return {Outcome::unreadable, "not the whole list"};
        // Changes from before what is known: discovery began anew, so the whole list is asked for.
        if (!listing.whole && listing.version < version_) {
            whole_due_ = true;
            return {Outcome::unreadable, "changes from before what is known"};
        }
        take(listing);
    } catch (const std::exception &bad) {
        return {Outcome::unreadable, bad.what()};
    }
    said_failing_ = at_once_ = false;
    return {Outcome::taken};
}

void Watch::start_from(const Listing &listing) { take(listing); }

void Watch::take(const Listing &listing) {
    version_ = listing.version;
    ++answers_;
    std::vector<membership::Record> records;
    for (const membership::Member &host : listing.hosts)
        records.push_back({.key = host.entry.id,
                           .rev = answers_,
                           .gone = host.entry.status == HostStatus::gone,
                           .member = host});
    if (listing.whole) {
        std::erase_if(records, [](const membership::Record &one) { return one.gone; });
        view_.begin_read();
        view_.page(records);
        view_.end_read(answers_);
    } else {
        for (const membership::Record &record : records) view_.change(record);
    }
    told_(view_.take().value_or(membership::Listing{}));
}

} // namespace pineridge::router::list
