// The driver of the watch on discovery: each call is followed by the next at once, on a kept connection. What
// it tells goes through a membership view, as a registry's words do. Discovery is one service whose answers
// come one after another: they count in the order in which they came, and a whole list is believed at once.
#pragma once

#include "membership/view.hpp"
#include "net/http/link.hpp"
#include "router/list/listing.hpp"

#include <functional>

namespace pineridge::router::list {

namespace asio = boost::asio;

class Watch {
  public:
    using Told = std::function<void(const membership::Listing &)>;

    // `told` is called for each answer taken, also where nothing has changed: discovery lives.
    Watch(asio::io_context &io, const Start &start, const Log &log, Told told, std::function<void()> failed)
        : io_(io), start_(start), log_(log), link_(io, start.discovery, start.limits), told_(std::move(told)),
          failed_(std::move(failed)), view_({.doubt_share = 2}) {}

    void begin(); // goes on until a call fails
    void move_to(const Address &address); // asks there for the whole list, at once
    void take(const Listing &listing); // an answer, or the list told at the start

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> ask(bool whole);

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    http::Link link_;
    const Told told_;
    std::function<void()> failed_;
    membership::View view_;
    std::int64_t version_ = 0, answers_ = 0;
    bool running_ = false, whole_due_ = false;
};

} // namespace pineridge::router::list
