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

template <auto Free> struct Freer {
    template <class T> void operator()(T *held) const { Free(held); }
};
using Document = std::unique_ptr<xmlDoc, Freer<xmlFreeDoc>>;
using SchemaParser = std::unique_ptr<xmlSchemaParserCtxt, Freer<xmlSchemaFreeParserCtxt>>;
using Schema = std::unique_ptr<xmlSchema, Freer<xmlSchemaFree>>;
using Validator = std::unique_ptr<xmlSchemaValidCtxt, Freer<xmlSchemaFreeValidCtxt>>;
using Reader = std::unique_ptr<xmlParserCtxt, Freer<xmlFreeParserCtxt>>;

struct Complaint {
    std::string file, text;
};

// The first complaint counts; it names file and line, and libxml's text names element and attribute.
void complain(void *to, xmlErrorPtr error) {
    auto *complaint = static_cast<Complaint *>(to);
    if (!complaint->text.empty()) return;
    std::string what = error->message ? error->message : "not well-formed";
    for (std::size_t at; (at = what.find("{urn:pineridge:settings:1}")) != std::string::npos;)
        what.erase(at, 26);
    while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
    complaint->text = complaint->file + ":" + std::to_string(error->line) + ": " + what;
}

// One element, with the file to name it by. What is left out keeps the value that its taker has.
class Node {
  public:
    Node(const xmlNode *node, const std::string &file) : node_(node), file_(file) {}

    [[noreturn]] void wrong(const std::string &key, const std::string &what) const {
        throw BadInput(file_ + ":" + std::to_string(xmlGetLineNo(node_)) + ": " + name() + "." + key + ": " +
                       what);
    }
    std::string name() const { return reinterpret_cast<const char *>(node_->name); }
    std::string text(const char *key) const {
        xmlChar *value = xmlGetNoNsProp(node_, reinterpret_cast<const xmlChar *>(key));
        if (!value) return "";
        std::string read = reinterpret_cast<const char *>(value);
        xmlFree(value);
        return read;
    }
    double number(const char *key) const {
        std::istringstream from(text(key));
        double read = 0;
        from.imbue(std::locale::classic());
        if (!(from >> read) || !std::isfinite(read)) wrong(key, "not a finite number");
        return read;
    }
    int whole(const char *key) const { return static_cast<int>(number(key)); }
    bool has(const char *key) const {
        return xmlHasProp(node_, reinterpret_cast<const xmlChar *>(key)) != nullptr;
    }
    bool flag(const char *key) const { return text(key) == "true" || text(key) == "1"; }
    void take(const char *key, double &into) const {
        if (has(key)) into = number(key);
    }
    void take_span(const char *key, Ticks &into) const {
        if (has(key)) into = std::llround(number(key) * 10000);
    }
    template <class Count> void take_count(const char *key, Count &into) const {
        if (has(key)) into = static_cast<Count>(whole(key));
    }
    std::vector<Node> all(const char *named) const {
        std::vector<Node> found;
        for (const xmlNode *child = node_->children; child; child = child->next)
            if (child->type == XML_ELEMENT_NODE && Node(child, file_).name() == named)
                found.emplace_back(child, file_);
        return found;
    }
    Node one(const char *named) const { return all(named).at(0); }

  private:
    const xmlNode *node_;
    const std::string &file_;
};

std::vector<Part> read_parts(const Node &from, const char *named) {
    std::vector<Part> parts;
    std::set<std::string> names;
    for (const Node &node : from.all(named)) {
        if (!names.insert(node.text("name")).second) node.wrong("name", "twice: " + node.text("name"));
        Part &part = parts.emplace_back(Part{node.text("name")});
        node.take("cap", part.cap);
        node.take("share", part.share);
    }
    return parts;
}

int read_stage(const Node &node, const char *key, const Scheme &scheme) {
    const std::string read = node.text(key);
    if (read.empty() || read == "released") return scheme.released();
    if (read == "match") return Need::kMatch;
    const int stage = std::stoi(read); // the schema lets two digits at most pass
    if (stage > scheme.released())
        node.wrong(key, "there are " + std::to_string(scheme.released()) + " stages");
    return stage;
}

