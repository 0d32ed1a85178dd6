// A registry's wire protocol on one connection, without I/O: it is fed received bytes and the time, and
// returns the bytes to send. Derived classes report what they read to the owner that created them.
#pragma once

#include "logic.hpp"

#include <string>
#include <string_view>

namespace pineridge::membership {

class Protocol {
  public:
    virtual ~Protocol() = default;
    virtual void begin(Ticks now) = 0; // the connection is established
    virtual bool feed(std::string_view bytes, Ticks now) = 0; // false: close the connection
    virtual void set_time(Ticks now) = 0; // may fail by a timeout, see has_failed()
    virtual std::string output() = 0; // the bytes to send now
    // The other side closed the connection, which is a failure unless the protocol overrides this.
    virtual void connection_closed() { fail("the connection ended"); }

    bool has_failed() const { return !failure_.empty(); }
    const std::string &failure() const { return failure_; }
    // The protocol has completed without failure, and the connection may be closed.
    virtual bool finished() const { return false; }

  protected:
    void fail(const std::string &why) {
        if (failure_.empty()) failure_ = why;
    }

  private:
    std::string failure_;
};

} // namespace pineridge::membership
