// gRPC over HTTP/2 as a client, fed bytes; knows no socket and no clock. The frames are nghttp2's, the
// messages' five bytes of head are read here (the published gRPC over HTTP/2 protocol). Bounds: a message's
// size, the bytes waiting to be sent, and the events not taken; beyond one of them the connection is bad.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct nghttp2_session;

namespace pineridge::http2 {

struct Event {
    enum class Kind { message, ended, going_away, pong } kind;
    std::int32_t call = 0;
    std::string data{}; // message: without its head
    int status = -1; // ended: the gRPC status, below 0 where none came
    std::string text{}; // ended: the gRPC message, or what broke
    bool too_large = false; // ended: by us, for a message beyond the bound
};

class Session {
  public:
    explicit Session(std::size_t most_message = 4 << 20);
    ~Session();
    Session(const Session &) = delete;

    // A call to "/service/method"; `token` goes as authorization where not empty. Its id, below 0 where none
    // can be had.
    std::int32_t call(const std::string &path, const std::string &authority, const std::string &token);
    void send(std::int32_t call, std::string_view message, bool last); // a message of the call
    void cancel(std::int32_t call);
    void ping();

    bool feed(std::string_view bytes); // false: the connection is of no further use, and `fault` tells why
    std::string output(); // bytes to be written now; `fault` may be told by then
    bool take(Event &event);
    const std::string &fault() const { return fault_; }

    struct State; // of the callbacks

  private:
    std::unique_ptr<State> state_;
    std::string fault_;
};

} // namespace pineridge::http2
