#include "rehearsal/rehearsal.hpp"

#include <algorithm>
#include <utility>

namespace pineridge::rehearsal {

Rehearsal::Rehearsal(std::unique_ptr<Router> module, std::unique_ptr<Router> shadow)
    : module_(std::move(module)), shadow_(std::move(shadow)) {}

void Rehearsal::set_time(Ticks now) {
    module_->set_time(now);
    shadow_->set_time(now);
}

void Rehearsal::update_hosts(const std::vector<HostEntry> &entries, bool whole) {
    module_->update_hosts(entries, whole);
    shadow_->update_hosts(entries, whole);
    if (whole) builds_.clear();
    for (const HostEntry &entry : entries) {
        if (entry.status == HostStatus::gone)
            builds_.erase(entry.id);
        else
            builds_[entry.id] = entry.build;
    }
}

void Rehearsal::host_list_failed(Ticks lease_left) {
    module_->host_list_failed(lease_left);
    shadow_->host_list_failed(lease_left);
}

void Rehearsal::set_host_list_lease(Ticks until, Ticks outage_until) {
    module_->set_host_list_lease(until, outage_until);
    shadow_->set_host_list_lease(until, outage_until);
}

void Rehearsal::rpc_arrived(Arrival arrival) {
    open_[arrival.id] = {};
    shadow_->rpc_arrived(arrival);
    module_->rpc_arrived(std::move(arrival));
}

void Rehearsal::pick_ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                           const std::vector<double> &report) {
    module_->pick_ended(rpc, pick, outcome, took, complete, report);
    const auto at = open_.find(rpc);
    if (at == open_.end()) return;
    OpenRpc &open_rpc = at->second;
    const auto index = static_cast<std::size_t>(pick);
    const auto close = [&](Side &side) {
        const bool was_open = pick >= 0 && index < side.picks.size() && side.picks[index];
        if (was_open) side.picks[index] = false;
        return was_open;
    };
    close(open_rpc.real);
    if (close(open_rpc.shadow)) {
        shadow_->pick_ended(rpc, pick, outcome, took, complete, report);
        open_rpc.shadow.answered = open_rpc.shadow.answered || complete || outcome == Outcome::ok;
    }
    if (complete || outcome == Outcome::ok) mark_ended(rpc);
    erase_if_done(rpc);
}

void Rehearsal::rpc_finished(const std::string &rpc, int streams) {
    module_->rpc_finished(rpc, streams);
    mark_ended(rpc);
}

void Rehearsal::answer_flagged(const std::string &host, Ticks age) {
    module_->answer_flagged(host, age);
    shadow_->answer_flagged(host, age);
}

void Rehearsal::update_rollout(const RolloutUpdate &update) {
    module_->update_rollout(update);
    shadow_->update_rollout(update);
    if (update.valid) count_votes(update.build, update.stage);
}

void Rehearsal::add_platform_stats(const PlatformStats &row) {
    module_->add_platform_stats(row);
    shadow_->add_platform_stats(row);
}

void Rehearsal::receive_summary(int peer, const std::string &bytes) {
    module_->receive_summary(peer, bytes);
    shadow_->receive_summary(peer, bytes);
}

void Rehearsal::set_cell_share(int build, int cell, double share) {
    module_->set_cell_share(build, cell, share);
    shadow_->set_cell_share(build, cell, share);
}

Decision Rehearsal::next_decision() {
    Decision decision = module_->next_decision();
    record(decision, false);
    if (decision.action == Action::none) run_shadow();
    return decision;
}

void Rehearsal::record(const Decision &decision, bool shadow) {
    if (decision.action == Action::vote) {
        if (decision.build != votes_.build || decision.stage != votes_.stage)
            count_votes(decision.build, decision.stage);
        if (decision.verdict == Verdict::advance) votes_.on[shadow] = true;
        if (decision.verdict == Verdict::roll_back) votes_.back[shadow] = true;
        return;
    }
    const auto at = open_.find(decision.rpc);
    if (at == open_.end()) return;
    Side &side = shadow ? at->second.shadow : at->second.real;
    switch (decision.action) {
    case Action::pick:
        if (side.picks.empty()) side.host = decision.host;
        side.picks.push_back(true);
        return;
    case Action::push_back:
    case Action::abort:
        side.rejected = side.picks.empty();
        side.answered = true;
        if (!shadow) mark_ended(decision.rpc);
        return;
    default: return; // the remaining decisions are not compared
    }
}

// Takes the shadow's decisions and compares the RPCs that have ended. The shadow's wake-ups are ignored:
// those of the real module come every 100 ms, and each one also runs the shadow.
void Rehearsal::run_shadow() {
    for (Decision decision = shadow_->next_decision(); decision.action != Action::none;
         decision = shadow_->next_decision())
        record(decision, true);
    for (const std::string &rpc : std::exchange(ended_, {})) compare(rpc);
    // Discards the decisions that result from the end of the compared RPCs.
    while (shadow_->next_decision().action != Action::none) {
    }
}

void Rehearsal::mark_ended(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end() || std::exchange(at->second.ended, true)) return;
    ended_.push_back(rpc);
}

void Rehearsal::compare(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end()) return;
    const Side &real = at->second.real;
    const Side &shadow = at->second.shadow;
    ++differences_.rpcs;
    differences_.push_backs += real.rejected != shadow.rejected;
    differences_.extra_picks += (real.picks.size() > 1) != (shadow.picks.size() > 1);
    if (!real.picks.empty() && !shadow.picks.empty()) {
        const bool builds_differ = build_of(real.host) != build_of(shadow.host);
        differences_.builds += builds_differ;
        differences_.hosts += !builds_differ && real.host != shadow.host;
    }
    // Prevents the shadow from keeping an RPC open that the real module has completed.
    if (!shadow.answered) shadow_->rpc_finished(rpc, -1);
    at->second.compared = true;
    erase_if_done(rpc);
}

// Ends the shadow's picks that have no real counterpart as cancelled, so that the shadow learns nothing from
// picks that were never sent.
void Rehearsal::erase_if_done(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end() || !at->second.compared) return;
    const auto has_open_pick = [](const Side &side) {
        return std::count(side.picks.begin(), side.picks.end(), true) > 0;
    };
    if (has_open_pick(at->second.real)) return;
    const std::vector<bool> &picks = at->second.shadow.picks;
    for (std::size_t i = 0; i < picks.size(); ++i)
        if (picks[i]) shadow_->pick_ended(rpc, static_cast<int>(i), Outcome::cancelled, 0, false, {});
    open_.erase(at);
}

void Rehearsal::count_votes(int build, int stage) {
    if (build == votes_.build && stage == votes_.stage) return;
    differences_.votes_on += votes_.on[0] != votes_.on[1];
    differences_.votes_back += votes_.back[0] != votes_.back[1];
    votes_ = {build, stage};
}

int Rehearsal::build_of(const std::string &host) const {
    const auto at = builds_.find(host);
    return at == builds_.end() ? -1 : at->second;
}

} // namespace pineridge::rehearsal
