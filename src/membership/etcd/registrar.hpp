// Keeps a key of ours in an etcd v3 registry under a lease, on one connection; fed bytes and told the time,
// knows no socket. The lease is renewed three times in its life; one that ran out, as after a pause, is asked
// for anew. When told to leave, the key is taken away and the lease revoked, and the conversation is over.
#pragma once

#include "membership/etcd/grpc_peer.hpp"
#include "membership/etcd/rpc.pb.h"

namespace pineridge::membership::etcd {

struct LeasedKey {
    std::string key, value;
    std::int64_t ttl_s = 10; // of the lease
    Ticks answer_timeout = 20000; // for each answer
};

class Registrar final : public GrpcPeer {
  public:
    // What outlives a connection: a new one goes on with the same lease while it stands.
    struct LeaseState {
        std::int64_t id = 0; // 0: none
        bool key_written = false; // the key stands under it
    };

    // The lease's state outlives the registrar. `deregistering` from the start: only takes the key away.
    Registrar(LeaseState &lease, LeasedKey key, std::string authority, std::string token, bool deregistering);

    void begin(Ticks now) override;
    void clock(Ticks now) override;
    bool over() const override { return over_; }

    void deregister(); // the key is taken away; `over` once that is answered

  private:
    void go_on();
    void take(const http2::Event &event) override;
    void take_message(const http2::Event &event);
    std::int32_t call(const char *method, const google::protobuf::MessageLite &message);

    LeaseState &lease_;
    const LeasedKey key_;
    const std::string authority_, token_;
    std::int32_t grant_call_ = -1, put_call_ = -1, look_call_ = -1, keep_call_ = -1, delete_call_ = -1,
                 revoke_call_ = -1;
    Ticks renew_at_ = -1, due_ = -1;
    bool deregistering_, deleted_ = false, over_ = false;
    bool looked_ = false; // whether a lease from before this connection still stands
};

} // namespace pineridge::membership::etcd
