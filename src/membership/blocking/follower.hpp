// Follows a prefix by blocking queries over HTTP/1.1, fed bytes and told the time; knows no socket. Each
// query names the index last told and is answered once that has been passed, or when the told wait is over,
// with all keys under the prefix. Protocol: Consul's KV API and its pages on blocking queries: an index below
// the one before means that the next query starts anew, without one; an index of 0 never blocks, so 1 is the
// least that is asked with; each query's wait is spread so that many routers do not ask in step.
#pragma once

#include "membership/blocking/entry_parser.hpp"
#include "membership/peer.hpp"
#include "membership/value.hpp"
#include "membership/view.hpp"
#include "net/http/response.hpp"
#include "random.hpp"

#include <optional>

namespace pineridge::membership::blocking {

struct Timing { // ticks
    Ticks query_wait = 50000; // of a query, spread by a sixteenth
    Ticks answer_timeout = 20000; // for an answer, over the wait
    Ticks query_gap =
        500; // between an answer and the next query: a list that changes all the time is not read in a loop
    Ticks max_leader_silence = 50000; // a member that has not heard its leader for so long is not believed
};

class Follower final : public Peer {
  public:
    // The view outlives the follower: there is one follower a connection.
    Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
             Timing timing, std::uint64_t seed);

    void begin(Ticks now) override;
    bool feed(std::string_view bytes, Ticks now) override;
    void clock(Ticks now) override;
    std::string output() override { return std::exchange(unsent_, {}); }
    void ended() override;

  private:
    void query();
    void take_entry(Entry entry);
    void take_answer();
    bool usable(); // the answer's head

    View &view_;
    const ReadValue read_;
    const std::string prefix_, authority_, token_;
    const Timing timing_;
    Pcg32 chance_;
    std::optional<http::Response> answer_; // to the query under way
    std::optional<EntryParser> entries_;
    std::vector<Record> page_;
    std::int64_t index_ = 0; // 0: the next query does not block
    bool went_back_ = false;
    Ticks now_ = 0, due_ = 0, ask_at_ = -1;
    std::string unsent_;
};

} // namespace pineridge::membership::blocking
