// The view of a registry's hosts: fed whole reads and changes, each with the registry's revision, and told
// the time; yields the list as the module wants it and says what to ask next. No I/O, no clock. The same
// inputs in the same order give the same outputs.
// - A change at or below the revision of its key changes nothing: late, repeated and crossing words are
// harmless.
// - A key that has gone is a host that is gone; one that returns with another start is another process.
// - A value that cannot be read leaves its host as it was; it is named once and counted.
// - A whole read that lacks many hosts at once is doubted: they stay until a second read, from a revision no
// lower,
//   lacks them too, or the told time has passed. Drains and deletions told one by one are never doubted.
// - What tells a revision below one that was seen is not believed. Where nothing else is told for long, the
// registry
//   has lost its data: its count is taken anew, what is missing is doubted, and no host that drains comes
//   back to life unless it has started again.
#pragma once

#include "membership/member.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace pineridge::membership {

struct ViewRules {
    double doubt_share = 0.5; // of the hosts, dropped by one whole read: doubted from here on
    std::size_t min_doubted_hosts = 3; // and so many hosts at least
    Ticks doubt_timeout = 50000;
    Ticks confirm_after = 10000; // the second read
    Ticks max_lag_time =
        100000; // only lower revisions for so long: the registry has lost its data and counts anew
    std::size_t max_hosts = 20000; // hosts; those beyond are passed over, named and counted
};

enum class NextAction { none, full_read, resume_watch, change_endpoint };

class View {
  public:
    explicit View(ViewRules rules) : rules_(rules) {}

    // Inputs.
    void set_time(Ticks now);
    void start_from(const std::vector<Record> &known); // the last known list: believed until a registry tells
    // A whole read: pages of one revision, between begin and end. Changes may come meanwhile and are kept.
    void begin_read();
    void add_page(const std::vector<Record> &records);
    void end_read(std::int64_t revision);
    void abort_read(); // it broke off: nothing of it is believed
    void apply_change(const Record &record);
    void record_progress(std::int64_t revision); // nothing has changed up to there
    void watch_ended(); // the watch ended, or is dead although open
    void watch_compacted(); // the revision to resume from is no longer held
    void watch_missed(
        const std::string &what); // the watch has not told all it should have: the whole is read again
    void check_member_revision(
        std::int64_t revision); // the revision that the member spoken to claims to stand at

    // Outputs.
    std::optional<Listing> take_listing(); // what has changed since the last time; nothing where nothing has
    NextAction take_next_action(); // given once
    std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

    // What stands.
    std::int64_t revision() const { return revision_; }
    Ticks age() const {
        return updated_at_ < 0 ? -1 : now_ - updated_at_;
    } // of the last word; below 0: none yet
    bool synced() const { return synced_; }
    std::uint64_t update_count() const { return update_count_; } // believed so far
    bool has_doubted_hosts() const { return !doubted_.empty(); }
    // Until a second read confirms what is doubted; a tenth of a millisecond at least.
    Ticks time_to_confirmation() const {
        return std::max<Ticks>(1, doubted_since_ < 0 ? 0 : doubted_since_ + rules_.confirm_after - now_);
    }
    std::size_t unreadable_count() const { return unreadable_count_; }
    const std::map<std::string, std::int64_t> &unreadable_keys() const {
        return unreadable_keys_;
    } // keys, with their revision
    std::vector<Record> records() const;
    std::int64_t revision_of(const std::string &key) const; // 0: not held
    std::size_t host_count() const { return entries_.size(); }

  private:
    struct Entry {
        Record record;
        bool listed = false; // the module knows it
        bool before_reset = false; // it was known before the registry lost its data
    };

    void put(const Record &record);
    void remove(const std::string &key);
    void mark_changed(const std::string &key);
    void record_update(std::int64_t revision);
    void remove_doubted();
    bool is_behind(std::int64_t revision);
    void report_unreadable(const Record &record);

    const ViewRules rules_;
    Ticks now_ = 0, updated_at_ = -1, behind_since_ = -1, doubted_since_ = -1, confirm_at_ = -1;
    std::int64_t revision_ = 0;
    std::uint64_t update_count_ = 0;
    bool synced_ = false, reading_ = false;
    NextAction next_action_ = NextAction::full_read;
    std::map<std::string, Entry> entries_; // by key
    std::map<std::string, std::int64_t> deleted_; // keys gone since the last whole read, with their revision
    std::map<std::string, Record> read_records_; // the read under way
    std::vector<Record> pending_changes_; // changes while it is
    std::set<std::string> doubted_, changed_;
    std::map<std::string, std::int64_t> unreadable_keys_; // keys named as unreadable, with their revision
    std::vector<HostEntry> removed_hosts_; // hosts gone since the last take
    std::size_t unreadable_count_ = 0;
    std::vector<std::string> log_lines_;
};

} // namespace pineridge::membership
