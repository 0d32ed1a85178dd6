// The operators' settings of admission control: plain data, read and checked by settings/read.cpp. Times are
// ticks. A bound of 0 means that there is none.
#pragma once

#include "base/networks.hpp"
#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

// A group of client networks and the connection bounds of its clients.
struct Crowd {
    std::string name;
    double weight = 1; // share of the unreserved connections, relative to other crowds that need more
    int reserved_connections = 0; // available to no other crowd
    int max_connections = 0;
    int max_per_address = 0;
    int max_per_network = 0;
    double opens_per_s = 0; // new connections a second from one address
    double open_burst = 1; // new connections at once from one address
};

// A rate of RPCs over all routers for a customer, a method, or one customer's calls of one method. An empty
// name stands for all.
struct Quota {
    std::string customer;
    std::string method;
    double rpcs_per_s = 0;
    double burst = 0; // RPCs at once
};

// Bounds on the RPCs of accepted connections.
struct RpcLimitSettings {
    std::vector<Quota> quotas;
    int routers = 0; // routers that share the quotas; 0: the number from the deployment
    double retry_share = 0; // retries admitted for each first attempt; 0: retries are not limited
    double min_retries_per_s = 10; // admitted whatever the share
    Ticks retry_window =
        20000; // an RPC is a retry when one of its key and method was pushed back this recently
    Ticks max_lateness =
        0; // aim for the time that received bytes lie unread; 0: RPCs in flight are not bounded
    int min_in_flight = 16; // lower limit of the bound on RPCs in flight
};

struct AdmissionSettings : RpcLimitSettings {
    bool observe = false; // what would be refused is counted and logged, but admitted
    std::vector<Crowd> crowds{{"others"}}; // the first one holds all addresses outside the networks
    NetworkTable networks; // a network's group is the index of its crowd
    int prefix_v4 = 24; // prefix length of the networks that max_per_network applies to
    int prefix_v6 = 56;
    int max_addresses = 4096; // whose state is kept
    Ticks trust_half_life = 6000000; // of the trust that an address gains by served RPCs
    Ticks first_byte_timeout = 100000;
    Ticks command_timeout = 100000;
    Ticks unread_timeout = 100000; // of answers that the client does not read
    std::vector<Network> fronts; // load balancers whose connections begin with a PROXY header
};

} // namespace pineridge
