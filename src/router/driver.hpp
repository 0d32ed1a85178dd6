// Owns the module: what peers tell becomes calls on it, and its decisions become messages. One thread.
#pragma once

#include "admission/descriptor_budget.hpp"
#include "admission/rpc_limiter.hpp"
#include "membership/registration.hpp"
#include "membership/source.hpp"
#include "rehearsal/rehearsal.hpp"
#include "release/controller.hpp"
#include "router/clients/clients.hpp"
#include "router/hosts/hosts.hpp"
#include "router/list/watch.hpp"
#include "router/rollout/stream.hpp"
#include "router/rollout/votes.hpp"

#include <unordered_map>

namespace pineridge::router {

namespace asio = boost::asio;

class Driver final : clients::RequestHandler {
  public:
    Driver(boost::asio::io_context &io, const Start &start, const Log &log);

    void begin(); // ready for clients soon after
    void leave(std::function<void()> done); // ends service in order
    void admit_by(std::shared_ptr<const AdmissionSettings> rules); // from now on; none: whoever finds room
    void move(const Address &discovery, const Address &platform); // where these are to be had from now on

  private:
    using Instant = std::chrono::steady_clock::time_point;

    struct Rpc {
        clients::ReplyTarget reply;
        std::shared_ptr<const clients::OwnedRequest> held;
        bool finished = false; // answered, or its client has left
        std::size_t under_way = 0;
        int cell = -1;
        admission::RpcInfo wanted{}; // as the counter was asked
        bool counted = false; // it is under way there
        std::vector<std::shared_ptr<hosts::Call>> picks{};
        bool unrun = true; // none of its picks that have ended may have run
        Ticks first_sent = -1; // of those that may have run, or are out
    };

    void handle_rpc(clients::ReplyTarget reply, std::shared_ptr<const clients::OwnedRequest> held,
                    Milliseconds age) override;
    void handle_client_left(const std::string &id) override;
    void handle_descriptors_exhausted() override;

    // The module at this turn's time. All that one turn of the loop reads is told before decisions are
    // pulled.
    Router &module();
    std::unique_ptr<Router> make_module();
    void pull();
    void carry_out(const Decision &decision);
    void send(const Decision &decision);
    void ended(const std::string &id, int pick, const std::string &host, int build, Ticks sent,
               const hosts::Ending &ending);
    Ticks time() const; // since the Unix epoch, so that a host's start is on the same clock; never goes back
    Ticks ticks_at(Instant at) const; // on that clock
    void answer(Rpc &rpc, std::string bytes);
    void withdraw(const Rpc &rpc); // what has not left
    void answer_all(); // the process may be killed at any moment now
    std::optional<hosts::Clock::time_point> latest_for(const Rpc &rpc) const; // to send a further pick
    bool let_on(Rpc &rpc, const std::string &id, Milliseconds age); // else it is answered
    void turn_away(Rpc &rpc, const std::string &id, Ticks back); // of which the module never hears
    void over(Rpc &rpc, bool served);
    void forget_if_over(const std::string &id);
    void take_list(const membership::Listing &listing);
    void take_lease(Instant until, Instant outage_until); // on the list
    void begin_registry();
    void take_told(const rollout::Told &told);
    void take_news(RolloutUpdate news);
    void wake_at(Ticks at);
    asio::awaitable<void> serve();
    asio::awaitable<void> wait_for_hosts(); // of a registry, for a bounded time
    asio::awaitable<void> listen();
    asio::awaitable<void> sweep();
    void say_held();
    void say_rehearsed();

    boost::asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    rehearsal::Rehearsal *rehearsal_ = nullptr; // the module, where another shape is rehearsed beside it
    std::unique_ptr<Router> module_;
    Ticks leave_by_ = -1; // leaving: by then every answer has gone
    std::optional<membership::Source> registry_; // in discovery's place
    std::optional<membership::Registration> own_key_; // in the registry
    std::optional<release::Controller> release_controller_; // where releases go by cell
    std::unordered_map<std::string, Rpc> rpcs_;
    admission::DescriptorBudget ledger_; // of all descriptors
    hosts::Hosts hosts_;
    std::optional<admission::RpcLimiter> counter_; // where our settings tell of admission
    std::shared_ptr<const AdmissionSettings> entrance_;
    clients::Clients clients_;
    list::Watch watch_;
    rollout::Stream stream_;
    rollout::Votes votes_;
    boost::asio::steady_timer wake_, leave_;
    Ticks now_ = 0;
    bool turn_ = false, listed_ = false;
    std::chrono::system_clock::time_point unix_began_;
    std::chrono::steady_clock::time_point began_;
    RolloutUpdate known_{};
    Ticks known_at_ = 0;
    std::uint64_t said_refused_ = 0, said_held_ = 0;
    rehearsal::Differences said_rehearsed_{};
    int unsaid_sweeps_ = 0;
};

} // namespace pineridge::router
