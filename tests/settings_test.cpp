// Checks the values that are read from a settings file, and that errors name file, line and key.
#undef NDEBUG
#include "settings/read.hpp"

#include <cassert>

using namespace pineridge;

namespace {

const std::string kValidSettings = R"(<pineridge xmlns="urn:pineridge:settings:1">
<release service="booking" zone="a" cap="0.9">
<zones><zone name="a" cap="0.5"/><zone name="b"/></zones>
<customers><customer name="x" share="2"/></customers>
<stages><stage share="0.1"/><stage share="1"/></stages>
<order by="canary" follow="1"><canary zone="b" customer="x"/></order>
<freezes settle-s="1.5"><freeze id="f" zone="b" from="2026-12-24T18:00:00+01:00" to="2026-12-24T17:30:00Z"/></freezes>
<dependencies hold-s="3"><needs service="booking" build="2" on-service="donor" on-build="1" stage="match"/></dependencies>
</release>
</pineridge>)";

// Returns the error for the valid settings with one text replaced by another.
std::string error_after_replacing(const std::string &from, const std::string &to) {
    std::string text = kValidSettings;
    const std::size_t at = text.find(from);
    assert(at != std::string::npos);
    text.replace(at, from.size(), to);
    try {
        read_settings(text, "f.xml");
    } catch (const BadInput &bad) {
        return bad.what();
    }
    return "";
}

void release_settings_are_read() {
    const ReleaseSettings release = *read_settings(kValidSettings, "f.xml").release;
    assert(release.cell_count() == 2 && release.cap == 0.9 && release.zones[0].cap == 0.5 &&
           release.zones[1].cap == 1);
    assert((release.stages == std::vector<double>{0, 0.1, 1}) && release.wave_gate_stage == 1 &&
           release.customers[0].share == 2);
    assert(release.order == WaveOrder::canary && release.canaries == std::vector<int>{1});
    assert(release.freezes[0].from == 17981316000000 &&
           release.freezes[0].to - release.freezes[0].from == 18000000);
    assert(release.freeze_settle_time == 15000 && release.rollback_delay == 30000 &&
           release.rollback_step == 10000 && release.min_picks == 20);
    assert(release.dependencies[0].stage == Dependency::kMatch &&
           release.dependencies[0].required.text() == "donor/1");
    assert(!read_settings(R"(<pineridge xmlns="urn:pineridge:settings:1"/>)", "f.xml").release);
}

void errors_name_file_line_and_key() {
    const auto names = [](const std::string &text, const std::string &position, const std::string &part) {
        return text.rfind(position, 0) == 0 && text.find(part) != std::string::npos;
    };
    assert(names(error_after_replacing("<release service", "<release servce"), "f.xml:2: ", "'servce'"));
    assert(names(error_after_replacing("cap=\"0.5\"", "cap=\"1.5\""), "f.xml:3: ", "'cap'"));
    assert(names(error_after_replacing("<zone name=\"b\"/>", "<zone name=\"a\"/>"),
                 "f.xml:3: ", "zone.name: twice: a"));
    assert(names(error_after_replacing("share=\"0.1\"", "shares=\"0.1\""), "f.xml:5: ", "'shares'"));
    assert(names(error_after_replacing("<stage share=\"1\"/>", "<stage share=\"0.1\"/>"),
                 "f.xml:5: ", "stage.share"));
    assert(names(error_after_replacing("zone=\"b\" customer", "zone=\"c\" customer"),
                 "f.xml:6: ", "canary.zone: unknown: c"));
    assert(names(error_after_replacing("follow=\"1\"", "follow=\"3\""), "f.xml:6: ", "order.follow"));
    assert(names(error_after_replacing("+01:00", ""), "f.xml:7: ", "no time zone offset"));
    assert(names(error_after_replacing("17:30:00Z", "16:30:00Z"), "f.xml:7: ", "freeze.to: not after from"));
    assert(names(
        error_after_replacing("on-service=\"donor\" on-build=\"1\"", "on-service=\"booking\" on-build=\"2\""),
        "f.xml:8: ", "needs itself: booking/2 -> booking/2"));
    assert(names(error_after_replacing("zone=\"a\" cap=\"0.9\"", "zone=\"q\" cap=\"0.9\""),
                 "f.xml:2: ", "release.zone: unknown: q"));
    assert(names(error_after_replacing("</pineridge>", ""), "f.xml:", ""));
}

