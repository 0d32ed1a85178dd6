// Connects the decision module to its environment. The driver owns the module and all connections: it passes
// what clients, hosts, discovery, the platform and the registry send to the module, and carries out the
// module's decisions. It runs on the thread of its io_context and never blocks.
#pragma once

#include "admission/descriptor_budget.hpp"
#include "admission/rpc_limiter.hpp"
#include "membership/registration.hpp"
#include "membership/source.hpp"
#include "rehearsal/rehearsal.hpp"
#include "release/controller.hpp"
#include "router/clients/clients.hpp"
#include "router/executed_ids.hpp"
#include "router/hosts/hosts.hpp"
#include "router/list/watch.hpp"
#include "router/rollout/stream_client.hpp"
#include "router/rollout/vote_client.hpp"

#include <unordered_map>

namespace pineridge::router {

namespace asio = boost::asio;

class Driver final : clients::RequestHandler {
  public:
    Driver(boost::asio::io_context &io, const RouterConfig &config, const Log &log);

    // Starts the service; clients are accepted once the host list is available.
    void start();
    // Ends the service: clients that are connected are served until the shutdown deadline, when all RPCs that
    // are still open are answered. `done` is called once all have been closed.
    void shut_down(std::function<void()> done);
    // Replaces the admission rules. Without rules, connections are limited only by the descriptors.
    void set_admission_rules(std::shared_ptr<const AdmissionSettings> rules);
    // Replaces the addresses of discovery and the platform.
    void set_addresses(const Address &discovery, const Address &platform);

  private:
    using Instant = std::chrono::steady_clock::time_point;

    struct Rpc {
        clients::ReplyTarget reply;
        std::shared_ptr<const clients::OwnedRequest> request;
        bool finished = false; // answered, or its client has disconnected
        std::size_t open_picks = 0;
        int cell = -1; // in the release plan
        admission::RpcInfo limiter_info{}; // as passed to the RPC limiter
        bool admitted = false; // the RPC limiter counts it as in flight
        std::vector<std::shared_ptr<hosts::Pick>> picks{}; // by number; null: ended
        bool none_executed = true; // no pick that has ended may have been executed
        Ticks first_sent_at =
            -1; // first time of the picks that are open or may have been executed; below 0: none
    };

    void handle_rpc(clients::ReplyTarget reply, std::shared_ptr<const clients::OwnedRequest> request,
                    Milliseconds age) override;
    void handle_client_left(const std::string &id) override;
    void handle_descriptors_exhausted() override;

    // Returns the module with its time set to that of the present turn of the event loop. The decisions are
    // carried out after all inputs of the turn have been passed to the module.
    Router &begin_turn();
    std::unique_ptr<Router> make_module();
    void execute_decisions();
    void execute(const Decision &decision);
    void send_pick(const Decision &decision);
    void handle_pick_end(const std::string &id, int pick, const std::string &host, int build, Ticks sent_at,
                         hosts::PickResult result);
    // Returns the ticks since the Unix epoch, as start times of hosts are given. Never goes back: it follows
    // the steady clock from the start of the process.
    Ticks current_time() const;
    Ticks to_ticks(Instant at) const; // on the same clock
    void answer(Rpc &rpc, std::string bytes, admission::MemoryReservation memory = {});
    void withdraw_unsent_picks(const Rpc &rpc);
    void answer_open_rpcs(); // at the shutdown deadline
    // Returns the time after which a further pick of the RPC must not be sent; none: no limit.
    std::optional<hosts::Clock::time_point> send_deadline(const Rpc &rpc) const;
    bool admit(Rpc &rpc, const std::string &id, Milliseconds age);
    void push_back(Rpc &rpc, const std::string &id, Ticks retry_after); // without passing it to the module
    void release_admission(Rpc &rpc, bool served); // tells the RPC limiter that the RPC has ended
    void erase_if_done(const std::string &id);
    bool is_idempotent(const clients::Request &request) const;
    void handle_host_list(const membership::Listing &listing);
    void set_list_lease(Instant until, Instant outage_until); // the lease of the host list
    void start_registry();
    void handle_stream_line(const rollout::StreamLine &line);
    void handle_rollout_update(RolloutUpdate update);
    void schedule_wake(Ticks at);
    asio::awaitable<void> serve();
    asio::awaitable<void> wait_for_hosts(); // from the registry, for a limited time
    asio::awaitable<void> listen();
    asio::awaitable<void> sweep(); // closes idle connections and logs statistics, periodically
    void log_admission();
    void log_rehearsal();

    boost::asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    rehearsal::Rehearsal *rehearsal_ = nullptr; // equals module_ if a deployment is rehearsed; else null
    std::unique_ptr<Router> module_;
    Ticks shutdown_deadline_ = -1; // by which all RPCs are answered; below 0: not shutting down
    std::optional<membership::Source> registry_; // source of the host list instead of discovery
    std::optional<membership::Registration> registration_; // of this router in the registry
    std::optional<release::Controller> release_controller_; // none: no releases by cell
    std::unordered_map<std::string, Rpc> rpcs_;
    ExecutedIds executed_ids_; // of RPCs that are not idempotent and are no longer in rpcs_
    admission::DescriptorBudget descriptor_budget_; // shared by clients and hosts
    const std::shared_ptr<admission::MemoryBudget> answer_memory_; // shared by clients and hosts
    hosts::Hosts hosts_;
    std::optional<admission::RpcLimiter> rpc_limiter_; // none: no admission rules
    std::shared_ptr<const AdmissionSettings> admission_rules_;
    clients::Clients clients_;
    list::Watch discovery_watch_;
    rollout::StreamClient stream_client_;
    rollout::VoteClient vote_client_;
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer shutdown_timer_;
    Ticks now_ = 0; // time of the present turn
    bool turn_open_ =
        false; // inputs have been passed to the module, and its decisions are still to be executed
    bool has_host_list_ = false;
    std::chrono::system_clock::time_point unix_start_; // start of this process
    std::chrono::steady_clock::time_point steady_start_; // the same moment
    RolloutUpdate latest_rollout_{}; // status that is in effect, and when it was received
    Ticks latest_rollout_at_ = 0;
    std::uint64_t logged_refusals_ = 0; // counts as of the last log line
    std::uint64_t logged_pushbacks_ = 0;
    rehearsal::Differences logged_differences_{};
    int sweeps_since_rehearsal_log_ = 0;
};

} // namespace pineridge::router
