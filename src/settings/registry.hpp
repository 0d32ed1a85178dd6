// The operators' settings of a registry that holds the list of hosts: plain data, read and checked by
// settings/read.cpp. Times are ticks unless the name says otherwise.
#pragma once

#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

struct RegistrySettings {
    enum class Kind { etcd, blocking };
    Kind kind = Kind::etcd; // the etcd v3 API, or blocking queries as in Consul's KV API
    std::vector<std::string> endpoints; // addresses of the registry's members
    std::string prefix; // of the hosts' keys
    std::string cache_file; // keeps the last known list across restarts; empty: the list is not kept
    std::string token_file; // its first line is sent as authorization and never logged

    // A full read that lacks at least this share and this number of the known hosts at once is doubted: it is
    // applied only after a second read confirms it or the time is over.
    double doubt_share = 0.5;
    int min_doubted_hosts = 3;
    Ticks doubt_timeout = 50000;
    Ticks confirm_after = 10000; // before the second read
    Ticks max_lag_time = 100000; // of answers below the known revision, before the registry counts as reset

    // The watch of an etcd registry.
    Ticks progress_interval = 10000; // between progress requests
    Ticks watch_timeout = 25000; // a watch without any message for this long has failed
    Ticks audit_interval = 100000; // between checks for missed changes
    Ticks answer_timeout = 20000;
    int page_size = 500; // keys
    Ticks read_spread = 20000; // full reads of all routers are spread over this when a registry returns

    // Blocking queries.
    Ticks query_wait = 50000; // the longest time that the registry delays its answer
    Ticks query_gap = 500; // between an answer and the next query
    Ticks max_leader_silence =
        50000; // answers of a member without contact to its leader for longer are dropped

    bool plaintext = false; // connections use TLS unless this is set
    std::string ca_file;
    std::string certificate_file;
    std::string key_file;
    std::string server_name; // expected in the registry's certificate
    std::string registration_key; // the router's own key, held under a lease; empty: it registers none
    int registration_ttl_s = 10; // of that lease
};

} // namespace pineridge
