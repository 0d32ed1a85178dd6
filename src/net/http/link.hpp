// A kept connection to an HTTP service: one call at a time, each with its own time-out.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "net/fuse.hpp"
#include "net/http/http.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace pineridge::http {

namespace asio = boost::asio;

// How a call ended: not written whole, without a whole answer, or answered.
enum class Call { unsent, unclear, answered };

class Link {
  public:
    Link(asio::io_context &io, Address address, const Limits &limits)
        : io_(io), address_(address), limits_(limits), socket_(io), fuse_(io.get_executor()) {}

    // `resend` allows the call once more where a kept connection turns out to have ended.
    asio::awaitable<Call> call(std::string_view method, std::string_view path, std::string_view body,
                               Milliseconds wait, bool resend, Answer &answer);
    void close();
    bool timed_out() const { return fuse_.blown(); } // the last call ended because its time was over
    void on_first_byte(std::function<void()> read) { first_byte_ = std::move(read); } // of each answer

    // The service is to be had elsewhere from now on: the call under way ends as unclear. False where nothing
    // changes.
    bool move_to(const Address &address);

  private:
    asio::awaitable<Call> once(std::string_view method, std::string_view path, std::string_view body,
                               Milliseconds wait, Answer &answer);

    asio::io_context &io_;
    Address address_;
    unsigned moves_ = 0;
    const Limits &limits_;
    asio::ip::tcp::socket socket_;
    Fuse fuse_;
    std::function<void()> first_byte_;
};

// The head of a call and its body, written by one gathered write.
asio::awaitable<bool> write_call(asio::ip::tcp::socket &socket, const Address &to, std::string_view method,
                                 std::string_view path, std::string_view body);

} // namespace pineridge::http
