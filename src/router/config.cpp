#include "router/config.hpp"

#include "admission/rpc_limiter.hpp"
#include "net/resp/receive_buffer.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>

namespace pineridge::router {

namespace {

// Descriptors for discovery, the platform, logs, timers, the listener, connections that have yet to send
// their PROXY header, and drains.
constexpr std::size_t kReservedDescriptors = 48;
constexpr std::size_t kMinDescriptors = 128;
constexpr std::size_t kMinPoolBytes = 512 * 1024;
// A list takes several times its size while it is parsed, so that it may have one in so many bytes of the
// memory.
constexpr std::size_t kListMemoryPart = 16;
// One id that may have been executed is remembered for so many bytes of the memory; it takes some 40 of them.
constexpr std::size_t kMemoryPerExecutedId = 4096;
// Connections that all routers together open to a host before the first client connects.
constexpr std::size_t kWarmConnectionsOfFleet = 36;
// After SIGTERM the platform does not kill the process before the longest client deadline, at most
// kMaxClientDeadline, and kKillMargin have passed. All answers must have been sent kLastAnswerLead before
// that.
constexpr Milliseconds kMaxClientDeadline{3000};
constexpr Milliseconds kKillMargin{700};
constexpr Milliseconds kLastAnswerLead{100};

// Reads a required string from the file or, if the file leaves it out, from the environment variable.
std::string text_or_variable(const json &from, const char *key, const Environment &environment,
                             const char *variable) {
    if (from.is_object() && has_field(from, key)) return read_string(from, key);
    const char *value = environment(variable);
    if (!value || !*value) throw_field_error(key, "missing");
    return value;
}

// Reads a list of names: strings, or objects with a name. Empty if the key is missing.
std::vector<std::string> read_names(const json &from, const char *key) {
    std::vector<std::string> read;
    if (!has_field(from, key)) return read;
    for (const json &item : read_array(from, key)) {
        if (item.is_object())
            read.push_back(read_string(item, "name"));
        else if (item.is_string())
            read.push_back(item.get<std::string>());
        else
            throw_field_error(key, "an element is not a name");
    }
    return read;
}

// Reads a duration in seconds.
Milliseconds read_duration(const json &from, const char *key) {
    const double seconds = read_number(from, key);
    if (seconds <= 0) throw_field_error(key, "not above 0");
    return Milliseconds(static_cast<long>(seconds * 1000));
}

std::size_t read_count(const json &from, const char *key, std::size_t min) {
    const int read = read_int(from, key);
    if (read < 0 || static_cast<std::size_t>(read) < min) throw_field_error(key, "too small");
    return static_cast<std::size_t>(read);
}

// Three eighths of the memory are for the buffers of clients and hosts. Each connection may hold a small one;
// the rest is divided into two equal pools, for commands and for answers.
void divide_memory(Limits &limits) {
    const std::size_t connections = limits.client_connections + limits.host_connections;
    const std::size_t small_buffers = connections * resp::ReceiveBuffer::kSmallBytes;
    const std::size_t buffers = limits.memory_bytes * 3 / 8;
    const std::size_t pools = buffers > small_buffers ? buffers - small_buffers : 0;
    limits.request_memory_bytes = limits.answer_memory_bytes = std::max(kMinPoolBytes, pools / 2);
    limits.max_executed_ids = limits.memory_bytes / kMemoryPerExecutedId;
    limits.max_list_body_bytes = std::min(limits.max_list_body_bytes, limits.memory_bytes / kListMemoryPart);
}

Limits read_limits(const json &resources, const json &settings) {
    Limits limits{};
    limits.descriptors = read_count(resources, "sockets", kMinDescriptors);
    limits.memory_bytes = read_count(resources, "memory_mb", 1) * 1024 * 1024;
    const json &permissions = required_field(settings, "permissions");
    limits.connect_timeout = read_duration(permissions, "connectTimeout");
    limits.idle_timeout = read_duration(permissions, "keepalive");
    limits.max_streams = read_count(permissions, "maxStreams", 1);
    limits.vote_timeout = read_duration(required_field(settings, "familyInfo"), "answerWait");
    // If configured, a change of the list counts as received after `askEvery`: the lease must not be longer.
    const json &rules = required_field(settings, "rules");
    if (has_field(rules, "askEvery") && read_number(rules, "askEvery") > 0)
        limits.list_lease = std::min(limits.list_lease, read_duration(rules, "askEvery"));
    Milliseconds max_deadline{0};
    for (const json &method : read_array(settings, "classes"))
        max_deadline =
            std::max(max_deadline,
                     has_field(method, "deadline") ? read_duration(method, "deadline") : kMaxClientDeadline);
    limits.shutdown_timeout = std::min(max_deadline, kMaxClientDeadline) + kKillMargin - kLastAnswerLead;
    const std::size_t connections = limits.descriptors - kReservedDescriptors;
    // Clients with open RPCs need about a third of all descriptors; the other client connections are idle.
    limits.host_connections = connections * 2 / 5;
    limits.client_connections = connections - limits.host_connections;
    // Idle clients are closed above a quarter of the descriptors, below the third that active clients have,
    // so that some descriptors remain for new connections.
    limits.idle_eviction_threshold = limits.descriptors / 4;
    divide_memory(limits);
    return limits;
}

Names read_all_names(const json &settings) {
    return {read_names(settings, "classes"), read_names(settings, "tenants"), read_names(settings, "zones"),
            read_names(settings, "kinds"), read_names(required_field(settings, "report"), "fields")};
}

// Adapts the configuration to real connections. Discovery sends the host list only on request, also in a
// deployment in which the simulator pushes it: without requests the router would keep its initial list and
// send picks to hosts drained long ago.
void adapt_to_sockets(DeploymentConfig &deployment, const Limits &limits) {
    deployment.requests_host_list = true;
    deployment.max_open_picks =
        static_cast<int>(limits.host_connections); // a connection carries one pick at a time
}

} // namespace

int index_of(const std::vector<std::string> &names, const std::string &name, const char *field) {
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) throw_field_error(field, "not a configured name");
    return static_cast<int>(found - names.begin());
}

