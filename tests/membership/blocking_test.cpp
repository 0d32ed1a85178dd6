// Blocking queries: the parser of entries by its bytes, the follower by its bytes and the time, and the
// source on loopback against a stand-in, through each fault.
#undef NDEBUG
#include "membership/blocking/follower.hpp"
#include "source_world.hpp"
#include "standins/blocking/blocking.hpp"

using namespace pineridge;
using namespace pineridge::membership;
using standins::Blocking;

namespace {

const std::string kBody =
    R"([{"LockIndex":0,"Key":"h/a","Flags":0,"Value":"eyJhIjoxfQ==","CreateIndex":3,"ModifyIndex":7,"X":{"Key":"no","y":[1]}},)"
    R"({"Key":"h/b","Value":null,"ModifyIndex":9},{"ModifyIndex":11,"Value":"%%%","Key":"h/c"}])";

// "KEY@REV=VALUE" or "KEY@REV!FAULT" of each entry.
std::string entries_of(const std::vector<std::string> &parts, std::string &fault) {
    std::string all;
    blocking::EntryParser entries(
        [&](const blocking::Entry &entry) {
            all += entry.key + "@" + std::to_string(entry.rev) +
                   (entry.fault.empty() ? "=" + entry.value : "!" + entry.fault) + " ";
        },
        64, 16);
    for (const std::string &part : parts)
        if (!entries.feed(part)) break;
    if (!entries.end()) all += "not whole";
    fault = entries.fault();
    return all;
}

void entries_are_read_in_any_parts() {
    const std::string wanted = "h/a@7={\"a\":1} h/b@9= h/c@11!a value that is not base64 ";
    std::string fault;
    assert(entries_of({kBody}, fault) == wanted);
    for (std::size_t at = 0; at <= kBody.size(); ++at)
        assert(entries_of({kBody.substr(0, at), kBody.substr(at)}, fault) == wanted);
    std::vector<std::string> bytes;
    for (const char one : kBody) bytes.emplace_back(1, one);
    assert(entries_of(bytes, fault) == wanted);
    for (std::size_t at = 0; at < kBody.size(); ++at)
        assert(entries_of({kBody.substr(0, at)}, fault).find("not whole") != std::string::npos);
}

void odd_bodies_are_refused_and_long_values_passed_over() {
    std::string fault;
    const std::string longer(200, 'A');
    assert(entries_of({R"([{"Key":"a","Value":")" + longer +
                       R"(","ModifyIndex":1},{"Key":"b","Value":"","ModifyIndex":2}])"},
                      fault) == "a@1!a value over 64 bytes b@2= ");
    for (const std::string &odd :
         {std::string("{}"), std::string("[1"), std::string("7"), std::string("[[]]"), std::string("[]x"),
          std::string(R"([{"Key":"a","Value":""}])"), std::string(R"([{"Value":"","ModifyIndex":1}])"),
          std::string(R"([{"Key":")") + longer + R"(","ModifyIndex":1}])",
          std::string(R"([{"Key":"a","ModifyIndex":-4}])"), std::string(100, '[')})
        assert(entries_of({odd}, fault).find("not whole") != std::string::npos && !fault.empty());
}

// A follower by its bytes alone.
struct Desk {
    Desk() : follower(view, read_value, "h/", "reg:1", "secret", {50000, 20000, 500, 50000}, 3) {
        follower.begin(0);
    }
    void answer(const std::string &index, const std::string &body, const std::string &more = "") {
        follower.feed("HTTP/1.1 200 OK\r\nX-Consul-Index: " + index + "\r\n" + more +
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                      now);
    }
    std::string next() { // the query that follows the gap
        view.clock(now += 600);
        follower.clock(now);
        return follower.output();
    }
    View view{{}};
    blocking::Follower follower;
    Ticks now = 0;
};

const std::string kOne = R"([{"Key":"h/a","Value":"","ModifyIndex":5}])";

void queries_name_the_index_and_never_none_twice() {
    Desk desk;
    const std::string first = desk.follower.output();
    assert(first.find("GET /v1/kv/h/?recurse=true HTTP/1.1\r\n") == 0 &&
           first.find("X-Consul-Token: secret\r\n") != std::string::npos);
    desk.answer("0", kOne);
    assert(desk.follower.output().empty()); // not before the gap
    const std::string second = desk.next();
    assert(second.find("&index=1&wait=5") != std::string::npos); // 0 would not block
    desk.answer("9", kOne);
    assert(desk.next().find("&index=9&") != std::string::npos);
    desk.answer("4", kOne); // goes back: starts anew, at once
    const std::string anew = desk.follower.output();
    assert(anew.find("recurse=true HTTP/1.1") != std::string::npos);
    desk.answer("4", kOne); // it is behind indeed: not believed, another member is asked
    assert(desk.follower.dead() && desk.follower.why() == "a member that lags");
}

void bad_answers_end_the_connection() {
    const auto why = [](const std::string &bytes) {
        Desk desk;
        desk.follower.feed(bytes, 1);
        if (!desk.follower.dead()) desk.follower.ended();
        return desk.follower.why();
    };
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    assert(why("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n") == "status 500");
    assert(why(head + "\r\n[]") == "an answer without an index");
    assert(why(head + "X-Consul-Index: 5\r\nX-Consul-KnownLeader: false\r\n\r\n[]") ==
           "a member without a leader");
    assert(why(head + "X-Consul-Index: 5\r\nX-Consul-LastContact: 6000\r\n\r\n[]") ==
           "a member out of touch with its leader");
    assert(why(head + "X-Consul-Index: 5\r\n\r\n{}").find("not an array") != std::string::npos);
    assert(why(head + "X-Consul-Index: 5\r\n\r\n[") == "the connection ended");
    assert(why("noise\r\n\r\n") == "an answer that cannot be read");
    assert(why(head + "X-Consul-Index: 5\r\n\r\n[]HTTP/1.1 200 OK\r\n") ==
           "the member closes the connection");
    Desk silent;
    silent.follower.clock(20000);
    assert(silent.follower.why() == "no answer to a query");
}

