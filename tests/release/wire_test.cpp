// The JSON messages of the desk: what is read and written, and which field an error names.
#undef NDEBUG
#include "release/wire.hpp"
#include "terms/fields.hpp"

#include <cassert>

using namespace pineridge;
using namespace pineridge::release;

namespace {

// The error that the line is refused with; empty if it is read.
std::string error_of(const std::string &line) {
    try {
        read_line(line, 3);
    } catch (const BadInput &error) {
        return error.what();
    }
    return "";
}

void lines_are_read() {
    assert(!read_line("{}", 3).update && read_line(R"({"type":"resync"})", 3).resync);
    const Update offer =
        *read_line(R"({"rev":5,"prev":4,"type":"offer","service":"booking","build":7,"needs":[
        {"service":"donor","build":3},{"service":"login","build":1,"stage":"match","strict":true}]})",
                   3)
             .update;
    assert(offer.rev == 5 && offer.prev == 4 && offer.build.text() == "booking/7" &&
           offer.dependencies.size() == 2);
    assert(offer.dependencies[0].stage == 3 && !offer.dependencies[0].strict);
    assert(offer.dependencies[1].stage == Dependency::kMatch && offer.dependencies[1].strict &&
           offer.dependencies[1].dependent == offer.build);
    const Update stage =
        *read_line(R"({"rev":6,"prev":5,"type":"stage","service":"booking","build":7,"zone":"a",
        "customer":"b","stage":2})",
                   3)
             .update;
    assert(stage.kind == Update::Kind::stage && stage.zone == "a" && stage.customer == "b" &&
           stage.stage == 2);
    const Update freeze =
        *read_line(R"({"rev":7,"prev":6,"type":"freeze","id":"f","zone":"a","to_ms":1000})", 3).update;
    assert(freeze.freeze.id == "f" && freeze.freeze.zone == "a" && freeze.freeze.to == 10000 &&
           freeze.freeze.from == 0);
}

void errors_name_the_field() {
    assert(error_of("[]") == "line: not an object");
    assert(error_of(R"({"type":"pull","rev":2,"prev":2,"service":"a","build":1})") == "prev: not below rev");
    assert(error_of(R"({"type":"pull","rev":-2,"prev":2,"service":"a","build":1})") == "rev: not a revision");
    assert(error_of(R"({"type":"pull","rev":3,"prev":2,"service":"","build":1})") ==
           "service: empty or too long");
    assert(error_of(R"({"type":"pull","rev":3,"prev":2,"service":"a","build":-1})") == "build: below 0");
    assert(
        error_of(
            R"({"type":"stage","rev":3,"prev":2,"service":"a","build":1,"zone":"z","customer":"c","stage":4})") ==
        "stage: out of range");
    assert(error_of(R"({"type":"cap","rev":3,"prev":2,"cap":1.5})") == "cap: not from 0 to 1");
    assert(error_of(R"({"type":"freeze","rev":3,"prev":2,"id":"f","from_ms":5,"to_ms":5})") ==
           "to_ms: not after from_ms");
    assert(error_of(R"({"type":"thaw","rev":3,"prev":2})") == "type: unknown update type");
    assert(
        error_of(
            R"({"type":"offer","rev":3,"prev":2,"service":"a","build":1,"needs":[{"service":"b","build":1,"stage":"late"}]})") ==
        "stage: not a stage number, released or match");
}

void snapshots_are_read() {
    const Snapshot snapshot =
        read_snapshot(R"({"rev":41,"builds":[{"service":"booking","build":7,"pulled":true,"cells":[]},
        {"service":"booking","build":8,"cells":[{"zone":"a","customer":"b","stage":"released","held":2,"told_ms":9}]}],
        "freezes":[{"id":"f"}],"caps":[{"zone":"a","cap":0.5}],"ledger":[{"customer":"b","traffic":10,"withdrawn":1}]})",
                      3);
    assert(snapshot.rev == 41 && snapshot.entries.size() == 7);
    assert(snapshot.entries[1].kind == Update::Kind::pull && snapshot.entries[1].build.number == 7);
    const Update &cell = snapshot.entries[3];
    assert(cell.stage == 3 && cell.held == 2 && cell.announced_at == 90);
    assert(snapshot.entries[5].cap == 0.5 && snapshot.entries[6].withdrawn == 1);
}

// A snapshot that is truncated anywhere, or has any one byte changed, is either read or refused with
// BadInput.
void truncated_or_corrupt_snapshots_are_read_or_refused() {
    const std::string valid =
        R"({"rev":41,"builds":[{"service":"b","build":8,"needs":[{"service":"c","build":1}],"cells":[{"zone":"a","customer":"b","stage":1}]}],"freezes":[{"id":"f"}]})";
    for (std::size_t at = 0; at < valid.size(); ++at)
        for (const char byte : {'\0', '"', '9', '{', '\xff'}) {
            std::string corrupt = valid;
            corrupt[at] = byte;
            for (const std::string &text : {valid.substr(0, at), corrupt}) {
                try {
                    read_snapshot(text, 3);
                } catch (const BadInput &) {
                }
            }
        }
}

void opinions_are_written() {
    ReleaseSettings scheme;
    scheme.zones = {{"a"}, {"b"}};
    scheme.customers = {{"x"}, {"y"}};
    const json opinion =
        json::parse(write_opinion({{"booking", 7}, 3, 2, Verdict::advance, 41}, scheme, "n1"));
    assert(opinion ==
           json::parse(R"({"router":"n1","service":"booking","build":7,"zone":"b","customer":"y","stage":2,
        "verdict":"on","rev":41})"));
    assert(!json::parse(write_opinion({{"booking", 7}, -1, 0, Verdict::roll_back, 41}, scheme, "n1"))
                .contains("zone"));
}

} // namespace

int main() {
    lines_are_read();
    errors_name_the_field();
    snapshots_are_read();
    truncated_or_corrupt_snapshots_are_read_or_refused();
    opinions_are_written();
}
