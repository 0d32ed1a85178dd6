// A deadline on the operations of a socket: when it expires, the socket is closed, and pending operations on
// it end with an error. The socket must outlive an active deadline. Not thread-safe.
#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <memory>

namespace pineridge {

class SocketDeadline {
  public:
    using Clock = std::chrono::steady_clock;

    explicit SocketDeadline(const boost::asio::any_io_executor &executor) : timer_(executor) {}
    ~SocketDeadline() { cancel(); }
    SocketDeadline(const SocketDeadline &) = delete;

    // Closes the socket at this time; replaces the deadline set before.
    void set(boost::asio::ip::tcp::socket &socket, Clock::time_point expires_at) {
        cancel();
        state_ = std::make_shared<State>(State{&socket});
        timer_.expires_at(expires_at);
        timer_.async_wait([state = state_](boost::system::error_code failed) {
            if (failed || !state->socket) return;
            state->expired = true;
            boost::system::error_code ignored;
            state->socket->close(ignored);
        });
    }
    void set(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout) {
        set(socket, Clock::now() + timeout);
    }
    void cancel() {
        if (state_) state_->socket = nullptr;
        timer_.cancel();
    }
    // Whether the deadline set last has closed its socket.
    bool expired() const { return state_ && state_->expired; }

  private:
    // The timer's handler shares the state, because it may run after the deadline was replaced or destroyed.
    struct State {
        boost::asio::ip::tcp::socket *socket; // null: cancelled
        bool expired = false;
    };
    boost::asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

} // namespace pineridge
