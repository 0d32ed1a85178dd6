#include "standins/host/host.hpp"

#include "net/resp/resp.hpp"

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;

Host::Host(asio::io_context &io, std::string its_id, std::string its_zone, int its_build, Now now,
           Picks &picks)
    : id(std::move(its_id)), zone(std::move(its_zone)), build(its_build), io_(io),
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
    std::string heard, room(16384, '\0');
    asio::steady_timer timer(io_);
    std::int64_t begun = 0;
    for (;;) {
        const auto [failed, size] =
            co_await socket.async_read_some(asio::buffer(room), as_tuple(use_awaitable));
        if (failed) co_return;
        if (heard.empty()) begun = now_();
        heard.append(room, 0, size);
        resp::Value value;
        while (resp::scan(heard, {65536, 16, 4, 1024}, value) == resp::ScanResult::complete) {
            std::vector<std::string_view> words;
            for (const resp::Value &item : value.items) words.push_back(item.body);
            const std::string reply = answer(words, begun);
            heard.erase(0, value.raw.size());
            timer.expires_after(takes);
            co_await timer.async_wait(as_tuple(use_awaitable));
            const auto [broken, written] =
                co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
            if (broken) co_return;
        }
    }
}

std::string Host::answer(const std::vector<std::string_view> &words, std::int64_t begun) {
    if (words.size() < 4) return "-SYNTAX\r\n";
    PickRow row{now_(), begun, id, std::string(words[2]), std::string(words[1]), "", "", build};
    std::string_view names = words[3];
    while (!names.empty()) {
        const std::string_view one = names.substr(0, names.find(','));
        names.remove_prefix(std::min(names.size(), one.size() + 1));
        if (one.substr(0, 2) == "c=") row.method = one.substr(2);
        if (one.substr(0, 2) == "t=") row.customer = one.substr(2);
    }
    const std::string value = row.rpc + "@" + std::to_string(build);
    picks_.push_back(std::move(row));
    if (count_++ % 100 * 37 % 100 < fails_of_100) return "-ERR failed\r\n";
    return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$-1\r\n";
}

} // namespace pineridge::standins
