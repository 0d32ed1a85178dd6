// Connects the release plan, the client of the release desk and their timer to the router's driver. Share
// changes are passed to the handler given to the constructor, before any other output of the plan is used.
#pragma once

#include "release/desk_client.hpp"

namespace pineridge::release {

class Controller {
  public:
    using Clock = std::function<Ticks()>;
    using ShareHandler = std::function<void(const ShareChange &)>;

    // `tenants` are the platform's tenant names, by index. A tenant that is no customer of the scheme belongs
    // to no cell.
    Controller(asio::io_context &io, const ReleaseSettings &scheme, const std::vector<std::string> &tenants,
               const Limits &limits, const Log &log, const std::string &router, std::uint64_t seed,
               Clock clock, ShareHandler on_share_change);

    void start();
    int cell_of(int tenant) const { return cells_.at(tenant); } // -1: none
    void record_arrival(int cell); // ignored for -1
    void record_pick_end(int build, int cell, Outcome outcome); // ignored for cell -1
    void set_verdict(int build, Verdict verdict); // the decision module's
    void update_rollout(const RolloutUpdate &update); // the platform's

  private:
    asio::awaitable<void> run_timer();
    void process_plan();

    asio::io_context &io_;
    const Limits &limits_;
    const Log &log_;
    Clock clock_;
    ShareHandler on_share_change_;
    Plan plan_;
    std::optional<DeskClient> desk_;
    std::vector<int> cells_; // by tenant
};

} // namespace pineridge::release
