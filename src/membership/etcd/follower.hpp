// Follows a prefix of an etcd v3 registry, fed bytes and told the time; knows no socket. One connection:
// whole reads in pages of one revision, a watch from behind it, progress asked for, now and then a look
// whether the watch has missed anything. What it learns goes to a view, which says what is next. Protocol:
// etcd's v3 API over gRPC.
#pragma once

#include "membership/etcd/grpc_peer.hpp"
#include "membership/etcd/rpc.pb.h"
#include "membership/value.hpp"
#include "membership/view.hpp"

namespace pineridge::membership::etcd {

struct Timing { // ticks
    Ticks answer_timeout = 20000; // for a page, or for the watch to stand
    Ticks progress_interval = 10000; // between asking for progress
    Ticks watch_timeout = 25000; // without a word after that: the watch is dead although open
    Ticks audit_interval = 100000; // between looks whether anything was missed
};

class Follower final : public GrpcPeer {
  public:
    // The view outlives the follower: there is one follower a connection. `read` makes a host of a value.
    Follower(View &view, ReadValue read, std::string prefix, std::string authority, std::string token,
             Timing timing, std::size_t page = 500);

    void begin(Ticks now) override;
    void clock(Ticks now) override;

  private:
    enum class Doing { nothing, reading, opening, watching };

    void go_on(); // what the view asks for next
    void read_page(const std::string &from);
    void page_too_large();
    void open_watch();
    void take(const http2::Event &event) override;
    void take_page(const std::string &bytes);
    void take_watch(const std::string &bytes);
    void take_audit(const std::string &bytes);
    void ask_progress();
    void audit();
    Record record_of(const etcdserverpb::KeyValue &pair, bool gone) const;

    View &view_;
    const ReadValue read_;
    const std::string prefix_, end_, authority_, token_;
    const Timing timing_;
    const std::size_t page_;
    Doing doing_ = Doing::nothing;
    std::int32_t page_call_ = -1, watch_call_ = -1, audit_call_ = -1;
    std::int64_t read_rev_ = 0; // of the read under way
    std::string read_from_; // the page under way
    std::size_t keys_now_ = 0; // asked for in it: fewer where a page was too large
    bool without_value_ = false; // the page's one key has a value beyond the bound of messages
    std::vector<etcdserverpb::Event> fragments_;
    Ticks due_ = 0, heard_at_ = 0, progress_at_ = 0, audit_at_ = 0;
    std::int64_t audit_rev_ = 0;
};

} // namespace pineridge::membership::etcd