void registry_settings_are_read() {
    const auto text = [](const std::string &attributes, const std::string &children) {
        return R"(<pineridge xmlns="urn:pineridge:settings:1"><registry prefix="/h/" )" + attributes +
               R"(><endpoint address="127.0.0.1:1"/>)" + children + "</registry></pineridge>";
    };
    const RegistrySettings registry =
        *read_settings(text("plaintext=\"true\"", R"(<endpoint address="127.0.0.1:2"/>
        <doubt share="0.25" for-s="2"/><watch quiet-s="3" page="9"/><register key="/routers/a" life-s="5"/>)"),
                       "f.xml")
             .registry;
    assert(registry.endpoints.size() == 2 && registry.prefix == "/h/" && registry.doubt_share == 0.25);
    assert(registry.doubt_timeout == 20000 && registry.watch_timeout == 30000 && registry.page_size == 9 &&
           registry.audit_interval == 100000);
    assert(registry.plaintext && registry.kind == RegistrySettings::Kind::etcd &&
           registry.registration_key == "/routers/a" && registry.registration_ttl_s == 5);
    const RegistrySettings blocking =
        *read_settings(text("kind=\"blocking\"", R"(<query wait-s="9" gap-s="0.1"/>
        <tls ca="/ca" certificate="/c" key="/k" name="n"/>)"),
                       "f.xml")
             .registry;
    assert(blocking.kind == RegistrySettings::Kind::blocking && blocking.query_wait == 90000 &&
           blocking.query_gap == 1000 && blocking.ca_file == "/ca" && blocking.certificate_file == "/c" &&
           blocking.key_file == "/k" && blocking.server_name == "n");
    const auto error_of = [&](const std::string &attributes, const std::string &children) -> std::string {
        try {
            read_settings(text(attributes, children), "f.xml");
        } catch (const BadInput &bad) {
            return bad.what();
        }
        return "";
    };
    const std::string plaintext = "plaintext=\"true\"";
    assert(error_of(plaintext, R"(<watch progress-s="2" quiet-s="1"/>)") ==
           "f.xml:1: watch.quiet-s: not above progress-s");
    assert(error_of("", "") == "f.xml:1: registry.plaintext: not set, and there is no tls element");
    assert(error_of(plaintext, R"(<tls ca="/ca"/>)") == "f.xml:1: tls.ca: not allowed with plaintext");
    assert(error_of("", R"(<tls ca="/ca" certificate="/c"/>)") ==
           "f.xml:1: tls.certificate: certificate and key must be set together");
    assert(error_of(plaintext, R"(<register key="/h/me"/>)") ==
           "f.xml:1: register.key: must not be under prefix, where the hosts are");
    assert(error_of(plaintext + " kind=\"blocking\"", R"(<register key="/r"/>)") ==
           "f.xml:1: register.key: not supported with kind blocking");
    assert(error_of(plaintext + " kind=\"zoo\"", "").find("f.xml:1: ") == 0);
}

// Guards against reading local files through XML external entities.
void external_entities_are_rejected() {
    try {
        read_settings("<!DOCTYPE p [<!ENTITY e SYSTEM \"file:///etc/hostname\">]><pineridge "
                      "xmlns=\"urn:pineridge:settings:1\">&e;</pineridge>",
                      "f.xml");
        assert(false);
    } catch (const BadInput &) {
    }
}

} // namespace

int main() {
    release_settings_are_read();
    errors_name_file_line_and_key();
    registry_settings_are_read();
    external_entities_are_rejected();
}
