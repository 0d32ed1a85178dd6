#include "membership/access.hpp"

#include "base/bad_input.hpp"
#include "membership/blocking/follower.hpp"
#include "membership/etcd/follower.hpp"

#include <fstream>

namespace pineridge::membership {

Access make_access(const RegistrySettings &from) {
    Access access;
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

Plot make_plot(const RegistrySettings &from, const Access &access, const ReadValue &read,
               std::uint64_t seed) {
    Plot plot;
    plot.endpoints = access.endpoints;
    plot.prefix = from.prefix;
    plot.known_file = from.cache_file;
    plot.view.doubt_share = from.doubt_share;
    plot.view.doubt_least = static_cast<std::size_t>(from.min_doubted_hosts);
    plot.view.doubt_for = from.doubt_timeout;
    plot.view.confirm_after = from.confirm_after;
    plot.view.lag_for = from.max_lag_time;
    plot.ends.spread = from.read_spread;
    plot.quiet = from.watch_timeout;
    plot.tls = access.tls.get();
    if (from.kind == RegistrySettings::Kind::blocking) {
        plot.protocol = "http/1.1";
        const blocking::Timing timing{from.query_wait, from.answer_timeout, from.query_gap,
                                      from.max_leader_silence};
        plot.follow = [=, prefix = from.prefix, token = access.token](View &view,
                                                                      const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read, prefix, authority, token, timing, seed);
        };
        return plot;
    }
    const etcd::Timing timing{from.answer_timeout, from.progress_interval, from.watch_timeout,
                              from.audit_interval};
    plot.follow = [=, prefix = from.prefix, token = access.token,
                   page = static_cast<std::size_t>(from.page_size)](View &view,
                                                                    const std::string &authority) {
        return std::make_shared<etcd::Follower>(view, read, prefix, authority, token, timing, page);
    };
    return plot;
}

} // namespace pineridge::membership
