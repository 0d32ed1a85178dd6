// A registry connection that speaks gRPC over HTTP/2. Received bytes become events, which a subclass handles
// one by one until the connection has failed.
#pragma once

#include "membership/protocol.hpp"
#include "net/http2/session.hpp"

#include <algorithm>

namespace pineridge::membership::etcd {

class GrpcPeer : public Protocol {
  public:
    bool feed(std::string_view bytes, Ticks now) final {
        now_ = std::max(now_, now);
        session_.feed(bytes);
        handle_events();
        return !has_failed();
    }
    std::string output() final {
        std::string bytes = session_.take_output();
        handle_events(); // a call that this side resets ends when its RST_STREAM frame is written
        bytes += session_.take_output();
        return bytes;
    }

  protected:
    virtual void handle_event(const http2::Event &event) = 0;

    http2::Session session_;
    Ticks now_ = 0;

  private:
    void handle_events() {
        if (!session_.error().empty()) fail(session_.error());
        http2::Event event{};
        while (!has_failed() && session_.next_event(event)) handle_event(event);
    }
};

} // namespace pineridge::membership::etcd
