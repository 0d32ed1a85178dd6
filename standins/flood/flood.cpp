#include "standins/flood/flood.hpp"

#include "standins/clients/clients.hpp"

#include <algorithm>

namespace pineridge::standins {

using asio::as_tuple;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

std::string command(std::uint64_t number) {
    char id[20];
    std::snprintf(id, sizeof id, "f%015llx", static_cast<unsigned long long>(number));
    return rpc_command("acme", "lookup", "k1", id, 500);
}

} // namespace

Flood::Flood(asio::io_context &io, tcp::endpoint router, Plan plan)
    : state_(std::make_shared<State>(State{io, router, std::move(plan)})) {}

void Flood::begin() {
    for (int i = 0; i < state_->plan.lanes; ++i) asio::co_spawn(state_->io, lane(state_), asio::detached);
}

void Flood::stop() {
    state_->over = true;
    boost::system::error_code ignored;
    for (const auto &socket : state_->held)
        if (socket) socket->close(ignored);
    state_->held.clear();
}

asio::awaitable<void> Flood::lane(std::shared_ptr<State> state) {
    const Plan &plan = state->plan;
    asio::steady_timer rest(state->io);
    while (!state->over) {
        if (plan.pause.count() > 0) {
            rest.expires_after(plan.pause);
            co_await rest.async_wait(as_tuple(use_awaitable));
            if (state->over) co_return;
        }
        auto socket = std::make_shared<tcp::socket>(state->io, tcp::v4());
        boost::system::error_code failed;
        const std::uint32_t from =
            plan.first + state->next++ % static_cast<std::uint32_t>(std::max(1, plan.addresses));
        socket->bind({asio::ip::address_v4(from), 0}, failed);
        if (!failed)
            std::tie(failed) = co_await socket->async_connect(state->router, as_tuple(use_awaitable));
        if (state->over) co_return;
        if (failed) {
            ++state->seen.failed;
            co_await asio::post(state->io, use_awaitable);
            continue;
        }
        ++state->seen.opened;
        if (plan.most > 0 && state->held.size() >= static_cast<std::size_t>(plan.most)) {
            auto &oldest = state->held[state->oldest++ % state->held.size()];
            if (oldest->is_open()) oldest->close(failed);
            oldest = socket;
        } else {
            state->held.push_back(socket);
        }
        asio::co_spawn(state->io, behave(state, socket), asio::detached);
        if (plan.manner == Manner::drips || plan.manner == Manner::never_reads ||
            plan.manner == Manner::half_closes || plan.manner == Manner::swells)
            if (state->held.size() >= static_cast<std::size_t>(plan.most)) co_return;
    }
}

asio::awaitable<void> Flood::behave(std::shared_ptr<State> state, std::shared_ptr<tcp::socket> on) {
    const std::string ask = command(++state->asked);
    const Manner manner = state->plan.manner;
    std::string first = state->plan.front + (manner == Manner::opens || manner == Manner::drips ? "*" : ask);
    if (manner == Manner::swells)
        first = "*5\r\n$5\r\nQ.ASK\r\n$65536\r\n" + std::string(65536, 'k') + "\r\n$65536\r\n" +
                std::string(65536, 'i') + "\r\n$65536\r\n" + std::string(24000, 'n');
    boost::system::error_code failed;
    std::size_t size = 0;
    std::tie(failed, size) = co_await asio::async_write(*on, asio::buffer(first), as_tuple(use_awaitable));
    if (manner == Manner::half_closes && !failed) on->shutdown(tcp::socket::shutdown_send, failed);
    asio::steady_timer timer(state->io);
    for (std::size_t at = 1; manner == Manner::drips && !failed && at < ask.size() && !state->over; ++at) {
        timer.expires_after(state->plan.drip);
        co_await timer.async_wait(as_tuple(use_awaitable));
        std::tie(failed, size) =
            co_await asio::async_write(*on, asio::buffer(ask.substr(at, 1)), as_tuple(use_awaitable));
    }
    while (manner == Manner::never_reads && !failed && !state->over) {
        std::string many;
        for (int i = 0; i < 32; ++i) many += command(++state->asked);
        std::tie(failed, size) = co_await asio::async_write(*on, asio::buffer(many), as_tuple(use_awaitable));
    }
    std::string heard(256, '\0');
    for (bool answered = false; !failed;) {
        std::tie(failed, size) = co_await on->async_read_some(asio::buffer(heard), as_tuple(use_awaitable));
        if (failed || std::exchange(answered, true)) continue;
        if (heard.rfind("-BUSY", 0) == 0) {
            ++state->seen.pushed_back;
            const int back = size > 6 ? std::atoi(heard.c_str() + 6) : 0;
            state->seen.least_back = std::min(state->seen.least_back, back);
            state->seen.most_back = std::max(state->seen.most_back, back);
        } else {
            ++(heard[0] == '*' || heard[0] == '$' ? state->seen.served : state->seen.errors);
        }
    }
    if (failed != asio::error::operation_aborted && !state->over) ++state->seen.ended;
    if (on->is_open()) on->close(failed);
}

} // namespace pineridge::standins
