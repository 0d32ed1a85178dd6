// The conversation with a registry on one connection: fed bytes and told the time, it knows no socket. What
// it learns goes to whoever made it.
#pragma once

#include "logic.hpp"

#include <string>
#include <string_view>

namespace pineridge::membership {

class Protocol {
  public:
    virtual ~Protocol() = default;
    virtual void begin(Ticks now) = 0; // the connection stands
    virtual bool feed(std::string_view bytes, Ticks now) = 0; // false: the connection is of no further use
    virtual void set_time(Ticks now) = 0; // a bounded time may have passed: see `dead`
    virtual std::string output() = 0; // bytes to be written now
    // The other side has ended the connection; what that means is the conversation's matter.
    virtual void connection_closed() { fail("the connection ended"); }

    bool has_failed() const { return !failure_.empty(); }
    const std::string &failure() const { return failure_; }
    // Nothing is left to be done: the connection may be closed, and nothing has failed.
    virtual bool finished() const { return false; }

  protected:
    void fail(const std::string &why) {
        if (failure_.empty()) failure_ = why;
    }

  private:
    std::string failure_;
};

} // namespace pineridge::membership
