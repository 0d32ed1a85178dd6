#include "settings/read.hpp"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <cmath>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

namespace pineridge {

extern const char kSchema[];

namespace {

// Deleters for libxml2's objects.
template <auto Free> struct Deleter {
    template <class T> void operator()(T *object) const { Free(object); }
};
using Document = std::unique_ptr<xmlDoc, Deleter<xmlFreeDoc>>;
using SchemaParser = std::unique_ptr<xmlSchemaParserCtxt, Deleter<xmlSchemaFreeParserCtxt>>;
using Schema = std::unique_ptr<xmlSchema, Deleter<xmlSchemaFree>>;
using Validator = std::unique_ptr<xmlSchemaValidCtxt, Deleter<xmlSchemaFreeValidCtxt>>;
using ParserContext = std::unique_ptr<xmlParserCtxt, Deleter<xmlFreeParserCtxt>>;

struct ParseError {
    std::string file;
    std::string text;
};

// libxml2's error handler. Keeps the first error with its file and line; libxml2's text names the element and
// the attribute.
void record_error(void *context, xmlErrorPtr error) {
    auto *first_error = static_cast<ParseError *>(context);
    if (!first_error->text.empty()) return;
    std::string message = error->message ? error->message : "not well-formed";
    for (std::size_t at; (at = message.find("{urn:pineridge:settings:1}")) != std::string::npos;)
        message.erase(at, 26);
    while (!message.empty() && (message.back() == '\n' || message.back() == ' ')) message.pop_back();
    first_error->text = first_error->file + ":" + std::to_string(error->line) + ": " + message;
}

// An XML element, with the file name for messages. The `read` functions leave the destination unchanged where
// the attribute is absent.
class Node {
  public:
    Node(const xmlNode *node, const std::string &file) : node_(node), file_(file) {}

    [[noreturn]] void fail(const std::string &key, const std::string &fault) const {
        throw BadInput(file_ + ":" + std::to_string(xmlGetLineNo(node_)) + ": " + name() + "." + key + ": " +
                       fault);
    }
    std::string name() const { return reinterpret_cast<const char *>(node_->name); }
    std::string text(const char *key) const {
        xmlChar *value = xmlGetNoNsProp(node_, reinterpret_cast<const xmlChar *>(key));
        if (!value) return "";
        std::string copy = reinterpret_cast<const char *>(value);
        xmlFree(value);
        return copy;
    }
    double number(const char *key) const {
        std::istringstream stream(text(key));
        double value = 0;
        stream.imbue(std::locale::classic());
        if (!(stream >> value) || !std::isfinite(value)) fail(key, "not a finite number");
        return value;
    }
    int integer(const char *key) const { return static_cast<int>(number(key)); }
    bool has(const char *key) const {
        return xmlHasProp(node_, reinterpret_cast<const xmlChar *>(key)) != nullptr;
    }
    bool flag(const char *key) const { return text(key) == "true" || text(key) == "1"; }
    void read(const char *key, double &destination) const {
        if (has(key)) destination = number(key);
    }
    void read_seconds(const char *key, Ticks &destination) const {
        if (has(key)) destination = std::llround(number(key) * 10000);
    }
    template <class Count> void read_count(const char *key, Count &destination) const {
        if (has(key)) destination = static_cast<Count>(integer(key));
    }
    std::vector<Node> children(const char *element) const {
        std::vector<Node> matches;
        for (const xmlNode *child = node_->children; child; child = child->next)
            if (child->type == XML_ELEMENT_NODE && Node(child, file_).name() == element)
                matches.emplace_back(child, file_);
        return matches;
    }
    Node child(const char *element) const { return children(element).at(0); }

