// Each test feeds a view the updates that a registry would send, and checks the resulting list.
#undef NDEBUG
#include "membership/view.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

Record host_record(const std::string &id, std::int64_t rev, HostStatus status = HostStatus::ready,
                   Ticks started = 0) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.member = Member{{id, 0, 0, 0, 1, status, 1, started}, {}};
    return record;
}

Record deleted_record(const std::string &id, std::int64_t rev) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.deleted = true;
    return record;
}

Record unreadable_record(const std::string &id, std::int64_t rev) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.error = "not JSON";
    return record;
}

struct ViewFixture {
    explicit ViewFixture(ViewRules rules = {}) : view(rules) { view.set_time(now); }

    void full_read(std::int64_t rev, const std::vector<Record> &records) {
        view.begin_read();
        view.add_page(records);
        view.end_read(rev);
    }
    void advance(Ticks duration) { view.set_time(now += duration); }
    // Takes the changes from the view, as "id:status" in order.
    std::string take_changes() {
        std::string text;
        if (const auto listing = view.take_listing())
            for (const Member &member : listing->members) {
                static constexpr const char *kStatusNames[] = {"", "gone", "draining", "ready"};
                text += (text.empty() ? "" : " ") + member.entry.id + ":" +
                        kStatusNames[static_cast<int>(member.entry.status)];
            }
        return text;
    }

    Ticks now = 1000;
    View view;
};

void a_full_read_and_changes_make_the_list() {
    ViewFixture fixture;
    assert(fixture.view.take_next_action() == NextAction::full_read);
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4)});
    assert(fixture.take_changes() == "a:ready b:ready" &&
           fixture.view.take_next_action() == NextAction::resume_watch && fixture.view.revision() == 10);
    fixture.view.apply_change(host_record("a", 11, HostStatus::draining));
    fixture.view.apply_change(host_record("c", 12));
    assert(fixture.take_changes() == "a:draining c:ready" && fixture.view.revision() == 12);
    fixture.view.apply_change(deleted_record("a", 13));
    assert(fixture.take_changes() == "a:gone" && fixture.take_changes().empty());
}

void late_repeated_and_reordered_changes_are_ignored() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3)});
    fixture.take_changes();
    fixture.view.apply_change(host_record("a", 12, HostStatus::draining));
    fixture.view.apply_change(
        host_record("a", 11)); // reordered: sent by the old watch after the new one began
    fixture.view.apply_change(host_record("a", 12, HostStatus::draining));
    assert(fixture.take_changes() == "a:draining");
    fixture.view.apply_change(deleted_record("a", 14));
    fixture.view.apply_change(host_record("a", 13));
    assert(fixture.take_changes() == "a:gone" && fixture.view.records().empty());
}

// After a compaction, the full read reveals both a deletion and a drain that happened before it.
void a_read_after_compaction_misses_no_drain() {
    ViewFixture fixture;
    fixture.full_read(10,
                      {host_record("a", 3), host_record("b", 4), host_record("c", 5), host_record("d", 6)});
    fixture.take_changes();
    fixture.view.watch_ended();
    assert(fixture.view.take_next_action() == NextAction::resume_watch);
    fixture.view.watch_compacted();
    assert(fixture.view.take_next_action() == NextAction::full_read);
    fixture.full_read(90,
                      {host_record("a", 50, HostStatus::draining), host_record("c", 5), host_record("d", 6)});
    assert(fixture.take_changes() == "b:gone a:draining c:ready d:ready");
}

void a_drain_during_a_read_applies_at_once() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4)});
    fixture.take_changes();
    fixture.view.begin_read();
    fixture.view.add_page({host_record("a", 3)}); // a page from before the drain
    fixture.view.apply_change(host_record("a", 12, HostStatus::draining));
    assert(fixture.take_changes() == "a:draining");
    fixture.view.add_page({host_record("b", 4)});
    fixture.view.end_read(11);
    assert(fixture.take_changes().find("a:ready") == std::string::npos);
    fixture.view.begin_read();
    fixture.view.apply_change(deleted_record("b", 13));
    assert(fixture.take_changes() == "b:gone");
    fixture.view.add_page({host_record("a", 12, HostStatus::draining), host_record("b", 4)});
    fixture.view.end_read(12);
    assert(fixture.take_changes().find("b:ready") == std::string::npos);
}

