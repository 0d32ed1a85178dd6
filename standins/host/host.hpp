// A stand-in host on loopback. It answers the platform's RESP commands after a configured delay and records
// each pick whose command it has received completely. All work runs on the given io_context; nothing blocks.
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

// One pick whose last byte the host has received.
struct PickRecord {
    std::int64_t at = 0; // when its last byte was received, ms since the Unix epoch
    std::int64_t first_byte_at = 0; // the same for its first byte
    std::string host, rpc, key, method, customer;
    int build = 0;
};
using Picks = std::vector<PickRecord>;

class Host {
  public:
    using Now = std::function<std::int64_t()>;
    // Several hosts may share one `picks` record.
    Host(asio::io_context &io, std::string id, std::string zone, int build, Now now, Picks &picks);

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    nlohmann::json entry() const; // as discovery lists it

    std::string id, zone;
    int build;
    std::string state = "in_service";
    std::int64_t started_ms = 0;
    std::chrono::milliseconds answer_delay{2};
    std::size_t value_bytes = 0; // shorter values are filled up to this size
    int failure_percent = 0; // errors in each hundred answers, evenly spread

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    std::string answer(const std::vector<std::string_view> &arguments, std::int64_t first_byte_at);

    asio::io_context &io_;
    asio::ip::tcp::acceptor acceptor_;
    Now now_;
    Picks &picks_;
    int answers_ = 0;
};

} // namespace pineridge::standins
