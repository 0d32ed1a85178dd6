#include "standins/clients/clients.hpp"

#include "net/resp/resp.hpp"

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

namespace {

std::string bulk(const std::string &text) {
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

} // namespace

void Clients::ask(const std::string &customer, const std::string &method, const std::string &key,
                  int patience_ms) {
    char id[24];
    std::snprintf(id, sizeof id, "%016zx", asked_.size() + 1);
    const bool safe = method.rfind("do", 0) != 0;
    const std::string names = "c=" + method + ",t=" + customer + ",d=" + std::to_string(patience_ms);
    std::string command = safe ? "*4\r\n" + bulk("Q.ASK") : "*5\r\n" + bulk("Q.DO");
    command += bulk(key) + bulk(id) + bulk(names);
    if (!safe) command += bulk("body");
    asked_.push_back({now_(), id, customer, method});
    ++open_;
    asio::co_spawn(io_, run(asked_.size() - 1, std::move(command)), asio::detached);
}

asio::awaitable<void> Clients::run(std::size_t at, std::string command) {
    Socket socket;
    if (!idle_.empty()) {
        socket = idle_.back();
        idle_.pop_back();
    } else {
        socket = std::make_shared<asio::ip::tcp::socket>(io_);
        const auto [refused] = co_await socket->async_connect(router_, as_tuple(use_awaitable));
        if (refused) {
            asked_[at].answer = "refused";
            --open_;
            co_return;
        }
    }
    asked_[at].at = now_();
    co_await asio::async_write(*socket, asio::buffer(command), as_tuple(use_awaitable));
    std::string heard, room(4096, '\0');
    resp::Value value;
    resp::Scan scan = resp::Scan::more;
    while (scan == resp::Scan::more) {
        const auto [failed, size] =
            co_await socket->async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) break;
        heard.append(room, 0, size);
        scan = resp::scan(heard, {65536, 16, 4, 1024}, value);
    }
    --open_;
    Asked &row = asked_[at];
    if (scan != resp::Scan::whole) {
        row.answer = "lost";
        co_return;
    }
    row.answer = value.kind == resp::Kind::bulk || value.kind == resp::Kind::array      ? "served"
                 : value.body.rfind("BUSY", 0) == 0 || value.raw.rfind("-BUSY", 0) == 0 ? "pushed back"
                                                                                        : "aborted";
    const std::size_t mark = heard.find('@');
    if (row.answer == "served" && mark != std::string::npos) row.build = std::atoi(heard.c_str() + mark + 1);
    idle_.push_back(socket);
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