void the_pages_of_an_aborted_read_are_discarded() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4)});
    fixture.take_changes();
    fixture.view.begin_read();
    fixture.view.add_page({host_record("a", 3)});
    fixture.view.watch_ended();
    assert(fixture.take_changes().empty() && fixture.view.take_next_action() == NextAction::full_read &&
           fixture.view.records().size() == 2);
}

void data_of_a_lagging_member_is_ignored() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3)});
    fixture.view.apply_change(host_record("a", 20, HostStatus::draining));
    fixture.take_changes();
    fixture.full_read(15, {host_record("a", 3), host_record("b", 12)});
    assert(fixture.take_changes().empty() && fixture.view.take_next_action() == NextAction::change_endpoint);
    fixture.view.check_member_revision(19);
    assert(fixture.view.take_next_action() == NextAction::change_endpoint);
}

void a_key_that_returns_is_another_process() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3, HostStatus::ready, 100)});
    fixture.take_changes();
    fixture.view.apply_change(deleted_record("a", 11));
    fixture.view.apply_change(host_record("a", 12, HostStatus::ready, 900));
    const auto listing = fixture.view.take_listing();
    assert(listing && listing->members.size() == 2 && listing->members[0].entry.status == HostStatus::gone);
    assert(listing->members[1].entry.started == 900);
}

void unreadable_values_leave_their_host_as_it_was() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), unreadable_record("b", 4)});
    assert(fixture.take_changes() == "a:ready");
    fixture.view.apply_change(unreadable_record("a", 11));
    fixture.view.apply_change(unreadable_record("a", 12));
    assert(fixture.take_changes().empty() && fixture.view.unreadable_count() == 3 &&
           fixture.view.take_log_lines().size() == 2);
    fixture.view.apply_change(host_record("a", 13, HostStatus::draining));
    assert(fixture.take_changes() == "a:draining");
}

// The registry lost all its hosts: they stay until a second read lacks them too.
void an_empty_registry_is_doubted() {
    ViewFixture fixture;
    fixture.full_read(10,
                      {host_record("a", 3), host_record("b", 4), host_record("c", 5), host_record("d", 6)});
    fixture.take_changes();
    fixture.view.take_next_action();
    fixture.full_read(11, {});
    assert(fixture.take_changes().empty() && fixture.view.has_doubted_hosts() &&
           fixture.view.take_next_action() == NextAction::resume_watch);
    fixture.advance(10000);
    assert(fixture.view.take_next_action() == NextAction::full_read);
    fixture.full_read(12, {});
    assert(fixture.take_changes() == "a:gone b:gone c:gone d:gone" && !fixture.view.has_doubted_hosts());
}

void doubt_times_out() {
    ViewFixture fixture;
    fixture.full_read(10,
                      {host_record("a", 3), host_record("b", 4), host_record("c", 5), host_record("d", 6)});
    fixture.take_changes();
    fixture.full_read(11, {host_record("d", 6)});
    fixture.take_changes();
    fixture.advance(49999);
    assert(fixture.take_changes().empty());
    fixture.advance(1);
    assert(fixture.take_changes() == "a:gone b:gone c:gone");
}

void returning_hosts_end_the_doubt() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4), host_record("c", 5)});
    fixture.take_changes();
    fixture.full_read(11, {});
    fixture.full_read(12, {host_record("a", 12), host_record("b", 12), host_record("c", 12)});
    fixture.advance(100000);
    assert(fixture.take_changes().find("gone") == std::string::npos && fixture.view.records().size() == 3);
}

