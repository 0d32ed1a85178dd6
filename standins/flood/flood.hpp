// Stand-in strangers at a router's door on loopback: connections from chosen addresses, each behaving as
// told, and what became of each.
#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pineridge::standins {

namespace asio = boost::asio;

enum class Manner {
    opens, // sends one byte of a command, and holds the connection
    asks, // one RPC, and holds the connection
    drips, // one byte of a command after the other
    never_reads, // RPCs without end, whose answers it leaves
    half_closes, // a command, then the end of its sending
    swells, // all but the end of a command as large as may be
};

class Flood {
  public:
    struct Plan {
        Manner manner = Manner::opens;
        std::uint32_t first = 0x7f070001; // of its addresses, 127.7.0.1
        int addresses = 1; // taken in turn
        int lanes = 1; // that open one connection after the other
        int most = 0; // connections held at once; 0: any number. Beyond, the oldest is let go
        std::string front{}; // goes before all else, for each connection: a PROXY header
        std::chrono::milliseconds drip{50}, pause{0}; // of a lane, between connections
    };
    struct Seen {
        std::uint64_t opened = 0, failed = 0; // connections
        std::uint64_t served = 0, pushed_back = 0, errors = 0; // first answers
        std::uint64_t ended = 0; // connections that the router closed
        int least_back = 1 << 30, most_back = 0; // ms told
    };

    Flood(asio::io_context &io, asio::ip::tcp::endpoint router, Plan plan);
    ~Flood() { stop(); }
    void begin();
    void stop();
    const Seen &seen() const { return state_->seen; }

  private:
    struct State {
        asio::io_context &io;
        asio::ip::tcp::endpoint router;
        Plan plan;
        Seen seen{};
        bool over = false;
        std::uint32_t next = 0;
        std::uint64_t asked = 0;
        std::vector<std::shared_ptr<asio::ip::tcp::socket>> held{};
        std::size_t oldest = 0;
    };
    static asio::awaitable<void> lane(std::shared_ptr<State> state);
    static asio::awaitable<void> behave(std::shared_ptr<State> state,
                                        std::shared_ptr<asio::ip::tcp::socket> on);

    std::shared_ptr<State> state_;
};

} // namespace pineridge::standins
