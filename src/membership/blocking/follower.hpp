// Follows the keys under a prefix with blocking queries over HTTP/1.1 (Consul's KV API). The follower is fed
// bytes and the time and does no I/O; one follower serves one connection. Each query names the last index
// received; the server answers once its index has passed that one, or when the requested wait is over, with
// all keys under the prefix. Three rules come from Consul's documentation of blocking queries:
// - If the index goes back, the next query carries no index and reads the whole list again.
// - An index of 0 never blocks, so the lowest index sent is 1.
// - The wait of each query is randomised so that routers do not query in step.
#pragma once

#include "membership/blocking/entry_parser.hpp"
#include "membership/protocol.hpp"
#include "membership/value.hpp"
#include "membership/view.hpp"
#include "net/http/response.hpp"
#include "random.hpp"

#include <optional>

namespace pineridge::membership::blocking {

// Intervals and timeouts, in ticks of 0.1 ms.
struct Timing {
    Ticks query_wait = 50000; // how long the server may hold a query; up to a sixteenth is added at random
    Ticks answer_timeout = 20000; // for the answer, in addition to the query's wait
    Ticks query_gap = 500; // from a response to the next query; bounds the rate when the list keeps changing
    Ticks max_leader_silence = 50000; // a member without contact to its leader for longer is not used
};

class Follower final : public Protocol {
  public:
    // The view must outlive the follower. `read` converts a key's value into a host.
    Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
             Timing timing, std::uint64_t seed);

    void begin(Ticks now) override;
    bool feed(std::string_view bytes, Ticks now) override;
    void set_time(Ticks now) override;
    std::string output() override { return std::exchange(unsent_, {}); }
    void connection_closed() override;

  private:
    void send_query();
    void handle_entry(Entry entry);
    void handle_response();
    // Checks the status and the header fields of the response; fails the connection if they are unacceptable.
    bool check_header();

    View &view_;
    const ReadValue read_;
    const std::string prefix_, authority_, token_;
    const Timing timing_;
    Pcg32 random_;
    std::optional<http::Response> response_; // to the outstanding query
    std::optional<EntryParser> parser_; // of its body
    std::vector<Record> page_; // records that the view has not received yet
    std::int64_t index_ = 0; // of the last response; 0: the next query does not block
    bool index_went_back_ = false; // the last response's index was below the one before
    Ticks now_ = 0;
    Ticks answer_deadline_ = 0;
    Ticks next_query_at_ = -1; // below 0 while a query is outstanding
    std::string unsent_;
};

} // namespace pineridge::membership::blocking
