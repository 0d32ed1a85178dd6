// The conversation with a registry on one connection: fed bytes and told the time, it knows no socket. What
// it learns goes to whoever made it.
#pragma once

#include "logic.hpp"

#include <string>
#include <string_view>

namespace pineridge::membership {

class Peer {
  public:
    virtual ~Peer() = default;
    virtual void begin(Ticks now) = 0; // the connection stands
    virtual bool feed(std::string_view bytes, Ticks now) = 0; // false: the connection is of no further use
    virtual void clock(Ticks now) = 0; // a bounded time may have passed: see `dead`
    virtual std::string output() = 0; // bytes to be written now
    // The other side has ended the connection; what that means is the conversation's matter.
    virtual void ended() { fail("the connection ended"); }

    bool dead() const { return !why_.empty(); }
    const std::string &why() const { return why_; }
    // Nothing is left to be done: the connection may be closed, and nothing has failed.
    virtual bool over() const { return false; }

  protected:
    void fail(const std::string &why) {
        if (why_.empty()) why_ = why;
    }

  private:
    std::string why_;
};

} // namespace pineridge::membership
