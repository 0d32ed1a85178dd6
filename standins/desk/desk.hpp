// A stand-in release desk on loopback (docs/release/protocol.md), told what to do line by line. It decides
// nothing: whether an opinion moves a cell, how it is answered and what goes wrong is in the script.
//
//   offer S/B [needs S/B STAGE [strict]]...   stage S/B ZONE CUSTOMER N   pull S/B
//   freeze ID [zone=Z] [customer=C] [service=S] [from=MS] [to=MS]   lift ID      (MS from now)
//   cap X [zone=Z | customer=C]               ledger CUSTOMER TRAFFIC WITHDRAWN
//   opinions count|unclear|late|full|deaf     an opinion for a cell raises it, or lowers it; a back for all
//   pulls
//                                             unclear: it counts, and the connection is reset without an
//                                             answer late: it counts at the next `count`; full: 429; deaf:
//                                             nothing at all
//   heed yes|no                               whether opinions on are refused (409) within a freeze
//   torn                                      the next word's line is cut in its middle and the streams are
//   reset spoil                                     noise in place of the next line repeat N the last N words
//   are sent once more, the newest first swap                                      the next two words cross
//   on the way mute | speak                              streams stay open without a line; speak sends what
//   was held back stop | start                              listens no more; again forget N stop, start and
//   know only the words up to N before the last compact                                   older revisions can
//   no longer be followed
#pragma once

#include "standins/desk/ledger.hpp"
#include "standins/http/server.hpp"

#include <list>
#include <ostream>

namespace pineridge::standins {

class Desk {
  public:
    // Milliseconds since the Unix epoch; what is recorded is also written to `record`, a line a step.
    using Now = std::function<std::int64_t()>;
    Desk(asio::io_context &io, Now now, std::ostream *record = nullptr, unsigned short port = 0);

    std::string address() const { return server_.address(); }
    void tell(
        const std::string &line); // one line of a script; throws std::runtime_error for one it does not know
    const Ledger &ledger() const { return ledger_; }
    const std::vector<json> &opinions() const { return opinions_; }
    int snapshots() const { return snapshots_; }
    int streams() const { return streams_taken_; }

  private:
    void take(const Call &call, const std::shared_ptr<Talk> &talk);
    void opinion(const json &said, const std::shared_ptr<Talk> &talk);
    bool count(const json &said); // false: out of date
    void add(json word);
    void publish(const std::string &line);
    asio::awaitable<void> live();

    asio::io_context &io_;
    Now now_;
    std::ostream *record_;
    Ledger ledger_;
    Server server_;
    std::list<std::weak_ptr<Talk>> streams_;
    std::vector<json> opinions_, late_;
    std::string mode_ = "count";
    bool heed_ = true, mute_ = false, torn_ = false, spoil_ = false;
    int swap_ = 0;
    std::vector<std::string> held_; // lines not sent yet
    std::vector<std::string> recent_;
    int snapshots_ = 0, streams_taken_ = 0;
};

} // namespace pineridge::standins
