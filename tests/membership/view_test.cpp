// Each test tells a view what a registry would and looks at the list that comes of it.
#undef NDEBUG
#include "membership/view.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::membership;

namespace {

Record host(const std::string &id, std::int64_t rev, HostStatus standing = HostStatus::ready,
            Ticks started = 0) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.member = Member{{id, 0, 0, 0, 1, standing, 1, started}, {}};
    return record;
}

Record gone(const std::string &id, std::int64_t rev) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.deleted = true;
    return record;
}

Record spoilt(const std::string &id, std::int64_t rev) {
    Record record;
    record.key = "hosts/" + id;
    record.revision = rev;
    record.error = "not JSON";
    return record;
}

struct Bench {
    explicit Bench(ViewRules rules = {}) : view(rules) { view.set_time(now); }

    void read(std::int64_t rev, const std::vector<Record> &records) {
        view.begin_read();
        view.add_page(records);
        view.end_read(rev);
    }
    void pass(Ticks span) { view.set_time(now += span); }
    // What was taken, as "id:standing" in order, and kept as the module would.
    std::string take() {
        std::string text;
        if (const auto listing = view.take_listing())
            for (const Member &member : listing->members) {
                static constexpr const char *kWords[] = {"", "gone", "draining", "ready"};
                text += (text.empty() ? "" : " ") + member.entry.id + ":" +
                        kWords[static_cast<int>(member.entry.status)];
            }
        return text;
    }

    Ticks now = 1000;
    View view;
};

void a_read_and_changes_make_the_list() {
    Bench bench;
    assert(bench.view.take_next_action() == NextAction::full_read);
    bench.read(10, {host("a", 3), host("b", 4)});
    assert(bench.take() == "a:ready b:ready" && bench.view.take_next_action() == NextAction::resume_watch &&
           bench.view.revision() == 10);
    bench.view.apply_change(host("a", 11, HostStatus::draining));
    bench.view.apply_change(host("c", 12));
    assert(bench.take() == "a:draining c:ready" && bench.view.revision() == 12);
    bench.view.apply_change(gone("a", 13));
    assert(bench.take() == "a:gone" && bench.take().empty());
}

void late_repeated_and_crossing_words_change_nothing() {
    Bench bench;
    bench.read(10, {host("a", 3)});
    bench.take();
    bench.view.apply_change(host("a", 12, HostStatus::draining));
    bench.view.apply_change(host("a", 11)); // crossed: told by the old watch after the new one began
    bench.view.apply_change(host("a", 12, HostStatus::draining));
    assert(bench.take() == "a:draining");
    bench.view.apply_change(gone("a", 14));
    bench.view.apply_change(host("a", 13));
    assert(bench.take() == "a:gone" && bench.view.records().empty());
}

// A host deleted and one drained between the last revision seen and the compaction are both noticed by the
// read.
void a_read_after_compaction_misses_no_drain() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5), host("d", 6)});
    bench.take();
    bench.view.watch_ended();
    assert(bench.view.take_next_action() == NextAction::resume_watch);
    bench.view.watch_compacted();
    assert(bench.view.take_next_action() == NextAction::full_read);
    bench.read(90, {host("a", 50, HostStatus::draining), host("c", 5), host("d", 6)});
    assert(bench.take() == "b:gone a:draining c:ready d:ready");
}

void a_drain_told_during_a_read_is_honoured_at_once() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4)});
    bench.take();
    bench.view.begin_read();
    bench.view.add_page({host("a", 3)}); // a page from before the drain
    bench.view.apply_change(host("a", 12, HostStatus::draining));
    assert(bench.take() == "a:draining");
    bench.view.add_page({host("b", 4)});
    bench.view.end_read(11);
    assert(bench.take().find("a:ready") == std::string::npos);
    bench.view.begin_read();
    bench.view.apply_change(gone("b", 13));
    assert(bench.take() == "b:gone");
    bench.view.add_page({host("a", 12, HostStatus::draining), host("b", 4)});
    bench.view.end_read(12);
    assert(bench.take().find("b:ready") == std::string::npos);
}

void what_a_broken_read_told_is_not_believed() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4)});
    bench.take();
    bench.view.begin_read();
    bench.view.add_page({host("a", 3)});
    bench.view.watch_ended();
    assert(bench.take().empty() && bench.view.take_next_action() == NextAction::full_read &&
           bench.view.records().size() == 2);
}

void a_member_that_lags_is_not_believed() {
    Bench bench;
    bench.read(10, {host("a", 3)});
    bench.view.apply_change(host("a", 20, HostStatus::draining));
    bench.take();
    bench.read(15, {host("a", 3), host("b", 12)});
    assert(bench.take().empty() && bench.view.take_next_action() == NextAction::change_endpoint);
    bench.view.check_member_revision(19);
    assert(bench.view.take_next_action() == NextAction::change_endpoint);
}

void a_process_that_returns_is_another() {
    Bench bench;
    bench.read(10, {host("a", 3, HostStatus::ready, 100)});
    bench.take();
    bench.view.apply_change(gone("a", 11));
    bench.view.apply_change(host("a", 12, HostStatus::ready, 900));
    const auto listing = bench.view.take_listing();
    assert(listing && listing->members.size() == 2 && listing->members[0].entry.status == HostStatus::gone);
    assert(listing->members[1].entry.started == 900);
}

