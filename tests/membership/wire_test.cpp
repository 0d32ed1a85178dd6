// The etcd follower by its bytes against a server made of nghttp2's own frames: GOAWAY and RST_STREAM in the
// midst, windows that never open, frames and messages of absurd length, protobuf that does not parse, bytes
// cut anywhere.
#undef NDEBUG
#include "list_value.hpp"
#include "membership/etcd/follower.hpp"

#include <cassert>
#include <cstring>
#include <functional>
#include <iostream>
#include <nghttp2/nghttp2.h>

using namespace pineridge;
using namespace pineridge::membership;
namespace pb = etcdserverpb;

namespace {

std::string message(const google::protobuf::MessageLite &told) {
    const std::string body = told.SerializeAsString();
    std::string head(5, '\0');
    for (int i = 0; i < 4; ++i) head[4 - i] = static_cast<char>(body.size() >> 8 * i);
    return head + body;
}

// The other side: takes calls, and sends what the test tells it to.
struct Server {
    explicit Server(std::uint32_t window = 65535) {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_frame_recv_callback(
            callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *user) {
                if (frame->hd.type == NGHTTP2_HEADERS)
                    static_cast<Server *>(user)->calls.push_back(frame->hd.stream_id);
                if (frame->hd.type == NGHTTP2_RST_STREAM) ++static_cast<Server *>(user)->resets;
                return 0;
            });
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            callbacks, [](nghttp2_session *, std::uint8_t, std::int32_t, const std::uint8_t *bytes,
                          std::size_t size, void *user) {
                static_cast<Server *>(user)->text.append(reinterpret_cast<const char *>(bytes), size);
                return 0;
            });
        nghttp2_option *option = nullptr;
        nghttp2_option_new(&option);
        if (window == 0) nghttp2_option_set_no_auto_window_update(option, 1);
        nghttp2_session_server_new2(&session, callbacks, this, option);
        nghttp2_option_del(option);
        nghttp2_session_callbacks_del(callbacks);
        const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window}};
        nghttp2_submit_settings(session, 0, settings, 1);
    }
    ~Server() { nghttp2_session_del(session); }

    void feed(const std::string &bytes) {
        assert(nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                        bytes.size()) >= 0);
    }
    std::string output() {
        std::string bytes;
        const std::uint8_t *part = nullptr;
        for (ssize_t size; (size = nghttp2_session_mem_send(session, &part)) > 0;)
            bytes.append(reinterpret_cast<const char *>(part), static_cast<std::size_t>(size));
        return bytes;
    }
    void begin_answer(std::int32_t call) {
        nghttp2_nv head[] = {pair(":status", "200"), pair("content-type", "application/grpc")};
        nghttp2_submit_headers(session, 0, call, nullptr, head, 2, nullptr);
    }
    // Bytes of the call's answer; `end`: the gRPC status that closes it, below 0: it stays open.
    void send(std::int32_t call, const std::string &bytes, int end = -1) {
        unsent[call] = {bytes, end};
        nghttp2_data_provider provider{};
        provider.read_callback = [](nghttp2_session *its, std::int32_t id, std::uint8_t *into,
                                    std::size_t size, std::uint32_t *flags, nghttp2_data_source *,
                                    void *user) -> ssize_t {
            auto &[text, status] = static_cast<Server *>(user)->unsent[id];
            const std::size_t more = std::min(size, text.size());
            std::memcpy(into, text.data(), more);
            text.erase(0, more);
            if (text.empty()) {
                *flags |= NGHTTP2_DATA_FLAG_EOF;
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                if (status >= 0) {
                    const std::string code = std::to_string(status);
                    nghttp2_nv trailer[] = {pair("grpc-status", code.c_str())};
                    nghttp2_submit_trailer(its, id, trailer, 1);
                }
            }
            return static_cast<ssize_t>(more);
        };
        nghttp2_submit_data(session, 0, call, &provider);
    }
    static nghttp2_nv pair(const char *name, const char *value) {
        return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)),
                reinterpret_cast<std::uint8_t *>(const_cast<char *>(value)), std::strlen(name),
                std::strlen(value), NGHTTP2_NV_FLAG_NONE};
    }

    nghttp2_session *session = nullptr;
    std::vector<std::int32_t> calls;
    std::map<std::int32_t, std::pair<std::string, int>> unsent;
    std::string text; // of all calls
    int resets = 0;
};

