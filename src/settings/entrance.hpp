// What the operators' own settings say of who may come in: plain data, read and checked in settings/read.cpp.
// Times are ticks.
#pragma once

#include "base/networks.hpp"
#include "logic.hpp"

#include <string>
#include <vector>

namespace pineridge {

// Addresses told by networks, with what holds for them. A bound of 0 is none.
struct Crowd {
    std::string name;
    double weight = 1; // of the room that is not reserved, beside other crowds that want more
    int reserve = 0; // connections that no other crowd takes
    int most = 0; // connections
    int per_address = 0, per_network = 0; // connections
    double opens = 0; // connections a second of one address
    double burst = 1; // as many at once
};

// So many RPCs a second over all routers, of a customer, a method, or one's of the other; an empty name is
// all.
struct Quota {
    std::string customer, method;
    double rate = 0, burst = 0;
};

// What RPCs are counted by, once their connections are in.
struct Counting {
    std::vector<Quota> quotas;
    int routers = 0; // that share the quotas; 0: as the platform tells
    double retry_share = 0; // retries let in, beside so many first tries; 0: no budget
    double retry_least = 10; // a second, whatever the share
    Ticks retry_window = 20000; // a first try so soon after a pushback of its key and method is a retry
    Ticks late_aim = 0; // what clients sent may lie unread for so long; 0: no bound on RPCs under way
    int least_under_way = 16;
};

struct Entrance : Counting {
    bool observe = false; // what would be refused is counted and said, and let in
    std::vector<Crowd> crowds{{"others"}}; // the first: all addresses in no network
    Networks networks; // group: place among the crowds
    int prefix4 = 24, prefix6 = 56; // networks that per_network counts by
    int addresses = 4096; // whose state is kept
    Ticks trust_half = 6000000; // what an address earned by served RPCs fades by half in so long
    Ticks first_byte = 100000, whole_command = 100000, unread = 100000;
    std::vector<Network> fronts; // from these a PROXY header comes first
};

} // namespace pineridge
