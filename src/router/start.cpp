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
constexpr Span kLongestWait{3000}, kLeaveMore{700}, kLeaveLead{100};

// Where no environment variable stands in for a key, it must be in the file.
std::string told(const json &from, const char *key, const Environment &environment, const char *variable) {
    if (from.is_object() && has(from, key)) return text(from, key);
    const char *value = environment(variable);
    if (!value || !*value) wrong(key, "missing");
    return value;
}

std::vector<std::string> names(const json &from, const char *key) {
    std::vector<std::string> read;
    if (!has(from, key)) return read;
    for (const json &item : list(from, key)) {
        if (item.is_object())
            read.push_back(text(item, "name"));
        else if (item.is_string())
            read.push_back(item.get<std::string>());
        else
            wrong(key, "holds something other than names");
    }
    return read;
}

Span span(const json &from, const char *key) {
    const double seconds = number(from, key);
    if (seconds <= 0) wrong(key, "not above 0");
    return Span(static_cast<long>(seconds * 1000));
}

std::size_t count(const json &from, const char *key, std::size_t least) {
    const int read = whole(from, key);
    if (read < 0 || static_cast<std::size_t>(read) < least) wrong(key, "too small");
    return static_cast<std::size_t>(read);
}

Limits read_limits(const json &told, const json &settings) {
    Limits limits{};
    limits.descriptors = count(told, "sockets", kLeastDescriptors);
    limits.memory = count(told, "memory_mb", 1) * 1024 * 1024;
    const json &allowed = need(settings, "permissions");
    limits.connect = span(allowed, "connectTimeout");
    limits.idle = span(allowed, "keepalive");
    limits.streams = count(allowed, "maxStreams", 1);
    limits.vote_wait = span(need(settings, "familyInfo"), "answerWait");
    // Where changes count as told earlier, as settings may say, the list holds no longer than that.
    const json &rules = need(settings, "rules");
    if (has(rules, "askEvery") && number(rules, "askEvery") > 0)
        limits.list_lease = std::min(limits.list_lease, span(rules, "askEvery"));
    Span longest{0};
    for (const json &method : list(settings, "classes"))
        longest = std::max(longest, has(method, "deadline") ? span(method, "deadline") : kLongestWait);
    limits.leave_by = std::min(longest, kLongestWait) + kLeaveMore - kLeaveLead;
    const std::size_t open = limits.descriptors - kReserve;
    limits.hosts = open * 2 / 5; // a third of all are for clients that ask, the rest for those that do not
    limits.clients = open - limits.hosts;
    limits.kept =
        limits.descriptors / 4; // clients that ask have a third, so that some is left for those to come
    return limits;
}

Names read_names(const json &settings) {
    return {names(settings, "classes"), names(settings, "tenants"), names(settings, "zones"),
            names(settings, "kinds"), names(need(settings, "report"), "fields")};
}

// On sockets discovery tells those who ask, and nobody else: also where the simulator would push changes.
// Stops a router from keeping to the list of its start, and picks from reaching hosts long drained.
void fit_sockets(DeploymentConfig &terms, const Limits &limits) {
    terms.requests_host_list = true;
    terms.max_open_picks = static_cast<int>(limits.hosts); // a connection carries one pick at a time
}

} // namespace

int place_of(const std::vector<std::string> &names, const std::string &name, const char *field) {
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) wrong(field, "a name that the settings do not hold");
    return static_cast<int>(at - names.begin());
}

Start read_start(const json &from, const Environment &environment) {
    Start start{};
    start.name = told(from, "name", environment, "BALANCER_NAME");
    start.listen = read_address(told(from, "listen", environment, "BALANCER_LISTEN"), "listen");
    start.discovery = read_address(told(from, "discovery", environment, "BALANCER_DISCOVERY"), "discovery");
    const json &platform = need(from, "deployer");
    start.platform = read_address(text(platform, "address"), "deployer.address");
    if (has(platform, "news")) start.news = platform["news"];
    if (has(from, "known")) start.known = from["known"];
    const std::string seed = text(from, "seed");
    const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), start.seed, 16);
    if (read.ec != std::errc{} || read.ptr != seed.data() + seed.size()) wrong("seed", "not a hex number");
    const json &settings = need(from, "settings");
    start.terms = read_terms(settings);
    start.list_at_hand = !start.terms.requests_host_list;
    start.names = read_names(settings);
    for (const Method &method : start.terms.methods)
        start.names.idempotent.push_back(method.repeat_policy == RepeatPolicy::idempotent);
    start.limits = read_limits(need(from, "limits"), settings);
    // Stops a fleet that starts at once from opening to each host what it never uses: hosts hold few.
    start.limits.warm = std::min(start.limits.warm, kWarmOfAll / start.terms.instances);
    fit_sockets(start.terms, start.limits);
    return start;
}

void check_fits(const Start &start, const Scheme &scheme) {
    if (!scheme.desk.empty()) read_address(scheme.desk, "release.desk.address");
    const auto &tenants = start.names.tenants;
    for (const Part &customer : scheme.customers)
        if (std::find(tenants.begin(), tenants.end(), customer.name) == tenants.end())
            wrong("release.customers", ("not among the configuration's tenants: " + customer.name).c_str());
}

void check_fits(const Start &start, const Entrance &entrance) {
    admission::RpcLimiter(entrance, start.names.tenants, start.names.methods, start.terms.instances, 0);
    std::size_t reserved = 0;
    for (const Crowd &crowd : entrance.crowds) reserved += static_cast<std::size_t>(crowd.reserve);
    if (reserved > start.limits.clients)
        wrong("admission.crowd.reserve", ("together " + std::to_string(reserved) + ", and clients have " +
                                          std::to_string(start.limits.clients) + " connections")
                                             .c_str());
}

DeploymentConfig read_rehearsed(const Start &start, const std::string &path) {
    std::ifstream file(path);
    if (!file) wrong("rehearsal.settings", (path + ": cannot be opened").c_str());
    const json from = json::parse(file, nullptr, false);
    if (!from.is_object()) wrong("rehearsal.settings", (path + ": not a JSON object").c_str());
    try {
        DeploymentConfig terms = read_terms(from);
        const Names told = read_names(from);
        const auto same = [](const auto &now, const auto &then, const char *key) {
            if (now != then) wrong(key, "not the names that the configuration holds, in its order");
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

void take_wishes(Start &start, const Wishes &wishes) {
    if (!wishes.rehearsal.empty()) start.rehearsed = read_rehearsed(start, wishes.rehearsal);
    start.registry = wishes.registry;
    if (start.registry)
        start.registry_access =
            std::make_shared<membership::Access>(membership::make_access(*start.registry));
    start.release = wishes.release;
    if (wishes.entrance) {
        start.entrance = std::make_shared<const Entrance>(*wishes.entrance);
        check_fits(start, *start.entrance);
    }
    if (!start.release) return;
    check_fits(start, *start.release);
    if (start.rehearsed) start.rehearsed->default_cell_share = 0;
    start.terms.default_cell_share = 0; // a trial of which the plan has told nothing is in its first stage
}

Start read_start_file(const std::string &path, const Environment &environment) {
    std::ifstream file(path);
    if (!file) wrong(path, "cannot be opened");
    const json from = json::parse(file, nullptr, false);
    if (from.is_discarded()) wrong(path, "not JSON");
    return read_start(from, environment);
}

} // namespace pineridge::router
