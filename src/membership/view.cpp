#include "membership/view.hpp"

#include <algorithm>

namespace pineridge::membership {

namespace {

constexpr std::size_t kMostLines = 256;

} // namespace

void View::clock(Ticks now) {
    now_ = std::max(now_, now);
    if (confirm_at_ >= 0 && now_ >= confirm_at_ && !reading_) {
        confirm_at_ = -1;
        if (!doubted_.empty()) ask_ = Ask::whole;
    }
    if (doubt_since_ < 0 || now_ < doubt_since_ + rules_.doubt_for) return;
    lines_.push_back("doubt over: " + std::to_string(doubted_.size()) + " hosts gone for good");
    let_go();
}

void View::let_go() {
    for (const std::string &key : std::exchange(doubted_, {})) remove(key);
    doubt_since_ = -1;
}

void View::heard(std::int64_t rev) {
    rev_ = std::max(rev_, rev);
    told_at_ = now_;
    ++words_;
    lag_since_ = -1;
}

void View::start_from(const std::vector<Record> &known) {
    if (synced_) return;
    for (const Record &record : known) {
        Record old = record;
        old.rev = 0; // whatever the registry tells is newer
        put(old);
    }
}

void View::begin_read() {
    reading_ = true;
    read_.clear();
    meanwhile_.clear();
}

void View::drop_read() {
    reading_ = false;
    read_.clear();
    // What was told beside it counts.
    for (const Record &record : std::exchange(meanwhile_, {})) change(record);
    ask_ = Ask::whole;
}

void View::page(const std::vector<Record> &records) {
    if (!reading_) return;
    for (const Record &record : records)
        if (read_.size() < rules_.most) read_[record.key] = record;
}

bool View::lags(std::int64_t rev) {
    if (rev >= rev_) return false;
    if (lag_since_ < 0) lag_since_ = now_;
    if (now_ - lag_since_ < rules_.lag_for) {
        lines_.push_back("a member that lags: revision " + std::to_string(rev) + " below " +
                         std::to_string(rev_));
        return true;
    }
    lines_.push_back("the registry counts anew: revision " + std::to_string(rev) + " after " +
                     std::to_string(rev_));
    rev_ = 0;
    for (auto &[key, held] : held_) held.record.rev = 0, held.recounted = true;
    gone_.clear();
    return false;
}

void View::end_read(std::int64_t rev) {
    if (!std::exchange(reading_, false)) return;
    if (lags(rev)) {
        read_.clear();
        for (const Record &record : std::exchange(meanwhile_, {})) change(record);
        ask_ = Ask::elsewhere;
        return;
    }
    const std::map<std::string, Record> read = std::exchange(read_, {});
    std::set<std::string> lacking;
    std::size_t usable = 0;
    for (const auto &[key, held] : held_) {
        usable += held.record.member.has_value();
        if (!read.count(key) && held.record.rev <= rev) lacking.insert(key);
    }
    for (const auto &[key, record] : read) {
        const auto gone = gone_.find(key);
        if (gone != gone_.end() && gone->second >= record.rev) continue; // told gone by a word that is newer
        if (!record.same) put(record);
    }
    gone_.clear();
    // Stops a registry that came back empty, or half, from emptying the fleet; costs the told time when it is
    // true.
    const bool many = lacking.size() >= rules_.doubt_least &&
                      static_cast<double>(lacking.size()) >= rules_.doubt_share * static_cast<double>(usable);
    const bool confirmed = doubt_since_ >= 0 && now_ - doubt_since_ >= rules_.confirm_after &&
                           std::includes(doubted_.begin(), doubted_.end(), lacking.begin(), lacking.end());
    if (!many || confirmed) {
        doubted_ = lacking;
        let_go();
    } else {
        if (doubt_since_ < 0) doubt_since_ = now_;
        lines_.push_back("doubt: " + std::to_string(lacking.size()) + " of " + std::to_string(usable) +
                         " hosts missing at revision " + std::to_string(rev));
        doubted_ = std::move(lacking);
        confirm_at_ = now_ + rules_.confirm_after;
    }
    heard(rev);
    synced_ = true;
    for (const Record &record : std::exchange(meanwhile_, {})) change(record);
    ask_ = Ask::resume;
}

void View::change(const Record &record) {
    if (reading_) {
        // A drain is honoured at once, whatever is being read; the rest is sorted in when the read has ended.
        if (meanwhile_.size() < rules_.most) meanwhile_.push_back(record);
        const auto at = held_.find(record.key);
        const bool narrows =
            record.gone || (record.member && record.member->entry.status != HostStatus::ready);
        if (at == held_.end() || !narrows) return;
    }
    const auto at = held_.find(record.key);
    if (at != held_.end() && record.rev <= at->second.record.rev) return;
    const auto gone = gone_.find(record.key);
    if (at == held_.end() && gone != gone_.end() && record.rev <= gone->second) return;
    heard(record.rev);
    doubted_.erase(record.key);
    if (doubted_.empty()) doubt_since_ = -1;
    if (!record.gone) return put(record);
    gone_[record.key] = record.rev;
    if (gone_.size() > rules_.most) gone_.erase(gone_.begin());
    remove(record.key);
}

void View::progress(std::int64_t rev) { heard(rev); }

void View::broken() {
    if (reading_) return drop_read();
    ask_ = synced_ ? Ask::resume : Ask::whole;
}

void View::compacted() {
    lines_.push_back("resume from " + std::to_string(rev_ + 1) + " is compacted: reading the whole");
    ask_ = Ask::whole;
}

void View::missed(const std::string &what) {
    lines_.push_back("the watch has missed " + what + ": reading the whole");
    ask_ = Ask::whole;
}

std::int64_t View::revision_of(const std::string &key) const {
    const auto at = held_.find(key);
    const auto faulty = faulty_.find(key);
    return std::max(at == held_.end() ? 0 : at->second.record.rev,
                    faulty == faulty_.end() ? 0 : faulty->second);
}

void View::member_at(std::int64_t rev) {
    if (rev < rev_) ask_ = lags(rev) ? Ask::elsewhere : Ask::whole;
}

void View::name_fault(const Record &record) {
    ++unreadable_;
    const bool named = faulty_.count(record.key) > 0;
    faulty_[record.key] = record.rev;
    if (!named && lines_.size() < kMostLines)
        lines_.push_back("unreadable: " + record.key + ": " + record.fault);
    if (faulty_.size() > rules_.most) faulty_.erase(faulty_.begin());
}

void View::put(const Record &record) {
    const auto at = held_.find(record.key);
    if (!record.member) {
        name_fault(record);
        if (at != held_.end()) at->second.record.rev = std::max(at->second.record.rev, record.rev);
        return;
    }
    faulty_.erase(record.key);
    if (at == held_.end()) {
        if (held_.size() >= rules_.most)
            return name_fault({record.key, record.rev, false, {}, "over the bound of hosts"});
        held_[record.key] = {record, false};
        return note(record.key);
    }
    if (record.rev < at->second.record.rev) return;
    doubted_.erase(record.key);
    HostEntry before = at->second.record.member->entry;
    const bool anew = std::exchange(at->second.recounted, false);
    at->second.record = record;
    HostEntry &entry = at->second.record.member->entry;
    if (anew && before.status == HostStatus::draining && before.started == entry.started)
        entry.status = before.status;
    note(record.key);
}

void View::remove(const std::string &key) {
    const auto at = held_.find(key);
    if (at == held_.end()) return;
    if (at->second.listed) {
        left_.push_back(at->second.record.member->entry);
        left_.back().status = HostStatus::gone;
    }
    held_.erase(at);
    dirty_.erase(key);
}

void View::note(const std::string &key) { dirty_.insert(key); }

std::optional<Listing> View::take() {
    if (dirty_.empty() && left_.empty()) return std::nullopt;
    Listing listing;
    for (HostEntry &entry : left_) listing.members.push_back({std::move(entry), {}});
    left_.clear();
    for (const std::string &key : std::exchange(dirty_, {})) {
        Held &held = held_.at(key);
        held.listed = true;
        listing.members.push_back(*held.record.member);
    }
    return listing;
}

Ask View::ask() { return std::exchange(ask_, Ask::nothing); }

std::vector<Record> View::records() const {
    std::vector<Record> all;
    for (const auto &[key, held] : held_) all.push_back(held.record);
    return all;
}

} // namespace pineridge::membership
