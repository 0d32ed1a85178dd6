// The desk's JSON: what is read, and that what is wrong is named.
#undef NDEBUG
#include "release/wire.hpp"
#include "terms/fields.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::release;

namespace {

std::string fault(const std::string &line) {
    try {
        read_line(line, 3);
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void lines_are_read() {
    assert(!read_line("{}", 3).notice && read_line(R"({"type":"resync"})", 3).resync);
    const Notice offer =
        *read_line(R"({"rev":5,"prev":4,"type":"offer","service":"booking","build":7,"needs":[
        {"service":"donor","build":3},{"service":"login","build":1,"stage":"match","strict":true}]})",
                   3)
             .notice;
    assert(offer.rev == 5 && offer.prev == 4 && offer.build.text() == "booking/7" && offer.needs.size() == 2);
    assert(offer.needs[0].stage == 3 && !offer.needs[0].strict);
    assert(offer.needs[1].stage == Need::kMatch && offer.needs[1].strict && offer.needs[1].of == offer.build);
    const Notice stage =
        *read_line(R"({"rev":6,"prev":5,"type":"stage","service":"booking","build":7,"zone":"a",
        "customer":"b","stage":2})",
                   3)
             .notice;
    assert(stage.kind == Notice::Kind::stage && stage.zone == "a" && stage.customer == "b" &&
           stage.stage == 2);
    const Notice freeze =
        *read_line(R"({"rev":7,"prev":6,"type":"freeze","id":"f","zone":"a","to_ms":1000})", 3).notice;
    assert(freeze.freeze.id == "f" && freeze.freeze.zone == "a" && freeze.freeze.to == 10000 &&
           freeze.freeze.from == 0);
}

void faults_are_named() {
    assert(fault("[]") == "line: not an object");
    assert(fault(R"({"type":"pull","rev":2,"prev":2,"service":"a","build":1})") == "prev: not below rev");
    assert(fault(R"({"type":"pull","rev":-2,"prev":2,"service":"a","build":1})") == "rev: not a revision");
    assert(fault(R"({"type":"pull","rev":3,"prev":2,"service":"","build":1})") ==
           "service: empty or too long");
    assert(fault(R"({"type":"pull","rev":3,"prev":2,"service":"a","build":-1})") == "build: below 0");
    assert(
        fault(
            R"({"type":"stage","rev":3,"prev":2,"service":"a","build":1,"zone":"z","customer":"c","stage":4})") ==
        "stage: out of range");
    assert(fault(R"({"type":"cap","rev":3,"prev":2,"cap":1.5})") == "cap: not from 0 to 1");
    assert(fault(R"({"type":"freeze","rev":3,"prev":2,"id":"f","from_ms":5,"to_ms":5})") ==
           "to_ms: not after from_ms");
    assert(fault(R"({"type":"thaw","rev":3,"prev":2})") == "type: unknown word");
    assert(
        fault(
            R"({"type":"offer","rev":3,"prev":2,"service":"a","build":1,"needs":[{"service":"b","build":1,"stage":"late"}]})") ==
        "stage: unknown word");
}

void snapshots_are_read() {
    const Snapshot told =
        read_snapshot(R"({"rev":41,"builds":[{"service":"booking","build":7,"pulled":true,"cells":[]},
        {"service":"booking","build":8,"cells":[{"zone":"a","customer":"b","stage":"released","held":2,"told_ms":9}]}],
        "freezes":[{"id":"f"}],"caps":[{"zone":"a","cap":0.5}],"ledger":[{"customer":"b","traffic":10,"withdrawn":1}]})",
                      3);
    assert(told.rev == 41 && told.entries.size() == 7);
    assert(told.entries[1].kind == Notice::Kind::pull && told.entries[1].build.number == 7);
    const Notice &cell = told.entries[3];
    assert(cell.stage == 3 && cell.held == 2 && cell.told == 90);
    assert(told.entries[5].cap == 0.5 && told.entries[6].withdrawn == 1);
}

// Any cut or changed byte of a snapshot is read or refused; nothing else happens.
void spoilt_snapshots_are_refused_or_read() {
    const std::string good =
        R"({"rev":41,"builds":[{"service":"b","build":8,"needs":[{"service":"c","build":1}],"cells":[{"zone":"a","customer":"b","stage":1}]}],"freezes":[{"id":"f"}]})";
    for (std::size_t at = 0; at < good.size(); ++at)
        for (const char byte : {'\0', '"', '9', '{', '\xff'}) {
            std::string spoilt = good;
            spoilt[at] = byte;
            for (const std::string &text : {good.substr(0, at), spoilt}) {
                try {
                    read_snapshot(text, 3);
                } catch (const BadInput &) {
                }
            }
        }
}

void opinions_are_written() {
    Scheme scheme;
    scheme.zones = {{"a"}, {"b"}};
    scheme.customers = {{"x"}, {"y"}};
    const json said = json::parse(write_opinion({{"booking", 7}, 3, 2, Verdict::advance, 41}, scheme, "n1"));
    assert(said ==
           json::parse(R"({"router":"n1","service":"booking","build":7,"zone":"b","customer":"y","stage":2,
        "verdict":"on","rev":41})"));
    assert(!json::parse(write_opinion({{"booking", 7}, -1, 0, Verdict::roll_back, 41}, scheme, "n1"))
                .contains("zone"));
}

} // namespace

int main() {
    lines_are_read();
    faults_are_named();
    snapshots_are_read();
    spoilt_snapshots_are_refused_or_read();
    opinions_are_written();
}
