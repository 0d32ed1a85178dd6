// Tests that no state of a client connection holds a descriptor without end.
//
// The failure (review/1): silent connections were neither closed after a time nor evicted. They filled the
// clients' descriptors, and no request on a new connection was read for as long as they stayed. The same held
// in other states and modes of admission, so that each test goes through all of them with real connections.
#include "client_side.hpp"

using namespace pineridge;
using namespace pineridge::test;
using Clock = std::chrono::steady_clock;

namespace {

// A bad client is owed an error or a close within this time of connecting.
constexpr Milliseconds kOwedWithin(3000);
// A new client is answered within this time while others hold all descriptors.
constexpr Milliseconds kAnsweredWithin(1500);
constexpr Milliseconds kPlay(1500); // of each way to hold connections in each mode
constexpr Milliseconds kTrickleInterval(100);
constexpr std::size_t kHolders = 300; // connections, more than the router has descriptors for clients

// The mode of admission, or a shutdown that begins while the connections are open.
enum class Admission { off, enforced, observed, turned_on_later, shutting_down };
constexpr std::array kModes{Admission::off, Admission::enforced, Admission::observed,
                            Admission::turned_on_later};
const char *name_of(Admission mode) {
    static constexpr std::array kNames{"off", "enforced", "observed", "turned on later",
                                       "off, shutting down"};
    return kNames[static_cast<std::size_t>(mode)];
}

std::shared_ptr<AdmissionSettings> rules_for(Admission mode) {
    auto rules = std::make_shared<AdmissionSettings>();
    rules->observe = mode == Admission::observed;
    if (rules->observe) rules->crowds.front().max_per_address = 1; // refuses all others, which are kept
    return rules;
}

// A client that behaves badly: it sends `sent` at once and then `trickled`, a byte at each interval.
struct BadClient {
    const char *description;
    std::string sent;
    std::string trickled{};
};

const std::string kCommand = ask_command("id-bad");
const std::vector<BadClient> kBadClients{
    {"says nothing", ""},
    {"sends half of its first command", kCommand.substr(0, 20)},
    {"sends half of a later command", ask_command("id-one") + kCommand.substr(0, 20)},
    {"trickles its first command", kCommand.substr(0, 1), kCommand.substr(1)},
    {"trickles a later command", ask_command("id-one") + kCommand.substr(0, 1), kCommand.substr(1)},
    {"sends what cannot be read", "GET / HTTP/1.1\r\n\r\n"},
};

// A router in one mode of admission, and what connects to it.
struct World {
    // `deferral`: how long the kernel keeps silent connections from the router.
    explicit World(Admission mode, Milliseconds deferral = Limits().accept_deferral) {
        side.config.limits.accept_deferral = deferral;
        if (mode == Admission::enforced || mode == Admission::observed)
            side.config.admission = rules_for(mode);
        side.listen();
    }
    void turn_admission_on() { side.server->set_admission_rules(rules_for(Admission::enforced)); }

    // Whether the client has been sent an error or its connection has been closed.
    static bool has_ended(tcp::socket &client, std::string &received) {
        std::array<char, 512> buffer;
        boost::system::error_code failed;
        const std::size_t size = client.read_some(asio::buffer(buffer), failed);
        received.append(buffer.data(), size);
        return received.find("-ERR") != std::string::npos || (failed && failed != asio::error::would_block);
    }

    // Connects as a usual client does, sends a request at once and waits for its answer: its value or, where
    // limits are enforced, a refusal. Returns what was received in time.
    std::string ask_on_new_connection() {
        const std::string id = "id-" + std::to_string(100 + next_id++ % 900);
        const auto deadline = Clock::now() + kAnsweredWithin;
        tcp::socket client = side.connect();
        asio::write(client, asio::buffer(ask_command(id)));
        std::string received;
        side.fixture.run_until([&] {
            std::array<char, 512> buffer;
            boost::system::error_code failed;
            received.append(buffer.data(), client.read_some(asio::buffer(buffer), failed));
            const bool ended = failed && failed != asio::error::would_block;
            if (ended) received += "(" + failed.message() + ")";
            return ended || received == bulk(id) || is_refusal(received) || Clock::now() > deadline;
        });
        return received == bulk(id) ? "served" : received;
    }
    static bool is_refusal(const std::string &received) {
        return received.rfind("-BUSY", 0) == 0 && received.find("\r\n") != std::string::npos;
    }

