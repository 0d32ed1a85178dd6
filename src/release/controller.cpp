#include "release/controller.hpp"

namespace pineridge::release {

using asio::as_tuple;
using asio::use_awaitable;

Controller::Controller(asio::io_context &io, const ReleaseSettings &scheme,
                       const std::vector<std::string> &tenants, const Limits &limits, const Log &log,
                       const std::string &router, std::uint64_t seed, Clock clock,
                       ShareHandler on_share_change)
    : io_(io), limits_(limits), log_(log), clock_(std::move(clock)),
      on_share_change_(std::move(on_share_change)), plan_(scheme) {
    const int zone = scheme.zone_index(scheme.zone);
    for (const std::string &tenant : tenants) {
        const int customer = scheme.customer_index(tenant);
        cells_.push_back(customer < 0 ? -1 : scheme.cell(zone, customer));
    }
    if (!scheme.desk.empty())
        desk_.emplace(io, read_address(scheme.desk, "desk.address"), limits, log, router, seed, plan_,
                      [this] { process_plan(); });
}

void Controller::start() {
    plan_.set_time(clock_());
    if (desk_) desk_->start();
    asio::co_spawn(io_, run_timer(), asio::detached);
}

asio::awaitable<void> Controller::run_timer() {
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(limits_.plan_interval);
        co_await timer.async_wait(as_tuple(use_awaitable));
        process_plan();
    }
}

void Controller::process_plan() {
    plan_.set_time(clock_());
    for (const ShareChange &change : plan_.take_share_changes()) on_share_change_(change);
    for (const LogEvent &event : plan_.take_log_events()) log_.event(Level::info, event.name, event.fields);
    if (!desk_) return;
    while (const std::optional<Opinion> opinion = plan_.next_opinion()) desk_->send_opinion(*opinion);
}

void Controller::record_arrival(int cell) {
    if (cell >= 0) plan_.record_arrival(cell);
}

void Controller::record_pick_end(int build, int cell, Outcome outcome) {
    if (cell >= 0 && !proves_not_executed(outcome)) plan_.record_pick(build, cell);
}

// A verdict to roll back does not wait for the timer. It is processed after the driver has taken all
// decisions of the module.
void Controller::set_verdict(int build, Verdict verdict) {
    plan_.set_verdict(build, verdict);
    if (verdict == Verdict::roll_back) asio::post(io_, [this] { process_plan(); });
}

// For a build that the platform has released or rolled back, the votes of all routers replace the verdict of
// this router's own module.
void Controller::update_rollout(const RolloutUpdate &update) {
    if (update.phase == Phase::released) plan_.set_verdict(update.build, Verdict::advance);
    if (update.phase == Phase::rolling_back || update.phase == Phase::withdrawn)
        plan_.set_verdict(update.build, Verdict::roll_back);
}

} // namespace pineridge::release
