#include "membership/access.hpp"

#include "base/bad_input.hpp"
#include "membership/blocking/follower.hpp"
#include "membership/etcd/follower.hpp"

#include <fstream>

namespace pineridge::membership {

RegistryAccess make_registry_access(const RegistrySettings &from) {
    RegistryAccess access;
    for (const std::string &endpoint : from.endpoints)
        access.endpoints.push_back(read_address(endpoint, "registry.endpoint.address"));
    if (!from.token_file.empty()) {
        std::ifstream file(from.token_file);
        if (!std::getline(file, access.token)) throw BadInput("registry.token-file: cannot be read");
    }
    if (!from.ca_file.empty())
        access.tls =
            tls::load_engine_factory({from.ca_file, from.certificate_file, from.key_file, from.server_name});
    return access;
}

SourceOptions make_source_options(const RegistrySettings &from, const RegistryAccess &access,
                                  const ReadValue &read, std::uint64_t seed) {
    SourceOptions options;
    options.endpoints = access.endpoints;
    options.prefix = from.prefix;
    options.cache_file = from.cache_file;
    options.view_rules.doubt_share = from.doubt_share;
    options.view_rules.min_doubted_hosts = static_cast<std::size_t>(from.min_doubted_hosts);
    options.view_rules.doubt_timeout = from.doubt_timeout;
    options.view_rules.confirm_after = from.confirm_after;
    options.view_rules.max_lag_time = from.max_lag_time;
    options.endpoint_rules.read_spread = from.read_spread;
    options.stale_after = from.watch_timeout;
    options.tls = access.tls.get();
    if (from.kind == RegistrySettings::Kind::blocking) {
        options.protocol = "http/1.1";
        const blocking::Timing timing{from.query_wait, from.answer_timeout, from.query_gap,
                                      from.max_leader_silence};
        options.make_protocol = [=, prefix = from.prefix,
                                 token = access.token](View &view, const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read, prefix, authority, token, timing, seed);
        };
        return options;
    }
    const etcd::Timing timing{from.answer_timeout, from.progress_interval, from.watch_timeout,
                              from.audit_interval};
    options.make_protocol = [=, prefix = from.prefix, token = access.token,
                             page = static_cast<std::size_t>(from.page_size)](View &view,
                                                                              const std::string &authority) {
        return std::make_shared<etcd::Follower>(view, read, prefix, authority, token, timing, page);
    };
    return options;
}

} // namespace pineridge::membership