Freeze read_freeze(const Node &node, const Scheme &scheme) {
    Freeze freeze{node.text("id"), node.text("zone"), node.text("customer"), node.text("service")};
    if (!freeze.zone.empty() && scheme.zone_at(freeze.zone) < 0)
        node.wrong("zone", "unknown: " + freeze.zone);
    if (!freeze.customer.empty() && scheme.customer_at(freeze.customer) < 0)
        node.wrong("customer", "unknown: " + freeze.customer);
    try {
        freeze.from = read_moment(node.text("from"), "from");
        freeze.to = read_moment(node.text("to"), "to");
    } catch (const BadInput &bad) {
        node.wrong("window", bad.what());
    }
    if (freeze.to <= freeze.from) node.wrong("to", "not after from");
    return freeze;
}

void read_order(const Node &node, Scheme &scheme) {
    const std::string by = node.text("by");
    scheme.order = by == "zones"       ? Order::zones
                   : by == "customers" ? Order::customers
                   : by == "canary"    ? Order::canary
                                       : Order::balanced;
    scheme.follow = read_stage(node, "follow", scheme);
    if (scheme.follow == Need::kMatch) node.wrong("follow", "takes a stage or released");
    for (const Node &cell : node.all("canary")) {
        const int zone = scheme.zone_at(cell.text("zone")),
                  customer = scheme.customer_at(cell.text("customer"));
        if (zone < 0) cell.wrong("zone", "unknown: " + cell.text("zone"));
        if (customer < 0) cell.wrong("customer", "unknown: " + cell.text("customer"));
        scheme.canaries.push_back(scheme.cell(zone, customer));
    }
    if (scheme.order == Order::canary && scheme.canaries.empty()) node.wrong("by", "canary names no cell");
}

void read_needs(const Node &node, Scheme &scheme) {
    node.take_span("hold-s", scheme.hold);
    node.take_span("step-s", scheme.step);
    for (const Node &need : node.all("needs")) {
        scheme.needs.push_back({{need.text("service"), need.whole("build")},
                                {need.text("on-service"), need.whole("on-build")},
                                read_stage(need, "stage", scheme),
                                need.flag("strict")});
        const std::string way = way_back(scheme.needs, scheme.needs.back().of);
        if (!way.empty()) need.wrong("on-build", "needs itself: " + way);
    }
}

Scheme read_scheme(const Node &node) {
    Scheme scheme;
    scheme.service = node.text("service");
    scheme.zone = node.text("zone");
    node.take("cap", scheme.cap);
    if (const auto desk = node.all("desk"); !desk.empty()) scheme.desk = desk[0].text("address");
    scheme.zones = read_parts(node.one("zones"), "zone");
    scheme.customers = read_parts(node.one("customers"), "customer");
    if (scheme.zone_at(scheme.zone) < 0) node.wrong("zone", "unknown: " + scheme.zone);
    if (scheme.cells() > 100000) node.one("zones").wrong("zone", "over 100000 cells with the customers");
    scheme.stages = {0};
    for (const Node &stage : node.one("stages").all("stage")) {
        if (stage.number("share") <= scheme.stages.back()) stage.wrong("share", "not above the stage before");
        scheme.stages.push_back(stage.number("share"));
    }
    read_order(node.one("order"), scheme);
    for (const Node &evidence : node.all("evidence")) {
        evidence.take_count("picks", scheme.evidence);
        evidence.take_span("silent-after-s", scheme.silent_after);
        evidence.take_span("renew-s", scheme.renew);
    }
    for (const Node &bounds : node.all("bounds")) {
        bounds.take_count("builds", scheme.most_builds);
        bounds.take_count("freezes", scheme.most_freezes);
    }
    for (const Node &freezes : node.all("freezes")) {
        freezes.take_span("settle-s", scheme.settle);
        std::set<std::string> ids;
        for (const Node &freeze : freezes.all("freeze")) {
            scheme.freezes.push_back(read_freeze(freeze, scheme));
            if (!ids.insert(scheme.freezes.back().id).second)
                freeze.wrong("id", "twice: " + freeze.text("id"));
        }
        if (scheme.freezes.size() > scheme.most_freezes) freezes.wrong("freeze", "more than bounds.freezes");
    }
    for (const Node &needs : node.all("dependencies")) read_needs(needs, scheme);
    return scheme;
}

