// The driver of the watch on discovery: each call is followed by the next at once, on a kept connection. What
// it tells goes through a membership view, as a registry's words do. Discovery is one service whose answers
// come one after another: they count in the order in which they came, and a whole list is believed at once.
#pragma once

#include "membership/view.hpp"
#include "net/http/link.hpp"
#include "router/list/listing.hpp"

#include <functional>
#include <random>

namespace pineridge::router::list {

namespace asio = boost::asio;

class Watch {
  public:
    using Told = std::function<void(const membership::Listing &)>;

    // `told` is called for each answer taken, also where nothing has changed: discovery lives. `overdue`:
    // true when what the list says counts as told although it has not come, false once it has.
    Watch(asio::io_context &io, const Start &start, const Log &log, Told told, std::function<void()> failed,
          std::function<void(bool)> overdue)
        : io_(io), start_(start), log_(log), link_(io, start.discovery, start.limits), told_(std::move(told)),
          failed_(std::move(failed)), overdue_(std::move(overdue)), view_({.doubt_share = 2}),
          chance_(static_cast<std::uint32_t>(start.seed)), told_by_(io), pause_(io) {}

    void begin(); // goes on until a call fails; of an agent at hand, for good
    asio::awaitable<void> first(); // returns once a first call has been answered, or has failed
    void move_to(const Address &address); // asks there at once for what has changed
    void take(const Listing &listing); // an answer, or the list told at the start

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> ask(bool whole, bool at_once, Span hold);
    asio::awaitable<void> wait(Span about);
    void count_told_in(Span span);

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    http::Link link_;
    const Told told_;
    std::function<void()> failed_;
    std::function<void(bool)> overdue_;
    membership::View view_;
    std::minstd_rand chance_;
    asio::steady_timer told_by_; // runs while something counts as told soon that has not come
    asio::steady_timer pause_;
    std::int64_t version_ = 0, answers_ = 0;
    std::uint64_t calls_ = 0; // asked so far; names a call in the log
    bool running_ = false, whole_due_ = false, waits_told_ = false, is_overdue_ = false, first_over_ = false;
    bool said_ = false; // that calls fail
    bool moved_ = false, at_once_ = false; // the next call is not to wait
};

} // namespace pineridge::router::list