RouterConfig read_config(const json &from, const Environment &environment) {
    RouterConfig config{};
    config.name = text_or_variable(from, "name", environment, "BALANCER_NAME");
    config.listen = read_address(text_or_variable(from, "listen", environment, "BALANCER_LISTEN"), "listen");
    config.discovery =
        read_address(text_or_variable(from, "discovery", environment, "BALANCER_DISCOVERY"), "discovery");
    const json &platform = required_field(from, "deployer");
    config.platform = read_address(read_string(platform, "address"), "deployer.address");
    if (has_field(platform, "news")) config.initial_rollout = platform["news"];
    if (has_field(from, "known")) config.cached_host_list = from["known"];
    const std::string seed = read_string(from, "seed");
    const auto parsed = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != seed.data() + seed.size())
        throw_field_error("seed", "not a hex number");
    const json &settings = required_field(from, "settings");
    config.deployment = read_deployment_config(settings);
    config.has_local_discovery_agent = !config.deployment.requests_host_list;
    config.names = read_all_names(settings);
    for (const Method &method : config.deployment.methods)
        config.names.idempotent.push_back(method.repeat_policy == RepeatPolicy::idempotent);
    config.limits = read_limits(required_field(from, "limits"), settings);
    // A fleet that starts at the same moment must not open more connections to a host than it will use: a
    // host accepts only a few.
    config.limits.warm_connections =
        std::min(config.limits.warm_connections, kWarmConnectionsOfFleet / config.deployment.instances);
    adapt_to_sockets(config.deployment, config.limits);
    return config;
}

void check_compatible(const RouterConfig &config, const ReleaseSettings &release_settings) {
    if (!release_settings.desk.empty()) read_address(release_settings.desk, "release.desk.address");
    const auto &tenants = config.names.tenants;
    for (const Segment &customer : release_settings.customers)
        if (std::find(tenants.begin(), tenants.end(), customer.name) == tenants.end())
            throw_field_error("release.customers",
                              ("not among the configuration's tenants: " + customer.name).c_str());
}

void check_compatible(const RouterConfig &config, const AdmissionSettings &admission_settings) {
    admission::RpcLimiter(admission_settings, config.names.tenants, config.names.methods,
                          config.deployment.instances, 0);
    std::size_t reserved = 0; // connections
    for (const Crowd &crowd : admission_settings.crowds)
        reserved += static_cast<std::size_t>(crowd.reserved_connections);
    if (reserved > config.limits.client_connections)
        throw_field_error("admission.crowd.reserve",
                          ("the crowds reserve " + std::to_string(reserved) + ", but clients have " +
                           std::to_string(config.limits.client_connections) + " connections")
                              .c_str());
}

DeploymentConfig read_rehearsed_deployment(const RouterConfig &config, const std::string &path) {
    std::ifstream file(path);
    if (!file) throw_field_error("rehearsal.settings", (path + ": cannot be opened").c_str());
    const json from = json::parse(file, nullptr, false);
    if (!from.is_object()) throw_field_error("rehearsal.settings", (path + ": not a JSON object").c_str());
    try {
        DeploymentConfig deployment = read_deployment_config(from);
        const Names names = read_all_names(from);
        const auto check_same = [](const auto &configured, const auto &rehearsed, const char *key) {
            if (configured != rehearsed)
                throw_field_error(key, "not the names of the configuration in the same order");
        };
        check_same(config.names.methods, names.methods, "classes");
        check_same(config.names.tenants, names.tenants, "tenants");
        check_same(config.names.zones, names.zones, "zones");
        check_same(config.names.kinds, names.kinds, "kinds");
        check_same(config.names.report_fields, names.report_fields, "report.fields");
        adapt_to_sockets(deployment, config.limits);
        return deployment;
    } catch (const BadInput &error) {
        throw BadInput("rehearsal.settings: " + path + ": " + error.what());
    }
}

void apply_settings(RouterConfig &config, const Settings &settings) {
    if (!settings.rehearsal.empty())
        config.rehearsed_deployment = read_rehearsed_deployment(config, settings.rehearsal);
    config.registry = settings.registry;
    if (config.registry)
        config.registry_access =
            std::make_shared<membership::RegistryAccess>(membership::make_registry_access(*config.registry));
    config.release = settings.release;
    if (settings.admission) {
        config.admission = std::make_shared<const AdmissionSettings>(*settings.admission);
        check_compatible(config, *config.admission);
    }
    if (!config.release) return;
    check_compatible(config, *config.release);
    if (config.rehearsed_deployment) config.rehearsed_deployment->default_cell_share = 0;
    config.deployment.default_cell_share = 0; // a trial is in its first stage until the plan sets a share
}

RouterConfig read_config_file(const std::string &path, const Environment &environment) {
    std::ifstream file(path);
    if (!file) throw_field_error(path, "cannot be opened");
    const json from = json::parse(file, nullptr, false);
    if (from.is_discarded()) throw_field_error(path, "not JSON");
    return read_config(from, environment);
}

} // namespace pineridge::router
