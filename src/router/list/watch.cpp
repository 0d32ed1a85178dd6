#include "router/list/watch.hpp"

namespace pineridge::router::list {

void Watch::begin() {
    if (std::exchange(running_, true)) return;
    asio::co_spawn(io_, run(), asio::detached);
}

void Watch::move_to(const Address &address) {
    if (!link_.move_to(address)) return;
    log_(Level::info, "list: from ", address, " now");
    moved_ = at_once_ = true;
    count_told_in(start_.limits.list_moved_told);
    pause_.cancel();
    begin();
}

// Whatever discovery has to tell counts as told by then, whether or not it has come; the earliest such time
// holds. Stops picks at hosts that drained unheard, at the cost of those to all others until an answer has
// come.
void Watch::count_told_in(Span span) {
    const auto at = std::chrono::steady_clock::now() + span;
    if (is_overdue_ || (waits_told_ && told_by_.expiry() <= at)) return;
    waits_told_ = true;
    told_by_.expires_at(at);
    told_by_.async_wait([this](boost::system::error_code failed) {
        if (failed || !waits_told_) return;
        waits_told_ = false;
        is_overdue_ = true;
        log_(Level::warning, "list: overdue, nothing is sent until it has come");
        overdue_(true);
    });
}

asio::awaitable<void> Watch::wait(Span about) {
    pause_.expires_after(about * std::uniform_int_distribution(50, 100)(chance_) / 100);
    co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Watch::first() {
    begin();
    asio::steady_timer timer(io_);
    while (!first_over_) {
        timer.expires_after(std::chrono::milliseconds(5));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> Watch::run() {
    const Limits &limits = start_.limits;
    std::string why;
    std::size_t silent = 0; // calls in a row since a watch fell silent
    for (std::size_t spoilt = 0;;) {
        const bool whole = std::exchange(whole_due_, false);
        const auto asked = std::chrono::steady_clock::now();
        const auto took = [&] { return std::chrono::steady_clock::now() - asked; };
        // Each waits for a time of its own. Stops watches that were opened together, as a change of the list
        // has them, from falling silent and being opened anew together: discovery answers one call after
        // another.
        // A first call waits for nothing: what an agent has, and what has been missed while discovery moved,
        // counts soon. It asks for what has changed, as the whole list of a fleet's routers that move
        // together would fill discovery's line.
        const bool at_once = at_once_ || (start_.list_at_hand && !first_over_);
        const Span hold =
            at_once ? Span(1) : limits.list_hold * std::uniform_int_distribution(50, 100)(chance_) / 100;
        const std::int64_t answers = answers_, version = version_;
        try {
            why = co_await ask(whole, at_once, hold);
            spoilt = 0;
            // A watch that stood for its whole wait and said nothing has fallen silent: no overload, and what
            // it missed counts as told soon. Stops picks at hosts long drained while the next call waits its
            // turn.
            if (!why.empty() && !whole && !at_once && took() >= hold) {
                log_(Level::info, "list: a silent watch, asked anew: ", why);
                link_.close();
                silent = 1;
                count_told_in(limits.list_told - limits.list_grace);
                continue;
            }
        } catch (const std::exception &bad) {
            // Nothing of it is believed; the same is asked for at once, as a watch goes on only then.
            why = bad.what();
            link_.close();
            if (++spoilt < limits.spoilt) {
                log_(Level::info, "list: spoilt: ", why);
                whole_due_ = whole_due_ || whole;
                continue;
            }
        }
        first_over_ = true;
        if (why.empty()) {
            silent = 0;
            // Stops a discovery that answers at once with nothing new from being asked without a pause.
            if (answers_ > answers && version_ == version && !whole && !at_once && took() < hold / 4)
                co_await wait(limits.list_again);
            continue;
        }
        if (std::exchange(moved_, false) || whole_due_) continue;
        whole_due_ = whole;
        const bool again = start_.list_at_hand || (silent > 0 && silent <= limits.list_tries);
        if (!again) break;
        // An agent beside this router has to be heard as soon as it knows anything again; of a discovery for
        // all the next call is tried a few times soon, ever later.
        if (!std::exchange(said_, true)) log_(Level::warning, "list: ", why);
        link_.close();
        co_await wait(start_.list_at_hand ? limits.list_again : limits.list_again * (1 << silent++));
    }
    log_(Level::warning, "list: ", why);
    link_.close();
    running_ = false;
    failed_();
}

// Why it failed, or nothing. Throws for an answer that cannot be read.
asio::awaitable<std::string> Watch::ask(bool whole, bool at_once, Span hold) {
    const Limits &limits = start_.limits;
    http::Answer answer(limits.head, limits.list_body);
    const std::string path =
        whole ? "/v1/endpoints"
              : "/v1/endpoints?from=" + std::to_string(version_) + "&hold_ms=" + std::to_string(hold.count());
    const Span wait = whole || at_once ? limits.list_whole : hold + limits.list_grace;
    const auto asked = std::chrono::steady_clock::now();
    log_(Level::debug, "list: call ", ++calls_, " ", path);
    const http::Call got = co_await link_.call("GET", path, "", wait, true, answer);
    const auto took = std::chrono::duration_cast<Span>(std::chrono::steady_clock::now() - asked);
    log_(Level::debug, "list: call ", calls_, " ended ", static_cast<int>(got), " status ",
         answer.done() ? answer.status() : 0, " after ", took.count(), " ms");
    if (answer.bad() || (answer.begun() && !answer.done())) wrong("list", "an answer that cannot be read");
    if (got != http::Call::answered) co_return "no answer";
    if (answer.status() != 200) co_return "status " + std::to_string(answer.status());
    const json body = json::parse(answer.body(), nullptr, false);
    if (body.is_discarded()) wrong("list", "not JSON");
    const Listing listing = read_listing(body, start_.names);
    if (whole && !listing.whole) wrong("list", "not the whole list");
    // Changes from before what is known: discovery began anew, so the whole list is asked for.
    if (!listing.whole && listing.version < version_) {
        whole_due_ = true;
        co_return "";
    }
    take(listing);
    co_return "";
}

void Watch::take(const Listing &listing) {
    version_ = listing.version;
    ++answers_;
    std::vector<membership::Record> records;
    for (const membership::Member &host : listing.hosts)
        records.push_back({.key = host.entry.id,
                           .rev = answers_,
                           .gone = host.entry.standing == Standing::gone,
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
    waits_told_ = said_ = at_once_ = false;
    told_by_.cancel();
    if (std::exchange(is_overdue_, false)) overdue_(false);
}

} // namespace pineridge::router::list
