// What the operators' own settings say of a registry that holds the list of hosts. Plain data, in ticks.
#pragma once

#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

struct Registry {
    enum class Kind { etcd, blocking };
    Kind kind = Kind::etcd; // etcd's v3 API, or blocking queries as Consul's KV API answers them
    std::vector<std::string> endpoints; // addresses of its members
    std::string prefix; // of the hosts' keys
    std::string known_file; // the last known list is kept there; empty: none is
    std::string token_file; // its first line goes as authorization; never logged
    double doubt_share = 0.5; // a whole read that lacks this share of the hosts is doubted
    int doubt_hosts = 3; // and so many at least
    Ticks doubt_for = 50000, confirm_after = 10000, lag_for = 100000;
    Ticks progress = 10000, quiet = 25000, look = 100000, answer = 20000;
    int page = 500; // keys
    Ticks spread = 20000; // whole reads of all routers, when a registry comes back
    Ticks wait = 50000, gap = 500, contact = 50000; // of blocking queries
    bool plaintext = false; // told so; else there is TLS
    std::string authorities, certificate, key, name; // files for TLS, and the name in the other's certificate
    std::string own_key; // the router's own, under a lease; empty: none
    int own_life_s = 10; // of the lease
};

} // namespace pineridge
