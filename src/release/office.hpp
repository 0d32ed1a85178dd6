// The plan, its desk and its timer, as the router's driver uses them. What the plan allows goes to `allow`,
// before anything else is decided.
#pragma once

#include "release/desk.hpp"

namespace pineridge::release {

class Office {
  public:
    using Clock = std::function<Ticks()>;
    using Allow = std::function<void(const Change &)>;

    // `tenants`: the platform's names, by place; those that are no customer of the scheme are in no cell.
    Office(asio::io_context &io, const Scheme &scheme, const std::vector<std::string> &tenants,
           const Limits &limits, const Log &log, const std::string &router, std::uint64_t seed, Clock clock,
           Allow allow);

    void begin();
    int cell_of(int tenant) const { return cells_.at(tenant); } // -1: none
    void arrived(int cell);
    void ended(int build, int cell, Outcome outcome); // a pick
    void judged(int build, Verdict verdict); // by the module
    void news(const RolloutUpdate &news); // of the platform

  private:
    asio::awaitable<void> beat();
    void flush();

    asio::io_context &io_;
    const Limits &limits_;
    const Log &log_;
    Clock clock_;
    Allow allow_;
    Plan plan_;
    std::optional<Desk> desk_;
    std::vector<int> cells_; // by tenant
};

} // namespace pineridge::release
