// Holds the operators' settings of admission control as plain data; settings/read.cpp reads and checks them.
// Times are ticks. A bound of 0 means that there is none.
#pragma once

#include "base/networks.hpp"
#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

// A group of client networks and the connection bounds of its clients.
struct Crowd {
    std::string name;
    // Crowds that need more than their reserve share the unreserved connections by weight.
    double weight = 1;
    int reserved_connections = 0; // no other crowd can use these
    int max_connections = 0;
    int max_per_address = 0; // connections
    int max_per_network = 0; // connections
    // One address may open this many connections a second, and this many at once.
    double opens_per_s = 0;
    double open_burst = 1;
};

// A rate of RPCs over all routers for a customer, a method, or one customer's calls of one method. An empty
// name stands for all.
struct Quota {
    std::string customer;
    std::string method;
    double rpcs_per_s = 0;
    double burst = 0; // RPCs that are admitted at once
};

// Bounds on the RPCs of accepted connections.
struct RpcLimitSettings {
    std::vector<Quota> quotas;
    // The quotas are divided among this many routers; 0 stands for the deployment's number of routers.
    int routers = 0;
    // Each first attempt admits this many retries; 0 leaves retries unlimited.
    double retry_share = 0;
    // This many retries a second are admitted whatever the share.
    double min_retries_per_s = 10;
    // An RPC counts as a retry if one with its key and method was pushed back within this time.
    Ticks retry_window = 20000;
    // The bound on RPCs in flight falls while received bytes lie unread for longer than this; 0 stands for no
    // bound.
    Ticks max_lateness = 0;
    // The bound on RPCs in flight does not fall below this.
    int min_in_flight = 16;
};

struct AdmissionSettings : RpcLimitSettings {
    // In observe mode, connections and RPCs that would be refused are counted and logged, but admitted.
    bool observe = false;
    std::vector<Crowd> crowds{{"others"}}; // the first crowd holds all addresses outside the networks
    NetworkTable networks; // the group of a network is the index of its crowd
    // Crowd::max_per_network applies to networks of these prefix lengths.
    int prefix_v4 = 24;
    int prefix_v6 = 56;
    // State is kept for this many addresses.
    int max_addresses = 4096;
    // An address gains trust by served RPCs, which decays with this half-life.
    Ticks trust_half_life = 6000000;
    // A client is closed when it does not send its first byte, complete a command or read its answers in
    // time.
    Ticks first_byte_timeout = 15000;
    Ticks command_timeout = 17500;
    Ticks unread_timeout = 100000;
    // Connections from these load balancers begin with a PROXY header.
    std::vector<Network> trusted_proxies;
};

} // namespace pineridge
