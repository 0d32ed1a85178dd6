// Tests of blocking queries: the entry parser and the follower fed with bytes and times, and the source on
// loopback against a stand-in registry that produces each fault.
#undef NDEBUG
#include "membership/blocking/follower.hpp"
#include "source_world.hpp"
#include "standins/blocking/blocking.hpp"

using namespace pineridge;
using namespace pineridge::membership;
using standins::BlockingRegistry;

namespace {

const std::string kThreeEntries =
    R"([{"LockIndex":0,"Key":"h/a","Flags":0,"Value":"eyJhIjoxfQ==","CreateIndex":3,"ModifyIndex":7,"X":{"Key":"no","y":[1]}},)"
    R"({"Key":"h/b","Value":null,"ModifyIndex":9},{"ModifyIndex":11,"Value":"%%%","Key":"h/c"}])";

// Parses a body that arrives in these parts. Returns "KEY@INDEX=VALUE" or "KEY@INDEX!ERROR" for each entry,
// then "incomplete" if the parser did not reach the end of the array.
std::string parse_entries(const std::vector<std::string> &parts, std::string &error) {
    std::string parsed;
    blocking::EntryParser parser(
        [&](const blocking::Entry &entry) {
            parsed += entry.key + "@" + std::to_string(entry.modify_index) +
                      (entry.error.empty() ? "=" + entry.value : "!" + entry.error) + " ";
        },
        64, 16);
    for (const std::string &part : parts)
        if (!parser.feed(part)) break;
    if (!parser.end()) parsed += "incomplete";
    error = parser.error();
    return parsed;
}

void entries_are_parsed_however_the_body_is_split() {
    const std::string expected = "h/a@7={\"a\":1} h/b@9= h/c@11!value is not valid base64 ";
    std::string error;
    assert(parse_entries({kThreeEntries}, error) == expected);
    for (std::size_t at = 0; at <= kThreeEntries.size(); ++at)
        assert(parse_entries({kThreeEntries.substr(0, at), kThreeEntries.substr(at)}, error) == expected);
    std::vector<std::string> bytes;
    for (const char byte : kThreeEntries) bytes.emplace_back(1, byte);
    assert(parse_entries(bytes, error) == expected);
    for (std::size_t at = 0; at < kThreeEntries.size(); ++at)
        assert(parse_entries({kThreeEntries.substr(0, at)}, error).find("incomplete") != std::string::npos);
}

void invalid_bodies_are_rejected_and_long_values_skipped() {
    std::string error;
    const std::string long_text(200, 'A');
    assert(parse_entries({R"([{"Key":"a","Value":")" + long_text +
                          R"(","ModifyIndex":1},{"Key":"b","Value":"","ModifyIndex":2}])"},
                         error) == "a@1!value longer than 64 bytes b@2= ");
    for (const std::string &invalid :
         {std::string("{}"), std::string("[1"), std::string("7"), std::string("[[]]"), std::string("[]x"),
          std::string(R"([{"Key":"a","Value":""}])"), std::string(R"([{"Value":"","ModifyIndex":1}])"),
          std::string(R"([{"Key":")") + long_text + R"(","ModifyIndex":1}])",
          std::string(R"([{"Key":"a","ModifyIndex":-4}])"), std::string(100, '[')})
        assert(parse_entries({invalid}, error).find("incomplete") != std::string::npos && !error.empty());
}

// A follower without a connection: the test passes in answers and takes out queries.
struct FollowerFixture {
    FollowerFixture() : follower(view, read_value, "h/", "reg:1", "secret", {50000, 20000, 500, 50000}, 3) {
        follower.begin(0);
    }
    void answer(const std::string &index, const std::string &body, const std::string &extra_fields = "") {
        follower.feed("HTTP/1.1 200 OK\r\nX-Consul-Index: " + index + "\r\n" + extra_fields +
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                      now);
    }
    std::string next_query() { // after the gap between queries
        view.set_time(now += 600);
        follower.set_time(now);
        return follower.output();
    }
    View view{{}};
    blocking::Follower follower;
    Ticks now = 0;
};

const std::string kOneEntry = R"([{"Key":"h/a","Value":"","ModifyIndex":5}])";

