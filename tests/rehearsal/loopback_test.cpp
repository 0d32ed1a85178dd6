// A router on loopback that rehearses another shape: its answers and picks are those of one that does not,
// and its log tells the kind that differs and the one that does not.
#include "../one_router.hpp"

using namespace pineridge;
using namespace pineridge::test;

namespace {

// Asks one RPC after another, so that what comes next follows from what was answered; the bytes clients got.
std::string asked(Town &town) {
    tcp::socket client = client_of(town);
    std::string got(8192, '\0');
    std::size_t size = 0;
    for (int i = 1000; i < 1040; ++i) {
        const std::string id = "id-" + std::to_string(i).substr(1), wanted = bulk(id);
        asio::write(client, asio::buffer(ask(id)));
        const std::size_t before = size;
        town.until([&] {
            boost::system::error_code none;
            size += client.read_some(asio::buffer(&got[size], got.size() - size), none);
            return size > before && got[size - 1] == '\n' &&
                   (got[before] != '$' || size >= before + wanted.size());
        });
    }
    return got.substr(0, size);
}

// The commands that the host got, without the time left, which is the clock's.
std::string commands(const Town &town) {
    std::string kept;
    for (std::size_t at = 0; (at = town.host.sent.find("id-", at)) != std::string::npos; at += 3)
        kept += town.host.sent.substr(at, 6) + ' ';
    return kept;
}

void a_rehearsal_tells_and_changes_nothing() {
    std::string answers[2], sent[2];
    for (const bool rehearsing : {false, true}) {
        Town town;
        town.host.answer = host_answer;
        town.start = read_start_file(town.path, town.environment);
        town.start.limits.rehearsal_sweeps = 1;
        if (rehearsing) {
            // The other shape has no room for a pick: each RPC would be pushed back.
            town.start.rehearsed = town.start.terms;
            town.start.rehearsed->max_open_picks = 0;
        }
        town.service.emplace(town.io, town.path, town.environment, town.start, town.log, [] {});
        answers[rehearsing] = asked(town);
        sent[rehearsing] = commands(town);
        if (!rehearsing) {
            assert(!town.has_logged("rehearsal"));
            continue;
        }
        town.until([&] { return town.has_logged("rehearsal: RPCs 40, otherwise: builds 0,"); });
        assert(town.has_logged("pushbacks 40, votes on 0, votes back 0"));
    }
    assert(answers[0] == answers[1] && !answers[0].empty());
    assert(sent[0] == sent[1] && !sent[0].empty());
}

// The file of the other shape is read as the configuration is; a fault names file and key.
void faults_of_the_other_shape_are_named() {
    Town town;
    const Start start = read_start_file(town.path, town.environment);
    const std::string path = town.path + ".next";
    const auto fault = [&](const std::string &text) -> std::string {
        std::ofstream(path) << text;
        try {
            read_rehearsed(start, path);
        } catch (const BadInput &bad) {
            return bad.what();
        }
        return "";
    };
    const json sound = settings();
    assert(fault(sound.dump()).empty());
    assert(fault("[1]").find("not a JSON object") != std::string::npos);
    json other = sound;
    other["classes"][0]["name"] = "search";
    assert(fault(other.dump()).find(path + ": classes: not the names") != std::string::npos);
    other = sound;
    other["permissions"]["keepalive"] = -1;
    assert(fault(other.dump()).find("keepalive") != std::string::npos);
    other = sound;
    other["ordinal"] = 1;
    assert(fault(other.dump()).find("ordinal") != std::string::npos);
    other["ordinal"] = "first";
    assert(fault(other.dump()).find("ordinal") != std::string::npos);
    std::filesystem::remove(path);
    assert([&] {
        try {
            read_rehearsed(start, path);
        } catch (const BadInput &bad) {
            return std::string(bad.what()).find("cannot be opened") != std::string::npos;
        }
        return false;
    }());
}

// Settings read since the move: what is left out is as if its default were spelled out.
void defaults_spelled_out_are_the_same() {
    json given = settings();
    given["permissions"].erase("keepalive");
    json spelled = given;
    spelled["permissions"]["keepalive"] = 0;
    const DeploymentConfig terms = read_terms(given), again = read_terms(spelled);
    assert(terms.ordinal < 0 && again.ordinal < 0 && terms.keepalive == 0 && again.keepalive == 0);
}

} // namespace

int main() {
    a_rehearsal_tells_and_changes_nothing();
    faults_of_the_other_shape_are_named();
    defaults_spelled_out_are_the_same();
}
