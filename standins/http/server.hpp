// A small HTTP/1.1 server on loopback for the stand-ins. It parses requests and passes them to a handler; the
// handler decides what is sent back and when. Nothing blocks: all work runs on the given io_context.
#pragma once

#include "standins/http/reserved_port.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace pineridge::standins {

namespace asio = boost::asio;

// One accepted connection. Bytes are sent in the order of the calls; nothing is sent after close() or
// reset().
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
  public:
    explicit HttpConnection(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}

    void send(std::string bytes);
    void answer(int status, const std::string &body); // sends a whole answer with its Content-Length
    void begin_stream(); // sends the head of a chunked 200 answer, which stays open
    void send_line(const std::string &text); // sends one line as one chunk
    void close();
    void reset();
    bool open() const { return socket_.is_open(); }

  private:
    friend class Server;
    asio::awaitable<void> write();

    asio::ip::tcp::socket socket_;
    std::deque<std::string> unsent_;
    bool writing_ = false;
};

struct HttpRequest {
    std::string method, path, body;
};

class Server {
  public:
    using Handler = std::function<void(const HttpRequest &, const std::shared_ptr<HttpConnection> &)>;

    // Listens on loopback, on a free port where `port` is 0.
    Server(asio::io_context &io, Handler handler, unsigned short port = 0);

    std::string address() const { return "127.0.0.1:" + std::to_string(reserved_port_.port()); }
    void stop(); // stops listening and resets the open connections
    void start(); // listens again on the same port
    int accepted() const { return accepted_; } // connections so far

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<HttpConnection> connection);

    asio::io_context &io_;
    Handler handler_;
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;
    ReservedPort reserved_port_;
    std::deque<std::weak_ptr<HttpConnection>> connections_;
    int accepted_ = 0;
};

} // namespace pineridge::standins
