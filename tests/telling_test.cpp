// Tests the parsers for the commands of clients, the answers of discovery, the messages of the platform and
// the configuration.
#undef NDEBUG
#include "net/resp/resp.hpp"
#include "router/clients/request.hpp"
#include "router/list/discovery_response.hpp"
#include "router/rollout/messages.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::router;

namespace {

const Names kNames{{"lookup", "order"}, {"acme", "zeta"}, {"a"}, {"m2"}, {}, {true, false}};

template <class Function> std::string error_of(Function function) {
    try {
        function();
    } catch (const BadInput &error) {
        return error.what();
    }
    return "";
}

std::string command_of(const std::string &fields) {
    return "*5\r\n$4\r\nQ.DO\r\n$3\r\nkey\r\n$2\r\nid\r\n$" + std::to_string(fields.size()) + "\r\n" +
           fields + "\r\n$6\r\nBO$\r\nY\r\n";
}

std::vector<std::string_view> arguments_of(std::string_view command) {
    resp::Value value;
    assert(resp::scan(command, {1000, 8, 1, 100}, value) == resp::ScanResult::complete);
    std::vector<std::string_view> arguments;
    for (const resp::Value &item : value.items) arguments.push_back(item.body);
    return arguments;
}

void a_request_is_parsed_and_encoded_with_the_remaining_time() {
    const std::string command = command_of("c=order,d=480,t=zeta,h=9,k=x");
    const clients::Request parsed = clients::parse_request(arguments_of(command), kNames, 9);
    assert(parsed.method == 1 && parsed.tenant == 1 && parsed.timeout == 4800 && parsed.id == "id");
    const clients::OwnedRequest request(command, parsed);
    clients::EncodedRequest encoded;
    clients::encode_with_timeout(request, 71, encoded);
    std::string command_text;
    for (const std::string_view part : encoded.parts) command_text += part;
    assert(command_text == command_of("c=order,d=8,t=zeta,h=9,k=x"));
}

void an_invalid_request_field_is_named() {
    const auto error_of_input = [](const std::string &fields) {
        const std::string command = command_of(fields);
        return error_of([&] { clients::parse_request(arguments_of(command), kNames, 9); }).substr(0, 2);
    };
    assert(error_of_input("c=order,d=480,t=acme") == "");
    assert(error_of_input("c=lookup,d=480,t=acme") == "c:" && error_of_input("c=order,d=480") == "t:");
    assert(error_of_input("c=order,d=4,r=x") == "r:" && error_of_input("c=order,d=4,h=z") == "h:" &&
           error_of_input("c=order,d=4,x=1") == "na");
    assert(error_of_input("c=other,d=480") == "c:" && error_of_input("c=order") == "d:" &&
           error_of_input("d=480") == "c:");
    assert(error_of_input("c=order,d=4x") == "d:" && error_of_input("c=order,d=-1") == "d:" &&
           error_of_input("c=order,d=nan") == "d:");
    assert(error_of_input("c=order,d=1,d=2") == "d:" && error_of_input("c=order,d=1,t=who") == "t:");
    assert(error_of_input("c=order,,d=1") == "na" && error_of_input("=,c=order") == "na");
}

json discovery_host(const char *state) {
    return {{"id", "s-1"},     {"addr", "127.0.0.1:6379"}, {"zone", "a"},   {"kind", "m2"},
            {"cell", 3},       {"state", state},           {"weight", 1.5}, {"started_ms", 1700000000123},
            {"version_no", 41}};
}

void a_discovery_response_is_parsed() {
    const json response_json{{"version", 43}, {"full", false}, {"servers", {discovery_host("terminating")}}};
    const list::DiscoveryResponse response = list::read_discovery_response(response_json, kNames);
    assert(response.version == 43 && !response.complete && response.hosts.size() == 1);
    const HostEntry &entry = response.hosts[0].entry;
    assert(entry.status == HostStatus::draining && entry.started == 17000000001230 && entry.build == 41);
    const json gone{
        {"version", 44}, {"full", false}, {"servers", {{{"id", "s-1"}, {"state", "terminated"}}}}};
    assert(list::read_discovery_response(gone, kNames).hosts[0].entry.status == HostStatus::gone);
}

void an_invalid_discovery_response_names_its_field() {
    for (const char *key :
         {"id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms", "version_no"}) {
        json host = discovery_host("in_service");
        host[key] = nullptr;
        const json response_json{{"version", 1}, {"full", true}, {"servers", {host}}};
        assert(error_of([&] { list::read_discovery_response(response_json, kNames); }).find(key) == 0);
    }
}

void rollout_updates_are_parsed_and_older_ones_are_superseded() {
    const auto line = rollout::read_stream_line(
        R"({"type":"stage","object":{"build":42,"stage":1,"phase":"Progressing","cap":0.28,"age_ms":310}})",
        kNames);
    const RolloutUpdate update = std::get<RolloutUpdate>(line);
    assert(update.build == 42 && update.stage == 1 && update.cap == 0.28 && update.age == 3100 &&
           update.valid);
    RolloutUpdate other = update;
    other.stage = 0;
    assert(!rollout::supersedes(other, update) && rollout::supersedes(update, other));
    other = update;
    other.phase = Phase::rolling_back;
    assert(rollout::supersedes(other, update) && !rollout::supersedes(update, other));
    other = update;
    other.build = 41;
    other.phase = Phase::withdrawn;
    assert(!rollout::supersedes(other, update));
}

void stream_lines_are_parsed() {
    const auto stats = std::get<PlatformStats>(rollout::read_stream_line(
        R"({"type":"tally","object":{"build":42,"class":"order","count":57,"failed":2,"mean_ms":18.5,"age_ms":900}})",
        kNames));
    assert(stats.method == 1 && stats.picks == 57 && stats.failed == 2 && stats.age == 9000);
    const auto flag = std::get<rollout::FlaggedAnswer>(rollout::read_stream_line(
        R"({"type":"flag","object":{"server":"s-1","class":"order","age_ms":1200}})", kNames));
    assert(flag.host == "s-1" && flag.age == 12000);
    assert(std::holds_alternative<std::monostate>(rollout::read_stream_line("{}", kNames)));
    assert(std::holds_alternative<std::monostate>(rollout::read_stream_line(R"({"type":"later"})", kNames)));
    for (const char *odd : {"[", "7", R"({"type":"stage"})", R"({"type":"stage","object":{"build":"x"}})"})
        assert(!error_of([&] { rollout::read_stream_line(odd, kNames); }).empty());
}

void a_vote_is_encoded_for_the_platform() {
    assert(rollout::encode_vote(42, 1, Verdict::advance) == R"({"build":42,"stage":1,"verdict":"promote"})");
    assert(rollout::encode_vote(42, 0, Verdict::roll_back).find("abort") != std::string::npos);
}

void an_invalid_configuration_names_its_key() {
    const auto error_of_input = [](json config) {
        return error_of([&] { read_config(config, [](const char *) -> const char * { return nullptr; }); });
    };
    json config{{"name", "n"},
                {"listen", "127.0.0.1:1"},
                {"discovery", "127.0.0.1:2"},
                {"seed", "ff"},
                {"deployer", {{"address", "127.0.0.1"}}}};
    assert(error_of_input(json::array()).find("name") == 0);
    assert(error_of_input(config).find("deployer.address") == 0);
    config["deployer"]["address"] = "127.0.0.1:3";
    assert(error_of_input(config).find("settings") == 0);
    config["listen"] = "127.0.0.1:99999";
    assert(error_of_input(config).find("listen") == 0);
    config["listen"] = "127.0.0.1:1";
    config["seed"] = "xyz";
    assert(error_of_input(config).find("seed") == 0);
}

} // namespace

int main() {
    a_request_is_parsed_and_encoded_with_the_remaining_time();
    an_invalid_request_field_is_named();
    a_discovery_response_is_parsed();
    an_invalid_discovery_response_names_its_field();
    rollout_updates_are_parsed_and_older_ones_are_superseded();
    stream_lines_are_parsed();
    a_vote_is_encoded_for_the_platform();
    an_invalid_configuration_names_its_key();
}
