// Our own settings: what is read, and that faults name file, line and key.
#undef NDEBUG
#include "settings/read.hpp"

#include <cassert>

using namespace pineridge;

namespace {

const std::string kGood = R"(<pineridge xmlns="urn:pineridge:settings:1">
<release service="booking" zone="a" cap="0.9">
<zones><zone name="a" cap="0.5"/><zone name="b"/></zones>
<customers><customer name="x" share="2"/></customers>
<stages><stage share="0.1"/><stage share="1"/></stages>
<order by="canary" follow="1"><canary zone="b" customer="x"/></order>
<freezes settle-s="1.5"><freeze id="f" zone="b" from="2026-12-24T18:00:00+01:00" to="2026-12-24T17:30:00Z"/></freezes>
<dependencies hold-s="3"><needs service="booking" build="2" on-service="donor" on-build="1" stage="match"/></dependencies>
</release>
</pineridge>)";

std::string fault(const std::string &from, const std::string &to) {
    std::string text = kGood;
    const std::size_t at = text.find(from);
    assert(at != std::string::npos);
    text.replace(at, from.size(), to);
    try {
        read_wishes(text, "f.xml");
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void all_is_read() {
    const Scheme scheme = *read_wishes(kGood, "f.xml").release;
    assert(scheme.cells() == 2 && scheme.cap == 0.9 && scheme.zones[0].cap == 0.5 &&
           scheme.zones[1].cap == 1);
    assert((scheme.stages == std::vector<double>{0, 0.1, 1}) && scheme.follow == 1 &&
           scheme.customers[0].share == 2);
    assert(scheme.order == Order::canary && scheme.canaries == std::vector<int>{1});
    assert(scheme.freezes[0].from == 17981316000000 &&
           scheme.freezes[0].to - scheme.freezes[0].from == 18000000);
    assert(scheme.settle == 15000 && scheme.hold == 30000 && scheme.step == 10000 && scheme.evidence == 20);
    assert(scheme.needs[0].stage == Need::kMatch && scheme.needs[0].on.text() == "donor/1");
    assert(!read_wishes(R"(<pineridge xmlns="urn:pineridge:settings:1"/>)", "f.xml").release);
}

void faults_name_file_line_and_key() {
    const auto says = [](const std::string &text, const std::string &place, const std::string &part) {
        return text.rfind(place, 0) == 0 && text.find(part) != std::string::npos;
    };
    assert(says(fault("<release service", "<release servce"), "f.xml:2: ", "'servce'"));
    assert(says(fault("cap=\"0.5\"", "cap=\"1.5\""), "f.xml:3: ", "'cap'"));
    assert(says(fault("<zone name=\"b\"/>", "<zone name=\"a\"/>"), "f.xml:3: ", "zone.name: twice: a"));
    assert(says(fault("share=\"0.1\"", "shares=\"0.1\""), "f.xml:5: ", "'shares'"));
    assert(says(fault("<stage share=\"1\"/>", "<stage share=\"0.1\"/>"), "f.xml:5: ", "stage.share"));
    assert(says(fault("zone=\"b\" customer", "zone=\"c\" customer"), "f.xml:6: ", "canary.zone: unknown: c"));
    assert(says(fault("follow=\"1\"", "follow=\"3\""), "f.xml:6: ", "order.follow"));
    assert(says(fault("+01:00", ""), "f.xml:7: ", "no time zone offset"));
    assert(says(fault("17:30:00Z", "16:30:00Z"), "f.xml:7: ", "freeze.to: not after from"));
    assert(says(fault("on-service=\"donor\" on-build=\"1\"", "on-service=\"booking\" on-build=\"2\""),
                "f.xml:8: ", "needs itself: booking/2 -> booking/2"));
    assert(says(fault("zone=\"a\" cap=\"0.9\"", "zone=\"q\" cap=\"0.9\""),
                "f.xml:2: ", "release.zone: unknown: q"));
    assert(says(fault("</pineridge>", ""), "f.xml:", ""));
}

void a_registry_is_read() {
    const auto text = [](const std::string &attributes, const std::string &inside) {
        return R"(<pineridge xmlns="urn:pineridge:settings:1"><registry prefix="/h/" )" + attributes +
               R"(><endpoint address="127.0.0.1:1"/>)" + inside + "</registry></pineridge>";
    };
    const Registry registry = *read_wishes(text("plaintext=\"true\"", R"(<endpoint address="127.0.0.1:2"/>
        <doubt share="0.25" for-s="2"/><watch quiet-s="3" page="9"/><register key="/routers/a" life-s="5"/>)"),
                                           "f.xml")
                                   .registry;
    assert(registry.endpoints.size() == 2 && registry.prefix == "/h/" && registry.doubt_share == 0.25);
    assert(registry.doubt_for == 20000 && registry.quiet == 30000 && registry.page == 9 &&
           registry.look == 100000);
    assert(registry.plaintext && registry.kind == Registry::Kind::etcd && registry.own_key == "/routers/a" &&
           registry.own_life_s == 5);
    const Registry asked = *read_wishes(text("kind=\"blocking\"", R"(<query wait-s="9" gap-s="0.1"/>
        <tls ca="/ca" certificate="/c" key="/k" name="n"/>)"),
                                        "f.xml")
                                .registry;
    assert(asked.kind == Registry::Kind::blocking && asked.wait == 90000 && asked.gap == 1000 &&
           asked.authorities == "/ca" && asked.certificate == "/c" && asked.key == "/k" && asked.name == "n");
    const auto fault = [&](const std::string &attributes, const std::string &inside) -> std::string {
        try {
            read_wishes(text(attributes, inside), "f.xml");
        } catch (const BadInput &bad) {
            return bad.what();
        }
        return "";
    };
    const std::string plain = "plaintext=\"true\"";
    assert(fault(plain, R"(<watch progress-s="2" quiet-s="1"/>)") ==
           "f.xml:1: watch.quiet-s: not above progress-s");
    assert(fault("", "") == "f.xml:1: registry.plaintext: not told, and there is no tls");
    assert(fault(plain, R"(<tls ca="/ca"/>)") == "f.xml:1: tls.ca: beside plaintext");
    assert(fault("", R"(<tls ca="/ca" certificate="/c"/>)") ==
           "f.xml:1: tls.certificate: goes with key, and key with it");
    assert(fault(plain, R"(<register key="/h/me"/>)") ==
           "f.xml:1: register.key: under prefix, where hosts are");
    assert(fault(plain + " kind=\"blocking\"", R"(<register key="/r"/>)") ==
           "f.xml:1: register.key: kind blocking registers none");
    assert(fault(plain + " kind=\"zoo\"", "").find("f.xml:1: ") == 0);
}

// An entity that names a file is not read.
void no_file_is_read_by_the_way() {
    try {
        read_wishes("<!DOCTYPE p [<!ENTITY e SYSTEM \"file:///etc/hostname\">]><pineridge "
                    "xmlns=\"urn:pineridge:settings:1\">&e;</pineridge>",
                    "f.xml");
        assert(false);
    } catch (const BadInput &) {
    }
}

} // namespace

int main() {
    all_is_read();
    faults_name_file_line_and_key();
    a_registry_is_read();
    no_file_is_read_by_the_way();
}