struct World {
    explicit World(std::uint32_t window = 65535) : server(window) {
        if (window == 0) follower.feed(server.output(), 0); // known before the first call goes out
        follower.begin(0);
        settle();
    }
    // Until neither side has anything to say; what the server says comes in pieces of so many bytes.
    void settle(std::size_t piece = 1 << 20) {
        for (bool moved = true; moved;) {
            const std::string up = follower.output(), down = server.output();
            moved = !up.empty() || !down.empty();
            if (!up.empty()) server.feed(up);
            for (std::size_t at = 0; at < down.size(); at += piece)
                follower.feed(down.substr(at, piece), now);
        }
    }
    static pb::RangeResponse page(int hosts) {
        pb::RangeResponse told;
        told.mutable_header()->set_revision(10);
        for (int i = 0; i < hosts; ++i) {
            pb::KeyValue &one = *told.add_kvs();
            one.set_key("/h/" + std::string(1, static_cast<char>('a' + i)));
            one.set_value(R"({"state":"in_service","started_ms":0})");
            one.set_mod_revision(5);
        }
        told.set_count(hosts);
        return told;
    }
    static pb::WatchResponse created() {
        pb::WatchResponse told;
        told.mutable_header()->set_revision(10);
        told.set_created(true);
        return told;
    }
    static pb::WatchResponse drain(const char *key, std::int64_t rev) {
        pb::WatchResponse told;
        told.mutable_header()->set_revision(rev);
        pb::Event &event = *told.add_events();
        event.mutable_kv()->set_key(key);
        event.mutable_kv()->set_value(R"({"state":"terminating","started_ms":0})");
        event.mutable_kv()->set_mod_revision(rev);
        return told;
    }
    void read_and_watch(std::size_t piece = 1 << 20) {
        server.begin_answer(server.calls.at(0));
        server.send(server.calls.at(0), message(page(3)), 0);
        settle(piece);
        assert(server.calls.size() == 2);
        server.begin_answer(server.calls.at(1));
        server.send(server.calls.at(1), message(created()));
        settle(piece);
    }
    std::string text() {
        if (const auto told = view.take())
            for (const Member &member : told->members)
                member.entry.status == HostStatus::gone
                    ? void(list.erase(member.entry.id))
                    : void(list[member.entry.id] = member.entry.status == HostStatus::ready ? '+' : '-');
        std::string all;
        for (const auto &[id, sign] : list) all += id + sign;
        return all;
    }

    Server server;
    View view{{}};
    etcd::Follower follower{view, read_value, "/h/", "reg", "", {20000, 10000, 25000, 100000}};
    std::map<std::string, char> list;
    Ticks now = 0;
};

void frames_may_be_cut_anywhere() {
    for (const std::size_t piece : {1u, 2u, 3u, 7u, 64u}) {
        World world;
        world.read_and_watch(piece);
        assert(world.text() == "a+b+c+");
        world.server.send(world.server.calls[1], message(World::drain("/h/b", 11)));
        world.settle(piece);
        assert(world.text() == "a+b-c+");
    }
}

// Two messages in one frame, one message over many; half of one tells nothing.
void messages_do_not_follow_frames() {
    World world;
    world.read_and_watch();
    const std::string two = message(World::drain("/h/a", 11)) + message(World::drain("/h/b", 12));
    world.server.send(world.server.calls[1], two.substr(0, two.size() - 3));
    world.settle();
    assert(world.text() == "a-b+c+");
    world.server.send(world.server.calls[1], two.substr(two.size() - 3));
    world.settle();
    assert(world.text() == "a-b-c+");
}

// The connection breaks in the midst of a frame: the half tells nothing, the next watch begins behind what
// was told.
void half_a_frame_is_none() {
    World world;
    world.read_and_watch();
    world.server.send(world.server.calls[1], message(World::drain("/h/a", 11)));
    const std::string bytes = world.server.output();
    world.follower.feed(bytes.substr(0, bytes.size() - 5), 1);
    assert(world.text() == "a+b+c+" && world.view.revision() == 10);
    world.follower.ended();
    assert(world.follower.dead());
    etcd::Follower next{world.view, read_value, "/h/", "reg", "", {}};
    Server other;
    next.begin(2);
    other.feed(next.output());
    pb::WatchRequest asked; // a watch at once, with nothing read again
    asked.mutable_create_request()->set_key("/h/");
    asked.mutable_create_request()->set_range_end("/h0");
    asked.mutable_create_request()->set_start_revision(11);
    asked.mutable_create_request()->set_progress_notify(true);
    asked.mutable_create_request()->set_fragment(true);
    assert(other.calls.size() == 1 && other.text == message(asked));
}

