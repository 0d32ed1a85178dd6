// Tests that ending a connection, an RPC, a host or the process loses no reply and sends no withdrawn
// command. Real connections on loopback; the order of events that used to fail is forced.
#include "router_fixture.hpp"

#include <sys/resource.h>

using namespace pineridge;
using namespace pineridge::test;

namespace {

// A host that does not accept connections at first: its listen queue is full until the test opens it, so that
// connection attempts hang.
struct BlockedHost {
    explicit BlockedHost(asio::io_context &io)
        : io(io), fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in endpoint{};
        endpoint.sin_family = AF_INET;
        endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof endpoint;
        assert(::bind(fd, reinterpret_cast<sockaddr *>(&endpoint), size) == 0 && ::listen(fd, 0) == 0);
        assert(::getsockname(fd, reinterpret_cast<sockaddr *>(&endpoint), &size) == 0);
        port = ntohs(endpoint.sin_port);
        filler.connect({asio::ip::address_v4::loopback(), port});
    }
    ~BlockedHost() { ::close(fd); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    // Returns the number of connection attempts to this host that are in progress. The kernel is asked at
    // most once in kTableInterval: its table holds each connection of the machine that has ended within a
    // minute, and the event loop stands still while it is read.
    int pending_connects() {
        const auto now = std::chrono::steady_clock::now();
        if (now >= table_read_at + kTableInterval) {
            pending = count_pending_connects();
            table_read_at = now;
        }
        return pending;
    }
    int count_pending_connects() const { // those in state SYN_SENT
        std::ifstream table("/proc/net/tcp");
        char pattern[32];
        std::snprintf(pattern, sizeof pattern, "0100007F:%04X 02", port);
        int count = 0;
        for (std::string line; std::getline(table, line);) count += line.find(pattern) != std::string::npos;
        return count;
    }
    // From now on all connections are accepted and commands are answered as a host does.
    void open() {
        acceptor.emplace(io, tcp::v4(), fd);
        fd = ::dup(fd);
        ::listen(fd, 64);
        filler.close();
        asio::co_spawn(io, accept(), asio::detached);
    }
    asio::awaitable<void> accept() {
        for (;;) {
            auto [failed, socket] = co_await acceptor->async_accept(as_tuple(use_awaitable));
            if (failed) co_return;
            ++accepted;
            asio::co_spawn(io, serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket) {
        std::string received;
        std::string buffer(4096, '\0');
        for (;;) {
            const auto [failed, size] =
                co_await socket.async_read_some(asio::buffer(buffer), as_tuple(use_awaitable));
            if (failed) break;
            sent.append(buffer, 0, size);
            received.append(buffer, 0, size);
            const std::string reply = host_answer(received);
            if (reply.empty()) continue;
            received.clear();
            co_await asio::async_write(socket, asio::buffer(reply), as_tuple(use_awaitable));
        }
        ++ended;
    }
    bool was_sent(const std::string &part) const { return sent.find(part) != std::string::npos; }

    asio::io_context &io;
    int fd;
    static constexpr std::chrono::milliseconds kTableInterval{200};
    std::uint16_t port = 0;
    int pending = 0; // as of table_read_at
    std::chrono::steady_clock::time_point table_read_at{};
    tcp::socket filler{io};
    std::optional<tcp::acceptor> acceptor;
    std::string sent;
    int accepted = 0; // connections, with the one that filled the queue
    int ended = 0;
};

// Returns once the router has answered a PING: by then it has handled what had reached it before.
void ping(RouterFixture &fixture) {
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer("*1\r\n" + bulk("PING")));
    fixture.run_until([&] { return client.available() >= 7; });
}

std::string read_at_least(RouterFixture &fixture, tcp::socket &client, std::size_t min_size) {
    std::string received(16384, '\0');
    std::size_t size = 0;
    client.non_blocking(true);
    fixture.run_until([&] {
        boost::system::error_code ignored;
        size += client.read_some(asio::buffer(&received[size], received.size() - size), ignored);
        return size >= min_size;
    });
    return received.substr(0, size);
}

// Configures a router of a large fleet: it opens no connections to hosts before they are needed, and may not
// cancel a command that it has sent.
void configure_large_fleet(RouterFixture &fixture) {
    fixture.config_json["settings"]["instances"] = 300;
    fixture.config_json["settings"]["permissions"]["cancel"] = false;
    fixture.config_json["settings"]["permissions"]["connectTimeout"] = 5;
}

// The client leaves while the connection to the host is being established: its command is not sent
// afterwards.
void a_pick_that_waits_for_a_connection_is_not_sent_after_its_client_left() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
    fixture.leave_watches_unanswered();
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    fixture.run_until([&] { return host.pending_connects() > 0; });
    client.close();
    ping(fixture); // the close has been noticed by now
    tcp::socket later_client = connect_client(fixture);
    asio::write(later_client, asio::buffer(ask_command("id-two")));
    ping(fixture);
    host.open();
    assert(read_at_least(fixture, later_client, bulk("id-two").size()) == bulk("id-two"));
    assert(!host.was_sent("id-one"));
}

// A pick whose RPC another host has answered meanwhile is not sent once the connection is established.
void a_pick_that_waits_for_a_connection_is_not_sent_after_the_reply() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["settings"]["permissions"]["secondCopies"] = true;
    fixture.config_json["known"]["servers"] =
        json::array({host_entry("s", host.address()), host_entry("t", fixture.host.address())});
    fixture.leave_watches_unanswered();
    fixture.host.answer = host_answer;
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(connect_client(fixture));
        asio::write(clients.back(), asio::buffer(ask_command("id-f" + std::to_string(i) + "a")));
    }
    for (tcp::socket &client : clients) read_at_least(fixture, client, bulk("id-f0a").size());
    assert(host.pending_connects() > 0); // some were picked for the blocked host first
    host.open();
    fixture.run_until([&] { return host.pending_connects() == 0; });
    tcp::socket late = connect_client(fixture);
    for (int i = 0; !host.was_sent("id-l"); ++i) {
        const std::string id = std::string("id-l") + char('a' + i / 26 % 26) + char('a' + i % 26);
        asio::write(late, asio::buffer(ask_command(id)));
        read_at_least(fixture, late, bulk(id).size());
    }
    assert(!host.was_sent("id-f"));
}

