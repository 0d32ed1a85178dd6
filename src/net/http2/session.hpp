// A client for gRPC over HTTP/2. It is given bytes and does no I/O, and it reads no clock. nghttp2 handles
// the frames; the five-byte prefix of each gRPC message is handled here. The size of a message, the bytes
// that wait to be sent on a call, and the events that have not been taken are bounded: a message that is too
// large resets its call, the other two fail the connection.
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
    // `going_away` is a GOAWAY frame of the peer, `pong` its acknowledgement of a PING.
    enum class Kind { message, ended, going_away, pong } kind;
    std::int32_t call = 0;
    std::string data{}; // message: without its prefix
    int status = -1; // ended: the gRPC status, below 0 where none was received
    std::string text{}; // ended: the gRPC message, or the reason why the call failed
    bool too_large = false; // ended: reset by this side, because a message was too large
};

class Session {
  public:
    explicit Session(std::size_t max_message_bytes = 4 << 20);
    ~Session();
    Session(const Session &) = delete;

    // Starts a call to "/service/method". A token that is not empty is sent as the authorization header.
    // Returns the id of the call, below 0 where no stream can be opened.
    std::int32_t start_call(const std::string &path, const std::string &authority, const std::string &token);
    // Queues a message; `last` half-closes the call after it.
    void send(std::int32_t call, std::string_view message, bool last);
    void cancel(std::int32_t call);
    void ping();

    bool feed(std::string_view bytes); // false: the connection has failed, and `error` says why
    std::string take_output(); // the bytes to be written now; may set `error`
    bool next_event(Event &event); // false: there is none
    const std::string &error() const { return error_; } // empty while the connection is usable

    struct State; // the data of nghttp2's callbacks

  private:
    std::unique_ptr<State> state_;
    std::string error_;
};

} // namespace pineridge::http2