    ClientSide side;
    int next_id = 0;
};

void expect(bool condition, Admission mode, const std::string &what) {
    if (condition) return;
    std::cerr << "admission " << name_of(mode) << ": " << what << "\n";
    std::abort();
}

// Connects the bad clients and checks that each gets an error or a close within 3 s of connecting. `change`
// is called once some of them have been accepted.
void expect_ends_in_time(World &world, const std::vector<BadClient> &bad_clients, Admission mode,
                         const std::function<void()> &change) {
    std::vector<tcp::socket> clients;
    for (const BadClient &bad : bad_clients) {
        clients.push_back(world.side.connect());
        if (!bad.sent.empty()) asio::write(clients.back(), asio::buffer(bad.sent));
    }
    const auto connected = Clock::now();
    world.side.fixture.run_until([&] { return world.side.server->open_connections() > 0; });
    change();
    std::vector<bool> ended(bad_clients.size());
    std::vector<std::string> received(bad_clients.size());
    std::size_t trickled = 0; // bytes of each trickling client
    world.side.fixture.run_until([&] {
        const auto elapsed = Clock::now() - connected;
        const bool trickles = elapsed >= trickled * kTrickleInterval;
        for (std::size_t i = 0; i < clients.size(); ++i) {
            boost::system::error_code failed;
            if (trickles && trickled < bad_clients[i].trickled.size() && !ended[i])
                clients[i].write_some(asio::buffer(bad_clients[i].trickled.data() + trickled, 1), failed);
            ended[i] = ended[i] || World::has_ended(clients[i], received[i]);
        }
        trickled += trickles;
        return elapsed > kOwedWithin || std::find(ended.begin(), ended.end(), false) == ended.end();
    });
    for (std::size_t i = 0; i < clients.size(); ++i)
        expect(ended[i], mode,
               std::string("no error and no close after 3 s for a client that ") +
                   bad_clients[i].description);
}

void bad_clients_get_an_error_or_a_close_in_time() {
    for (const Admission mode : {Admission::off, Admission::enforced, Admission::observed,
                                 Admission::turned_on_later, Admission::shutting_down}) {
        World world(mode);
        expect_ends_in_time(world, kBadClients, mode, [&] {
            if (mode == Admission::turned_on_later) world.turn_admission_on();
            if (mode == Admission::shutting_down) world.side.shut_down();
        });
        if (mode == Admission::shutting_down)
            world.side.fixture.run_until([&] { return world.side.has_shut_down; });
    }
}

// The same for connections from a proxy, which begin with a header.
void bad_proxies_get_a_close_in_time() {
    World world(Admission::off);
    auto rules = rules_for(Admission::enforced);
    rules->trusted_proxies.push_back(read_network("127.0.0.1"));
    world.side.server->set_admission_rules(rules);
    const std::string header = "PROXY TCP4 10.0.0.1 10.0.0.2 1000 2000\r\n";
    const std::vector<BadClient> bad_proxies{
        {"is a proxy and says nothing", ""},
        {"sends half of a PROXY header", header.substr(0, 12)},
        {"trickles a PROXY header", header.substr(0, 1), header.substr(1)},
        {"sends a PROXY header and no command", header},
        {"sends a PROXY header and half a command", header + kCommand.substr(0, 20)},
    };
    expect_ends_in_time(world, bad_proxies, Admission::enforced, [] {});
}

// Connections that do the same `behaviour`, of which each is opened again as soon as it has been closed.
struct Holders {
    Holders(World &held_world, std::string behaviour) : world(held_world), sent(std::move(behaviour)) {
        for (std::size_t i = 0; i < kHolders; ++i) clients.push_back(open());
    }
    tcp::socket open() {
        tcp::socket client = world.side.connect();
        boost::system::error_code failed;
        if (!sent.empty()) client.write_some(asio::buffer(sent), failed);
        return client;
    }
    void reopen_closed() {
        for (tcp::socket &client : clients)
            if (is_closed(client)) client = open();
    }
    World &world;
    const std::string sent;
    std::vector<tcp::socket> clients;
};

// Connections by the hundreds hold the descriptors, and come back as soon as they are closed: new clients are
// answered all the while. Nothing may rest on the kernel's deferral of silent connections, so there is none.
void new_clients_are_answered_while_others_hold_connections() {
    const std::vector<std::pair<const char *, std::string>> behaviours{
        {"say nothing", ""},
        {"send half a command", kCommand.substr(0, 20)},
        {"ask once and stay", ask_command("id-one")},
        {"send half a later command", ask_command("id-one") + kCommand.substr(0, 20)},
    };
    for (const Admission mode : kModes)
        for (const auto &[description, behaviour] : behaviours) {
            World world(mode, Milliseconds(0));
            Holders holders(world, behaviour);
            if (mode == Admission::turned_on_later) {
                world.side.fixture.run_until([&] { return world.side.server->open_connections() >= 100; });
                world.turn_admission_on();
            }
            const auto end = Clock::now() + kPlay;
            int asked = 0;
            for (; Clock::now() < end; ++asked) {
                holders.reopen_closed();
                const std::string answer = world.ask_on_new_connection();
                const bool answered =
                    answer == "served" ||
                    (mode != Admission::off && mode != Admission::observed && World::is_refusal(answer));
                expect(answered, mode,
                       "request " + std::to_string(asked) + " on a new connection got '" + answer +
                           "' while " + std::to_string(kHolders) + " clients " + description);
            }
            expect(asked > 5, mode, "only " + std::to_string(asked) + " requests were sent");
        }
}

// Connections that a limit refuses are pushed back, also while their first command is long or arrives in
// parts.
void a_refused_command_of_any_size_is_pushed_back() {
    World world(Admission::off);
    auto rules = rules_for(Admission::enforced);
    rules->crowds.front().max_per_address = 1;
    world.side.server->set_admission_rules(rules);
    tcp::socket admitted = world.side.connect();
    asio::write(admitted, asio::buffer(ask_command("id-one")));
    world.side.expect_replies(admitted, {"id-one"});
    const std::string long_command = order_command("id-two", std::string(60000, 'x'));
    for (const std::size_t first_part :
         {std::size_t{0}, std::size_t{10}, std::size_t{5000}, long_command.size()}) {
        tcp::socket refused = world.side.connect();
        std::size_t sent = first_part;
        if (sent > 0) asio::write(refused, asio::buffer(long_command.substr(0, sent)));
        for (int turn = 0; turn < 20; ++turn) world.side.fixture.io.run_one_for(Milliseconds(1));
        std::string received;
        world.side.fixture.run_until([&] {
            boost::system::error_code failed;
            if (sent < long_command.size())
                sent += refused.write_some(asio::buffer(long_command.substr(sent)), failed);
            std::array<char, 512> buffer;
            const std::size_t size = refused.read_some(asio::buffer(buffer), failed);
            received.append(buffer.data(), size);
            return received.find("\r\n") != std::string::npos ||
                   (failed && failed != asio::error::would_block);
        });
        expect(received.rfind("-BUSY ", 0) == 0, Admission::enforced,
               "a refused command, sent " + std::to_string(first_part) + " bytes first, got: " + received);
    }
}

} // namespace

int main() {
    bad_clients_get_an_error_or_a_close_in_time();
    bad_proxies_get_a_close_in_time();
    new_clients_are_answered_while_others_hold_connections();
    a_refused_command_of_any_size_is_pushed_back();
}