// GOAWAY in the midst: what was told before counts, the connection is left for another at once.
void goaway_is_heeded() {
    World world;
    world.read_and_watch();
    world.server.send(world.server.calls[1], message(World::drain("/h/a", 11)));
    world.settle();
    nghttp2_submit_goaway(world.server.session, 0, 3, NGHTTP2_NO_ERROR, nullptr, 0);
    world.settle();
    assert(world.text() == "a-b+c+" && world.follower.why() == "the member is going away");
}

void a_reset_watch_is_left() {
    World world;
    world.read_and_watch();
    nghttp2_submit_rst_stream(world.server.session, 0, world.server.calls[1], NGHTTP2_REFUSED_STREAM);
    world.settle();
    assert(world.follower.why().find("the watch ended: reset with code 7") == 0);
    World reading;
    nghttp2_submit_rst_stream(reading.server.session, 0, reading.server.calls[0], NGHTTP2_INTERNAL_ERROR);
    reading.settle();
    assert(reading.follower.why().find("a read failed") == 0);
}

// A window that never opens: nothing of a call goes out, and the bounded time ends it.
void a_window_that_never_opens_is_bounded() {
    World world(0);
    assert(world.server.calls.size() == 1 && world.server.text.empty());
    world.follower.clock(19999);
    assert(!world.follower.dead());
    world.follower.clock(20000);
    assert(world.follower.why() == "no answer to a read");
}

void absurd_lengths_end_the_call_or_the_connection() {
    World frame;
    frame.read_and_watch();
    std::string head(9, '\0'); // a DATA frame of 16 MB, far beyond what was allowed
    head[0] = head[1] = head[2] = '\xff';
    head[8] = static_cast<char>(frame.server.calls[1]);
    frame.follower.feed(head, 1);
    frame.follower.output();
    assert(frame.follower.why() == "the peer violated the HTTP/2 protocol");

    World large;
    large.read_and_watch();
    large.server.send(large.server.calls[1], std::string("\0\x7f\xff\xff\xff", 5) + "xx");
    large.settle();
    // What the watch would tell is passed by: the whole is read, on the same connection.
    assert(!large.follower.dead() && large.server.resets == 1 && large.server.calls.size() == 3);
    assert(large.view.take_lines().back().find("has missed a message of 2147483647 bytes") !=
           std::string::npos);

    World packed;
    packed.read_and_watch();
    packed.server.send(packed.server.calls[1], std::string("\1\0\0\0\2", 5) + "xx");
    packed.settle();
    assert(packed.follower.why().find("a compressed message") != std::string::npos);

    World noise;
    noise.follower.feed("HTTP/1.1 400 Bad Request\r\n\r\n", 1);
    noise.follower.output();
    assert(noise.follower.dead());
}

void what_does_not_parse_is_not_believed() {
    World world;
    world.read_and_watch();
    world.server.send(world.server.calls[1], std::string("\0\0\0\0\3\xff\xff\xff", 8));
    world.settle();
    assert(world.follower.why() == "a watch that cannot be read" && world.text() == "a+b+c+");
    World page;
    page.server.begin_answer(page.server.calls[0]);
    page.server.send(page.server.calls[0], std::string("\0\0\0\0\3\xff\xff\xff", 8), 0);
    page.settle();
    assert(page.follower.why() == "a page that cannot be read" && !page.view.synced());
}

// A batch whose fragments never end is bounded.
void endless_fragments_are_left() {
    World world;
    world.read_and_watch();
    pb::WatchResponse part;
    part.mutable_header()->set_revision(11);
    part.set_fragment(true);
    for (int i = 0; i < 5000; ++i) part.add_events()->mutable_kv()->set_key("/h/x");
    for (int i = 0; i < 25 && !world.follower.dead(); ++i) {
        world.server.send(world.server.calls[1], message(part));
        world.settle();
    }
    assert(world.follower.why() == "a batch of too many events" && world.text() == "a+b+c+");
}

} // namespace

int main() {
    frames_may_be_cut_anywhere();
    messages_do_not_follow_frames();
    half_a_frame_is_none();
    goaway_is_heeded();
    a_reset_watch_is_left();
    a_window_that_never_opens_is_bounded();
    absurd_lengths_end_the_call_or_the_connection();
    what_does_not_parse_is_not_believed();
    endless_fragments_are_left();
}