void unreadable_values_leave_their_host_as_it_was() {
    Bench bench;
    bench.read(10, {host("a", 3), spoilt("b", 4)});
    assert(bench.take() == "a:ready");
    bench.view.apply_change(spoilt("a", 11));
    bench.view.apply_change(spoilt("a", 12));
    assert(bench.take().empty() && bench.view.unreadable_count() == 3 &&
           bench.view.take_log_lines().size() == 2);
    bench.view.apply_change(host("a", 13, HostStatus::draining));
    assert(bench.take() == "a:draining");
}

// The registry came back empty: the hosts stay, until a second read lacks them too.
void an_empty_registry_is_doubted() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5), host("d", 6)});
    bench.take();
    bench.view.take_next_action();
    bench.read(11, {});
    assert(bench.take().empty() && bench.view.has_doubted_hosts() &&
           bench.view.take_next_action() == NextAction::resume_watch);
    bench.pass(10000);
    assert(bench.view.take_next_action() == NextAction::full_read);
    bench.read(12, {});
    assert(bench.take() == "a:gone b:gone c:gone d:gone" && !bench.view.has_doubted_hosts());
}

void the_doubt_ends_by_time() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5), host("d", 6)});
    bench.take();
    bench.read(11, {host("d", 6)});
    bench.take();
    bench.pass(49999);
    assert(bench.take().empty());
    bench.pass(1);
    assert(bench.take() == "a:gone b:gone c:gone");
}

void hosts_that_come_back_end_the_doubt() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5)});
    bench.take();
    bench.read(11, {});
    bench.read(12, {host("a", 12), host("b", 12), host("c", 12)});
    bench.pass(100000);
    assert(bench.take().find("gone") == std::string::npos && bench.view.records().size() == 3);
}

void drains_told_one_by_one_are_never_doubted() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5)});
    bench.take();
    bench.read(11, {});
    bench.view.apply_change(gone("a", 12));
    assert(bench.take() == "a:gone");
    bench.view.apply_change(host("b", 13, HostStatus::draining));
    assert(bench.take() == "b:draining");
}

void a_few_hosts_missing_are_gone_at_once() {
    Bench bench;
    bench.read(10, {host("a", 3), host("b", 4), host("c", 5), host("d", 6), host("e", 7)});
    bench.take();
    bench.read(11, {host("a", 3), host("b", 4), host("c", 5)});
    assert(bench.take().rfind("d:gone e:gone", 0) == 0);
}

void the_last_known_list_serves_until_the_registry_tells() {
    Bench bench;
    bench.view.start_from({host("a", 99), host("b", 99)});
    assert(bench.take() == "a:ready b:ready" && bench.view.age() < 0 && !bench.view.synced());
    bench.read(10, {host("a", 3, HostStatus::draining)});
    assert(bench.take() == "b:gone a:draining");
}

// Counted anew after its data was lost, an older word brings no draining host back; the last known list does
// not bind.
void no_draining_host_comes_back_with_lost_data() {
    ViewRules rules;
    rules.max_lag_time = 1000;
    Bench bench(rules);
    bench.read(10, {host("a", 3), host("b", 4)});
    bench.view.apply_change(host("a", 11, HostStatus::draining));
    bench.take();
    bench.read(5, {host("a", 3), host("b", 4)});
    assert(bench.view.take_next_action() == NextAction::change_endpoint);
    bench.pass(1000);
    bench.read(5, {host("a", 3), host("b", 4)});
    assert(bench.take() == "a:draining b:ready" && bench.view.revision() == 5);
    bench.view.apply_change(host("a", 6, HostStatus::ready, 700));
    assert(bench.take() == "a:ready"); // it has started again
    Bench fresh;
    fresh.view.start_from({host("a", 9, HostStatus::draining)});
    fresh.read(10, {host("a", 10)});
    assert(fresh.take() == "a:ready");
}

void hosts_are_bounded() {
    ViewRules rules;
    rules.max_hosts = 2;
    Bench bench(rules);
    bench.read(10, {host("a", 3), host("b", 4)});
    bench.view.apply_change(host("c", 11));
    assert(bench.view.records().size() == 2 && bench.view.unreadable_count() == 1);
}

void age_counts_from_the_last_word() {
    Bench bench;
    bench.read(10, {});
    bench.pass(500);
    assert(bench.view.age() == 500);
    bench.view.record_progress(11);
    assert(bench.view.age() == 0 && bench.view.revision() == 11);
}

} // namespace

int main() {
    a_read_and_changes_make_the_list();
    late_repeated_and_crossing_words_change_nothing();
    a_read_after_compaction_misses_no_drain();
    a_drain_told_during_a_read_is_honoured_at_once();
    what_a_broken_read_told_is_not_believed();
    a_member_that_lags_is_not_believed();
    a_process_that_returns_is_another();
    unreadable_values_leave_their_host_as_it_was();
    an_empty_registry_is_doubted();
    the_doubt_ends_by_time();
    hosts_that_come_back_end_the_doubt();
    drains_told_one_by_one_are_never_doubted();
    a_few_hosts_missing_are_gone_at_once();
    the_last_known_list_serves_until_the_registry_tells();
    no_draining_host_comes_back_with_lost_data();
    hosts_are_bounded();
    age_counts_from_the_last_word();
}