void queries_carry_the_last_index_and_restart_when_it_goes_back() {
    FollowerFixture fixture;
    const std::string first = fixture.follower.output();
    assert(first.find("GET /v1/kv/h/?recurse=true HTTP/1.1\r\n") == 0 &&
           first.find("X-Consul-Token: secret\r\n") != std::string::npos);
    fixture.answer("0", kOneEntry);
    assert(fixture.follower.output().empty()); // not before the gap
    const std::string second = fixture.next_query();
    assert(second.find("&index=1&wait=5") != std::string::npos); // a query with index 0 would not block
    fixture.answer("9", kOneEntry);
    assert(fixture.next_query().find("&index=9&") != std::string::npos);
    fixture.answer("4", kOneEntry); // the index goes back: the list is read again at once
    const std::string restarted = fixture.follower.output();
    assert(restarted.find("recurse=true HTTP/1.1") != std::string::npos);
    fixture.answer("4", kOneEntry); // the member does lag: its answer is not used
    assert(fixture.follower.has_failed() &&
           fixture.follower.failure() == "registry member lags behind the known revision");
}

void invalid_answers_fail_the_connection() {
    const auto failure_of = [](const std::string &bytes) {
        FollowerFixture fixture;
        fixture.follower.feed(bytes, 1);
        if (!fixture.follower.has_failed()) fixture.follower.connection_closed();
        return fixture.follower.failure();
    };
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    assert(failure_of("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") == "status 500");
    assert(failure_of(head + "\r\n[]") == "response without a valid X-Consul-Index header");
    assert(failure_of(head + "X-Consul-Index: 5\r\nX-Consul-KnownLeader: false\r\n\r\n[]") ==
           "registry member has no leader");
    assert(failure_of(head + "X-Consul-Index: 5\r\nX-Consul-LastContact: 6000\r\n\r\n[]") ==
           "registry member lost contact with its leader");
    assert(failure_of(head + "X-Consul-Index: 5\r\n\r\n{}").find("not a JSON array") != std::string::npos);
    assert(failure_of(head + "X-Consul-Index: 5\r\n\r\n[") == "the connection ended");
    assert(failure_of("noise\r\n\r\n") == "malformed HTTP response");
    assert(failure_of(head + "X-Consul-Index: 5\r\n\r\n[]HTTP/1.1 200 OK\r\n") ==
           "registry member closes the connection");
    FollowerFixture silent;
    silent.follower.set_time(20000);
    assert(silent.follower.failure() == "blocking query not answered in time");
}

// Tests on loopback.

struct BlockingFixture : SourceWorld {
    explicit BlockingFixture(int registries = 1) {
        for (int i = 0; i < registries; ++i) registries_.push_back(std::make_unique<BlockingRegistry>(io));
        for (const auto &registry : registries_)
            for (const char *id : {"a", "b", "c", "d"}) registry->put(key(id), host_value("in_service"));
        SourceOptions options;
        for (const auto &registry : registries_)
            options.endpoints.push_back(read_address(registry->address(), "endpoint"));
        options.prefix = "hosts/";
        options.protocol = "http/1.1";
        options.stale_after = 4000;
        options.endpoint_rules = {500, 2000, 0};
        options.view_rules.doubt_timeout = 20000;
        options.view_rules.confirm_after = 3000;
        options.view_rules.max_lag_time = 6000;
        options.make_protocol = [](View &view, const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read_value, "hosts/", authority, "",
                                                        blocking::Timing{5000, 3000, 100, 50000}, 5);
        };
        begin(std::move(options));
        until_list("a+b+c+d+");
        until([&] { return blocked() > 0; });
    }
    ~BlockingFixture() { stop(); }
    int blocked() const {
        int count = 0;
        for (const auto &registry : registries_) count += registry->blocked();
        return count;
    }
    BlockingRegistry &registry(int position = 0) { return *registries_[static_cast<std::size_t>(position)]; }
    static std::string key(const std::string &id) { return "hosts/" + id; }

    std::vector<std::unique_ptr<BlockingRegistry>> registries_;
};

