#include "router/list/watch.hpp"

namespace pineridge::router::list {

void Watch::begin() {
    if (std::exchange(running_, true)) return;
    asio::co_spawn(io_, run(), asio::detached);
}

void Watch::move_to(const Address &address) {
    if (!link_.move_to(address)) return;
    log_(Level::info, "list: from ", address, " now");
    whole_due_ = true;
    begin();
}

asio::awaitable<void> Watch::run() {
    std::string why;
    for (std::size_t spoilt = 0;;) {
        const bool whole = std::exchange(whole_due_, false);
        const auto asked = std::chrono::steady_clock::now();
        try {
            why = co_await ask(whole);
            spoilt = 0;
            // A watch that stood for its whole wait and said nothing has fallen silent: no overload, and what it
            // missed counts as told soon. Stops picks at hosts long drained while the next call waits its turn.
            if (!why.empty() && !whole &&
                std::chrono::steady_clock::now() - asked >= start_.limits.list_hold) {
                log_(Level::info, "list: a silent watch, asked anew: ", why);
                link_.close();
                continue;
            }
        } catch (const std::exception &bad) {
            // Nothing of it is believed; the same is asked for at once, as a watch goes on only then.
            why = bad.what();
            link_.close();
            if (++spoilt < start_.limits.spoilt) {
                log_(Level::info, "list: spoilt: ", why);
                whole_due_ = whole_due_ || whole;
                continue;
            }
        }
        if (why.empty() || whole_due_) continue;
        whole_due_ = whole;
        break;
    }
    log_(Level::warning, "list: ", why);
    link_.close();
    running_ = false;
    failed_();
}

// Why it failed, or nothing. Throws for an answer that cannot be read.
asio::awaitable<std::string> Watch::ask(bool whole) {
    const Limits &limits = start_.limits;
    http::Answer answer(limits.head, limits.list_body);
    const std::string path = whole ? "/v1/endpoints"
                                   : "/v1/endpoints?from=" + std::to_string(version_) +
                                         "&hold_ms=" + std::to_string(limits.list_hold.count());
    const Span wait = whole ? limits.list_whole : limits.list_hold + limits.list_grace;
    const http::Call got = co_await link_.call("GET", path, "", wait, true, answer);
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
}

} // namespace pineridge::router::list
