// Follows the keys under a prefix of an etcd v3 registry, on one connection. The follower is fed bytes and
// the time and does no I/O. It reads the whole prefix in pages of one revision and then watches it from the
// next revision on. While the watch is open, it requests progress notifications and audits the watch: from
// time to time it reads the last modified key and the number of keys, and compares them with what the watch
// reported. The results go to a view, which decides on the next step. Protocol: etcd's v3 API over gRPC.
#pragma once

#include "membership/etcd/grpc_peer.hpp"
#include "membership/etcd/rpc.pb.h"
#include "membership/value.hpp"
#include "membership/view.hpp"

namespace pineridge::membership::etcd {

// Intervals and timeouts, in ticks of 0.1 ms.
struct Timing {
    Ticks answer_timeout = 20000; // for one page of a read, or for the creation of the watch
    Ticks progress_interval = 10000; // between progress requests
    Ticks watch_timeout = 25000; // without any message on the watch: its connection counts as dead
    Ticks audit_interval = 100000; // between audits of the watch
};

class Follower final : public GrpcPeer {
  public:
    // The view must outlive the follower; each connection has a follower of its own. `read` converts a key's
    // value into a host; `page_size` is the number of keys requested per page.
    Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
             Timing timing, std::size_t page_size = 500);

    void begin(Ticks now) override;
    void set_time(Ticks now) override;

  private:
    enum class State { idle, reading, opening_watch, watching };

    void start_next_step(); // as the view requests
    void read_page(const std::string &from);
    void shrink_page();
    void open_watch();
    void handle_event(const http2::Event &event) override;
    void handle_page(const std::string &bytes);
    void handle_watch_message(const std::string &bytes);
    void handle_audit_response(const std::string &bytes);
    void request_progress();
    void start_audit();
    Record to_record(const etcdserverpb::KeyValue &key_value, bool deleted) const;

    View &view_;
    const ReadValue read_;
    const std::string prefix_, range_end_, authority_, token_;
    const Timing timing_;
    const std::size_t page_size_;
    State state_ = State::idle;
    std::int32_t page_call_ = -1, watch_call_ = -1, audit_call_ = -1; // below 0: no such call is open
    std::int64_t read_revision_ = 0; // of all pages of the read in progress; 0: before the first response
    std::string page_start_; // first key of the requested page
    std::size_t page_limit_ = 0; // keys requested for that page: fewer than usual after a page was too large
    bool keys_only_ = false; // the page's only key has a value beyond the message size limit
    std::vector<etcdserverpb::Event> fragments_; // events of an incomplete watch batch
    Ticks deadline_ = 0, last_message_at_ = 0, next_progress_at_ = 0, next_audit_at_ = 0;
    std::int64_t audit_revision_ = 0; // the view's revision when the audit in progress began
};

} // namespace pineridge::membership::etcd
