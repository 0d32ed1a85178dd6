#include "membership/access.hpp"

#include "base/bad_input.hpp"
#include "membership/blocking/follower.hpp"
#include "membership/etcd/follower.hpp"

#include <fstream>

namespace pineridge::membership {

Access make_access(const Registry &from) {
    Access access;
    for (const std::string &endpoint : from.endpoints)
        access.endpoints.push_back(read_address(endpoint, "registry.endpoint.address"));
    if (!from.token_file.empty()) {
        std::ifstream file(from.token_file);
        if (!std::getline(file, access.token)) throw BadInput("registry.token-file: cannot be read");
    }
    if (!from.authorities.empty())
        access.tls = tls::load({from.authorities, from.certificate, from.key, from.name});
    return access;
}

Plot make_plot(const Registry &from, const Access &access, const ReadValue &read, std::uint64_t seed) {
    Plot plot;
    plot.endpoints = access.endpoints;
    plot.prefix = from.prefix;
    plot.known_file = from.known_file;
    plot.view.doubt_share = from.doubt_share;
    plot.view.doubt_least = static_cast<std::size_t>(from.doubt_hosts);
    plot.view.doubt_for = from.doubt_for;
    plot.view.confirm_after = from.confirm_after;
    plot.view.lag_for = from.lag_for;
    plot.ends.spread = from.spread;
    plot.quiet = from.quiet;
    plot.tls = access.tls.get();
    if (from.kind == Registry::Kind::blocking) {
        plot.protocol = "http/1.1";
        const blocking::Times times{from.wait, from.answer, from.gap, from.contact};
        plot.follow = [=, prefix = from.prefix, token = access.token](View &view,
                                                                      const std::string &authority) {
            return std::make_shared<blocking::Follower>(view, read, prefix, authority, token, times, seed);
        };
        return plot;
    }
    const etcd::Times times{from.answer, from.progress, from.quiet, from.look};
    plot.follow = [=, prefix = from.prefix, token = access.token,
                   page = static_cast<std::size_t>(from.page)](View &view, const std::string &authority) {
        return std::make_shared<etcd::Follower>(view, read, prefix, authority, token, times, page);
    };
    return plot;
}

} // namespace pineridge::membership
