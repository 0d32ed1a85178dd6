// Holds the operators' settings of a registry with the list of hosts as plain data; settings/read.cpp
// reads and checks them. Times are ticks unless the name says otherwise.
#pragma once

#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

struct RegistrySettings {
    enum class Kind { etcd, blocking };
    Kind kind = Kind::etcd; // the etcd v3 API, or blocking queries as in Consul's KV API
    std::vector<std::string> endpoints; // addresses of the registry's members
    std::string prefix; // the hosts' keys begin with it
    std::string cache_file; // it keeps the last known list across restarts; empty: the list is not kept
    std::string token_file; // its first line is sent as authorization and never logged

    // A full read that lacks at least this share and this number of the known hosts at once is doubted: it is
    // applied only after a second read confirms it or the time is over.
    double doubt_share = 0.5;
    int min_doubted_hosts = 3;
    Ticks doubt_timeout = 50000;
    Ticks confirm_after = 10000; // the second read follows the first one after this time
    // A registry that answers with lower revisions for this long has lost its data and counts anew.
    Ticks max_lag_time = 100000;

    // Reads and watches. The progress, audit and page settings apply to etcd only.
    Ticks progress_interval = 10000; // progress is requested this often
    Ticks watch_timeout = 25000; // a watch without any message for this long has failed
    Ticks audit_interval = 100000; // the watch is checked for missed changes this often
    Ticks answer_timeout = 20000; // a blocking query gets its wait in addition
    int page_size = 500; // keys that are requested at once
    Ticks read_spread = 20000; // the routers' full reads are spread over this time when a registry returns

    // Blocking queries.
    Ticks query_wait = 50000; // the registry delays its answer for at most this long
    Ticks query_gap = 500; // the next query is sent this long after an answer
    Ticks max_leader_silence = 50000; // a member without contact to its leader for longer is not believed

    bool plaintext = false; // connections use TLS unless this is set
    std::string ca_file;
    std::string certificate_file;
    std::string key_file;
    std::string server_name; // expected in the registry's certificate
    std::string registration_key; // the router's own key, held under a lease; empty: it registers none
    int registration_ttl_s = 10; // the lease ends after this time without a renewal
};

} // namespace pineridge
