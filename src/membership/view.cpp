#include "membership/view.hpp"

#include <algorithm>

namespace pineridge::membership {

namespace {

constexpr std::size_t kMaxPendingLogLines = 256; // above which unreadable keys are only counted

} // namespace

void View::set_time(Ticks now) {
    now_ = std::max(now_, now);
    if (confirm_at_ >= 0 && now_ >= confirm_at_ && !reading_) {
        confirm_at_ = -1;
        if (!doubted_.empty()) next_action_ = NextAction::full_read;
    }
    if (doubted_since_ < 0 || now_ < doubted_since_ + rules_.doubt_timeout) return;
    log_lines_.push_back("doubt timed out: " + std::to_string(doubted_.size()) + " missing hosts removed");
    remove_doubted();
}

void View::remove_doubted() {
    for (const std::string &key : std::exchange(doubted_, {})) remove(key);
    doubted_since_ = -1;
}

void View::record_update(std::int64_t revision) {
    revision_ = std::max(revision_, revision);
    updated_at_ = now_;
    ++update_count_;
    behind_since_ = -1;
}

void View::start_from(const std::vector<Record> &cached) {
    if (synced_) return;
    for (const Record &record : cached) {
        Record cached_record = record;
        cached_record.revision = 0; // any revision from the registry is newer
        put(cached_record);
    }
}

void View::begin_read() {
    reading_ = true;
    read_records_.clear();
    pending_changes_.clear();
}

void View::abort_read() {
    reading_ = false;
    read_records_.clear();
    // Changes received during the read stay valid.
    for (const Record &record : std::exchange(pending_changes_, {})) apply_change(record);
    next_action_ = NextAction::full_read;
}

void View::add_page(const std::vector<Record> &records) {
    if (!reading_) return;
    for (const Record &record : records)
        if (read_records_.size() < rules_.max_hosts) read_records_[record.key] = record;
}

bool View::is_behind(std::int64_t revision) {
    if (revision >= revision_) return false;
    if (behind_since_ < 0) behind_since_ = now_;
    if (now_ - behind_since_ < rules_.max_lag_time) {
        log_lines_.push_back("member is behind: revision " + std::to_string(revision) + " below " +
                             std::to_string(revision_));
        return true;
    }
    log_lines_.push_back("registry revisions were reset: revision " + std::to_string(revision) + " after " +
                         std::to_string(revision_));
    revision_ = 0;
    for (auto &[key, entry] : entries_) {
        entry.record.revision = 0;
        entry.before_reset = true;
    }
    deleted_.clear();
    return false;
}

void View::end_read(std::int64_t revision) {
    if (!std::exchange(reading_, false)) return;
    if (is_behind(revision)) {
        read_records_.clear();
        for (const Record &record : std::exchange(pending_changes_, {})) apply_change(record);
        next_action_ = NextAction::change_endpoint;
        return;
    }
    const std::map<std::string, Record> read = std::exchange(read_records_, {});
    std::set<std::string> missing;
    std::size_t usable = 0;
    for (const auto &[key, entry] : entries_) {
        usable += entry.record.member.has_value();
        if (!read.count(key) && entry.record.revision <= revision) missing.insert(key);
    }
    for (const auto &[key, record] : read) {
        const auto deleted = deleted_.find(key);
        if (deleted != deleted_.end() && deleted->second >= record.revision)
            continue; // a newer change deleted the key
        if (!record.unchanged) put(record);
    }
    deleted_.clear();
    // Prevents a registry that lost all or part of its data from removing the whole fleet. If the hosts
    // really are gone, their removal is delayed until a second read or the timeout.
    const bool many_missing =
        missing.size() >= rules_.min_doubted_hosts &&
        static_cast<double>(missing.size()) >= rules_.doubt_share * static_cast<double>(usable);
    const bool confirmed = doubted_since_ >= 0 && now_ - doubted_since_ >= rules_.confirm_after &&
                           std::includes(doubted_.begin(), doubted_.end(), missing.begin(), missing.end());
    if (!many_missing || confirmed) {
        doubted_ = missing;
        remove_doubted();
    } else {
        if (doubted_since_ < 0) doubted_since_ = now_;
        log_lines_.push_back("doubt: " + std::to_string(missing.size()) + " of " + std::to_string(usable) +
                             " hosts missing at revision " + std::to_string(revision));
        doubted_ = std::move(missing);
        confirm_at_ = now_ + rules_.confirm_after;
    }
    record_update(revision);
    synced_ = true;
    for (const Record &record : std::exchange(pending_changes_, {})) apply_change(record);
    next_action_ = NextAction::resume_watch;
}

void View::apply_change(const Record &record) {
    if (reading_) {
        // A drain or deletion applies at once, even during a read; other changes apply when the read ends.
        if (pending_changes_.size() < rules_.max_hosts) pending_changes_.push_back(record);
        const auto at = entries_.find(record.key);
        const bool removes_capacity =
            record.deleted || (record.member && record.member->entry.status != HostStatus::ready);
        if (at == entries_.end() || !removes_capacity) return;
    }
    const auto at = entries_.find(record.key);
    if (at != entries_.end() && record.revision <= at->second.record.revision) return;
    const auto deleted = deleted_.find(record.key);
    if (at == entries_.end() && deleted != deleted_.end() && record.revision <= deleted->second) return;
    record_update(record.revision);
    doubted_.erase(record.key);
    if (doubted_.empty()) doubted_since_ = -1;
    if (!record.deleted) return put(record);
    deleted_[record.key] = record.revision;
    if (deleted_.size() > rules_.max_hosts) deleted_.erase(deleted_.begin());
    remove(record.key);
}

void View::record_progress(std::int64_t revision) { record_update(revision); }

void View::watch_ended() {
    if (reading_) return abort_read();
    next_action_ = synced_ ? NextAction::resume_watch : NextAction::full_read;
}

void View::watch_compacted() {
    log_lines_.push_back("resume from " + std::to_string(revision_ + 1) + " is compacted: reading in full");
    next_action_ = NextAction::full_read;
}

void View::watch_missed(const std::string &what) {
    log_lines_.push_back("the watch has missed " + what + ": reading in full");
    next_action_ = NextAction::full_read;
}

std::int64_t View::revision_of(const std::string &key) const {
    const auto at = entries_.find(key);
    const auto unreadable = unreadable_keys_.find(key);
    return std::max(at == entries_.end() ? 0 : at->second.record.revision,
                    unreadable == unreadable_keys_.end() ? 0 : unreadable->second);
}

void View::check_member_revision(std::int64_t revision) {
    if (revision < revision_)
        next_action_ = is_behind(revision) ? NextAction::change_endpoint : NextAction::full_read;
}

void View::report_unreadable(const Record &record) {
    ++unreadable_count_;
    const bool already_logged = unreadable_keys_.count(record.key) > 0;
    unreadable_keys_[record.key] = record.revision;
    if (!already_logged && log_lines_.size() < kMaxPendingLogLines)
        log_lines_.push_back("unreadable: " + record.key + ": " + record.error);
    if (unreadable_keys_.size() > rules_.max_hosts) unreadable_keys_.erase(unreadable_keys_.begin());
}

void View::put(const Record &record) {
    const auto at = entries_.find(record.key);
    if (!record.member) {
        report_unreadable(record);
        if (at != entries_.end())
            at->second.record.revision = std::max(at->second.record.revision, record.revision);
        return;
    }
    unreadable_keys_.erase(record.key);
    if (at == entries_.end()) {
        if (entries_.size() >= rules_.max_hosts)
            return report_unreadable(
                {record.key, record.revision, false, {}, "over the limit on the number of hosts"});
        entries_[record.key] = {record, false};
        return mark_changed(record.key);
    }
    if (record.revision < at->second.record.revision) return;
    doubted_.erase(record.key);
    HostEntry previous = at->second.record.member->entry;
    const bool before_reset = std::exchange(at->second.before_reset, false);
    at->second.record = record;
    HostEntry &entry = at->second.record.member->entry;
    // Data restored from before a drain must not put a draining host back into service.
    if (before_reset && previous.status == HostStatus::draining && previous.started == entry.started)
        entry.status = previous.status;
    mark_changed(record.key);
}

void View::remove(const std::string &key) {
    const auto at = entries_.find(key);
    if (at == entries_.end()) return;
    if (at->second.listed) {
        removed_hosts_.push_back(at->second.record.member->entry);
        removed_hosts_.back().status = HostStatus::gone;
    }
    entries_.erase(at);
    changed_.erase(key);
}

void View::mark_changed(const std::string &key) { changed_.insert(key); }

std::optional<Listing> View::take_listing() {
    if (changed_.empty() && removed_hosts_.empty()) return std::nullopt;
    Listing listing;
    for (HostEntry &entry : removed_hosts_) listing.members.push_back({std::move(entry), {}});
    removed_hosts_.clear();
    for (const std::string &key : std::exchange(changed_, {})) {
        Entry &entry = entries_.at(key);
        entry.listed = true;
        listing.members.push_back(*entry.record.member);
    }
    return listing;
}

NextAction View::take_next_action() { return std::exchange(next_action_, NextAction::none); }

std::vector<Record> View::records() const {
    std::vector<Record> all;
    for (const auto &[key, entry] : entries_) all.push_back(entry.record);
    return all;
}

} // namespace pineridge::membership