json list_with_state(RouterFixture &fixture, const char *state, int version) {
    json list = fixture.full_list(version);
    list["servers"][0]["state"] = state;
    return list;
}

// Lists are pushed to an agent beside the router: the router uses its list before the first client, however
// many routers there are.
void the_list_of_a_local_agent_is_used_before_the_first_client() {
    RouterFixture fixture;
    fixture.config_json["settings"]["instances"] = 300;
    fixture.config_json["settings"]["membershipMode"] = "push";
    fixture.discovery.answer = [](const std::string &) { return ""; };
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    fixture.run_until([&] { return fixture.discovery.was_sent("/v1/endpoints"); });
    assert(!fixture.has_logged("serving"));
    fixture.discovery.send_to_all(http_response(list_with_state(fixture, "terminating", 7).dump()));
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    fixture.run_until([&] { return client.available() > 0; });
    assert(fixture.host.accepted == 0);
    // A failed call to the agent is retried at once, without the delays that spread a fleet's calls.
    const int calls_before = fixture.discovery.accepted;
    const auto started = std::chrono::steady_clock::now();
    fixture.discovery.answer = [&](const std::string &) {
        return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    };
    fixture.discovery.send_to_all("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    fixture.run_until([&] { return fixture.discovery.accepted >= calls_before + 4; });
    assert(std::chrono::steady_clock::now() - started < std::chrono::seconds(2));
}

// Each watch gets a hold time of its own, so that watches opened together do not end together.
void watches_have_different_hold_times() {
    RouterFixture fixture;
    std::set<int> hold_times_ms;
    int version = 7;
    fixture.discovery.answer = [&](const std::string &received) {
        const std::size_t hold_at = received.find("hold_ms=");
        if (is_immediate_query(received)) return http_response(fixture.full_list(version).dump());
        const int hold_ms = std::stoi(received.substr(hold_at + 8));
        assert(hold_ms >= 10000 && hold_ms <= 20000);
        hold_times_ms.insert(hold_ms);
        return hold_times_ms.size() < 20 ? http_response(fixture.full_list(++version).dump()) : "";
    };
    fixture.start_service();
    fixture.run_until([&] { return hold_times_ms.size() == 20; });
    assert(*hold_times_ms.rbegin() - *hold_times_ms.begin() > 3000);
}

// A silent watch is opened again without success. No RPC is sent from the time at which the missed changes
// count as delivered until a list has arrived. Meanwhile the call is retried without the delays that spread a
// fleet's calls.
void no_rpc_is_sent_while_the_list_is_overdue() {
    RouterFixture fixture;
    fixture.config_json["settings"]["instances"] = 300;
    fixture.write_config(fixture.config_json.dump());
    fixture.config = read_config_file(fixture.config_path, fixture.environment);
    fixture.config.limits.list_poll_wait = Milliseconds(200);
    fixture.config.limits.list_poll_grace = Milliseconds(100);
    fixture.config.limits.list_watch_overrun = Milliseconds(600);
    fixture.config.limits.list_lease = Milliseconds(600);
    fixture.leave_watches_unanswered();
    fixture.host.answer = host_answer;
    fixture.service.emplace(fixture.io, fixture.config_path, fixture.environment, fixture.config, fixture.log,
                            [] {});
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    assert(read_at_least(fixture, client, bulk("id-one").size()) == bulk("id-one"));
    fixture.run_until([&] { return fixture.has_logged("silent watch"); });
    fixture.discovery.answer = [](const std::string &) {
        return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
    };
    fixture.run_until([&] { return fixture.discovery.accepted >= 4 && fixture.has_logged("overdue"); });
    asio::write(client, asio::buffer(ask_command("id-two")));
    assert(read_at_least(fixture, client, 5).find("-BUSY") == 0);
    assert(!fixture.host.was_sent("id-two"));
    fixture.discovery.answer = [&](const std::string &received) {
        return is_immediate_query(received) ? http_response(fixture.full_list(7).dump()) : "";
    };
    const std::size_t log_size = fixture.log_output.str().size();
    fixture.run_until(
        [&] { return fixture.log_output.str().find("list: entries", log_size) != std::string::npos; });
    asio::write(client, asio::buffer(ask_command("id-tri")));
    assert(read_at_least(fixture, client, bulk("id-tri").size()) == bulk("id-tri"));
}

// Discovery moves and its new address never answers: changes that it would report count as delivered all the
// same.
void the_list_is_overdue_when_a_new_discovery_address_does_not_answer() {
    RouterFixture fixture;
    fixture.config = read_config_file(fixture.config_path, fixture.environment);
    fixture.config.limits.list_move_delay = Milliseconds(300);
    fixture.host.answer = host_answer;
    fixture.service.emplace(fixture.io, fixture.config_path, fixture.environment, fixture.config, fixture.log,
                            [] {});
    fixture.run_until([&] { return fixture.discovery.was_sent("from=7"); });
    ScriptedPeer list(fixture.io);
    fixture.config_json["discovery"] = list.address();
    fixture.write_config(fixture.config_json.dump());
    std::raise(SIGHUP);
    fixture.run_until([&] { return fixture.has_logged("overdue"); });
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    assert(read_at_least(fixture, client, 5).find("-BUSY") == 0);
    assert(!fixture.host.was_sent("id-one"));
}

// Where discovery answers each watch at once without changes, the router pauses between watches.
void discovery_without_changes_is_asked_with_pauses() {
    RouterFixture fixture;
    int calls = 0;
    std::chrono::steady_clock::time_point first_call;
    fixture.discovery.answer = [&](const std::string &received) {
        if (received.find("from=7") == std::string::npos) return http_response(fixture.full_list(7).dump());
        if (calls++ == 0) first_call = std::chrono::steady_clock::now();
        return http_response(R"({"version":7,"full":false,"servers":[]})");
    };
    fixture.start_service();
    fixture.run_until([&] { return calls == 6; });
    assert(std::chrono::steady_clock::now() - first_call >= 5 * fixture.config.limits.list_retry_pause / 2);
}

// --- shutdown ---

std::string order(const std::string &id) { return order_command(id, "body", "20000"); }

// At SIGTERM the timeouts of RPCs in progress are longer than the process may live: they are answered before
// it may be killed, and pushed back where a retry is harmless.
void rpcs_with_a_longer_timeout_than_the_shutdown_are_answered() {
    RouterFixture fixture;
    for (json &method : fixture.config_json["settings"]["classes"]) method["deadline"] = 0.2;
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket idempotent = connect_client(fixture);
    tcp::socket non_idempotent = connect_client(fixture);
    asio::write(idempotent, asio::buffer(ask_command("id-one")));
    asio::write(non_idempotent, asio::buffer(order("id-two")));
    fixture.run_until([&] { return fixture.host.was_sent("id-one") && fixture.host.was_sent("id-two"); });
    std::raise(SIGTERM);
    assert(read_at_least(fixture, idempotent, 7) == "-BUSY\r\n");
    assert(read_at_least(fixture, non_idempotent, 14) == "-ERR aborted\r\n");
    fixture.run_until([&] { return fixture.has_shut_down; });
}

// At SIGTERM a command is incomplete: the rest is read, the command is answered, and only then the connection
// is closed.
void a_command_incomplete_at_shutdown_is_answered() {
    RouterFixture fixture;
    fixture.host.answer = host_answer;
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-zro")));
    assert(read_at_least(fixture, client, bulk("id-zro").size()) == bulk("id-zro"));
    const std::string command = ask_command("id-one");
    asio::write(client, asio::buffer(command.substr(0, 20)));
    ping(fixture);
    std::raise(SIGTERM);
    fixture.run_until([&] { return fixture.has_logged("leaving"); });
    ping(fixture);
    asio::write(client, asio::buffer(command.substr(20)));
    assert(read_at_least(fixture, client, bulk("id-one").size()) == bulk("id-one"));
    fixture.run_until([&] { return is_closed(client) && fixture.has_shut_down; });
}

// At SIGTERM no descriptor is free and a client waits in the listen queue: it is accepted once one is free,
// and pushed back.
void a_client_in_the_listen_queue_at_shutdown_is_answered() {
    RouterFixture fixture;
    configure_large_fleet(fixture); // no idle connections to hosts, whose descriptors could be released
    for (json &method : fixture.config_json["settings"]["classes"]) method["deadline"] = 0.2;
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket first = connect_client(fixture);
    tcp::socket queued(fixture.io);
    asio::write(first, asio::buffer(order("id-one")));
    fixture.run_until([&] { return fixture.host.was_sent("id-one"); });
    queued.open(tcp::v4());
    rlimit original{};
    ::getrlimit(RLIMIT_NOFILE, &original);
    const rlimit few_descriptors{64, original.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &few_descriptors);
    std::vector<int> used_descriptors;
    for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) used_descriptors.push_back(fd);
    queued.connect({asio::ip::address_v4::loopback(), fixture.config.listen.port()});
    asio::write(queued, asio::buffer(ask_command("id-two")));
    fixture.run_until([&] { return fixture.has_logged("accept: Too many open files"); });
    std::raise(SIGTERM);
    assert(read_at_least(fixture, first, 14) == "-ERR aborted\r\n");
    assert(read_at_least(fixture, queued, 7) == "-BUSY\r\n");
    fixture.run_until([&] { return fixture.has_shut_down; });
    for (const int fd : used_descriptors) ::close(fd);
    ::setrlimit(RLIMIT_NOFILE, &original);
}

