// A stand-in release desk on loopback. It speaks the protocol of docs/release/protocol.md and is driven by
// script lines; the script also decides how opinions are answered and which faults occur. All work runs on
// the given io_context. Script lines (S/B is a service and a build number; MS counts from now):
//
// clang-format off
//   offer S/B [needs S/B STAGE [strict]]...
//   stage S/B ZONE CUSTOMER N
//   pull S/B
//   freeze ID [zone=Z] [customer=C] [service=S] [from=MS] [to=MS]
//   lift ID
//   cap X [zone=Z | customer=C]
//   ledger CUSTOMER TRAFFIC WITHDRAWN
//   opinions count    an opinion for a cell raises or lowers its stage; a back for all cells pulls the build
//   opinions unclear  an opinion counts, but the connection is reset without an answer
//   opinions late     an opinion gets no answer, and counts at the next `opinions count`
//   opinions full     opinions are answered 429
//   opinions deaf     opinions are ignored and get no answer
//   heed yes|no       whether opinions on are refused (409) within a freeze
//   torn              cuts the next update's line in its middle and closes the streams
//   spoil             sends invalid bytes in place of the next line
//   repeat N          sends the last N updates once more, the newest first
//   swap              sends the next two updates in reverse order
//   mute              keeps streams open without sending anything
//   speak             ends `mute` and sends the lines held back
//   stop              stops listening and resets the connections
//   start             listens again
//   forget N          restarts without the last N updates
//   compact           makes the older revisions unavailable to streams
// clang-format on
#pragma once

#include "standins/desk/update_log.hpp"
#include "standins/http/server.hpp"

#include <list>
#include <ostream>

namespace pineridge::standins {

class Desk {
  public:
    // Returns ms since the Unix epoch.
    using Now = std::function<std::int64_t()>;
    // Each recorded update is also written to `record` as one line.
    Desk(asio::io_context &io, Now now, std::ostream *record = nullptr, unsigned short port = 0);

    std::string address() const { return server_.address(); }
    // Executes one script line. Throws std::runtime_error for an unknown one.
    void execute(const std::string &line);
    const UpdateLog &log() const { return log_; }
    const std::vector<json> &opinions() const { return opinions_; }
    int snapshots() const { return snapshots_; }
    int streams() const { return streams_accepted_; }

  private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpConnection> &connection);
    void handle_opinion(const json &opinion, const std::shared_ptr<HttpConnection> &connection);
    bool count(const json &opinion); // false where the opinion is out of date
    void add(json update);
    void publish(const std::string &line);
    asio::awaitable<void> send_keepalives();

    asio::io_context &io_;
    Now now_;
    std::ostream *record_;
    UpdateLog log_;
    Server server_;
    std::list<std::weak_ptr<HttpConnection>> streams_;
    std::vector<json> opinions_;
    std::vector<json> late_opinions_; // to be counted later
    std::string opinion_mode_ = "count";
    bool heeds_freezes_ = true;
    bool muted_ = false;
    bool cut_next_line_ = false;
    bool corrupt_next_line_ = false;
    int lines_to_swap_ = 0;
    std::vector<std::string> held_lines_; // not sent yet
    std::vector<std::string> sent_lines_;
    int snapshots_ = 0;
    int streams_accepted_ = 0;
};

} // namespace pineridge::standins
