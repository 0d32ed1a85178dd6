// A persistent connection to an HTTP service. It carries one request at a time, each with a time-out of its
// own, and is opened again by the next request after it has closed. One thread.
#pragma once

#include "base/address.hpp"
#include "base/limits.hpp"
#include "net/http/response.hpp"
#include "net/socket_deadline.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace pineridge::http {

namespace asio = boost::asio;

// The result of a request. `not_sent`: it was not written completely. `unknown`: it was written, but no
// complete response arrived, so the server may have executed it.
enum class CallResult { not_sent, unknown, answered };

// The result of an attempt to connect. `refused`: the machine at the address has answered that nobody listens
// there. `failed`: for any other reason, which may be a local one.
enum class ConnectResult { connected, refused, failed };

class Connection {
  public:
    Connection(asio::io_context &io, Address address, const Limits &limits)
        : io_(io), address_(address), limits_(limits), socket_(io), socket_deadline_(io.get_executor()) {}

    // Sends a request and parses its response, connecting first if necessary. `timeout` limits the wait for
    // the first byte of the response; connecting and the rest of the response are limited by it too, or by
    // `platform_connect_timeout` and `answer_rest_timeout` of the limits where those are shorter. If a reused
    // connection turns out to be closed, the request is sent once more over a new one: always where it was
    // not written completely, otherwise only with `resend`.
    asio::awaitable<CallResult> request(std::string_view method, std::string_view path, std::string_view body,
                                        Milliseconds timeout, bool resend, Response &response);
    // Connects unless a connection is open, within `platform_connect_timeout` of the limits.
    asio::awaitable<ConnectResult> connect();
    void close();
    // Whether the last request found nobody listening at the address.
    bool was_refused() const { return connect_result_ == ConnectResult::refused; }
    bool timed_out() const { return socket_deadline_.expired(); } // whether the last request did
    // Sets a function to be called when the first byte of a response arrives.
    void on_first_byte(std::function<void()> callback) { first_byte_ = std::move(callback); }

    // Changes the address of the service and closes the connection, which ends a request in flight without an
    // answer. Returns false, and changes nothing, if the address is the same as before.
    bool set_address(const Address &address);

  private:
    bool has_usable_connection(); // closes one that is not
    asio::awaitable<ConnectResult> open(Milliseconds timeout);
    asio::awaitable<CallResult> request_once(std::string_view method, std::string_view path,
                                             std::string_view body, Milliseconds timeout, Response &response);

    asio::io_context &io_;
    Address address_;
    unsigned address_changes_ = 0;
    const Limits &limits_;
    asio::ip::tcp::socket socket_;
    SocketDeadline socket_deadline_;
    ConnectResult connect_result_ = ConnectResult::connected; // of the last request
    std::function<void()> first_byte_;
};

// Writes the head and the body of a request with a single gathering write. Returns whether all was written.
asio::awaitable<bool> write_request(asio::ip::tcp::socket &socket, const Address &to, std::string_view method,
                                    std::string_view path, std::string_view body);

} // namespace pineridge::http
