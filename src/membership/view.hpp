// View: the list of hosts as one registry reports it. A protocol feeds it full reads and single changes, each
// with the registry's revision, and sets its time; the view yields the changes for the decision module and
// says what the protocol should do next. It does no I/O, reads no clock, and is deterministic: the same
// inputs in the same order give the same outputs. Not thread-safe. Times are in ticks.
// - A change at or below the revision held for its key is ignored, so late, repeated and reordered updates do
//   no harm.
// - A deleted key removes its host. A key that returns with another start time is another process.
// - A value that cannot be parsed leaves its host as it was. The key is logged once and counted.
// - A full read that lacks many hosts at once is doubted: the hosts stay until a second read at the same or a
//   later revision lacks them too, or until the doubt times out. Single drains and deletions are never
//   doubted.
// - Data at a revision below one already seen is ignored, as it comes from a member that lags. If nothing
// newer
//   arrives for `max_lag_time`, the registry has lost its data and restarted its revisions: they are
//   accepted, missing hosts are doubted, and a draining host stays draining unless it has started again.
#pragma once

#include "membership/member.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace pineridge::membership {

struct ViewRules {
    // A full read is doubted if it lacks at least this share of the hosts, and at least this many.
    double doubt_share = 0.5;
    std::size_t min_doubted_hosts = 3;
    Ticks doubt_timeout = 50000; // after which doubted hosts are removed
    Ticks confirm_after = 10000; // from the doubted read to the read that confirms it
    Ticks max_lag_time = 100000; // of only lower revisions, after which the registry has lost its data
    std::size_t max_hosts = 20000; // hosts beyond are ignored, logged and counted
};

// What the protocol should do next.
enum class NextAction { none, full_read, resume_watch, change_endpoint };

class View {
  public:
    explicit View(ViewRules rules) : rules_(rules) {}

    // Inputs.
    void set_time(Ticks now);
    // Uses a cached list until the registry answers. Any revision from the registry is newer.
    void start_from(const std::vector<Record> &cached);
    // A full read: pages of one revision, between begin and end. Changes that arrive meanwhile are kept.
    void begin_read();
    void add_page(const std::vector<Record> &records);
    void end_read(std::int64_t revision);
    void abort_read(); // discards the pages of an incomplete read
    void apply_change(const Record &record);
    void record_progress(std::int64_t revision); // nothing has changed up to this revision
    void watch_ended(); // the watch ended, or is open but dead
    void watch_compacted(); // the registry no longer holds the revision to resume from
    void watch_missed(const std::string &what); // the watch omitted an update: a full read follows
    void check_member_revision(std::int64_t revision); // as reported by the connected registry member

    // Outputs.
    std::optional<Listing> take_listing(); // the changes since the last call, if any
    NextAction take_next_action(); // each action is returned once
    std::vector<std::string> take_log_lines() { return std::exchange(log_lines_, {}); }

    // State.
    std::int64_t revision() const { return revision_; }
    // Ticks since the last accepted update; negative before the first.
    Ticks age() const { return updated_at_ < 0 ? -1 : now_ - updated_at_; }
    bool synced() const { return synced_; } // a full read has been accepted
    std::uint64_t update_count() const { return update_count_; } // accepted so far
    bool has_doubted_hosts() const { return !doubted_.empty(); }
    // Ticks until a second read can confirm the doubted hosts as missing; at least 1.
    Ticks time_to_confirmation() const {
        return std::max<Ticks>(1, doubted_since_ < 0 ? 0 : doubted_since_ + rules_.confirm_after - now_);
    }
    std::size_t unreadable_count() const { return unreadable_count_; } // values that could not be parsed
    // The keys whose values could not be parsed, with their revisions.
    const std::map<std::string, std::int64_t> &unreadable_keys() const { return unreadable_keys_; }
    std::vector<Record> records() const;
    std::int64_t revision_of(const std::string &key) const; // 0: the key is not held
    std::size_t host_count() const { return entries_.size(); }

  private:
    struct Entry {
        Record record;
        bool listed = false; // has been returned by take_listing
        bool before_reset = false; // held since before the registry lost its data
    };

    void put(const Record &record);
    void remove(const std::string &key);
    void mark_changed(const std::string &key);
    void record_update(std::int64_t revision);
    void remove_doubted();
    bool is_behind(std::int64_t revision);
    void report_unreadable(const Record &record);

    const ViewRules rules_;
    Ticks now_ = 0;
    // Negative: not set.
    Ticks updated_at_ = -1, behind_since_ = -1, doubted_since_ = -1, confirm_at_ = -1;
    std::int64_t revision_ = 0;
    std::uint64_t update_count_ = 0;
    bool synced_ = false, reading_ = false;
    NextAction next_action_ = NextAction::full_read;
    std::map<std::string, Entry> entries_; // by key
    std::map<std::string, std::int64_t>
        deleted_; // keys deleted since the last full read, with their revision
    std::map<std::string, Record> read_records_; // of the full read in progress
    std::vector<Record> pending_changes_; // received during the full read
    std::set<std::string> doubted_, changed_; // keys
    std::map<std::string, std::int64_t> unreadable_keys_; // with their revision
    std::vector<HostEntry> removed_hosts_; // since the last take_listing
    std::size_t unreadable_count_ = 0;
    std::vector<std::string> log_lines_;
};

} // namespace pineridge::membership