void drains_and_deletions_change_the_list() {
    BlockingFixture fixture;
    fixture.registry().put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.until_list("a-b+c+d+");
    fixture.registry().remove(BlockingFixture::key("b"));
    fixture.until_list("a-c+d+");
    fixture.registry().put(BlockingFixture::key("a"), host_value("in_service", 5));
    fixture.until_list("a+c+d+");
    fixture.registry().put(BlockingFixture::key("c"), "{no json");
    fixture.registry().put(BlockingFixture::key("d"), host_value("terminating"));
    fixture.until_list("a+c+d-");
    assert(fixture.has_logged("unreadable: hosts/c"));
    const int queries_before = fixture.registry().queries();
    // The wait of a query runs out without a change.
    fixture.until([&] { return fixture.registry().queries() > queries_before + 1; });
    assert(fixture.list_text() == "a+c+d-");
}

void broken_connections_are_replaced_and_partial_answers_discarded() {
    BlockingFixture fixture;
    fixture.registry().stop();
    fixture.until([&] { return fixture.has_logged("registry.left"); });
    fixture.registry().put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.registry().truncate_next_answer(420); // the answer ends in the middle of its entries
    fixture.registry().start();
    fixture.until_list("a-b+c+d+");
    fixture.registry().replace_next_answer(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: 99\r\nContent-Length: 4\r\n\r\n[{]}");
    fixture.registry().put(BlockingFixture::key("b"), host_value("terminating"));
    fixture.until_list("a-b-c+d+");
}

void a_query_without_an_answer_is_abandoned() {
    BlockingFixture fixture;
    fixture.registry().mute(true);
    fixture.registry().put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.until([&] { return fixture.has_logged("blocking query not answered in time"); });
    fixture.registry().mute(false);
    fixture.until_list("a-b+c+d+");
}

void a_member_without_a_leader_is_replaced_by_another() {
    BlockingFixture fixture(2);
    const int followed = fixture.registry(0).blocked() > 0 ? 0 : 1;
    fixture.registry(followed).set_header("X-Consul-KnownLeader", "false");
    for (int i : {0, 1}) fixture.registry(i).put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.until_list("a-b+c+d+");
    assert(fixture.has_logged("registry member has no leader") &&
           fixture.registry(1 - followed).queries() > 0);
}

// The next member lags behind the one that failed. Its older list must not make a draining host ready again.
void the_list_of_a_lagging_member_is_rejected() {
    BlockingFixture fixture(2);
    const int followed = fixture.registry(0).blocked() > 0 ? 0 : 1;
    fixture.registry(1 - followed).lag(true);
    for (int i : {0, 1}) fixture.registry(i).put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.until_list("a-b+c+d+");
    fixture.registry(followed).stop();
    fixture.until([&] { return fixture.has_logged("registry member lags behind the known revision"); });
    assert(fixture.list_text() == "a-b+c+d+");
    fixture.registry(1 - followed).lag(false);
    fixture.registry(1 - followed).put(BlockingFixture::key("b"), host_value("terminating"));
    fixture.until_list("a-b-c+d+");
}

// The registry has lost its data: its index goes back and the prefix is empty. The hosts stay in the list
// until the doubt about that read has ended.
void hosts_outlast_the_loss_of_the_registry_data() {
    BlockingFixture fixture;
    fixture.registry().stop();
    fixture.registry().lose_data();
    fixture.registry().start();
    fixture.until([&] { return fixture.has_logged("doubt: 4 of 4"); });
    assert(fixture.has_logged("registry revisions were reset") && fixture.list_text() == "a+b+c+d+");
    // A change of a single key is not doubted.
    fixture.registry().put(BlockingFixture::key("a"), host_value("terminating"));
    fixture.until([&] { return fixture.list["a"] == HostStatus::draining; });
    fixture.until_list("a-");
}

} // namespace

int main() {
    entries_are_parsed_however_the_body_is_split();
    invalid_bodies_are_rejected_and_long_values_skipped();
    queries_carry_the_last_index_and_restart_when_it_goes_back();
    invalid_answers_fail_the_connection();
    drains_and_deletions_change_the_list();
    broken_connections_are_replaced_and_partial_answers_discarded();
    a_query_without_an_answer_is_abandoned();
    a_member_without_a_leader_is_replaced_by_another();
    the_list_of_a_lagging_member_is_rejected();
    hosts_outlast_the_loss_of_the_registry_data();
}
