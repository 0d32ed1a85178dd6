// The driver of connections to hosts: one pick at a time on each, the most recently used first.
#pragma once

#include "admission/descriptor_budget.hpp"
#include "router/clients/request.hpp"
#include "router/hosts/exchange.hpp"
#include "router/hosts/trust.hpp"

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

class Call; // one pick under way
using Ended = std::function<void(Ending)>;

class Hosts {
  public:
    // Descriptors are taken from the ledger, which outlives this.
    Hosts(asio::io_context &io, const Start &start, const Log &log, admission::DescriptorBudget &ledger);

    // What the list says of a host; `started` and `build` tell one process at an address from the next.
    void put(const std::string &id, const Address &address, bool ready, Ticks started, int build);
    void remove(const std::string &id);

    // Sends the command; `ended` is called once, never from within this call. Past `latest` it is not sent
    // any more.
    std::shared_ptr<Call> send(const std::string &id, std::shared_ptr<const clients::OwnedRequest> held,
                               Ticks span, std::optional<Clock::time_point> latest, Ended ended);
    void cut(const std::shared_ptr<Call> &call);
    void withdraw(const std::shared_ptr<Call> &call); // its RPC is over: ends it unless it is on its host
    void withdraw_from(int build); // all that has yet to leave for its hosts
    void withdraw_key(std::string_view key, int below); // and for those of builds below, with this key
    void release_keys(int build); // it goes back: earlier builds may have the keys that it was sent
    static bool has_left(const std::shared_ptr<Call> &call); // its last byte was written

    // The lease on the list of hosts: past it nothing is sent; a pick ends as one whose host has gone does.
    // Looked at again where the first byte is written, as a pick may have waited for a connection. A pick
    // decided past the lease, in a presumed outage, may be sent while that is presumed.
    void lease_until(Clock::time_point until, Clock::time_point outage_until) {
        lease_until_ = until;
        outage_until_ = outage_until;
    }

    asio::awaitable<void> warm_up(); // returns once connections stand, or could not be had in time
    void sweep();
    void free_idle(std::size_t most); // closes idle connections beyond so many
    std::size_t open() const {
        return ledger_.in_use(admission::Purpose::hosts) + ledger_.in_use(admission::Purpose::drains);
    }
    int build_of(const std::string &id) const; // below 0: not listed

  private:
    friend class Call;
    struct Idle {
        std::unique_ptr<asio::ip::tcp::socket> socket;
        Clock::time_point since;
    };
    struct Place {
        Address address;
        bool ready = false;
        Ticks started = 0;
        int build = 0;
        std::uint64_t process = 0; // counts the processes seen at this id
        std::deque<Idle> idle{};
        std::deque<std::shared_ptr<Call>> waiting{};
        std::size_t dialing = 0;
    };

    bool lease_holds() const { return Clock::now() <= lease_until_; }
    bool may_send(bool decided_past_lease) const {
        return lease_holds() || (decided_past_lease && Clock::now() <= outage_until_);
    }
    std::unique_ptr<asio::ip::tcp::socket> take_idle(Place &place, std::optional<Milliseconds> &idle);
    void dial_more(const std::string &id, Place &place);
    asio::awaitable<void> dial(std::string id, std::uint64_t process, Address address);
    std::shared_ptr<Call> first_waiting(Place &place);
    void hand_on(Place &place, std::unique_ptr<asio::ip::tcp::socket> socket);
    void wake_waiting(Place &place);
    bool take_descriptor();
    void close(std::unique_ptr<asio::ip::tcp::socket> &socket);
    void drop_idle(Place &place, std::size_t keep);
    template <class Which> void withdraw_if(const Which &which);
    bool is_out_above(const std::string &key, int build) const;
    void key_sent(const std::string &key, int build);
    void key_ended(const std::string &key, int build);

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    admission::DescriptorBudget &ledger_;
    std::unordered_map<std::string, Place> places_;
    std::unordered_set<Call *> unsent_; // picks whose last byte has yet to be written
    // Where keys stay: picks that are on their hosts, by key and build.
    std::unordered_map<std::string, std::map<int, int>> keys_out_;
    Trust trust_;
    std::size_t idle_ = 0;
    std::uint64_t processes_ = 0;
    Clock::time_point drain_until_{};
    Clock::time_point lease_until_ = Clock::time_point::min();
    Clock::time_point outage_until_ = Clock::time_point::min();
};

} // namespace pineridge::router::hosts
