#include "rehearsal/rehearsal.hpp"

#include <algorithm>
#include <utility>

namespace pineridge::rehearsal {

Rehearsal::Rehearsal(std::unique_ptr<Router> module, std::unique_ptr<Router> other)
    : module_(std::move(module)), other_(std::move(other)) {}

void Rehearsal::set_time(Ticks now) {
    module_->set_time(now);
    other_->set_time(now);
}

void Rehearsal::update_hosts(const std::vector<HostEntry> &entries, bool whole) {
    module_->update_hosts(entries, whole);
    other_->update_hosts(entries, whole);
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
    other_->host_list_failed(lease_left);
}

void Rehearsal::set_host_list_lease(Ticks until, Ticks outage_until) {
    module_->set_host_list_lease(until, outage_until);
    other_->set_host_list_lease(until, outage_until);
}

void Rehearsal::rpc_arrived(Arrival arrival) {
    open_[arrival.id] = {};
    other_->rpc_arrived(arrival);
    module_->rpc_arrived(std::move(arrival));
}

void Rehearsal::pick_ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                           const std::vector<double> &report) {
    module_->pick_ended(rpc, pick, outcome, took, complete, report);
    const auto at = open_.find(rpc);
    if (at == open_.end()) return;
    Open &open = at->second;
    const auto place = static_cast<std::size_t>(pick);
    const auto close = [&](Side &side) {
        const bool stands = pick >= 0 && place < side.picks.size() && side.picks[place];
        if (stands) side.picks[place] = false;
        return stands;
    };
    close(open.real);
    if (close(open.other)) {
        other_->pick_ended(rpc, pick, outcome, took, complete, report);
        open.other.settled = open.other.settled || complete || outcome == Outcome::ok;
    }
    if (complete || outcome == Outcome::ok) end(rpc);
    release(rpc);
}

void Rehearsal::rpc_finished(const std::string &rpc, int streams) {
    module_->rpc_finished(rpc, streams);
    end(rpc);
}

void Rehearsal::answer_flagged(const std::string &host, Ticks age) {
    module_->answer_flagged(host, age);
    other_->answer_flagged(host, age);
}

void Rehearsal::update_rollout(const RolloutUpdate &told) {
    module_->update_rollout(told);
    other_->update_rollout(told);
    if (told.valid) close_votes(told.build, told.stage);
}

void Rehearsal::add_platform_stats(const PlatformStats &row) {
    module_->add_platform_stats(row);
    other_->add_platform_stats(row);
}

void Rehearsal::receive_summary(int peer, const std::string &bytes) {
    module_->receive_summary(peer, bytes);
    other_->receive_summary(peer, bytes);
}

void Rehearsal::set_cell_share(int build, int cell, double share) {
    module_->set_cell_share(build, cell, share);
    other_->set_cell_share(build, cell, share);
}

Decision Rehearsal::next_decision() {
    Decision made = module_->next_decision();
    note(made, false);
    if (made.action == Action::none) hear_other();
    return made;
}

void Rehearsal::note(const Decision &made, bool other) {
    if (made.action == Action::vote) {
        if (made.build != votes_.build || made.stage != votes_.stage) close_votes(made.build, made.stage);
        if (made.verdict == Verdict::advance) votes_.on[other] = true;
        if (made.verdict == Verdict::roll_back) votes_.back[other] = true;
        return;
    }
    const auto at = open_.find(made.rpc);
    if (at == open_.end()) return;
    Side &side = other ? at->second.other : at->second.real;
    switch (made.action) {
    case Action::pick:
        if (side.picks.empty()) side.host = made.host;
        side.picks.push_back(true);
        return;
    case Action::push_back:
    case Action::abort:
        side.turned_away = side.picks.empty();
        side.settled = true;
        if (!other) end(made.rpc);
        return;
    default: return; // cuts are not compared; words, wakes, lists and lines are the first module's matter
    }
}

// Its wakes are not heeded: the first module's come every tenth of a second, and it is asked at each.
void Rehearsal::hear_other() {
    for (Decision made = other_->next_decision(); made.action != Action::none; made = other_->next_decision())
        note(made, true);
    for (const std::string &rpc : std::exchange(over_, {})) compare(rpc);
    while (other_->next_decision().action != Action::none) {
    } // what it has left of these
}

void Rehearsal::end(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end() || std::exchange(at->second.over, true)) return;
    over_.push_back(rpc);
}

void Rehearsal::compare(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end()) return;
    const Side &real = at->second.real;
    const Side &other = at->second.other;
    ++seen_.rpcs;
    seen_.push_backs += real.turned_away != other.turned_away;
    seen_.copies += (real.picks.size() > 1) != (other.picks.size() > 1);
    if (!real.picks.empty() && !other.picks.empty()) {
        const bool builds = build_of(real.host) != build_of(other.host);
        seen_.builds += builds;
        seen_.hosts += !builds && real.host != other.host;
    }
    // Stops the other module from holding what the first has answered.
    if (!other.settled) other_->rpc_finished(rpc, -1);
    at->second.compared = true;
    release(rpc);
}

// Stops the other module from learning of picks never sent: those that no real one stands for end as
// cancelled.
void Rehearsal::release(const std::string &rpc) {
    const auto at = open_.find(rpc);
    if (at == open_.end() || !at->second.compared) return;
    const auto out = [](const Side &side) {
        return std::count(side.picks.begin(), side.picks.end(), true) > 0;
    };
    if (out(at->second.real)) return;
    const std::vector<bool> &picks = at->second.other.picks;
    for (std::size_t i = 0; i < picks.size(); ++i)
        if (picks[i]) other_->pick_ended(rpc, static_cast<int>(i), Outcome::cancelled, 0, false, {});
    open_.erase(at);
}

void Rehearsal::close_votes(int build, int stage) {
    if (build == votes_.build && stage == votes_.stage) return;
    seen_.votes_on += votes_.on[0] != votes_.on[1];
    seen_.votes_back += votes_.back[0] != votes_.back[1];
    votes_ = {build, stage};
}

int Rehearsal::build_of(const std::string &host) const {
    const auto at = builds_.find(host);
    return at == builds_.end() ? -1 : at->second;
}

} // namespace pineridge::rehearsal
