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

void Flood::start() {
    for (int i = 0; i < state_->plan.connectors; ++i)
        asio::co_spawn(state_->io, connect_repeatedly(state_), asio::detached);
}

void Flood::stop() {
    state_->stopped = true;
    boost::system::error_code ignored;
    for (const auto &socket : state_->connections)
        if (socket) socket->close(ignored);
    state_->connections.clear();
}

asio::awaitable<void> Flood::connect_repeatedly(std::shared_ptr<State> state) {
    const Plan &plan = state->plan;
    asio::steady_timer pause_timer(state->io);
    while (!state->stopped) {
        if (plan.pause.count() > 0) {
            pause_timer.expires_after(plan.pause);
            co_await pause_timer.async_wait(as_tuple(use_awaitable));
            if (state->stopped) co_return;
        }
        auto socket = std::make_shared<tcp::socket>(state->io, tcp::v4());
        boost::system::error_code failed;
        const std::uint32_t source_address =
            plan.first_address +
            state->next_address++ % static_cast<std::uint32_t>(std::max(1, plan.addresses));
        socket->bind({asio::ip::address_v4(source_address), 0}, failed);
        if (!failed)
            std::tie(failed) = co_await socket->async_connect(state->router, as_tuple(use_awaitable));
        if (state->stopped) co_return;
        if (failed) {
            ++state->results.failed;
            co_await asio::post(state->io, use_awaitable);
            continue;
        }
        ++state->results.opened;
        if (plan.max_connections > 0 &&
            state->connections.size() >= static_cast<std::size_t>(plan.max_connections)) {
            auto &oldest = state->connections[state->oldest++ % state->connections.size()];
            if (oldest->is_open()) oldest->close(failed);
            oldest = socket;
        } else {
            state->connections.push_back(socket);
        }
        asio::co_spawn(state->io, run_connection(state, socket), asio::detached);
        if (plan.behavior == Behavior::send_slowly || plan.behavior == Behavior::never_read ||
            plan.behavior == Behavior::half_close || plan.behavior == Behavior::send_huge_command)
            if (state->connections.size() >= static_cast<std::size_t>(plan.max_connections)) co_return;
    }
}

asio::awaitable<void> Flood::run_connection(std::shared_ptr<State> state,
                                            std::shared_ptr<tcp::socket> socket) {
    const std::string rpc = command(++state->rpcs_sent);
    const Behavior behavior = state->plan.behavior;
    std::string first =
        state->plan.preamble +
        (behavior == Behavior::stall_after_first_byte || behavior == Behavior::send_slowly ? "*" : rpc);
    if (behavior == Behavior::send_huge_command)
        first = "*5\r\n$4\r\nQ.DO\r\n$3\r\nkey\r\n$3\r\nbad\r\n$23\r\nc=do-book,t=acme,d=3000\r\n$65536\r\n" +
                std::string(65000, 'n');
    boost::system::error_code failed;
    std::size_t size = 0;
    std::tie(failed, size) =
        co_await asio::async_write(*socket, asio::buffer(first), as_tuple(use_awaitable));
    if (behavior == Behavior::half_close && !failed) socket->shutdown(tcp::socket::shutdown_send, failed);
    asio::steady_timer timer(state->io);
    for (std::size_t at = 1;
         behavior == Behavior::send_slowly && !failed && at < rpc.size() && !state->stopped; ++at) {
        timer.expires_after(state->plan.byte_interval);
        co_await timer.async_wait(as_tuple(use_awaitable));
        std::tie(failed, size) =
            co_await asio::async_write(*socket, asio::buffer(rpc.substr(at, 1)), as_tuple(use_awaitable));
    }
    while (behavior == Behavior::never_read && !failed && !state->stopped) {
        std::string batch;
        for (int i = 0; i < 32; ++i) batch += command(++state->rpcs_sent);
        std::tie(failed, size) =
            co_await asio::async_write(*socket, asio::buffer(batch), as_tuple(use_awaitable));
    }
    std::string received(256, '\0');
    for (bool answered = false; !failed;) {
        std::tie(failed, size) =
            co_await socket->async_read_some(asio::buffer(received), as_tuple(use_awaitable));
        if (failed || std::exchange(answered, true)) continue;
        if (received.rfind("-BUSY", 0) == 0) {
            ++state->results.pushed_back;
            const int retry_ms = size > 6 ? std::atoi(received.c_str() + 6) : 0;
            state->results.min_retry_ms = std::min(state->results.min_retry_ms, retry_ms);
            state->results.max_retry_ms = std::max(state->results.max_retry_ms, retry_ms);
        } else {
            ++(received[0] == '*' || received[0] == '$' ? state->results.served : state->results.errors);
        }
    }
    if (failed != asio::error::operation_aborted && !state->stopped) ++state->results.ended;
    if (socket->is_open()) socket->close(failed);
}

} // namespace pineridge::standins