void single_drains_and_deletions_are_never_doubted() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4), host_record("c", 5)});
    fixture.take_changes();
    fixture.full_read(11, {});
    fixture.view.apply_change(deleted_record("a", 12));
    assert(fixture.take_changes() == "a:gone");
    fixture.view.apply_change(host_record("b", 13, HostStatus::draining));
    assert(fixture.take_changes() == "b:draining");
}

void a_few_missing_hosts_are_removed_at_once() {
    ViewFixture fixture;
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4), host_record("c", 5), host_record("d", 6),
                           host_record("e", 7)});
    fixture.take_changes();
    fixture.full_read(11, {host_record("a", 3), host_record("b", 4), host_record("c", 5)});
    assert(fixture.take_changes().rfind("d:gone e:gone", 0) == 0);
}

void the_cached_list_is_used_until_the_registry_answers() {
    ViewFixture fixture;
    fixture.view.start_from({host_record("a", 99), host_record("b", 99)});
    assert(fixture.take_changes() == "a:ready b:ready" && fixture.view.age() < 0 && !fixture.view.synced());
    fixture.full_read(10, {host_record("a", 3, HostStatus::draining)});
    assert(fixture.take_changes() == "b:gone a:draining");
}

// After the registry lost its data and restarted its revisions, older data must not put a draining host back
// into service. Statuses from the cached list are not kept in this way.
void a_draining_host_stays_draining_after_data_loss() {
    ViewRules rules;
    rules.max_lag_time = 1000;
    ViewFixture fixture(rules);
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4)});
    fixture.view.apply_change(host_record("a", 11, HostStatus::draining));
    fixture.take_changes();
    fixture.full_read(5, {host_record("a", 3), host_record("b", 4)});
    assert(fixture.view.take_next_action() == NextAction::change_endpoint);
    fixture.advance(1000);
    fixture.full_read(5, {host_record("a", 3), host_record("b", 4)});
    assert(fixture.take_changes() == "a:draining b:ready" && fixture.view.revision() == 5);
    fixture.view.apply_change(host_record("a", 6, HostStatus::ready, 700));
    assert(fixture.take_changes() == "a:ready"); // it has started again
    ViewFixture fresh;
    fresh.view.start_from({host_record("a", 9, HostStatus::draining)});
    fresh.full_read(10, {host_record("a", 10)});
    assert(fresh.take_changes() == "a:ready");
}

void the_number_of_hosts_is_limited() {
    ViewRules rules;
    rules.max_hosts = 2;
    ViewFixture fixture(rules);
    fixture.full_read(10, {host_record("a", 3), host_record("b", 4)});
    fixture.view.apply_change(host_record("c", 11));
    assert(fixture.view.records().size() == 2 && fixture.view.unreadable_count() == 1);
}

void age_counts_from_the_last_update() {
    ViewFixture fixture;
    fixture.full_read(10, {});
    fixture.advance(500);
    assert(fixture.view.age() == 500);
    fixture.view.record_progress(11);
    assert(fixture.view.age() == 0 && fixture.view.revision() == 11);
}

} // namespace

int main() {
    a_full_read_and_changes_make_the_list();
    late_repeated_and_reordered_changes_are_ignored();
    a_read_after_compaction_misses_no_drain();
    a_drain_during_a_read_applies_at_once();
    the_pages_of_an_aborted_read_are_discarded();
    data_of_a_lagging_member_is_ignored();
    a_key_that_returns_is_another_process();
    unreadable_values_leave_their_host_as_it_was();
    an_empty_registry_is_doubted();
    doubt_times_out();
    returning_hosts_end_the_doubt();
    single_drains_and_deletions_are_never_doubted();
    a_few_missing_hosts_are_removed_at_once();
    the_cached_list_is_used_until_the_registry_answers();
    a_draining_host_stays_draining_after_data_loss();
    the_number_of_hosts_is_limited();
    age_counts_from_the_last_update();
}
