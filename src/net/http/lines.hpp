// Follows an HTTP answer that stays open, a line at a time. A peer that sends nothing for the silence told is
// left: open, it may still be dead.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"

#include <boost/asio.hpp>

#include <functional>
#include <string_view>

namespace pineridge::http {

namespace asio = boost::asio;

class Lines {
  public:
    // `take` returns whether to go on; what it throws ends the connection and is logged under `name`.
    using Take = std::function<bool(std::string_view line)>;

    Lines(asio::io_context &io, const Limits &limits, const Log &log, std::string name)
        : io_(io), limits_(limits), log_(log), name_(std::move(name)), socket_(io) {}

    // One connection, until it ends, falls silent, or a line is not taken: true if it told anything. After a
    // line that cannot be read nothing more of this connection is believed. What is handed over must outlive
    // the call.
    asio::awaitable<bool> follow(const Address &address, const std::string &path, const Take &take);
    void close();

  private:
    bool take_lines(std::string &unread, const Take &take);

    asio::io_context &io_;
    const Limits &limits_;
    const Log &log_;
    std::string name_;
    asio::ip::tcp::socket socket_;
};

} // namespace pineridge::http
