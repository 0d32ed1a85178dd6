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
    std::size_t doubt_least = 3; // and so many hosts at least
    Ticks doubt_for = 50000;
    Ticks confirm_after = 10000; // the second read
    Ticks lag_for =
        100000; // only lower revisions for so long: the registry has lost its data and counts anew
    std::size_t most = 20000; // hosts; those beyond are passed over, named and counted
};

enum class Ask { nothing, whole, resume, elsewhere };

class View {
  public:
    explicit View(ViewRules rules) : rules_(rules) {}

    // Inputs.
    void clock(Ticks now);
    void start_from(const std::vector<Record> &known); // the last known list: believed until a registry tells
    // A whole read: pages of one revision, between begin and end. Changes may come meanwhile and are kept.
    void begin_read();
    void page(const std::vector<Record> &records);
    void end_read(std::int64_t rev);
    void drop_read(); // it broke off: nothing of it is believed
    void change(const Record &record);
    void progress(std::int64_t rev); // nothing has changed up to there
    void broken(); // the watch ended, or is dead although open
    void compacted(); // the revision to resume from is no longer held
    void missed(
        const std::string &what); // the watch has not told all it should have: the whole is read again
    void member_at(std::int64_t rev); // the revision that the member spoken to claims to stand at

    // Outputs.
    std::optional<Listing> take(); // what has changed since the last time; nothing where nothing has
    Ask ask(); // given once
    std::vector<std::string> take_lines() { return std::exchange(lines_, {}); }

    // What stands.
    std::int64_t revision() const { return rev_; }
    Ticks age() const { return told_at_ < 0 ? -1 : now_ - told_at_; } // of the last word; below 0: none yet
    bool synced() const { return synced_; }
    std::uint64_t words() const { return words_; } // believed so far
    bool doubting() const { return !doubted_.empty(); }
    // Until a second read confirms what is doubted; a tenth of a millisecond at least.
    Ticks confirms_in() const {
        return std::max<Ticks>(1, doubt_since_ < 0 ? 0 : doubt_since_ + rules_.confirm_after - now_);
    }
    std::size_t unreadable() const { return unreadable_; }
    const std::map<std::string, std::int64_t> &faulty() const { return faulty_; } // keys, with their revision
    std::vector<Record> records() const;
    std::int64_t revision_of(const std::string &key) const; // 0: not held
    std::size_t size() const { return held_.size(); }

  private:
    struct Held {
        Record record;
        bool listed = false; // the module knows it
        bool recounted = false; // it was known before the registry lost its data
    };

    void put(const Record &record);
    void remove(const std::string &key);
    void note(const std::string &key);
    void heard(std::int64_t rev);
    void let_go();
    bool lags(std::int64_t rev);
    void name_fault(const Record &record);

    const ViewRules rules_;
    Ticks now_ = 0, told_at_ = -1, lag_since_ = -1, doubt_since_ = -1, confirm_at_ = -1;
    std::int64_t rev_ = 0;
    std::uint64_t words_ = 0;
    bool synced_ = false, reading_ = false;
    Ask ask_ = Ask::whole;
    std::map<std::string, Held> held_; // by key
    std::map<std::string, std::int64_t> gone_; // keys gone since the last whole read, with their revision
    std::map<std::string, Record> read_; // the read under way
    std::vector<Record> meanwhile_; // changes while it is
    std::set<std::string> doubted_, dirty_;
    std::map<std::string, std::int64_t> faulty_; // keys named as unreadable, with their revision
    std::vector<HostEntry> left_; // hosts gone since the last take
    std::size_t unreadable_ = 0;
    std::vector<std::string> lines_;
};

} // namespace pineridge::membership
