// What clients, discovery, the platform and the configuration tell, read and checked.
#undef NDEBUG
#include "net/resp/resp.hpp"
#include "router/clients/request.hpp"
#include "router/list/listing.hpp"
#include "router/rollout/news.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::router;

namespace {

const Names kNames{{"lookup", "order"}, {"acme", "zeta"}, {"a"}, {"m2"}, {}, {true, false}};

template <class Read> std::string complaint(Read read) {
    try {
        read();
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

std::string command_of(const std::string &names) {
    return "*5\r\n$4\r\nQ.DO\r\n$3\r\nkey\r\n$2\r\nid\r\n$" + std::to_string(names.size()) + "\r\n" + names +
           "\r\n$6\r\nBO$\r\nY\r\n";
}

std::vector<std::string_view> words_of(std::string_view command) {
    resp::Value value;
    assert(resp::scan(command, {1000, 8, 1, 100}, value) == resp::Scan::whole);
    std::vector<std::string_view> words;
    for (const resp::Value &item : value.items) words.push_back(item.body);
    return words;
}

void an_rpc_is_read_and_passed_on_with_the_time_left() {
    const std::string command = command_of("c=order,d=480,t=zeta,h=9,k=x");
    const clients::Request asked = clients::parse_request(words_of(command), kNames, 9);
    assert(asked.method == 1 && asked.tenant == 1 && asked.timeout == 4800 && asked.id == "id");
    const clients::OwnedRequest held(command, asked);
    clients::EncodedRequest words;
    clients::encode_with_timeout(held, 71, words);
    std::string passed;
    for (const std::string_view part : words.parts) passed += part;
    assert(passed == command_of("c=order,d=8,t=zeta,h=9,k=x"));
}

void odd_names_are_refused_by_name() {
    const auto says = [](const std::string &names) {
        const std::string command = command_of(names);
        return complaint([&] { clients::parse_request(words_of(command), kNames, 9); }).substr(0, 2);
    };
    assert(says("c=order,d=480,t=acme") == "");
    assert(says("c=lookup,d=480,t=acme") == "c:" && says("c=order,d=480") == "t:");
    assert(says("c=order,d=4,r=x") == "r:" && says("c=order,d=4,h=z") == "h:" &&
           says("c=order,d=4,x=1") == "na");
    assert(says("c=other,d=480") == "c:" && says("c=order") == "d:" && says("d=480") == "c:");
    assert(says("c=order,d=4x") == "d:" && says("c=order,d=-1") == "d:" && says("c=order,d=nan") == "d:");
    assert(says("c=order,d=1,d=2") == "d:" && says("c=order,d=1,t=who") == "t:");
    assert(says("c=order,,d=1") == "na" && says("=,c=order") == "na");
}

json endpoint(const char *state) {
    return {{"id", "s-1"},     {"addr", "127.0.0.1:6379"}, {"zone", "a"},   {"kind", "m2"},
            {"cell", 3},       {"state", state},           {"weight", 1.5}, {"started_ms", 1700000000123},
            {"version_no", 41}};
}

void the_list_is_read() {
    const json told{{"version", 43}, {"full", false}, {"servers", {endpoint("terminating")}}};
    const list::Listing listing = list::read_listing(told, kNames);
    assert(listing.version == 43 && !listing.whole && listing.hosts.size() == 1);
    const HostEntry &entry = listing.hosts[0].entry;
    assert(entry.status == HostStatus::draining && entry.started == 17000000001230 && entry.build == 41);
    const json gone{
        {"version", 44}, {"full", false}, {"servers", {{{"id", "s-1"}, {"state", "terminated"}}}}};
    assert(list::read_listing(gone, kNames).hosts[0].entry.status == HostStatus::gone);
}

void an_odd_list_names_its_field() {
    for (const char *key :
         {"id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "version_no"}) {
        json host = endpoint("in_service");
        host[key] = nullptr;
        const json told{{"version", 1}, {"full", true}, {"servers", {host}}};
        assert(complaint([&] { list::read_listing(told, kNames); }).find(key) == 0);
    }
}

void news_are_read_and_older_ones_change_nothing() {
    const auto told = rollout::read_line(
        R"({"type":"stage","object":{"build":42,"stage":1,"phase":"Progressing","cap":0.28,"age_ms":310}})",
        kNames);
    const RolloutUpdate news = std::get<RolloutUpdate>(told);
    assert(news.build == 42 && news.stage == 1 && news.cap == 0.28 && news.age == 3100 && news.valid);
    RolloutUpdate other = news;
    other.stage = 0;
    assert(!rollout::supersedes(other, news) && rollout::supersedes(news, other));
    other = news, other.phase = Phase::rolling_back;
    assert(rollout::supersedes(other, news) && !rollout::supersedes(news, other));
    other = news, other.build = 41, other.phase = Phase::withdrawn;
    assert(!rollout::supersedes(other, news));
}

void the_stream_tells_tallies_flags_and_life() {
    const auto tally = std::get<PlatformStats>(rollout::read_line(
        R"({"type":"tally","object":{"build":42,"class":"order","count":57,"failed":2,"mean_ms":18.5,"age_ms":900}})",
        kNames));
    assert(tally.method == 1 && tally.picks == 57 && tally.failed == 2 && tally.age == 9000);
    const auto flag = std::get<rollout::Flag>(rollout::read_line(
        R"({"type":"flag","object":{"server":"s-1","class":"order","age_ms":1200}})", kNames));
    assert(flag.host == "s-1" && flag.age == 12000);
    assert(std::holds_alternative<std::monostate>(rollout::read_line("{}", kNames)));
    assert(std::holds_alternative<std::monostate>(rollout::read_line(R"({"type":"later"})", kNames)));
    for (const char *odd : {"[", "7", R"({"type":"stage"})", R"({"type":"stage","object":{"build":"x"}})"})
        assert(!complaint([&] { rollout::read_line(odd, kNames); }).empty());
}

void a_vote_is_written_in_the_platforms_words() {
    assert(rollout::write_vote(42, 1, Verdict::advance) == R"({"build":42,"stage":1,"verdict":"promote"})");
    assert(rollout::write_vote(42, 0, Verdict::roll_back).find("abort") != std::string::npos);
}

void configuration_names_the_faulty_key() {
    const auto says = [](json told) {
        return complaint([&] { read_start(told, [](const char *) -> const char * { return nullptr; }); });
    };
    json told{{"name", "n"},
              {"listen", "127.0.0.1:1"},
              {"discovery", "127.0.0.1:2"},
              {"seed", "ff"},
              {"deployer", {{"address", "127.0.0.1"}}}};
    assert(says(json::array()).find("name") == 0);
    assert(says(told).find("deployer.address") == 0);
    told["deployer"]["address"] = "127.0.0.1:3";
    assert(says(told).find("settings") == 0);
    told["listen"] = "127.0.0.1:99999";
    assert(says(told).find("listen") == 0);
    told["listen"] = "127.0.0.1:1", told["seed"] = "xyz";
    assert(says(told).find("seed") == 0);
}

} // namespace

int main() {
    an_rpc_is_read_and_passed_on_with_the_time_left();
    odd_names_are_refused_by_name();
    the_list_is_read();
    an_odd_list_names_its_field();
    news_are_read_and_older_ones_change_nothing();
    the_stream_tells_tallies_flags_and_life();
    a_vote_is_written_in_the_platforms_words();
    configuration_names_the_faulty_key();
}