  private:
    const xmlNode *node_;
    const std::string &file_;
};

std::vector<Segment> read_segments(const Node &parent, const char *element) {
    std::vector<Segment> segments;
    std::set<std::string> names;
    for (const Node &node : parent.children(element)) {
        if (!names.insert(node.text("name")).second) node.fail("name", "twice: " + node.text("name"));
        Segment &segment = segments.emplace_back(Segment{node.text("name")});
        node.read("cap", segment.cap);
        node.read("share", segment.share);
    }
    return segments;
}

int read_stage(const Node &node, const char *key, const ReleaseSettings &release) {
    const std::string name = node.text(key);
    if (name.empty() || name == "released") return release.released_stage();
    if (name == "match") return Dependency::kMatch;
    const int stage = std::stoi(name); // the schema allows at most two digits
    if (stage > release.released_stage())
        node.fail(key, "there are " + std::to_string(release.released_stage()) + " stages");
    return stage;
}

Freeze read_freeze(const Node &node, const ReleaseSettings &release) {
    Freeze freeze{node.text("id"), node.text("zone"), node.text("customer"), node.text("service")};
    if (!freeze.zone.empty() && release.zone_index(freeze.zone) < 0)
        node.fail("zone", "unknown: " + freeze.zone);
    if (!freeze.customer.empty() && release.customer_index(freeze.customer) < 0)
        node.fail("customer", "unknown: " + freeze.customer);
    try {
        freeze.from = read_timestamp(node.text("from"), "from");
        freeze.to = read_timestamp(node.text("to"), "to");
    } catch (const BadInput &bad) {
        node.fail("window", bad.what());
    }
    if (freeze.to <= freeze.from) node.fail("to", "not after from");
    return freeze;
}

void read_order(const Node &node, ReleaseSettings &release) {
    const std::string by = node.text("by");
    release.order = by == "zones"       ? WaveOrder::zones
                    : by == "customers" ? WaveOrder::customers
                    : by == "canary"    ? WaveOrder::canary
                                        : WaveOrder::balanced;
    release.wave_gate_stage = read_stage(node, "follow", release);
    if (release.wave_gate_stage == Dependency::kMatch) node.fail("follow", "must be a stage or released");
    for (const Node &cell : node.children("canary")) {
        const int zone = release.zone_index(cell.text("zone"));
        const int customer = release.customer_index(cell.text("customer"));
        if (zone < 0) cell.fail("zone", "unknown: " + cell.text("zone"));
        if (customer < 0) cell.fail("customer", "unknown: " + cell.text("customer"));
        release.canaries.push_back(release.cell(zone, customer));
    }
    if (release.order == WaveOrder::canary && release.canaries.empty())
        node.fail("by", "canary needs at least one cell");
}

void read_dependencies(const Node &node, ReleaseSettings &release) {
    node.read_seconds("hold-s", release.rollback_delay);
    node.read_seconds("step-s", release.rollback_step);
    for (const Node &element : node.children("needs")) {
        release.dependencies.push_back({{element.text("service"), element.integer("build")},
                                        {element.text("on-service"), element.integer("on-build")},
                                        read_stage(element, "stage", release),
                                        element.flag("strict")});
        const std::string cycle =
            dependency_cycle(release.dependencies, release.dependencies.back().dependent);
        if (!cycle.empty()) element.fail("on-build", "needs itself: " + cycle);
    }
}

ReleaseSettings read_release(const Node &node) {
    ReleaseSettings release;
    release.service = node.text("service");
    release.zone = node.text("zone");
    node.read("cap", release.cap);
    if (const auto desk = node.children("desk"); !desk.empty()) release.desk = desk[0].text("address");
    release.zones = read_segments(node.child("zones"), "zone");
    release.customers = read_segments(node.child("customers"), "customer");
    if (release.zone_index(release.zone) < 0) node.fail("zone", "unknown: " + release.zone);
    if (release.cell_count() > 100000)
        node.child("zones").fail("zone", "zones times customers exceed 100000 cells");
    release.stages = {0};
    for (const Node &stage : node.child("stages").children("stage")) {
        if (stage.number("share") <= release.stages.back()) stage.fail("share", "not above the stage before");
        release.stages.push_back(stage.number("share"));
    }
    read_order(node.child("order"), release);
    for (const Node &evidence : node.children("evidence")) {
        evidence.read_count("picks", release.min_picks);
        evidence.read_seconds("silent-after-s", release.silent_after);
        evidence.read_seconds("renew-s", release.opinion_interval);
    }
    for (const Node &bounds : node.children("bounds")) {
        bounds.read_count("builds", release.max_builds);
        bounds.read_count("freezes", release.max_freezes);
    }
    for (const Node &freezes : node.children("freezes")) {
        freezes.read_seconds("settle-s", release.freeze_settle_time);
        std::set<std::string> ids;
        for (const Node &freeze : freezes.children("freeze")) {
            release.freezes.push_back(read_freeze(freeze, release));
            if (!ids.insert(release.freezes.back().id).second)
                freeze.fail("id", "twice: " + freeze.text("id"));
        }
        if (release.freezes.size() > release.max_freezes) freezes.fail("freeze", "more than bounds.freezes");
    }
    for (const Node &needs : node.children("dependencies")) read_dependencies(needs, release);
    return release;
}

RegistrySettings read_registry(const Node &node) {
    RegistrySettings registry;
    registry.prefix = node.text("prefix");
    registry.token_file = node.text("token-file");
    registry.cache_file = node.text("known-file");
    for (const Node &endpoint : node.children("endpoint"))
        registry.endpoints.push_back(endpoint.text("address"));
    for (const Node &doubt : node.children("doubt")) {
        doubt.read("share", registry.doubt_share);
        doubt.read_count("hosts", registry.min_doubted_hosts);
        doubt.read_seconds("for-s", registry.doubt_timeout);
        doubt.read_seconds("confirm-after-s", registry.confirm_after);
        doubt.read_seconds("lag-for-s", registry.max_lag_time);
    }
    if (node.text("kind") == "blocking") registry.kind = RegistrySettings::Kind::blocking;
    for (const Node &query : node.children("query")) {
        query.read_seconds("wait-s", registry.query_wait);
        query.read_seconds("gap-s", registry.query_gap);
        query.read_seconds("contact-s", registry.max_leader_silence);
        if (registry.query_wait <= registry.query_gap) query.fail("wait-s", "not above gap-s");
    }
    registry.plaintext = node.flag("plaintext");
    for (const Node &tls : node.children("tls")) {
        if (registry.plaintext) tls.fail("ca", "not allowed with plaintext");
        registry.ca_file = tls.text("ca");
        registry.certificate_file = tls.text("certificate");
        registry.key_file = tls.text("key");
        registry.server_name = tls.text("name");
        if (registry.certificate_file.empty() != registry.key_file.empty())
            tls.fail("certificate", "certificate and key must be set together");
    }
    if (!registry.plaintext && registry.ca_file.empty())
        node.fail("plaintext", "not set, and there is no tls element");
    for (const Node &own : node.children("register")) {
        if (registry.kind != RegistrySettings::Kind::etcd)
            own.fail("key", "not supported with kind blocking");
        registry.registration_key = own.text("key");
        own.read_count("life-s", registry.registration_ttl_s);
        if (registry.registration_key.rfind(registry.prefix, 0) == 0)
            own.fail("key", "must not be under prefix, where the hosts are");
    }
    for (const Node &watch : node.children("watch")) {
        watch.read_seconds("progress-s", registry.progress_interval);
        watch.read_seconds("quiet-s", registry.watch_timeout);
        watch.read_seconds("look-s", registry.audit_interval);
        watch.read_seconds("answer-s", registry.answer_timeout);
        watch.read_count("page", registry.page_size);
        watch.read_seconds("spread-s", registry.read_spread);
        if (registry.watch_timeout <= registry.progress_interval)
            watch.fail("quiet-s", "not above progress-s");
    }
    return registry;
}

Network read_network_attribute(const Node &node, const char *key) {
    try {
        return read_network(node.text(key));
    } catch (const BadInput &bad) {
        node.fail(key, bad.what());
    }
}

Crowd read_crowd(const Node &node) {
    Crowd crowd{node.text("name")};
    node.read("weight", crowd.weight);
    node.read_count("reserve", crowd.reserved_connections);
    node.read_count("most", crowd.max_connections);
    node.read_count("per-address", crowd.max_per_address);
    node.read_count("per-network", crowd.max_per_network);
    node.read("opens-per-s", crowd.opens_per_s);
    node.read("burst", crowd.open_burst);
    if (crowd.max_connections > 0 && crowd.max_connections < crowd.reserved_connections)
        node.fail("most", "below reserve");
    return crowd;
}

void read_crowds(const Node &node, AdmissionSettings &admission) {
    std::vector<NetworkTable::Entry> networks;
    std::map<Network, std::string> crowd_names; // by network
    std::set<std::string> names;
    for (const Node &child : node.children("others")) {
        admission.crowds[0] = read_crowd(child);
        admission.crowds[0].name = "others";
    }
    for (const Node &child : node.children("crowd")) {
        if (child.text("name") == "others" || !names.insert(child.text("name")).second)
            child.fail("name", "twice: " + child.text("name"));
        for (const Node &network : child.children("network")) {
            const Network parsed = read_network_attribute(network, "address");
            const auto [position, inserted] = crowd_names.emplace(parsed, child.text("name"));
            if (!inserted)
                network.fail("address", parsed.text() + ": already listed in crowd " + position->second);
            networks.push_back({parsed, static_cast<int>(admission.crowds.size())});
        }
        admission.crowds.push_back(read_crowd(child));
    }
    admission.networks = NetworkTable(std::move(networks));
}

AdmissionSettings read_admission(const Node &node) {
    AdmissionSettings admission;
    admission.observe = node.text("mode") == "observe";
    node.read_count("prefix-v4", admission.prefix_v4);
    node.read_count("prefix-v6", admission.prefix_v6);
    node.read_count("addresses", admission.max_addresses);
    node.read_seconds("trust-half-s", admission.trust_half_life);
    read_crowds(node, admission);
    for (const Node &front : node.children("front"))
        admission.trusted_proxies.push_back(read_network_attribute(front, "address"));
    for (const Node &slow : node.children("slow")) {
        slow.read_seconds("first-byte-s", admission.first_byte_timeout);
        slow.read_seconds("command-s", admission.command_timeout);
        slow.read_seconds("unread-s", admission.unread_timeout);
    }
    for (const Node &quotas : node.children("quotas")) {
        quotas.read_count("routers", admission.routers);
        for (const Node &quota : quotas.children("quota")) {
            Quota parsed{quota.text("customer"), quota.text("method"), quota.number("per-s")};
            parsed.burst = parsed.rpcs_per_s;
            quota.read("burst", parsed.burst);
            if (parsed.customer.empty() && parsed.method.empty())
                quota.fail("customer", "neither customer nor method is set");
            admission.quotas.push_back(parsed);
        }
    }
    for (const Node &retries : node.children("retries")) {
        retries.read("share", admission.retry_share);
        retries.read("least-per-s", admission.min_retries_per_s);
        retries.read_seconds("window-s", admission.retry_window);
    }
    for (const Node &lateness : node.children("lateness")) {
        lateness.read_seconds("aim-s", admission.max_lateness);
        lateness.read_count("least", admission.min_in_flight);
    }
    return admission;
}

} // namespace

Settings read_settings(const std::string &text, const std::string &file) {
    ParseError first_error{file, ""};
    const auto fail = [&](const char *fallback) {
        throw BadInput(first_error.text.empty() ? file + ":1: " + fallback : first_error.text);
    };
    const ParserContext context(xmlNewParserCtxt());
    xmlSetStructuredErrorFunc(&first_error, record_error);
    const Document document(xmlCtxtReadMemory(context.get(), text.data(), static_cast<int>(text.size()),
                                              file.c_str(), nullptr, XML_PARSE_NONET | XML_PARSE_BIG_LINES));
    const SchemaParser parser(
        xmlSchemaNewMemParserCtxt(kSchema, static_cast<int>(std::char_traits<char>::length(kSchema))));
    const Schema schema(document ? xmlSchemaParse(parser.get()) : nullptr);
    const Validator validator(schema ? xmlSchemaNewValidCtxt(schema.get()) : nullptr);
    if (validator) {
        xmlSchemaSetValidStructuredErrors(validator.get(), record_error, &first_error);
    }
    const bool valid = validator && xmlSchemaValidateDoc(validator.get(), document.get()) == 0;
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (!document) fail("not XML");
    if (!valid) fail("does not conform to the schema");
    Settings settings;
    const Node root(xmlDocGetRootElement(document.get()), file);
    for (const Node &release : root.children("release")) settings.release = read_release(release);
    for (const Node &registry : root.children("registry")) settings.registry = read_registry(registry);
    for (const Node &admission : root.children("admission")) settings.admission = read_admission(admission);
    for (const Node &rehearsal : root.children("rehearsal")) settings.rehearsal = rehearsal.text("settings");
    return settings;
}

Settings read_settings_file(const std::string &path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw BadInput(path + ": cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > (16u << 20)) throw BadInput(path + ": over 16 MB");
    return read_settings(text.str(), path);
}

} // namespace pineridge