// --- clients ---

// A client with so many commands in progress that it is not read from leaves: none of them is sent to a host.
void the_close_of_a_client_that_is_not_read_from_is_noticed() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["settings"]["permissions"]["connectTimeout"] = 60;
    fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
    fixture.leave_watches_unanswered();
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    std::string commands;
    for (std::size_t i = 0; i < fixture.config.limits.max_pipelined; ++i)
        commands += ask_command("id-f" + std::to_string(i / 10) + std::to_string(i % 10), "60000");
    asio::write(client, asio::buffer(commands));
    fixture.run_until([&] { return host.pending_connects() > 0; });
    ping(fixture);
    client.close();
    fixture.run_until([&] { return fixture.has_logged("RPCs 0"); });
    tcp::socket later_client = connect_client(fixture);
    asio::write(later_client, asio::buffer(ask_command("id-two")));
    ping(fixture);
    host.open();
    assert(read_at_least(fixture, later_client, bulk("id-two").size()) == bulk("id-two"));
    assert(!host.was_sent("id-f"));
}

// Malformed input follows a command whose reply the client reads slowly: it receives the whole reply, then an
// error, then the end of the connection, and no reset.
void replies_before_malformed_input_are_delivered() {
    RouterFixture fixture;
    const std::string value(12000, 'v');
    fixture.host.answer = [&](const std::string &) { return "*3\r\n" + bulk(value) + "$-1\r\n$-1\r\n"; };
    fixture.start_service();
    fixture.run_until([&] { return fixture.has_logged("serving"); });
    tcp::socket client(fixture.io);
    client.open(tcp::v4());
    client.set_option(asio::socket_base::receive_buffer_size(2048));
    client.connect({asio::ip::address_v4::loopback(), fixture.config.listen.port()});
    asio::write(client, asio::buffer(ask_command("id-one") + "noise\r\n" + std::string(60000, 'x')));
    fixture.run_until([&] { return fixture.has_logged("clients 0, "); });
    client.non_blocking(false);
    std::string received;
    boost::system::error_code end;
    std::array<char, 4096> buffer;
    while (!end) received.append(buffer.data(), client.read_some(asio::buffer(buffer), end));
    assert(end == asio::error::eof);
    assert(received == bulk(value) + "-ERR Protocol error\r\n");
}

