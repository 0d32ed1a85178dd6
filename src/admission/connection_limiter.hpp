// Decides which client connections are admitted, and which idle connection is closed first when none are
// free. The caller reports connections that open and close and RPCs that start and finish, each with the
// current time in ticks (tenths of a millisecond); the limiter itself touches no socket. It refuses
// connections only: RPCs of an admitted connection are limited in rpc_limiter.hpp, and then by the decision
// module.
//
// No call blocks. Not thread-safe.
#pragma once

#include "admission/source_table.hpp"
#include "random.hpp"
#include "settings/admission.hpp"

#include <array>
#include <optional>

namespace pineridge::admission {

enum class RefusalReason { none, crowd_limit, address_limit, network_limit, open_rate_limit, no_capacity };

// One client connection, owned by the caller. It must not move or be destroyed between its admission and the
// call of `closed`.
struct ClientConnection {
    // For the caller's use.
    void *owner = nullptr;

    // Set by the limiter.
    AddressBits address{};
    int crowd = 0;
    Source *address_source = nullptr;
    Source *network_source = nullptr; // null where its crowd has no limit per network
    int open_rpcs = 0;
    bool had_rpc_served = false;
    Ticks idle_since = 0;
    int idle_class = -1; // the idle list that it is in; -1: none
    std::list<ClientConnection *>::iterator idle_position{}; // in that list
    std::list<ClientConnection *>::iterator position{}; // among all admitted connections
};

struct ConnectionDecision {
    RefusalReason reason = RefusalReason::none;
    // An idle connection that makes room for the new one: the caller closes it, and calls `closed` for it. It
    // may keep one on which a command has arrived meanwhile.
    ClientConnection *evicted = nullptr;
    Ticks retry_after = 0; // of a refused connection, with jitter
    bool admitted() const { return reason == RefusalReason::none; }
};

class ConnectionLimiter {
  public:
    // `capacity` is the number of connections admitted at a time. The rules must outlive the limiter or the
    // next call of `set_rules`.
    ConnectionLimiter(const AdmissionSettings &rules, std::size_t capacity, std::uint64_t seed);

    // Decides on a new connection from `address`. An admitted one is referenced until `closed` is called.
    ConnectionDecision try_admit(ClientConnection &connection, const AddressBits &address, Ticks now);
    void rpc_started(ClientConnection &connection);
    // `served`: whether the RPC was answered with a value.
    void rpc_finished(ClientConnection &connection, bool served, Ticks now);
    // Must be called for each admitted connection once it is closed.
    void closed(ClientConnection &connection);

    // Returns the connection to close first when descriptors run short elsewhere; null where there is none.
    // It has no open RPC and has been idle for at least `min_idle`.
    ClientConnection *next_to_evict(Ticks now, Ticks min_idle);

    // Replaces the rules. Connections that are already admitted stay open.
    void set_rules(const AdmissionSettings &rules);

    // Describes the rules that apply to an address, and why, in lines of text for an operator.
    std::string explain(const AddressBits &address, Ticks now) const;

    std::size_t open_connections() const { return open_connections_; }
    int open_connections(int crowd) const {
        return static_cast<int>(crowds_[static_cast<std::size_t>(crowd)].open_connections);
    }
    std::size_t source_count() const { return sources_.size(); }
    std::uint64_t refusals(RefusalReason reason) const { return refusals_[static_cast<std::size_t>(reason)]; }
    std::uint64_t evictions() const { return evictions_; } // to make room for a new connection

    // A connection that has been idle for less is not closed for a new one: its next command may already be
    // on its way.
    static constexpr Ticks kMinIdleBeforeEviction = 30;

  private:
    // Classes of idle connections, in the order in which they are closed: those without a served RPC, first
    // those from untrusted addresses; then those with one. Within a class the one idle for longest goes
    // first. A trusted address alone does not put a connection into the last class: behind a gateway, a flood
    // has the same address as legitimate clients.
    enum IdleClass { kUnservedUntrusted, kUnservedTrusted, kServed, kIdleClassCount };
    struct CrowdState {
        std::size_t open_connections = 0;
        std::array<std::list<ClientConnection *>, kIdleClassCount> idle_lists{};
    };

    RefusalReason exceeded_limit(const ClientConnection &connection) const;
    bool has_capacity_for(int crowd) const;
    double fair_share(int crowd, int newcomer_crowd) const;
    ClientConnection *longest_idle(CrowdState &state, IdleClass idle_class, Ticks now, Ticks min_idle) const;
    ClientConnection *select_for_eviction(const ClientConnection *newcomer, Ticks now, Ticks min_idle);
    void add_to_idle_list(ClientConnection &connection, Ticks now);
    void remove_from_idle_list(ClientConnection &connection);
    void assign_crowd_and_sources(ClientConnection &connection); // by its address
    void count_connection(ClientConnection &connection, Ticks now);
    ConnectionDecision refuse(ClientConnection &connection, RefusalReason reason, Ticks min_retry_after);
    Network network_of(const AddressBits &address) const;
    const Crowd &crowd_rules(int crowd) const { return rules_->crowds[static_cast<std::size_t>(crowd)]; }

    const AdmissionSettings *rules_;
    std::size_t capacity_;
    std::size_t open_connections_ = 0;
    SourceTable sources_;
    std::vector<CrowdState> crowds_; // in the order of the rules
    std::array<std::uint64_t, 6> refusals_{}; // by RefusalReason
    std::list<ClientConnection *> connections_; // all that are admitted
    std::uint64_t evictions_ = 0;
    Pcg32 random_;
};

} // namespace pineridge::admission
