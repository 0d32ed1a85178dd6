// Stand-in clients of a router on loopback: each RPC goes out when told, on an idle connection or a new one,
// and its final answer is written down. Nothing is asked again.
#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pineridge::standins {

namespace asio = boost::asio;

struct Asked {
    std::int64_t at = 0; // ms since the Unix epoch, when its last byte was written
    std::string rpc, customer, method;
    std::string answer{}; // empty: none yet; "lost": the connection ended without one
    std::int64_t took = -1; // ms until the answer
    int build = 0; // that served it
};

// The command that asks one RPC; methods whose name begins with "do" go as Q.DO, others as Q.ASK.
std::string rpc_command(const std::string &customer, const std::string &method, const std::string &key,
                        const std::string &id, int patience_ms);

class Clients {
  public:
    using Now = std::function<std::int64_t()>;
    Clients(asio::io_context &io, asio::ip::tcp::endpoint router, Now now)
        : io_(io), router_(router), now_(std::move(now)) {}

    // One RPC.
    void ask(const std::string &customer, const std::string &method, const std::string &key,
             int patience_ms = 1000);
    asio::awaitable<bool> ready(); // has the router answered PING?

    const std::deque<Asked> &asked() const { return asked_; }
    int open() const { return open_; } // RPCs without an answer
    std::size_t connections() const { return connections_; }

    // Clients that wait no longer than they told, then close, and that ask again so often after a pushback,
    // when told to or after a drawn wait. Off: they wait for whatever comes.
    void lose_patience(int retries) { impatient_ = true, retries_ = retries; }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    asio::awaitable<void> run(std::size_t at, std::string key, int patience_ms, int tries);
    asio::awaitable<Socket> connection(); // an idle one, or a new one; none: refused

    asio::io_context &io_;
    asio::ip::tcp::endpoint router_;
    Now now_;
    std::deque<Asked> asked_;
    std::vector<Socket> idle_;
    int open_ = 0, retries_ = 0;
    std::size_t connections_ = 0;
    bool impatient_ = false;
};

} // namespace pineridge::standins
