// The client side of a router under test, with a scripted handler in place of the driver. Clients connect to
// it over loopback; all of it runs on one io_context and one thread.
#pragma once

#include "router_fixture.hpp"

namespace pineridge::test {

// Takes RPCs in place of the driver, and answers each with its id.
struct ScriptedHandler final : clients::RequestHandler {
    void handle_rpc(clients::ReplyTarget target, std::shared_ptr<const clients::OwnedRequest> rpc,
                    Milliseconds) override {
        const std::string id(rpc->request.id);
        received_ids.push_back(id);
        if (on_rpc) on_rpc(id);
        if (answers_at_once) {
            clients::Clients::answer(target, bulk(id));
            return;
        }
        unanswered.push_back(target);
        unanswered_requests.push_back(std::move(rpc));
    }
    void handle_client_left(const std::string &) override {}
    void handle_descriptors_exhausted() override {}
    void answer_first() { clients::Clients::answer(unanswered.front(), bulk(received_ids.front())); }

    bool has_received(const std::string &id) const {
        return std::find(received_ids.begin(), received_ids.end(), id) != received_ids.end();
    }

    std::function<void(const std::string &id)> on_rpc;
    std::vector<std::string> received_ids;
    bool answers_at_once = true; // else the RPCs are kept in `unanswered`
    std::vector<clients::ReplyTarget> unanswered;
    std::vector<std::shared_ptr<const clients::OwnedRequest>> unanswered_requests;
};

inline admission::DescriptorBudget descriptor_budget_for(const Limits &limits) {
    std::array<admission::DescriptorBudget::Allotment, admission::kPurposeCount> parts{};
    parts[static_cast<std::size_t>(admission::Purpose::clients)] = {limits.client_connections,
                                                                    limits.client_connections};
    return {limits.client_connections, parts};
}

// The client side of a router, with the handler of the test in place of the driver.
struct ClientSide {
    ClientSide() : config(read_config_file(fixture.config_path, fixture.environment)) {}

    void listen() {
        server.emplace(fixture.io, config, fixture.log, descriptor_budget, answer_memory, handler);
        server->listen();
    }
    tcp::socket connect() {
        tcp::socket client(fixture.io);
        client.connect({asio::ip::address_v4::loopback(), config.listen.port()});
        client.non_blocking(true);
        return client;
    }
    void shut_down() {
        server->shut_down([this] { has_shut_down = true; });
    }
    // Reads what the client is sent until `min_size` bytes have arrived or the connection has ended.
    std::string read_replies(tcp::socket &client, std::size_t min_size) {
        std::string received;
        std::string buffer(4096, '\0');
        bool ended = false;
        fixture.run_until([&] {
            boost::system::error_code failed;
            const std::size_t size = client.read_some(asio::buffer(buffer), failed);
            received.append(buffer, 0, size);
            ended = failed && failed != asio::error::would_block;
            return ended || received.size() >= min_size;
        });
        return received;
    }
    // Checks that the client receives exactly the replies to these RPCs.
    void expect_replies(tcp::socket &client, const std::vector<std::string> &ids) {
        std::string expected;
        for (const std::string &id : ids) expected += bulk(id);
        const std::string received = read_replies(client, expected.size());
        if (received != expected) std::cerr << "expected " << expected << " received " << received << "\n";
        assert(received == expected);
    }

    RouterFixture fixture;
    RouterConfig config;
    ScriptedHandler handler;
    admission::DescriptorBudget descriptor_budget = descriptor_budget_for(config.limits);
    // Made again with other limits where a test changes them before `listen`.
    std::shared_ptr<admission::MemoryBudget> answer_memory =
        clients::make_memory_budget(config.limits.answer_memory_bytes, config.limits);
    std::optional<clients::Clients> server;
    bool has_shut_down = false;
};

} // namespace pineridge::test
