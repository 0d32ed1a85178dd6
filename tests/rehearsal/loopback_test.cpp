// A router on loopback that rehearses another deployment shape gives the same answers and picks as one that
// does not, and logs the number of differences by kind.
#include "../router_fixture.hpp"

using namespace pineridge;
using namespace pineridge::test;

namespace {

// Sends RPCs one after another, so that the order of events is fixed, and returns the bytes that the client
// received.
std::string received_answers(RouterFixture &fixture) {
    tcp::socket client = connect_client(fixture);
    std::string received(8192, '\0');
    std::size_t size = 0;
    for (int i = 1000; i < 1040; ++i) {
        const std::string id = "id-" + std::to_string(i).substr(1), expected = bulk(id);
        asio::write(client, asio::buffer(ask_command(id)));
        const std::size_t before = size;
        fixture.run_until([&] {
            boost::system::error_code ignored;
            size += client.read_some(asio::buffer(&received[size], received.size() - size), ignored);
            return size > before && received[size - 1] == '\n' &&
                   (received[before] != '$' || size >= before + expected.size());
        });
    }
    return received.substr(0, size);
}

// The commands that the host received, without the remaining time, which depends on the clock.
std::string commands(const RouterFixture &fixture) {
    std::string ids;
    for (std::size_t at = 0; (at = fixture.host.sent.find("id-", at)) != std::string::npos; at += 3)
        ids += fixture.host.sent.substr(at, 6) + ' ';
    return ids;
}

void a_rehearsal_is_logged_and_changes_no_answer() {
    std::string answers[2], sent[2];
    for (const bool rehearsing : {false, true}) {
        RouterFixture fixture;
        fixture.host.answer = host_answer;
        fixture.config = read_config_file(fixture.config_path, fixture.environment);
        fixture.config.limits.sweeps_per_rehearsal_report = 1;
        if (rehearsing) {
            // The other shape has no capacity for a pick: it would push back every RPC.
            fixture.config.rehearsed_deployment = fixture.config.deployment;
            fixture.config.rehearsed_deployment->max_open_picks = 0;
        }
        fixture.service.emplace(fixture.io, fixture.config_path, fixture.environment, fixture.config,
                                fixture.log, [] {});
        answers[rehearsing] = received_answers(fixture);
        sent[rehearsing] = commands(fixture);
        if (!rehearsing) {
            assert(!fixture.has_logged("rehearsal"));
            continue;
        }
        fixture.run_until(
            [&] { return fixture.has_logged("rehearsal: RPCs 40, decided differently: builds 0,"); });
        assert(fixture.has_logged("pushbacks 40, votes on 0, votes back 0"));
    }
    assert(answers[0] == answers[1] && !answers[0].empty());
    assert(sent[0] == sent[1] && !sent[0].empty());
}

// The other shape's file is read like the configuration; an error names the file and the key.
void errors_in_the_other_shape_name_file_and_key() {
    RouterFixture fixture;
    const RouterConfig config = read_config_file(fixture.config_path, fixture.environment);
    const std::string path = fixture.config_path + ".next";
    const auto error_of = [&](const std::string &text) -> std::string {
        std::ofstream(path) << text;
        try {
            read_rehearsed_deployment(config, path);
        } catch (const BadInput &error) {
            return error.what();
        }
        return "";
    };
    const json valid = default_settings();
    assert(error_of(valid.dump()).empty());
    assert(error_of("[1]").find("not a JSON object") != std::string::npos);
    json other = valid;
    other["classes"][0]["name"] = "search";
    assert(error_of(other.dump()).find(path + ": classes: not the names") != std::string::npos);
    other = valid;
    other["permissions"]["keepalive"] = -1;
    assert(error_of(other.dump()).find("keepalive") != std::string::npos);
    other = valid;
    other["ordinal"] = 1;
    assert(error_of(other.dump()).find("ordinal") != std::string::npos);
    other["ordinal"] = "first";
    assert(error_of(other.dump()).find("ordinal") != std::string::npos);
    std::filesystem::remove(path);
    assert([&] {
        try {
            read_rehearsed_deployment(config, path);
        } catch (const BadInput &error) {
            return std::string(error.what()).find("cannot be opened") != std::string::npos;
        }
        return false;
    }());
}

// A setting that is left out has the same effect as its default written out.
void omitted_settings_equal_their_defaults() {
    json given = default_settings();
    given["permissions"].erase("keepalive");
    json explicit_defaults = given;
    explicit_defaults["permissions"]["keepalive"] = 0;
    const DeploymentConfig omitted = read_deployment_config(given);
    const DeploymentConfig written = read_deployment_config(explicit_defaults);
    assert(omitted.ordinal < 0 && written.ordinal < 0 && omitted.keepalive == 0 && written.keepalive == 0);
}

} // namespace

int main() {
    a_rehearsal_is_logged_and_changes_no_answer();
    errors_in_the_other_shape_name_file_and_key();
    omitted_settings_equal_their_defaults();
}