// --- hosts ---

// A tokened RPC that may have run is sent again only within its window, and not when the connection for it is
// established later.
void a_tokened_rpc_is_not_sent_after_its_window() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["settings"]["permissions"]["cancel"] = true;
    fixture.config_json["settings"]["permissions"]["connectTimeout"] = 15;
    fixture.config_json["settings"]["classes"][1]["repeat"] = "idempotency_key";
    fixture.config_json["settings"]["classes"][1]["window"] = 5;
    fixture.leave_watches_unanswered();
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    fixture.run_until([&] { return fixture.discovery.was_sent("/v1/endpoints"); });
    asio::write(client, asio::buffer(order("id-one")));
    fixture.run_until([&] { return fixture.host.was_sent("id-one"); });
    json list = fixture.full_list(8);
    list["servers"].push_back(host_entry("t", host.address()));
    fixture.discovery.send_to_all(http_response(list.dump()));
    const auto list_sent_at = std::chrono::steady_clock::now();
    fixture.run_until([&] { return host.pending_connects() > 0; });
    fixture.run_until(
        [&] { return std::chrono::steady_clock::now() - list_sent_at > std::chrono::seconds(5); });
    host.open();
    fixture.run_until([&] { return client.available() > 0; });
    assert(!host.was_sent("id-one"));
}

