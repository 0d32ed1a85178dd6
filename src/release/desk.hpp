// The driver of a release desk (docs/release/protocol.md): reads the snapshot, follows the stream from its
// revision, gives opinions on a connection of their own. Whatever ends, it connects again with capped, spread
// pauses; what is known stays as it was meanwhile.
#pragma once

#include "net/http/lines.hpp"
#include "net/http/link.hpp"
#include "release/plan.hpp"

#include <deque>
#include <functional>
#include <random>

namespace pineridge::release {

namespace asio = boost::asio;

class Desk {
  public:
    // The plan is told before `told` is called, each time; it and the limits must outlive the desk.
    Desk(asio::io_context &io, const Address &address, const Limits &limits, const Log &log,
         std::string router, std::uint64_t seed, Plan &plan, std::function<void()> told);

    void begin();
    void give(const Opinion &opinion); // beyond the bound the eldest is dropped: it will be given again

  private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_whole();
    asio::awaitable<bool> follow();
    asio::awaitable<void> send();
    bool take(std::string_view line); // false: the snapshot is wanted

    asio::io_context &io_;
    const Address address_;
    const Limits &limits_;
    const Log &log_;
    const std::string router_;
    Plan &plan_;
    std::function<void()> told_;
    std::minstd_rand chance_;
    http::Link whole_, opinions_;
    http::Lines lines_;
    const http::Lines::Take take_;
    asio::steady_timer pause_;
    std::deque<std::string> waiting_;
    bool sending_ = false;
};

} // namespace pineridge::release
