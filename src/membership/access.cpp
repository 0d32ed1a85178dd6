#include "membership/access.hpp"

#include "base/bad_input.hpp"
#include "membership/blocking/follower.hpp"
#include "membership/etcd/follower.hpp"

#include <fstream>

namespace pineridge::membership {

RegistryAccess make_registry_access(const RegistrySettings &settings) {
    RegistryAccess access;
    for (const std::string &endpoint : settings.endpoints)
        access.endpoints.push_back(read_address(endpoint, "registry.endpoint.address"));
    if (!settings.token_file.empty()) {
        std::ifstream file(settings.token_file);
        if (!std::getline(file, access.token)) throw BadInput("registry.token-file: cannot be read");
    }
    if (!settings.ca_file.empty())
        access.tls = tls::load_engine_factory(
            {settings.ca_file, settings.certificate_file, settings.key_file, settings.server_name});
    return access;
}

SourceOptions make_source_options(const RegistrySettings &settings, const RegistryAccess &access,
                                  const ReadValue &read, std::uint64_t seed) {
    SourceOptions options;
    options.endpoints = access.endpoints;
    options.prefix = settings.prefix;
    options.cache_file = settings.cache_file;
    options.view_rules.doubt_share = settings.doubt_share;
    options.view_rules.min_doubted_hosts = static_cast<std::size_t>(settings.min_doubted_hosts);
    options.view_rules.doubt_timeout = settings.doubt_timeout;
    options.view_rules.confirm_after = settings.confirm_after;
    options.view_rules.max_lag_time = settings.max_lag_time;
    options.endpoint_rules.read_spread = settings.read_spread;
    options.stale_after = settings.watch_timeout;
    options.tls = access.tls.get();
    if (settings.kind == RegistrySettings::Kind::blocking) {
        options.protocol = "http/1.1";
        const blocking::Timing timing{settings.query_wait, settings.answer_timeout, settings.query_gap,
                                      settings.max_leader_silence};
        options.make_protocol = [=, prefix = settings.prefix,
                                 token = access.token](View &view, const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read, prefix, authority, token, timing, seed);
        };
        return options;
    }
    const etcd::Timing timing{settings.answer_timeout, settings.progress_interval, settings.watch_timeout,
                              settings.audit_interval};
    options.make_protocol =
        [=, prefix = settings.prefix, token = access.token,
         page = static_cast<std::size_t>(settings.page_size)](View &view, const std::string &authority) {
            return std::make_shared<etcd::Follower>(view, read, prefix, authority, token, timing, page);
        };
    return options;
}

} // namespace pineridge::membership