std::string chunk(const std::string &line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
}

json rollout_status(int build, const char *phase, double cap) {
    return {{"build", build}, {"stage", 1}, {"phase", phase}, {"cap", cap}, {"age_ms", 1}};
}

// The cap of a build is lowered while a pick for it waits for a connection.
void a_waiting_pick_is_not_sent_to_a_build_that_is_rolled_back() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
    fixture.config_json["deployer"]["news"] = rollout_status(1, "Progressing", 1);
    fixture.leave_watches_unanswered();
    fixture.platform.answer = [](const std::string &) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{}");
    };
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    fixture.run_until([&] { return host.pending_connects() > 0 && fixture.platform.was_sent("/stream"); });
    const json row{{"type", "stage"}, {"object", rollout_status(1, "Aborting", 0)}};
    fixture.platform.send_to_all(chunk(row.dump()));
    assert(read_at_least(fixture, client, 5).find("-BUSY") == 0); // no build may receive it
    host.open();
    fixture.run_until([&] { return host.pending_connects() == 0; });
    ping(fixture);
    assert(!host.was_sent("id-one"));
}

// A newer build answers an RPC for a key while a pick of another RPC for the key waits for a connection to an
// earlier build.
void a_waiting_pick_does_not_move_a_key_to_an_earlier_build() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["settings"]["familyInfo"]["keysStay"] = true;
    fixture.config_json["settings"]["familyInfo"]["swap"] = "parallel";
    fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
    fixture.config_json["deployer"]["news"] = rollout_status(2, "Progressing", 1);
    fixture.leave_watches_unanswered();
    fixture.host.answer = host_answer;
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    tcp::socket later_client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    fixture.run_until(
        [&] { return host.pending_connects() > 0 && fixture.discovery.was_sent("/v1/endpoints"); });
    json list = fixture.full_list(8);
    json newer = host_entry("t", fixture.host.address());
    newer["version_no"] = 2;
    list["servers"] = json::array({host_entry("s", host.address()), newer});
    fixture.discovery.send_to_all(http_response(list.dump()));
    fixture.run_until([&] { return fixture.has_logged("list: entries 2"); });
    asio::write(later_client, asio::buffer(ask_command("id-two")));
    assert(read_at_least(fixture, later_client, bulk("id-two").size()) == bulk("id-two"));
    assert(fixture.host.was_sent("id-two"));
    assert(read_at_least(fixture, client, bulk("id-one").size()) == bulk("id-one"));
    host.open();
    fixture.run_until([&] { return host.pending_connects() == 0; });
    ping(fixture);
    assert(!host.was_sent("id-one"));
}

