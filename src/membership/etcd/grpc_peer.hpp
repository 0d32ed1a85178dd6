// A conversation by gRPC over HTTP/2: bytes become events, taken one by one until the connection is of no
// use.
#pragma once

#include "membership/peer.hpp"
#include "net/http2/session.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

class GrpcPeer : public Peer {
  public:
    bool feed(std::string_view bytes, Ticks now) final {
        now_ = std::max(now_, now);
        session_.feed(bytes);
        take_events();
        return !dead();
    }
    std::string output() final {
        std::string bytes = session_.take_output();
        take_events(); // a call that we reset ends as its frame is made
        bytes += session_.take_output();
        return bytes;
    }

  protected:
    virtual void take(const http2::Event &event) = 0;

    http2::Session session_;
    Ticks now_ = 0;

  private:
    void take_events() {
        if (!session_.error().empty()) fail(session_.error());
        http2::Event event{};
        while (!dead() && session_.next_event(event)) take(event);
    }
};

} // namespace pineridge::membership::etcd
