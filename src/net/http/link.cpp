#include "net/http/link.hpp"
#include "net/quiet.hpp"

#include <sstream>

namespace pineridge::http {

using asio::as_tuple;
using asio::use_awaitable;

asio::awaitable<bool> write_call(asio::ip::tcp::socket &socket, const Address &to, std::string_view method,
                                 std::string_view path, std::string_view body) {
    std::ostringstream host;
    host << to;
    const std::string at = host.str(), size = std::to_string(body.size());
    std::vector<std::string_view> parts{method, " ", path, " HTTP/1.1\r\nHost: ", at, "\r\n"};
    if (!body.empty())
        for (const std::string_view part :
             {std::string_view("Content-Type: application/json\r\nContent-Length: "), std::string_view(size),
              std::string_view("\r\n")})
            parts.push_back(part);
    parts.emplace_back("\r\n");
    parts.push_back(body);
    std::vector<asio::const_buffer> buffers;
    std::size_t total = 0;
    for (const std::string_view part : parts) {
        buffers.emplace_back(part.data(), part.size());
        total += part.size();
    }
    const auto [failed, written] = co_await asio::async_write(socket, buffers, as_tuple(use_awaitable));
    co_return written == total;
}

bool Link::move_to(const Address &address) {
    if (address == address_) return false;
    address_ = address;
    ++moves_;
    close();
    return true;
}

void Link::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<Call> Link::call(std::string_view method, std::string_view path, std::string_view body,
                                 Milliseconds wait, bool resend, Answer &answer) {
    if (socket_.is_open() && !quiet(socket_)) close();
    const bool kept = socket_.is_open();
    const unsigned moves = moves_;
    const Call got = co_await once(method, path, body, wait, answer);
    const bool again =
        kept && moves == moves_ && !fuse_.blown() && !answer.begun() && (got == Call::unsent || resend);
    if (got == Call::answered || !again) co_return got;
    co_return co_await once(method, path, body, wait, answer);
}

asio::awaitable<Call> Link::once(std::string_view method, std::string_view path, std::string_view body,
                                 Milliseconds wait, Answer &answer) {
    if (!socket_.is_open()) {
        socket_ = asio::ip::tcp::socket(io_);
        fuse_.light(socket_, std::min(wait, limits_.platform_connect_timeout));
        const auto [failed] = co_await socket_.async_connect(address_, as_tuple(use_awaitable));
        if (failed || fuse_.blown()) {
            close();
            co_return Call::unsent;
        }
        boost::system::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    fuse_.light(socket_, wait);
    if (!co_await write_call(socket_, address_, method, path, body)) {
        close();
        co_return Call::unsent;
    }
    std::vector<char> room(limits_.read_chunk_bytes);
    while (!answer.done() && !answer.bad()) {
        const auto [failed, size] =
            co_await socket_.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) {
            if (failed == asio::error::eof) answer.end();
            close();
            break;
        }
        // Stops an answer that breaks off from being waited for as long as a good one may be held.
        if (!answer.begun()) {
            fuse_.light(socket_, std::min(wait, limits_.answer_rest_timeout));
            if (first_byte_) first_byte_();
        }
        answer.feed({room.data(), size});
    }
    fuse_.put_out();
    if (!answer.done() || !answer.stays_open()) close();
    co_return answer.done() ? Call::answered : Call::unclear;
}

} // namespace pineridge::http
