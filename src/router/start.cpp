#include "router/start.hpp"

#include "admission/rpc_limiter.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>

namespace pineridge::router {

namespace {

constexpr std::size_t kReserve = 48; // list, platform, logs, timers, listener, a front's headers, drains
constexpr std::size_t kLeastDescriptors = 128;
constexpr std::size_t kWarmOfAll = 36; // connections that all routers together open to a host before clients
// After SIGTERM the platform kills no sooner than a client's longest wait, or this where it is longer, and
// some more. What is answered within has to be on its way a little before.
constexpr Milliseconds kLongestWait{3000}, kLeaveMore{700}, kLeaveLead{100};

// Where no environment variable stands in for a key, it must be in the file.
std::string told(const json &from, const char *key, const Environment &environment, const char *variable) {
    if (from.is_object() && has_field(from, key)) return read_string(from, key);
    const char *value = environment(variable);
    if (!value || !*value) throw_field_error(key, "missing");
    return value;
}

std::vector<std::string> names(const json &from, const char *key) {
    std::vector<std::string> read;
    if (!has_field(from, key)) return read;
    for (const json &item : read_array(from, key)) {
        if (item.is_object())
            read.push_back(read_string(item, "name"));
        else if (item.is_string())
            read.push_back(item.get<std::string>());
        else
            throw_field_error(key, "holds something other than names");
    }
    return read;
}

Milliseconds span(const json &from, const char *key) {
    const double seconds = read_number(from, key);
    if (seconds <= 0) throw_field_error(key, "not above 0");
    return Milliseconds(static_cast<long>(seconds * 1000));
}

std::size_t count(const json &from, const char *key, std::size_t least) {
    const int read = read_int(from, key);
    if (read < 0 || static_cast<std::size_t>(read) < least) throw_field_error(key, "too small");
    return static_cast<std::size_t>(read);
}

Limits read_limits(const json &told, const json &settings) {
    Limits limits{};
    limits.descriptors = count(told, "sockets", kLeastDescriptors);
    limits.memory_bytes = count(told, "memory_mb", 1) * 1024 * 1024;
    const json &allowed = required_field(settings, "permissions");
    limits.connect_timeout = span(allowed, "connectTimeout");
    limits.idle_timeout = span(allowed, "keepalive");
    limits.max_streams = count(allowed, "maxStreams", 1);
    limits.vote_timeout = span(required_field(settings, "familyInfo"), "answerWait");
    // Where changes count as told earlier, as settings may say, the list holds no longer than that.
    const json &rules = required_field(settings, "rules");
    if (has_field(rules, "askEvery") && read_number(rules, "askEvery") > 0)
        limits.list_lease = std::min(limits.list_lease, span(rules, "askEvery"));
    Milliseconds longest{0};
    for (const json &method : read_array(settings, "classes"))
        longest = std::max(longest, has_field(method, "deadline") ? span(method, "deadline") : kLongestWait);
    limits.shutdown_timeout = std::min(longest, kLongestWait) + kLeaveMore - kLeaveLead;
    const std::size_t open = limits.descriptors - kReserve;
    limits.host_connections =
        open * 2 / 5; // a third of all are for clients that ask, the rest for those that do not
    limits.client_connections = open - limits.host_connections;
    limits.idle_eviction_threshold =
        limits.descriptors / 4; // clients that ask have a third, so that some is left for those to come
    return limits;
}

Names read_names(const json &settings) {
    return {names(settings, "classes"), names(settings, "tenants"), names(settings, "zones"),
            names(settings, "kinds"), names(required_field(settings, "report"), "fields")};
}

// On sockets discovery tells those who ask, and nobody else: also where the simulator would push changes.
// Stops a router from keeping to the list of its start, and picks from reaching hosts long drained.
void fit_sockets(DeploymentConfig &terms, const Limits &limits) {
    terms.requests_host_list = true;
    terms.max_open_picks =
        static_cast<int>(limits.host_connections); // a connection carries one pick at a time
}

} // namespace

int place_of(const std::vector<std::string> &names, const std::string &name, const char *field) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) throw_field_error(field, "a name that the settings do not hold");
    return static_cast<int>(at - names.begin());
}

