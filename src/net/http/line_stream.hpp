// Reads an HTTP response that stays open, a line at a time. A connection on which nothing arrives for
// `Limits::stream_silence_timeout` is closed, because the peer may be dead although the connection is open.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <string_view>

namespace pineridge::http {

namespace asio = boost::asio;

class LineStream {
  public:
    // Returns whether to continue. An exception that it throws is logged under the stream's name and ends the
    // connection.
    using LineHandler = std::function<bool(std::string_view line)>;

    LineStream(asio::io_context &io, const Limits &limits, const Log &log, std::string name)
        : io_(io), limits_(limits), log_(log), name_(std::move(name)), socket_(io) {}

    // Opens one connection and reads it until it ends, times out, or the handler rejects a line; lines after
    // a rejected one are discarded. Returns whether a response of status 200 began. The arguments must
    // outlive the call.
    asio::awaitable<bool> follow(const Address &address, const std::string &path, const LineHandler &handler);
    void close();

  private:
    bool handle_lines(std::string &unread, const LineHandler &handler);

    asio::io_context &io_;
    const Limits &limits_;
    const Log &log_;
    std::string name_;
    asio::ip::tcp::socket socket_;
};

} // namespace pineridge::http
