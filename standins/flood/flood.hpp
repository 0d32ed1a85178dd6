// A connection flood against a router on loopback: it opens connections from chosen source addresses, lets
// each behave in one configured way, and counts the results.
#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pineridge::standins {

namespace asio = boost::asio;

enum class Behavior {
    stall_after_first_byte, // sends one byte of a command and keeps the connection open
    send_one_rpc, // sends one RPC and keeps the connection open
    send_slowly, // sends a command byte by byte
    never_read, // sends RPCs without end and does not read the answers
    half_close, // sends a command and closes its sending side
    send_huge_command, // sends almost all of a command of the largest allowed size
};

class Flood {
  public:
    struct Plan {
        Behavior behavior = Behavior::stall_after_first_byte;
        std::uint32_t first_address = 0x7f070001; // 127.7.0.1
        int addresses = 1; // number of source addresses, used in turn
        int connectors = 1; // coroutines that each open one connection after the other
        int max_connections = 0; // open at once; the oldest is closed beyond it; 0: no limit
        std::string preamble{}; // sent first on each connection, such as a PROXY header
        std::chrono::milliseconds byte_interval{50}; // for send_slowly
        std::chrono::milliseconds pause{0}; // of a connector, before each connection
    };
    struct Results {
        std::uint64_t opened = 0, failed = 0; // connections
        std::uint64_t served = 0, pushed_back = 0, errors = 0; // first answers
        std::uint64_t ended = 0; // connections that the router closed
        int min_retry_ms = 1 << 30, max_retry_ms = 0; // retry pauses that the router advised
    };

    Flood(asio::io_context &io, asio::ip::tcp::endpoint router, Plan plan);
    ~Flood() { stop(); }
    void start();
    void stop();
    const Results &results() const { return state_->results; }

  private:
    struct State {
        asio::io_context &io;
        asio::ip::tcp::endpoint router;
        Plan plan;
        Results results{};
        bool stopped = false;
        std::uint32_t next_address = 0;
        std::uint64_t rpcs_sent = 0;
        std::vector<std::shared_ptr<asio::ip::tcp::socket>> connections{};
        std::size_t oldest = 0;
    };
    static asio::awaitable<void> connect_repeatedly(std::shared_ptr<State> state);
    static asio::awaitable<void> run_connection(std::shared_ptr<State> state,
                                                std::shared_ptr<asio::ip::tcp::socket> socket);

    std::shared_ptr<State> state_;
};

} // namespace pineridge::standins
