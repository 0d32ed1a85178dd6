#include "standins/host/host.hpp"

#include "net/resp/resp.hpp"

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

Host::Host(asio::io_context &io, std::string host_id, std::string host_zone, int host_build, Now now,
           Picks &picks)
    : id(std::move(host_id)), zone(std::move(host_zone)), build(host_build), io_(io),
      acceptor_(io, {asio::ip::address_v4::loopback(), 0}), now_(std::move(now)), picks_(picks) {
    asio::co_spawn(io, accept(), asio::detached);
}

nlohmann::json Host::entry() const {
    return {{"id", id},           {"addr", address()}, {"zone", zone},  {"kind", "m"},
            {"cell", 0},          {"state", state},    {"weight", 1.0}, {"started_ms", started_ms},
            {"version_no", build}};
}

asio::awaitable<void> Host::accept() {
    for (;;) {
        auto [failed, socket] = co_await acceptor_.async_accept(as_tuple(use_awaitable));
        if (failed) co_return;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Host::serve(asio::ip::tcp::socket socket) {
    std::string received, buffer(16384, '\0');
    asio::steady_timer timer(io_);
    std::int64_t first_byte_at = 0;
    for (;;) {
        const auto [failed, size] =
            co_await socket.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
        if (failed) co_return;
        if (received.empty()) first_byte_at = now_();
        received.append(buffer, 0, size);
        resp::Value value;
        while (resp::scan(received, {65536, 16, 4, 1024}, value) == resp::ScanResult::complete) {
            std::vector<std::string_view> arguments;
            for (const resp::Value &item : value.items) arguments.push_back(item.body);
            const std::string reply = answer(arguments, first_byte_at);
            received.erase(0, value.raw.size());
            timer.expires_after(answer_delay);
            co_await timer.async_wait(as_tuple(use_awaitable));
            const auto [broken, written] =
                co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
            if (broken) co_return;
        }
    }
}

std::string Host::answer(const std::vector<std::string_view> &arguments, std::int64_t first_byte_at) {
    if (arguments.size() < 4) return "-SYNTAX\r\n";
    PickRecord pick{now_(), first_byte_at, id, std::string(arguments[2]), std::string(arguments[1]), "",
                    "",     build};
    std::string_view fields = arguments[3];
    while (!fields.empty()) {
        const std::string_view field = fields.substr(0, fields.find(','));
        fields.remove_prefix(std::min(fields.size(), field.size() + 1));
        if (field.substr(0, 2) == "c=") pick.method = field.substr(2);
        if (field.substr(0, 2) == "t=") pick.customer = field.substr(2);
    }
    std::string value = pick.rpc + "@" + std::to_string(build);
    if (value.size() < value_bytes) value.resize(value_bytes, '.');
    picks_.push_back(std::move(pick));
    if (answers_++ % 100 * 37 % 100 < failure_percent) return "-ERR failed\r\n";
    return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
}

} // namespace pineridge::standins
