// Closes a socket at a time, unless put out or lit anew before.
#pragma once

#include <boost/asio.hpp>

#include <chrono>
#include <memory>

namespace pineridge {

class Fuse {
  public:
    using Clock = std::chrono::steady_clock;

    explicit Fuse(const boost::asio::any_io_executor &executor) : timer_(executor) {}
    ~Fuse() { put_out(); }
    Fuse(const Fuse &) = delete;

    void light(boost::asio::ip::tcp::socket &socket, Clock::time_point at) {
        put_out();
        state_ = std::make_shared<State>(State{&socket});
        timer_.expires_at(at);
        timer_.async_wait([state = state_](boost::system::error_code failed) {
            if (failed || !state->socket) return;
            state->blown = true;
            boost::system::error_code ignored;
            state->socket->close(ignored);
        });
    }
    void light(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds span) {
        light(socket, Clock::now() + span);
    }
    void put_out() {
        if (state_) state_->socket = nullptr;
        timer_.cancel();
    }
    bool blown() const { return state_ && state_->blown; }

  private:
    struct State {
        boost::asio::ip::tcp::socket *socket;
        bool blown = false;
    };
    boost::asio::steady_timer timer_;
    std::shared_ptr<State> state_;
};

} // namespace pineridge
