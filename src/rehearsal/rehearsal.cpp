#include "rehearsal/rehearsal.hpp"

#include <algorithm>
#include <utility>

namespace pineridge::rehearsal {

Rehearsal::Rehearsal(std::unique_ptr<Router> module, std::unique_ptr<Router> other)
    : module_(std::move(module)), other_(std::move(other)) {}

void Rehearsal::clock(Ticks now) {
    module_->clock(now);
    other_->clock(now);
}

void Rehearsal::list(const std::vector<HostEntry> &entries, bool whole) {
    module_->list(entries, whole);
    other_->list(entries, whole);
    if (whole) builds_.clear();
    for (const HostEntry &entry : entries) {
        if (entry.standing == Standing::gone)
            builds_.erase(entry.id);
        else
            builds_[entry.id] = entry.build;
    }
}

void Rehearsal::list_failed(Ticks lease_left) {
    module_->list_failed(lease_left);
    other_->list_failed(lease_left);
}

void Rehearsal::list_lease(Ticks until, Ticks outage_until) {
    module_->list_lease(until, outage_until);
    other_->list_lease(until, outage_until);
}

void Rehearsal::arrived(Arrival arrival) {
    open_[arrival.id] = {};
    other_->arrived(arrival);
    module_->arrived(std::move(arrival));
}

void Rehearsal::ended(const std::string &rpc, int pick, Outcome outcome, Ticks took, bool complete,
                      const std::vector<double> &report) {
    module_->ended(rpc, pick, outcome, took, complete, report);
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
        other_->ended(rpc, pick, outcome, took, complete, report);
        open.other.settled = open.other.settled || complete || outcome == Outcome::ok;
    }
    if (complete || outcome == Outcome::ok) end(rpc);
    release(rpc);
}

void Rehearsal::finished(const std::string &rpc, int streams) {
    module_->finished(rpc, streams);
    end(rpc);
}

void Rehearsal::flagged(const std::string &host, Ticks age) {
    module_->flagged(host, age);
    other_->flagged(host, age);
}

void Rehearsal::news(const News &told) {
    module_->news(told);
    other_->news(told);
    if (told.valid) close_votes(told.build, told.stage);
}

void Rehearsal::tally(const Tally &row) {
    module_->tally(row);
    other_->tally(row);
}

void Rehearsal::heard(int peer, const std::string &bytes) {
    module_->heard(peer, bytes);
    other_->heard(peer, bytes);
}

void Rehearsal::allow(int build, int cell, double share) {
    module_->allow(build, cell, share);
    other_->allow(build, cell, share);
}

Decision Rehearsal::next() {
    Decision made = module_->next();
    note(made, false);
    if (made.act == Act::none) hear_other();
    return made;
}

void Rehearsal::note(const Decision &made, bool other) {
    if (made.act == Act::vote) {
        if (made.build != votes_.build || made.stage != votes_.stage) close_votes(made.build, made.stage);
        if (made.verdict == Verdict::on) votes_.on[other] = true;
        if (made.verdict == Verdict::back) votes_.back[other] = true;
        return;
    }
    const auto at = open_.find(made.rpc);
    if (at == open_.end()) return;
    Side &side = other ? at->second.other : at->second.real;
    switch (made.act) {
    case Act::pick:
        if (side.picks.empty()) side.host = made.host;
        side.picks.push_back(true);
        return;
    case Act::push_back:
    case Act::abort:
        side.turned_away = side.picks.empty();
        side.settled = true;
        if (!other) end(made.rpc);
        return;
    default: return; // cuts are not compared; words, wakes, lists and lines are the first module's matter
    }
}

// Its wakes are not heeded: the first module's come every tenth of a second, and it is asked at each.
void Rehearsal::hear_other() {
    for (Decision made = other_->next(); made.act != Act::none; made = other_->next()) note(made, true);
    for (const std::string &rpc : std::exchange(over_, {})) compare(rpc);
    while (other_->next().act != Act::none) {
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
    if (!other.settled) other_->finished(rpc, -1);
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
        if (picks[i]) other_->ended(rpc, static_cast<int>(i), Outcome::undone, 0, false, {});
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
