// Keeps this router's key in an etcd v3 registry under a lease, on one connection. The registrar is fed bytes
// and the time and does no I/O. It renews the lease three times per lifetime and requests a new one if the
// lease has expired, for example after the process was paused. On deregistration it deletes the key, revokes
// the lease, and is then over.
#pragma once

#include "membership/etcd/grpc_peer.hpp"
#include "membership/etcd/rpc.pb.h"

namespace pineridge::membership::etcd {

// The key that a registrar keeps.
struct LeasedKey {
    std::string key, value;
    std::int64_t ttl_s = 10; // of the lease, in seconds
    Ticks answer_timeout = 20000; // for each answer, in ticks of 0.1 ms
};

class Registrar final : public GrpcPeer {
  public:
    // The state that outlives a connection: the next one continues with the same lease while it is valid.
    struct LeaseState {
        std::int64_t id = 0; // 0: none
        bool key_written = false; // the key is attached to this lease
    };

    // The lease state must outlive the registrar. A registrar that is created with `deregistering` set only
    // deletes the key.
    Registrar(LeaseState &lease, LeasedKey key, std::string authority, std::string token, bool deregistering);

    void begin(Ticks now) override;
    void set_time(Ticks now) override;
    bool finished() const override { return over_; }

    // Starts to delete the key and to revoke the lease; `over` returns true once both are answered.
    void deregister();

  private:
    void start_next_call();
    void handle_event(const http2::Event &event) override;
    void handle_message(const http2::Event &event);
    std::int32_t start_call(const char *method, const google::protobuf::MessageLite &message);

    LeaseState &lease_;
    const LeasedKey key_;
    const std::string authority_, token_;
    // Ids of the open calls; below 0: no such call is open.
    std::int32_t grant_call_ = -1, put_call_ = -1, ttl_call_ = -1, keep_alive_call_ = -1, delete_call_ = -1,
                 revoke_call_ = -1;
    Ticks next_renewal_at_ = -1;
    Ticks answer_deadline_ = -1; // below 0: no answer is outstanding
    bool deregistering_, deleted_ = false, over_ = false;
    bool lease_checked_ = false; // whether a lease from an earlier connection is still valid
};

} // namespace pineridge::membership::etcd
