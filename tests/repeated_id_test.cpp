// Tests that an RPC which must not run twice is not sent to a host again when its id comes again.
//
// The failure (picture (c) of issue 58): a client left while its booking ran at a host, and its id came again
// on another connection. Nothing was known of the first RPC any more once its connection to the host had been
// closed, and the booking ran twice: 60 of 60.
#include "router/executed_ids.hpp"
#include "router_fixture.hpp"

using namespace pineridge;
using namespace pineridge::test;
using std::chrono::milliseconds;

namespace {

std::string host_value(const std::string &id) { return std::string("*3\r\n") + bulk(id) + "$-1\r\n$-1\r\n"; }

// Returns how often the host was sent the command with this id.
int times_sent(const RouterFixture &fixture, const std::string &id) {
    int count = 0;
    for (std::size_t at = 0; (at = fixture.host.sent.find(bulk(id), at)) != std::string::npos; ++at) ++count;
    return count;
}

// Sends the command on a new connection and returns the reply line.
std::string ask(RouterFixture &fixture, const std::string &command) {
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(command));
    std::string received;
    std::array<char, 512> buffer;
    fixture.run_until([&] {
        boost::system::error_code failed;
        received.append(buffer.data(), client.read_some(asio::buffer(buffer), failed));
        return received.find("\r\n") != std::string::npos;
    });
    return received;
}

// The client leaves while the host works; the id comes again at once and once more later.
void an_id_whose_client_has_left_does_not_run_again() {
    RouterFixture fixture;
    fixture.start_service(); // the host does not answer
    tcp::socket client = connect_client(fixture);
    asio::write(client, asio::buffer(order_command("id-one")));
    fixture.run_until([&] { return times_sent(fixture, "id-one") == 1; });
    client.close();
    fixture.run_until([&] { return fixture.host.closed > 0; }); // the pick was cancelled
    fixture.host.answer = [](const std::string &) { return host_value("id-one"); };
    for (const milliseconds pause : {milliseconds(5), milliseconds(300)}) {
        const auto end = std::chrono::steady_clock::now() + pause;
        fixture.run_until([&] { return std::chrono::steady_clock::now() > end; });
        assert(ask(fixture, order_command("id-one")).rfind("-ERR", 0) == 0);
    }
    assert(times_sent(fixture, "id-one") == 1);
}

// The first RPC was answered: its effect must not come a second time either.
void an_id_that_was_answered_does_not_run_again() {
    RouterFixture fixture;
    fixture.host.answer = [](const std::string &received) {
        return received.find("body\r\n") == std::string::npos ? "" : host_value("id-one");
    };
    fixture.start_service();
    assert(ask(fixture, order_command("id-one")).rfind("$6", 0) == 0);
    assert(ask(fixture, order_command("id-one")).rfind("-ERR", 0) == 0);
    assert(times_sent(fixture, "id-one") == 1);
}

// The host turned the RPC away, so that it is known not to have run: the same id may come again. An
// idempotent RPC may always.
void an_id_that_has_not_run_may_come_again() {
    RouterFixture fixture;
    fixture.host.answer = [](const std::string &received) {
        return received.find("body\r\n") == std::string::npos ? "" : "-BUSY\r\n";
    };
    fixture.start_service();
    assert(ask(fixture, order_command("id-one")).rfind("-BUSY", 0) == 0);
    const int turned_away = times_sent(fixture, "id-one");
    fixture.host.answer = [](const std::string &received) {
        return received.find("body\r\n") == std::string::npos ? host_answer(received) : host_value("id-one");
    };
    const auto served_by = std::chrono::steady_clock::now() + milliseconds(10000);
    std::string reply = "-BUSY";
    while (reply.rfind("-BUSY", 0) == 0 && std::chrono::steady_clock::now() < served_by)
        reply = ask(fixture, order_command("id-one"));
    assert(reply.rfind("$6", 0) == 0 && times_sent(fixture, "id-one") > turned_away);
    for (int i = 0; i < 2; ++i) assert(ask(fixture, ask_command("id-two")).rfind("$6", 0) == 0);
}

void ids_are_remembered_for_a_time_and_in_a_number() {
    ExecutedIds ids(7, 3, milliseconds(1000));
    const ExecutedIds::Instant start{};
    ids.add("a", start);
    ids.add("a", start + milliseconds(500));
    assert(ids.size() == 1 && ids.contains("a", start + milliseconds(1000)));
    assert(!ids.contains("b", start) && !ids.contains("a", start + milliseconds(1001)));
    for (int i = 0; i < 1000; ++i) ids.add(std::to_string(i), start + milliseconds(2000));
    assert(ids.size() == 3 && ids.contains("999", start + milliseconds(2000)));
    assert(!ids.contains("996", start + milliseconds(2000)));
}

} // namespace

int main() {
    ids_are_remembered_for_a_time_and_in_a_number();
    an_id_whose_client_has_left_does_not_run_again();
    an_id_that_was_answered_does_not_run_again();
    an_id_that_has_not_run_may_come_again();
}
