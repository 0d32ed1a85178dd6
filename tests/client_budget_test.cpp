// Tests the bound on the sum of the clients' commands: a connection reads only what has been reserved for it.
//
// The failure (review/3): the sum was looked at once a second, and hundreds of incomplete commands that came
// at once exceeded the memory limit before that.
#include "client_side.hpp"

using namespace pineridge;
using namespace pineridge::test;

namespace {

constexpr std::size_t kMemory = 1024 * 1024; // for the commands of all clients
constexpr std::size_t kLongBody = 64 * 1024;

std::string long_command(const std::string &id) { return order_command(id, std::string(kLongBody, 'x')); }

// A router whose clients may use little memory, and a number of clients.
struct World {
    explicit World(std::size_t clients_count) {
        side.config.limits.request_memory_bytes = kMemory;
        side.listen();
        for (std::size_t i = 0; i < clients_count; ++i) clients.push_back(side.connect());
        sent.resize(clients_count);
    }
    // Sends as much of the text as the router takes, on each connection. Never ends a connection.
    void send_more(const std::string &text) {
        boost::system::error_code failed;
        for (std::size_t i = 0; i < clients.size(); ++i)
            if (sent[i] < text.size())
                sent[i] +=
                    clients[i].write_some(asio::buffer(text.data() + sent[i], text.size() - sent[i]), failed);
    }
    void run_for(Milliseconds duration, const std::string &text) {
        const auto end = std::chrono::steady_clock::now() + duration;
        side.fixture.run_until([&] {
            send_more(text);
            assert(memory().bytes_in_use() <= kMemory);
            return std::chrono::steady_clock::now() > end;
        });
    }
    // Sends one command on a new connection and returns its reply.
    std::string ask(const std::string &command, const std::string &until) {
        tcp::socket client = side.connect();
        std::size_t written = 0;
        std::string received;
        side.fixture.run_until([&] {
            std::array<char, 1024> buffer;
            boost::system::error_code failed;
            if (written < command.size())
                written += client.write_some(asio::buffer(command.data() + written, command.size() - written),
                                             failed);
            received.append(buffer.data(), client.read_some(asio::buffer(buffer), failed));
            return received.find(until) != std::string::npos ||
                   (failed && failed != asio::error::would_block);
        });
        return received;
    }
    const admission::MemoryBudget &memory() const { return side.server->request_memory(); }

    ClientSide side;
    std::vector<tcp::socket> clients;
    std::vector<std::size_t> sent;
};

// Incomplete commands cannot take more than the budget. Small commands and long ones of other clients are
// answered all the while, and the memory becomes available again.
void incomplete_commands_stay_within_the_budget() {
    World world(60);
    const std::string half = long_command("id-bad").substr(0, kLongBody);
    world.run_for(Milliseconds(150), half);
    assert(world.memory().bytes_in_use() > kMemory / 2);
    assert(world.ask(ask_command("id-one"), "id-one") == bulk("id-one"));
    assert(world.ask(long_command("id-two"), "id-two") == bulk("id-two"));
    assert(world.side.fixture.has_logged("client buffers over the memory limit, connections closed"));
    world.run_for(Milliseconds(100), half);
    assert(world.memory().peak_bytes() <= kMemory);
    world.clients.clear();
    world.side.fixture.run_until([&] { return world.memory().bytes_in_use() == 0; });
}

// Requests count with their bodies until they have been answered. Beyond the budget a long command is pushed
// back, small ones are still taken, and each request that was taken is answered.
void unanswered_requests_stay_within_the_budget() {
    World world(20);
    world.side.handler.answers_at_once = false;
    std::string commands;
    for (int i = 0; i < 8; ++i) commands += long_command("id-" + std::to_string(100 + i));
    world.run_for(Milliseconds(300), commands);
    const std::size_t taken = world.side.handler.unanswered.size();
    assert(taken > 5 && taken < 16);
    assert(world.ask(long_command("id-two"), "\r\n").rfind("-BUSY ", 0) == 0);
    world.side.handler.answers_at_once = true;
    assert(world.ask(ask_command("id-one"), "id-one") == bulk("id-one"));
    assert(world.memory().peak_bytes() <= kMemory);
    for (const clients::ReplyTarget &target : world.side.handler.unanswered)
        clients::Clients::answer(target, bulk("answer"));
    world.side.handler.unanswered.clear();
    world.side.handler.unanswered_requests.clear();
    std::size_t answered = 0;
    world.side.fixture.run_until([&] {
        for (tcp::socket &client : world.clients) {
            std::string buffer(4096, '\0');
            boost::system::error_code failed;
            buffer.resize(client.read_some(asio::buffer(buffer), failed));
            for (std::size_t at = 0; (at = buffer.find("answer", at)) != std::string::npos; ++at) ++answered;
        }
        return answered >= taken;
    });
    world.clients.clear();
    world.side.fixture.run_until([&] { return world.memory().bytes_in_use() == 0; });
}

// So many small requests that even those no longer fit are pushed back at once.
void requests_beyond_the_budget_are_pushed_back() {
    World world(10);
    world.side.handler.answers_at_once = false;
    std::string commands;
    for (int i = 0; i < 60; ++i) commands += ask_command("id-" + std::to_string(100 + i));
    world.run_for(Milliseconds(200), commands);
    const std::size_t taken = world.side.handler.unanswered.size();
    assert(taken > 100 && taken < 600 && world.memory().bytes_in_use() <= kMemory);
    assert(world.ask(ask_command("id-one"), "\r\n").rfind("-BUSY ", 0) == 0);
}

// An argument that is too long is an error as soon as its length has arrived, and the error names it.
void arguments_that_are_too_long_are_rejected_by_their_length() {
    World world(0);
    const std::string key = "*5\r\n" + bulk("Q.DO") + "$65536\r\n";
    assert(world.ask(key, "\r\n") == "-ERR key: too long\r\n");
    assert(world.ask("*5\r\n" + bulk("Q.DO") + bulk("key") + "$257\r\n", "\r\n") == "-ERR id: too long\r\n");
    const std::string before_body =
        "*5\r\n" + bulk("Q.DO") + bulk("key") + bulk("id-one") + bulk("c=order,d=9");
    assert(world.ask(before_body + "$65537\r\n", "\r\n") == "-ERR body: too long\r\n");
    assert(world.memory().peak_bytes() == 0);
}

} // namespace

int main() {
    incomplete_commands_stay_within_the_budget();
    unanswered_requests_stay_within_the_budget();
    requests_beyond_the_budget_are_pushed_back();
    arguments_that_are_too_long_are_rejected_by_their_length();
}