Registry read_registry(const Node &node) {
    Registry registry;
    registry.prefix = node.text("prefix");
    registry.token_file = node.text("token-file");
    registry.known_file = node.text("known-file");
    for (const Node &endpoint : node.all("endpoint")) registry.endpoints.push_back(endpoint.text("address"));
    for (const Node &doubt : node.all("doubt")) {
        doubt.take("share", registry.doubt_share);
        doubt.take_count("hosts", registry.doubt_hosts);
        doubt.take_span("for-s", registry.doubt_for);
        doubt.take_span("confirm-after-s", registry.confirm_after);
        doubt.take_span("lag-for-s", registry.lag_for);
    }
    if (node.text("kind") == "blocking") registry.kind = Registry::Kind::blocking;
    for (const Node &query : node.all("query")) {
        query.take_span("wait-s", registry.wait);
        query.take_span("gap-s", registry.gap);
        query.take_span("contact-s", registry.contact);
        if (registry.wait <= registry.gap) query.wrong("wait-s", "not above gap-s");
    }
    registry.plaintext = node.flag("plaintext");
    for (const Node &tls : node.all("tls")) {
        if (registry.plaintext) tls.wrong("ca", "beside plaintext");
        registry.authorities = tls.text("ca");
        registry.certificate = tls.text("certificate");
        registry.key = tls.text("key");
        registry.name = tls.text("name");
        if (registry.certificate.empty() != registry.key.empty())
            tls.wrong("certificate", "goes with key, and key with it");
    }
    if (!registry.plaintext && registry.authorities.empty())
        node.wrong("plaintext", "not told, and there is no tls");
    for (const Node &own : node.all("register")) {
        if (registry.kind != Registry::Kind::etcd) own.wrong("key", "kind blocking registers none");
        registry.own_key = own.text("key");
        own.take_count("life-s", registry.own_life_s);
        if (registry.own_key.rfind(registry.prefix, 0) == 0)
            own.wrong("key", "under prefix, where hosts are");
    }
    for (const Node &watch : node.all("watch")) {
        watch.take_span("progress-s", registry.progress);
        watch.take_span("quiet-s", registry.quiet);
        watch.take_span("look-s", registry.look);
        watch.take_span("answer-s", registry.answer);
        watch.take_count("page", registry.page);
        watch.take_span("spread-s", registry.spread);
        if (registry.quiet <= registry.progress) watch.wrong("quiet-s", "not above progress-s");
    }
    return registry;
}

Network read_told_network(const Node &node, const char *key) {
    try {
        return read_network(node.text(key));
    } catch (const BadInput &bad) {
        node.wrong(key, bad.what());
    }
}

Crowd read_crowd(const Node &node) {
    Crowd crowd{node.text("name")};
    node.take("weight", crowd.weight);
    node.take_count("reserve", crowd.reserve);
    node.take_count("most", crowd.most);
    node.take_count("per-address", crowd.per_address);
    node.take_count("per-network", crowd.per_network);
    node.take("opens-per-s", crowd.opens);
    node.take("burst", crowd.burst);
    if (crowd.most > 0 && crowd.most < crowd.reserve) node.wrong("most", "below reserve");
    return crowd;
}

void read_crowds(const Node &node, Entrance &entrance) {
    std::vector<Networks::Entry> networks;
    std::map<Network, std::string> told; // and the crowd that it is of
    std::set<std::string> names;
    for (const Node &child : node.all("others")) {
        entrance.crowds[0] = read_crowd(child);
        entrance.crowds[0].name = "others";
    }
    for (const Node &child : node.all("crowd")) {
        if (child.text("name") == "others" || !names.insert(child.text("name")).second)
            child.wrong("name", "twice: " + child.text("name"));
        for (const Node &network : child.all("network")) {
            const Network read = read_told_network(network, "address");
            const auto [at, fresh] = told.emplace(read, child.text("name"));
            if (!fresh) network.wrong("address", read.text() + ": told before, in " + at->second);
            networks.push_back({read, static_cast<int>(entrance.crowds.size())});
        }
        entrance.crowds.push_back(read_crowd(child));
    }
    entrance.networks = Networks(std::move(networks));
}