// --- on loopback ---

struct World : SourceWorld {
    explicit World(int registries = 1) {
        for (int i = 0; i < registries; ++i) registries_.push_back(std::make_unique<Blocking>(io));
        for (const auto &one : registries_)
            for (const char *id : {"a", "b", "c", "d"}) one->put(key(id), host_value("in_service"));
        Plot plot;
        for (const auto &one : registries_)
            plot.endpoints.push_back(read_address(one->address(), "endpoint"));
        plot.prefix = "hosts/";
        plot.protocol = "http/1.1";
        plot.quiet = 4000;
        plot.ends = {500, 2000, 0};
        plot.view.doubt_for = 20000;
        plot.view.confirm_after = 3000;
        plot.view.lag_for = 6000;
        plot.follow = [](View &view, const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read_value, "hosts/", authority, "",
                                                        blocking::Timing{5000, 3000, 100, 50000}, 5);
        };
        begin(std::move(plot));
        until_list("a+b+c+d+");
        until([&] { return blocked() > 0; });
    }
    ~World() { stop(); }
    int blocked() const {
        int all = 0;
        for (const auto &one : registries_) all += one->blocked();
        return all;
    }
    Blocking &registry(int at = 0) { return *registries_[static_cast<std::size_t>(at)]; }
    static std::string key(const std::string &id) { return "hosts/" + id; }

    std::vector<std::unique_ptr<Blocking>> registries_;
};

void a_drain_and_a_deletion_are_told() {
    World world;
    world.registry().put(World::key("a"), host_value("terminating"));
    world.until_list("a-b+c+d+");
    world.registry().remove(World::key("b"));
    world.until_list("a-c+d+");
    world.registry().put(World::key("a"), host_value("in_service", 5));
    world.until_list("a+c+d+");
    world.registry().put(World::key("c"), "{no json");
    world.registry().put(World::key("d"), host_value("terminating"));
    world.until_list("a+c+d-");
    assert(world.said("unreadable: hosts/c"));
    const int before = world.registry().queries();
    world.until([&] { return world.registry().queries() > before + 1; }); // waits that ran out
    assert(world.text() == "a+c+d-");
}

void breaks_are_survived_and_nothing_torn_is_believed() {
    World world;
    world.registry().stop();
    world.until([&] { return world.said("registry.left"); });
    world.registry().put(World::key("a"), host_value("terminating"));
    world.registry().tear(420); // the answer breaks off in the midst of its entries
    world.registry().start();
    world.until_list("a-b+c+d+");
    world.registry().spoil("HTTP/1.1 200 OK\r\nX-Consul-Index: 99\r\nContent-Length: 4\r\n\r\n[{]}");
    world.registry().put(World::key("b"), host_value("terminating"));
    world.until_list("a-b-c+d+");
}

void a_query_that_is_open_and_dead_is_left() {
    World world;
    world.registry().mute(true);
    world.registry().put(World::key("a"), host_value("terminating"));
    world.until([&] { return world.said("no answer to a query"); });
    world.registry().mute(false);
    world.until_list("a-b+c+d+");
}

void a_member_without_a_leader_is_left_for_another() {
    World world(2);
    const int at = world.registry(0).blocked() > 0 ? 0 : 1;
    world.registry(at).say("X-Consul-KnownLeader", "false");
    for (int i : {0, 1}) world.registry(i).put(World::key("a"), host_value("terminating"));
    world.until_list("a-b+c+d+");
    assert(world.said("a member without a leader") && world.registry(1 - at).queries() > 0);
}

// After a change of member the new one lags: no drained host comes back to life.
void a_lagging_member_is_not_believed() {
    World world(2);
    const int at = world.registry(0).blocked() > 0 ? 0 : 1;
    world.registry(1 - at).lag(true);
    for (int i : {0, 1}) world.registry(i).put(World::key("a"), host_value("terminating"));
    world.until_list("a-b+c+d+");
    world.registry(at).stop();
    world.until([&] { return world.said("a member that lags"); });
    assert(world.text() == "a-b+c+d+");
    world.registry(1 - at).lag(false);
    world.registry(1 - at).put(World::key("b"), host_value("terminating"));
    world.until_list("a-b-c+d+");
}

// The index went back and nothing is there: the hosts stay, and go once the doubt has passed.
void lost_data_is_doubted_first() {
    World world;
    world.registry().stop();
    world.registry().forget();
    world.registry().start();
    world.until([&] { return world.said("doubt: 4 of 4"); });
    assert(world.said("counts anew") && world.text() == "a+b+c+d+");
    world.registry().put(World::key("a"), host_value("terminating")); // told one by one: never doubted
    world.until([&] { return world.list["a"] == HostStatus::draining; });
    world.until_list("a-");
}

} // namespace

int main() {
    entries_are_read_in_any_parts();
    odd_bodies_are_refused_and_long_values_passed_over();
    queries_name_the_index_and_never_none_twice();
    bad_answers_end_the_connection();
    a_drain_and_a_deletion_are_told();
    breaks_are_survived_and_nothing_torn_is_believed();
    a_query_that_is_open_and_dead_is_left();
    a_member_without_a_leader_is_left_for_another();
    a_lagging_member_is_not_believed();
    lost_data_is_doubted_first();
}