Start read_start(const json &from, const Environment &environment) {
    Start start{};
    start.name = told(from, "name", environment, "BALANCER_NAME");
    start.listen = read_address(told(from, "listen", environment, "BALANCER_LISTEN"), "listen");
    start.discovery = read_address(told(from, "discovery", environment, "BALANCER_DISCOVERY"), "discovery");
    const json &platform = required_field(from, "deployer");
    start.platform = read_address(read_string(platform, "address"), "deployer.address");
    if (has_field(platform, "news")) start.news = platform["news"];
    if (has_field(from, "known")) start.known = from["known"];
    const std::string seed = read_string(from, "seed");
    const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), start.seed, 16);
    if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size())
        throw_field_error("seed", "not a hex number");
    const json &settings = required_field(from, "settings");
    start.terms = read_deployment_config(settings);
    start.list_at_hand = !start.terms.requests_host_list;
    start.names = read_names(settings);
    for (const Method &method : start.terms.methods)
        start.names.idempotent.push_back(method.repeat_policy == RepeatPolicy::idempotent);
    start.limits = read_limits(required_field(from, "limits"), settings);
    // Stops a fleet that starts at once from opening to each host what it never uses: hosts hold few.
    start.limits.warm_connections =
        std::min(start.limits.warm_connections, kWarmOfAll / start.terms.instances);
    fit_sockets(start.terms, start.limits);
    return start;
}

void check_fits(const Start &start, const ReleaseSettings &scheme) {
    if (!scheme.desk.empty()) read_address(scheme.desk, "release.desk.address");
    const auto &tenants = start.names.tenants;
    for (const Segment &customer : scheme.customers)
        if (std::find(tenants.begin(), tenants.end(), customer.name) == tenants.end())
            throw_field_error("release.customers",
                              ("not among the configuration's tenants: " + customer.name).c_str());
}

void check_fits(const Start &start, const AdmissionSettings &entrance) {
    admission::RpcLimiter(entrance, start.names.tenants, start.names.methods, start.terms.instances, 0);
    std::size_t reserved = 0;
    for (const Crowd &crowd : entrance.crowds)
        reserved += static_cast<std::size_t>(crowd.reserved_connections);
    if (reserved > start.limits.client_connections)
        throw_field_error("admission.crowd.reserve",
                          ("together " + std::to_string(reserved) + ", and clients have " +
                           std::to_string(start.limits.client_connections) + " connections")
                              .c_str());
}

DeploymentConfig read_rehearsed(const Start &start, const std::string &path) {
    std::ifstream file(path);
    if (!file) throw_field_error("rehearsal.settings", (path + ": cannot be opened").c_str());
    const json from = json::parse(file, nullptr, false);
    if (!from.is_object()) throw_field_error("rehearsal.settings", (path + ": not a JSON object").c_str());
    try {
        DeploymentConfig terms = read_deployment_config(from);
        const Names told = read_names(from);
        const auto same = [](const auto &now, const auto &then, const char *key) {
            if (now != then)
                throw_field_error(key, "not the names that the configuration holds, in its order");
        };
        same(start.names.methods, told.methods, "classes");
        same(start.names.tenants, told.tenants, "tenants");
        same(start.names.zones, told.zones, "zones");
        same(start.names.kinds, told.kinds, "kinds");
        same(start.names.report_fields, told.report_fields, "report.fields");
        fit_sockets(terms, start.limits);
        return terms;
    } catch (const BadInput &bad) {
        throw BadInput("rehearsal.settings: " + path + ": " + bad.what());
    }
}

void take_wishes(Start &start, const Settings &wishes) {
    if (!wishes.rehearsal.empty()) start.rehearsed = read_rehearsed(start, wishes.rehearsal);
    start.registry = wishes.registry;
    if (start.registry)
        start.registry_access =
            std::make_shared<membership::Access>(membership::make_access(*start.registry));
    start.release = wishes.release;
    if (wishes.admission) {
        start.entrance = std::make_shared<const AdmissionSettings>(*wishes.admission);
        check_fits(start, *start.entrance);
    }
    if (!start.release) return;
    check_fits(start, *start.release);
    if (start.rehearsed) start.rehearsed->default_cell_share = 0;
    start.terms.default_cell_share = 0; // a trial of which the plan has told nothing is in its first stage
}

Start read_start_file(const std::string &path, const Environment &environment) {
    std::ifstream file(path);
    if (!file) throw_field_error(path, "cannot be opened");
    const json from = json::parse(file, nullptr, false);
    if (from.is_discarded()) throw_field_error(path, "not JSON");
    return read_start(from, environment);
}

} // namespace pineridge::router
