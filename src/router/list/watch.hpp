// The driver of the watch on discovery: each call is followed by the next at once, on a kept connection.
#pragma once

#include "net/http/link.hpp"
#include "router/list/listing.hpp"

#include <functional>

namespace pineridge::router::list {

namespace asio = boost::asio;

class Watch {
  public:
    Watch(asio::io_context &io, const Start &start, const Log &log, std::function<void(const Listing &)> told,
          std::function<void()> failed)
        : io_(io), start_(start), log_(log), link_(io, start.discovery, start.limits), told_(std::move(told)),
          failed_(std::move(failed)) {}

    void begin(); // goes on until a call fails
    void move_to(const Address &address); // asks there for the whole list, at once
    void stands_at(std::int64_t version) { version_ = version; }

  private:
    asio::awaitable<void> run();
    asio::awaitable<std::string> ask(bool whole);

    asio::io_context &io_;
    const Start &start_;
    const Log &log_;
    http::Link link_;
    std::function<void(const Listing &)> told_;
    std::function<void()> failed_;
    std::int64_t version_ = 0;
    bool running_ = false, whole_due_ = false;
};

} // namespace pineridge::router::list