// A newer build was sent an RPC for a key and its reply does not arrive, while a pick of another RPC for the
// key waits for a connection to an earlier build. The reply may have been lost on its way, so the earlier
// build must not be sent the key. The fault was found by reading the source: waiting picks were withdrawn
// only when a reply arrived. Once the newer build is rolled back, the earlier one is sent the key.
void a_waiting_pick_does_not_move_a_key_that_a_newer_build_may_have() {
    for (const bool rolled_back : {false, true}) {
        RouterFixture fixture;
        BlockedHost host(fixture.io);
        configure_large_fleet(fixture);
        fixture.config_json["settings"]["familyInfo"]["keysStay"] = true;
        fixture.config_json["settings"]["familyInfo"]["swap"] = "parallel";
        fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
        fixture.config_json["deployer"]["news"] = rollout_status(2, "Progressing", 1);
        fixture.leave_watches_unanswered();
        fixture.platform.answer = [](const std::string &) {
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{}");
        };
        fixture.write_config(fixture.config_json.dump());
        fixture.start_service();
        tcp::socket client = connect_client(fixture);
        tcp::socket later_client = connect_client(fixture);
        asio::write(client, asio::buffer(ask_command("id-one")));
        fixture.run_until([&] {
            return host.pending_connects() > 0 && fixture.discovery.was_sent("/v1/endpoints") &&
                   fixture.platform.was_sent("/stream");
        });
        json list = fixture.full_list(8);
        json newer = host_entry("t", fixture.host.address());
        newer["version_no"] = 2;
        list["servers"] = json::array({host_entry("s", host.address()), newer});
        fixture.discovery.send_to_all(http_response(list.dump()));
        fixture.run_until([&] { return fixture.has_logged("list: entries 2"); });
        asio::write(later_client, asio::buffer(ask_command("id-two")));
        fixture.run_until([&] { return fixture.host.was_sent("id-two"); });
        if (rolled_back) {
            const json row{{"type", "stage"}, {"object", rollout_status(2, "Aborting", 0)}};
            fixture.platform.send_to_all(chunk(row.dump()));
            fixture.run_until([&] { return fixture.has_logged("rollout: build 2 stage 1 phase 1"); });
        }
        host.open();
        fixture.run_until([&] { return host.accepted > 0 && host.pending_connects() == 0; });
        if (rolled_back) fixture.run_until([&] { return host.was_sent("id-one"); });
        for (int i = 0; i < 5; ++i) ping(fixture);
        assert(host.was_sent("id-one") == rolled_back);
    }
}

