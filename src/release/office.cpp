#include "release/office.hpp"

namespace pineridge::release {

using asio::as_tuple;
using asio::use_awaitable;

Office::Office(asio::io_context &io, const Scheme &scheme, const std::vector<std::string> &tenants,
               const Limits &limits, const Log &log, const std::string &router, std::uint64_t seed,
               Clock clock, Allow allow)
    : io_(io), limits_(limits), log_(log), clock_(std::move(clock)), allow_(std::move(allow)), plan_(scheme) {
    const int zone = scheme.zone_at(scheme.zone);
    for (const std::string &tenant : tenants) {
        const int customer = scheme.customer_at(tenant);
        cells_.push_back(customer < 0 ? -1 : scheme.cell(zone, customer));
    }
    if (!scheme.desk.empty())
        desk_.emplace(io, read_address(scheme.desk, "desk.address"), limits, log, router, seed, plan_,
                      [this] { flush(); });
}

void Office::begin() {
    plan_.clock(clock_());
    if (desk_) desk_->begin();
    asio::co_spawn(io_, beat(), asio::detached);
}

asio::awaitable<void> Office::beat() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(limits_.plan_beat);
        co_await timer.async_wait(as_tuple(use_awaitable));
        flush();
    }
}

void Office::flush() {
    plan_.clock(clock_());
    for (const Change &change : plan_.take_changes()) allow_(change);
    for (const Line &line : plan_.take_lines()) log_.event(Level::info, line.name, line.fields);
    if (!desk_) return;
    while (const std::optional<Opinion> opinion = plan_.next_opinion()) desk_->give(*opinion);
}

void Office::arrived(int cell) {
    if (cell >= 0) plan_.arrived(cell);
}

void Office::ended(int build, int cell, Outcome outcome) {
    if (cell >= 0 && !proves_not_executed(outcome)) plan_.seen(build, cell);
}

// A verdict back does not wait for the beat; it is told once the module has been asked to the end.
void Office::judged(int build, Verdict verdict) {
    plan_.verdict(build, verdict);
    if (verdict == Verdict::roll_back) asio::post(io_, [this] { flush(); });
}

// What the platform has released or withdrawn was judged to its end, by the votes of all modules.
void Office::news(const RolloutUpdate &news) {
    if (news.phase == Phase::released) plan_.verdict(news.build, Verdict::advance);
    if (news.phase == Phase::rolling_back || news.phase == Phase::withdrawn)
        plan_.verdict(news.build, Verdict::roll_back);
}

} // namespace pineridge::release
