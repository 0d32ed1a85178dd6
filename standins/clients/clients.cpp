#include "standins/clients/clients.hpp"

#include "net/resp/resp.hpp"
#include "net/socket_deadline.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

std::string bulk(const std::string &text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

// Returns the id of one attempt at an RPC; each attempt has its own id.
std::string rpc_id(std::size_t index, int attempt) {
    char id[24];
    std::snprintf(id, sizeof id, "%04x%012zx", attempt, index + 1);
    return id;
}

} // namespace

std::string rpc_command(const std::string &customer, const std::string &method, const std::string &key,
                        const std::string &id, int timeout_ms) {
    const bool idempotent = method.rfind("do", 0) != 0;
    const std::string fields =
        "c=" + method + ",t=" + customer + ",d=" + std::to_string(std::max(1, timeout_ms));
    std::string command = idempotent ? "*4\r\n" + bulk("Q.ASK") : "*5\r\n" + bulk("Q.DO");
    command += bulk(key) + bulk(id) + bulk(fields);
    if (!idempotent) command += bulk("body");
    return command;
}

void Clients::send_rpc(const std::string &customer, const std::string &method, const std::string &key,
                       int timeout_ms) {
    rpcs_.push_back({now_(), rpc_id(rpcs_.size(), 0), customer, method});
    ++open_rpcs_;
    asio::co_spawn(io_, run(rpcs_.size() - 1, key, timeout_ms, 0), asio::detached);
}

asio::awaitable<Clients::Socket> Clients::connection() {
    while (!idle_.empty()) {
        Socket socket = idle_.back();
        idle_.pop_back();
        char byte;
        const bool idle =
            ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
        if (idle || !uses_timeouts_) co_return socket;
        --connections_;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    ++connections_;
    const auto [refused] = co_await socket->async_connect(router_, as_tuple(use_awaitable));
    if (!refused) co_return socket;
    --connections_;
    co_return nullptr;
}

asio::awaitable<void> Clients::run(std::size_t index, std::string key, int timeout_ms, int attempt) {
    const Socket socket = co_await connection();
    if (!socket) {
        rpcs_[index].answer = "refused";
        --open_rpcs_;
        co_return;
    }
    if (attempt == 0) rpcs_[index].at = now_();
    rpcs_[index].rpc = rpc_id(index, attempt);
    const std::string command =
        rpc_command(rpcs_[index].customer, rpcs_[index].method, key, rpcs_[index].rpc, timeout_ms);
    SocketDeadline socket_deadline(socket->get_executor());
    if (uses_timeouts_) socket_deadline.set(*socket, std::chrono::milliseconds(timeout_ms));
    co_await asio::async_write(*socket, asio::buffer(command), as_tuple(use_awaitable));
    std::string received, buffer(4096, '\0');
    resp::Value value;
    resp::ScanResult scan = resp::ScanResult::incomplete;
    while (scan == resp::ScanResult::incomplete) {
        const auto [failed, size] =
            co_await socket->async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (failed) break;
        received.append(buffer, 0, size);
        scan = resp::scan(received, {65536, 16, 4, 1024}, value);
    }
    if (scan != resp::ScanResult::complete) {
        --open_rpcs_;
        --connections_;
        rpcs_[index].answer = socket_deadline.expired() ? "given up" : "lost";
        co_return;
    }
    socket_deadline.cancel();
    const std::string answer =
        value.kind == resp::Kind::bulk_string || value.kind == resp::Kind::array ? "served"
        : value.body.rfind("BUSY", 0) == 0 || value.raw.rfind("-BUSY", 0) == 0   ? "pushed back"
                                                                                 : "aborted";
    idle_.push_back(socket);
    if (answer == "pushed back" && attempt < retries_) {
        const int retry_after_ms = received.size() > 6 ? std::atoi(received.c_str() + 6) : 0;
        asio::steady_timer timer(io_);
        timer.expires_after(std::chrono::milliseconds(
            retry_after_ms > 0 ? retry_after_ms : 20 + static_cast<int>(index * 37 % 100)));
        co_await timer.async_wait(as_tuple(use_awaitable));
        co_return co_await run(index, std::move(key), timeout_ms, attempt + 1);
    }
    --open_rpcs_;
    RpcRecord &record = rpcs_[index];
    record.answer = answer;
    record.latency_ms = now_() - record.at;
    const std::size_t mark = received.find('@');
    if (record.answer == "served" && mark != std::string::npos)
        record.build = std::atoi(received.c_str() + mark + 1);
}

asio::awaitable<bool> Clients::ready() {
    asio::ip::tcp::socket socket(io_);
    const auto [refused] = co_await socket.async_connect(router_, as_tuple(use_awaitable));
    if (refused) co_return false;
    const std::string ping = "*1\r\n$4\r\nPING\r\n";
    co_await asio::async_write(socket, asio::buffer(ping), as_tuple(use_awaitable));
    char answer[16];
    const auto [failed, size] =
        co_await socket.async_read_some(asio::buffer(answer), as_tuple(use_awaitable));
    co_return !failed && std::string(answer, size).rfind("+PONG", 0) == 0;
}

} // namespace pineridge::standins