// A host begins to drain while a connection to it is being established: nothing is sent on the connection,
// and it is closed.
void a_connection_to_a_draining_host_is_closed() {
    RouterFixture fixture;
    BlockedHost host(fixture.io);
    configure_large_fleet(fixture);
    fixture.config_json["known"]["servers"] = json::array({host_entry("s", host.address())});
    fixture.leave_watches_unanswered();
    fixture.write_config(fixture.config_json.dump());
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(ask_command("id-one")));
    fixture.run_until(
        [&] { return host.pending_connects() > 0 && fixture.discovery.was_sent("/v1/endpoints"); });
    json list = fixture.full_list(8);
    list["servers"][0] = host_entry("s", host.address());
    list["servers"][0]["state"] = "terminating";
    fixture.discovery.send_to_all(http_response(list.dump()));
    assert(read_at_least(fixture, client, 5).find("-BUSY") == 0);
    host.open();
    fixture.run_until([&] { return host.accepted > 1 && host.ended == host.accepted; });
    assert(host.sent.empty());
}

// A host sends each reply again some milliseconds later, while the client sends further RPCs: no copy is
// taken for the reply to the next RPC.
void late_duplicate_replies_of_a_host_are_ignored() {
    RouterFixture fixture;
    fixture.host.answer = host_answer;
    fixture.host.repeat_delay = std::chrono::milliseconds(8);
    fixture.start_service();
    tcp::socket client = connect_client(fixture);
    for (int i = 0; i < 150; ++i) {
        const std::string id = std::string("id-") + std::to_string(100 + i);
        asio::write(client, asio::buffer(ask_command(id)));
        assert(read_at_least(fixture, client, bulk(id).size()) == bulk(id));
    }
}

} // namespace

int main(int count, char **) {
    if (count > 1) { // the CTest test owed_queue
        a_client_in_the_listen_queue_at_shutdown_is_answered();
        return 0;
    }
    rpcs_with_a_longer_timeout_than_the_shutdown_are_answered();
    a_command_incomplete_at_shutdown_is_answered();
    the_close_of_a_client_that_is_not_read_from_is_noticed();
    replies_before_malformed_input_are_delivered();
    a_tokened_rpc_is_not_sent_after_its_window();
    a_waiting_pick_is_not_sent_to_a_build_that_is_rolled_back();
    a_waiting_pick_does_not_move_a_key_to_an_earlier_build();
    a_waiting_pick_does_not_move_a_key_that_a_newer_build_may_have();
    a_connection_to_a_draining_host_is_closed();
    late_duplicate_replies_of_a_host_are_ignored();
    a_pick_that_waits_for_a_connection_is_not_sent_after_its_client_left();
    a_pick_that_waits_for_a_connection_is_not_sent_after_the_reply();
    the_list_of_a_local_agent_is_used_before_the_first_client();
    watches_have_different_hold_times();
    no_rpc_is_sent_while_the_list_is_overdue();
    the_list_is_overdue_when_a_new_discovery_address_does_not_answer();
    discovery_without_changes_is_asked_with_pauses();
}
