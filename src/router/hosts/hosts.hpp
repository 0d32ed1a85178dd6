// Connections to the hosts. Each connection carries one pick at a time; among the idle connections of a host
// the most recently used one is preferred. All functions run on the thread of the io_context and none blocks.
#pragma once

#include "admission/descriptor_budget.hpp"
#include "router/clients/request.hpp"
#include "router/hosts/answer_parser.hpp"
#include "router/hosts/idle_reuse_policy.hpp"

#include <boost/asio.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace pineridge::router::hosts {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

class Pick; // a pick that has not ended
using PickEndHandler = std::function<void(PickResult)>;

class Hosts {
  public:
    // The connections' descriptors are taken from the budget, which must outlive this object.
    // Answers that are not small are read only into memory that has been reserved for them.
    Hosts(asio::io_context &io, const RouterConfig &config, const Log &log,
          admission::DescriptorBudget &descriptor_budget,
          std::shared_ptr<admission::MemoryBudget> answer_memory);

    // Adds a host or updates its entry. A change of the address, `started` or `build` means that another
    // process has replaced the former one.
    void update(const std::string &id, const Address &address, bool ready, Ticks started, int build);
    void remove(const std::string &id);

    // Sends the command to the host, unless that is not possible before `send_deadline`. `on_end` is called
    // once, and never within this call.
    std::shared_ptr<Pick> send(const std::string &id, std::shared_ptr<const clients::OwnedRequest> request,
                               Ticks timeout, std::optional<Clock::time_point> send_deadline,
                               PickEndHandler on_end);
    void cancel(const std::shared_ptr<Pick> &pick);
    // The functions that withdraw end picks only if their command has not been sent.
    void withdraw(const std::shared_ptr<Pick> &pick);
    void withdraw_from(int build); // all picks for hosts of the build
    void withdraw_key(std::string_view key, int build); // all picks with the key for hosts of earlier builds
    // The build is rolled back: the keys that it has been sent may be sent to earlier builds again.
    void release_keys(int build);
    static bool was_sent(const std::shared_ptr<Pick> &pick); // the whole command was written

    // Sets the lease of the host list. After it has expired no command is sent, and a pick ends as if its
    // host had been removed. The lease is checked again before the first byte is written, as a pick may have
    // waited for a connection. A pick that is decided after the lease, in a presumed outage of discovery, may
    // be sent until `outage_until`.
    void set_lease(Clock::time_point until, Clock::time_point outage_until) {
        lease_until_ = until;
        outage_until_ = outage_until;
    }

    asio::awaitable<void> warm_up(); // returns once the connections are open, or after a limited time
    void sweep(); // closes idle connections that have expired; to be called periodically
    void shrink_idle(std::size_t max); // closes idle connections beyond `max`
    std::size_t open_connections() const {
        return descriptor_budget_.in_use(admission::Purpose::hosts) +
               descriptor_budget_.in_use(admission::Purpose::drains);
    }
    int build_of(const std::string &id) const; // below 0: not listed

  private:
    friend class Pick;
    struct IdleConnection {
        std::unique_ptr<asio::ip::tcp::socket> socket;
        Clock::time_point since;
    };
    struct HostState {
        Address address;
        bool ready = false;
        Ticks started = 0;
        int build = 0;
        std::uint64_t process = 0; // number of the process; no two processes have the same
        std::deque<IdleConnection> idle{};
        std::deque<std::shared_ptr<Pick>> waiting{}; // for a connection
        std::size_t connecting = 0; // connection attempts in progress
    };

    bool lease_holds() const { return Clock::now() <= lease_until_; }
    bool may_send(bool decided_past_lease) const {
        return lease_holds() || (decided_past_lease && Clock::now() <= outage_until_);
    }
    std::unique_ptr<asio::ip::tcp::socket> take_idle_connection(HostState &host,
                                                                std::optional<Milliseconds> &idle_time);
    void connect_more(const std::string &id, HostState &host);
    asio::awaitable<void> connect(std::string id, std::uint64_t process, Address address);
    std::shared_ptr<Pick> pop_waiting_pick(HostState &host);
    void return_connection(HostState &host, std::unique_ptr<asio::ip::tcp::socket> socket);
    void wake_waiting_picks(HostState &host);
    bool acquire_descriptor();
    void close(std::unique_ptr<asio::ip::tcp::socket> &socket);
    void close_idle(HostState &host, std::size_t keep);
    template <class Predicate> void withdraw_if(const Predicate &predicate);
    bool is_open_at_newer_build(const std::string &key, int build) const;
    void record_key_sent(const std::string &key, int build);
    void record_key_ended(const std::string &key, int build);

    asio::io_context &io_;
    const RouterConfig &config_;
    const Log &log_;
    admission::DescriptorBudget &descriptor_budget_;
    const std::shared_ptr<admission::MemoryBudget> answer_memory_;
    std::unordered_map<std::string, HostState> hosts_;
    std::unordered_set<Pick *> unsent_; // picks whose command has not been written in full
    // If keys are sticky: number of picks that have been sent and have not ended, by key and build.
    std::unordered_map<std::string, std::map<int, int>> open_keys_;
    IdleReusePolicy reuse_policy_;
    std::size_t idle_count_ = 0; // over all hosts
    std::uint64_t process_count_ = 0; // seen so far
    Clock::time_point drain_reserve_until_{}; // the descriptors for drains may be used until then
    Clock::time_point lease_until_ = Clock::time_point::min();
    Clock::time_point outage_until_ = Clock::time_point::min();
};

} // namespace pineridge::router::hosts