Entrance read_entrance(const Node &node) {
    Entrance entrance;
    entrance.observe = node.text("mode") == "observe";
    node.take_count("prefix-v4", entrance.prefix4);
    node.take_count("prefix-v6", entrance.prefix6);
    node.take_count("addresses", entrance.addresses);
    node.take_span("trust-half-s", entrance.trust_half);
    read_crowds(node, entrance);
    for (const Node &front : node.all("front"))
        entrance.fronts.push_back(read_told_network(front, "address"));
    for (const Node &slow : node.all("slow")) {
        slow.take_span("first-byte-s", entrance.first_byte);
        slow.take_span("command-s", entrance.whole_command);
        slow.take_span("unread-s", entrance.unread);
    }
    for (const Node &quotas : node.all("quotas")) {
        quotas.take_count("routers", entrance.routers);
        for (const Node &quota : quotas.all("quota")) {
            Quota read{quota.text("customer"), quota.text("method"), quota.number("per-s")};
            read.burst = read.rate;
            quota.take("burst", read.burst);
            if (read.customer.empty() && read.method.empty())
                quota.wrong("customer", "neither it nor method is told");
            entrance.quotas.push_back(read);
        }
    }
    for (const Node &retries : node.all("retries")) {
        retries.take("share", entrance.retry_share);
        retries.take("least-per-s", entrance.retry_least);
        retries.take_span("window-s", entrance.retry_window);
    }
    for (const Node &lateness : node.all("lateness")) {
        lateness.take_span("aim-s", entrance.late_aim);
        lateness.take_count("least", entrance.least_under_way);
    }
    return entrance;
}

} // namespace

Wishes read_wishes(const std::string &text, const std::string &file) {
    Complaint complaint{file, ""};
    const auto fail = [&](const char *otherwise) {
        throw BadInput(complaint.text.empty() ? file + ":1: " + otherwise : complaint.text);
    };
    const Reader reader(xmlNewParserCtxt());
    xmlSetStructuredErrorFunc(&complaint, complain);
    const Document document(xmlCtxtReadMemory(reader.get(), text.data(), static_cast<int>(text.size()),
                                              file.c_str(), nullptr, XML_PARSE_NONET | XML_PARSE_BIG_LINES));
    const SchemaParser parser(
        xmlSchemaNewMemParserCtxt(kSchema, static_cast<int>(std::char_traits<char>::length(kSchema))));
    const Schema schema(document ? xmlSchemaParse(parser.get()) : nullptr);
    const Validator validator(schema ? xmlSchemaNewValidCtxt(schema.get()) : nullptr);
    if (validator) {
        xmlSchemaSetValidStructuredErrors(validator.get(), complain, &complaint);
    }
    const bool sound = validator && xmlSchemaValidateDoc(validator.get(), document.get()) == 0;
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (!document) fail("not XML");
    if (!sound) fail("not by the schema");
    Wishes wishes;
    const Node root(xmlDocGetRootElement(document.get()), file);
    for (const Node &release : root.all("release")) wishes.release = read_scheme(release);
    for (const Node &registry : root.all("registry")) wishes.registry = read_registry(registry);
    for (const Node &admission : root.all("admission")) wishes.entrance = read_entrance(admission);
    for (const Node &rehearsal : root.all("rehearsal")) wishes.rehearsal = rehearsal.text("settings");
    return wishes;
}

Wishes read_wishes_file(const std::string &path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw BadInput(path + ": cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > (16u << 20)) throw BadInput(path + ": over 16 MB");
    return read_wishes(text.str(), path);
}

} // namespace pineridge
