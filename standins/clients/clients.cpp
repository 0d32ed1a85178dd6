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

// Each try has an id of its own.
std::string id_of(std::size_t at, int tries) {
    char id[24];
    std::snprintf(id, sizeof id, "%04x%012zx", tries, at + 1);
    return id;
}

} // namespace

std::string rpc_command(const std::string &customer, const std::string &method, const std::string &key,
                        const std::string &id, int patience_ms) {
    const bool safe = method.rfind("do", 0) != 0;
    const std::string names =
        "c=" + method + ",t=" + customer + ",d=" + std::to_string(std::max(1, patience_ms));
    std::string command = safe ? "*4\r\n" + bulk("Q.ASK") : "*5\r\n" + bulk("Q.DO");
    command += bulk(key) + bulk(id) + bulk(names);
    if (!safe) command += bulk("body");
    return command;
}

void Clients::ask(const std::string &customer, const std::string &method, const std::string &key,
                  int patience_ms) {
    asked_.push_back({now_(), id_of(asked_.size(), 0), customer, method});
    ++open_;
    asio::co_spawn(io_, run(asked_.size() - 1, key, patience_ms, 0), asio::detached);
}

asio::awaitable<Clients::Socket> Clients::connection() {
    while (!idle_.empty()) {
        Socket socket = idle_.back();
        idle_.pop_back();
        char byte;
        const bool quiet =
            ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
        if (quiet || !impatient_) co_return socket;
        --connections_;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    ++connections_;
    const auto [refused] = co_await socket->async_connect(router_, as_tuple(use_awaitable));
    if (!refused) co_return socket;
    --connections_;
    co_return nullptr;
}

asio::awaitable<void> Clients::run(std::size_t at, std::string key, int patience_ms, int tries) {
    const Socket socket = co_await connection();
    if (!socket) {
        asked_[at].answer = "refused";
        --open_;
        co_return;
    }
    if (tries == 0) asked_[at].at = now_();
    asked_[at].rpc = id_of(at, tries);
    const std::string command =
        rpc_command(asked_[at].customer, asked_[at].method, key, asked_[at].rpc, patience_ms);
    SocketDeadline socket_deadline(socket->get_executor());
    if (impatient_) socket_deadline.set(*socket, std::chrono::milliseconds(patience_ms));
    co_await asio::async_write(*socket, asio::buffer(command), as_tuple(use_awaitable));
    std::string heard, room(4096, '\0');
    resp::Value value;
    resp::ScanResult scan = resp::ScanResult::incomplete;
    while (scan == resp::ScanResult::incomplete) {
        const auto [failed, size] =
            co_await socket->async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) break;
        heard.append(room, 0, size);
        scan = resp::scan(heard, {65536, 16, 4, 1024}, value);
    }
    if (scan != resp::ScanResult::complete) {
        --open_, --connections_;
        asked_[at].answer = socket_deadline.expired() ? "given up" : "lost";
        co_return;
    }
    socket_deadline.cancel();
    const std::string answer =
        value.kind == resp::Kind::bulk_string || value.kind == resp::Kind::array ? "served"
        : value.body.rfind("BUSY", 0) == 0 || value.raw.rfind("-BUSY", 0) == 0   ? "pushed back"
                                                                                 : "aborted";
    idle_.push_back(socket);
    if (answer == "pushed back" && tries < retries_) {
        const int told = heard.size() > 6 ? std::atoi(heard.c_str() + 6) : 0;
        asio::steady_timer timer(io_);
        timer.expires_after(
            std::chrono::milliseconds(told > 0 ? told : 20 + static_cast<int>(at * 37 % 100)));
        co_await timer.async_wait(as_tuple(use_awaitable));
        co_return co_await run(at, std::move(key), patience_ms, tries + 1);
    }
    --open_;
    Asked &row = asked_[at];
    row.answer = answer;
    row.took = now_() - row.at;
    const std::size_t mark = heard.find('@');
    if (row.answer == "served" && mark != std::string::npos) row.build = std::atoi(heard.c_str() + mark + 1);
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
