// Stand-in clients of a router on loopback. Each RPC is sent at once, on an idle connection or a new one, and
// its final answer is recorded. RPCs are not retried unless use_client_timeouts() sets a number of retries.
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

struct RpcRecord {
    std::int64_t at = 0; // when it was sent, ms since the Unix epoch
    std::string rpc, customer, method;
    std::string answer{}; // empty: none yet; "lost": the connection ended without an answer
    std::int64_t latency_ms = -1; // until the answer
    int build = 0; // the build that served it
};

// Returns the command for one RPC. Methods whose names begin with "do" are sent as Q.DO, others as Q.ASK.
std::string rpc_command(const std::string &customer, const std::string &method, const std::string &key,
                        const std::string &id, int timeout_ms);

class Clients {
  public:
    using Now = std::function<std::int64_t()>;
    Clients(asio::io_context &io, asio::ip::tcp::endpoint router, Now now)
        : io_(io), router_(router), now_(std::move(now)) {}

    // Sends one RPC.
    void send_rpc(const std::string &customer, const std::string &method, const std::string &key,
                  int timeout_ms = 1000);
    asio::awaitable<bool> ready(); // whether the router answers PING

    const std::deque<RpcRecord> &rpcs() const { return rpcs_; }
    int open_rpcs() const { return open_rpcs_; } // without an answer yet
    std::size_t connections() const { return connections_; }

    // From now on a client closes its connection when the timeout of its RPC has passed, and retries an RPC
    // that was pushed back, up to `retries` times, after the advised pause or a varying one of its own.
    // Without this call, clients wait without limit.
    void use_client_timeouts(int retries) {
        uses_timeouts_ = true;
        retries_ = retries;
    }

  private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    asio::awaitable<void> run(std::size_t index, std::string key, int timeout_ms, int attempt);
    asio::awaitable<Socket> connection(); // an idle or a new one; null where refused

    asio::io_context &io_;
    asio::ip::tcp::endpoint router_;
    Now now_;
    std::deque<RpcRecord> rpcs_;
    std::vector<Socket> idle_;
    int open_rpcs_ = 0;
    int retries_ = 0;
    std::size_t connections_ = 0;
    bool uses_timeouts_ = false;
};

} // namespace pineridge::standins
