// A stand-in host on loopback: answers the platform's RESP commands after a told time, and writes down each
// pick that reached it whole. It decides nothing.
#pragma once

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pineridge::standins {

namespace asio = boost::asio;

// One pick whose last byte has come.
struct PickRow {
    std::int64_t at = 0; // ms since the Unix epoch
    std::int64_t begun = 0; // when its first byte came
    std::string host, rpc, key, method, customer;
    int build = 0;
};
using Picks = std::vector<PickRow>;

class Host {
  public:
    using Now = std::function<std::int64_t()>;
    // All hosts may write into one record.
    Host(asio::io_context &io, std::string id, std::string zone, int build, Now now, Picks &picks);

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    nlohmann::json entry() const; // as discovery tells it

    std::string id, zone;
    int build;
    std::string state = "in_service";
    std::int64_t started_ms = 0;
    std::chrono::milliseconds takes{2};
    int fails_of_100 = 0; // evenly: so many of each hundred answers are errors

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    std::string answer(const std::vector<std::string_view> &words, std::int64_t begun);

    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    Now now_;
    Picks &picks_;
    int count_ = 0;
};

} // namespace pineridge::standins
