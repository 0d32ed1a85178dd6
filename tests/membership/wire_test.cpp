// Tests of the etcd follower against a server made of nghttp2's own frames: GOAWAY and RST_STREAM during a
// call, flow control windows that never open, frames and messages of invalid length, protobuf that does not
// parse, and bytes split at any place.
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

std::string grpc_message(const google::protobuf::MessageLite &message) {
    const std::string body = message.SerializeAsString();
    std::string prefix(5, '\0');
    for (int i = 0; i < 4; ++i) prefix[4 - i] = static_cast<char>(body.size() >> 8 * i);
    return prefix + body;
}

// The server side of the connection: accepts calls and sends the answers that the test gives it.
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
                static_cast<Server *>(user)->received.append(reinterpret_cast<const char *>(bytes), size);
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
        const std::uint8_t *bytes_to_send = nullptr;
        for (ssize_t size; (size = nghttp2_session_mem_send(session, &bytes_to_send)) > 0;)
            bytes.append(reinterpret_cast<const char *>(bytes_to_send), static_cast<std::size_t>(size));
        return bytes;
    }
    void send_answer_headers(std::int32_t call) {
        nghttp2_nv headers[] = {header(":status", "200"), header("content-type", "application/grpc")};
        nghttp2_submit_headers(session, 0, call, nullptr, headers, 2, nullptr);
    }
    // Sends bytes of a call's answer. `status` is the gRPC status that ends the call; below 0 it stays open.
    void send(std::int32_t call, const std::string &bytes, int status = -1) {
        unsent[call] = {bytes, status};
        nghttp2_data_provider provider{};
        provider.read_callback = [](nghttp2_session *http2_session, std::int32_t id, std::uint8_t *buffer,
                                    std::size_t size, std::uint32_t *flags, nghttp2_data_source *,
                                    void *user) -> ssize_t {
            auto &[text, end_status] = static_cast<Server *>(user)->unsent[id];
            const std::size_t count = std::min(size, text.size());
            std::memcpy(buffer, text.data(), count);
            text.erase(0, count);
            if (text.empty()) {
                *flags |= NGHTTP2_DATA_FLAG_EOF;
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                if (end_status >= 0) {
                    const std::string code = std::to_string(end_status);
                    nghttp2_nv trailer[] = {header("grpc-status", code.c_str())};
                    nghttp2_submit_trailer(http2_session, id, trailer, 1);
                }
            }
            return static_cast<ssize_t>(count);
        };
        nghttp2_submit_data(session, 0, call, &provider);
    }
    static nghttp2_nv header(const char *name, const char *value) {
        return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)),
                reinterpret_cast<std::uint8_t *>(const_cast<char *>(value)), std::strlen(name),
                std::strlen(value), NGHTTP2_NV_FLAG_NONE};
    }

    nghttp2_session *session = nullptr;
    std::vector<std::int32_t> calls;
    std::map<std::int32_t, std::pair<std::string, int>> unsent;
    std::string received; // bytes of all calls
    int resets = 0;
};

struct EtcdFixture {
    explicit EtcdFixture(std::uint32_t window = 65535) : server(window) {
        if (window == 0)
            follower.feed(server.output(), 0); // so that the follower knows the window before its first call
        follower.begin(0);
        exchange_bytes();
    }
    // Passes bytes both ways until neither side has any; the server's bytes arrive in pieces of `piece`
    // bytes.
    void exchange_bytes(std::size_t piece = 1 << 20) {
        for (bool active = true; active;) {
            const std::string from_follower = follower.output(), from_server = server.output();
            active = !from_follower.empty() || !from_server.empty();
            if (!from_follower.empty()) server.feed(from_follower);
            for (std::size_t at = 0; at < from_server.size(); at += piece)
                follower.feed(from_server.substr(at, piece), now);
        }
    }
    static pb::RangeResponse range_response(int hosts) {
        pb::RangeResponse response;
        response.mutable_header()->set_revision(10);
        for (int i = 0; i < hosts; ++i) {
            pb::KeyValue &key_value = *response.add_kvs();
            key_value.set_key("/h/" + std::string(1, static_cast<char>('a' + i)));
            key_value.set_value(R"({"state":"in_service","started_ms":0})");
            key_value.set_mod_revision(5);
        }
        response.set_count(hosts);
        return response;
    }
    static pb::WatchResponse watch_created() {
        pb::WatchResponse response;
        response.mutable_header()->set_revision(10);
        response.set_created(true);
        return response;
    }
    static pb::WatchResponse drain_event(const char *key, std::int64_t revision) {
        pb::WatchResponse response;
        response.mutable_header()->set_revision(revision);
        pb::Event &event = *response.add_events();
        event.mutable_kv()->set_key(key);
        event.mutable_kv()->set_value(R"({"state":"terminating","started_ms":0})");
        event.mutable_kv()->set_mod_revision(revision);
        return response;
    }
    void read_and_watch(std::size_t piece = 1 << 20) {
        server.send_answer_headers(server.calls.at(0));
        server.send(server.calls.at(0), grpc_message(range_response(3)), 0);
        exchange_bytes(piece);
        assert(server.calls.size() == 2);
        server.send_answer_headers(server.calls.at(1));
        server.send(server.calls.at(1), grpc_message(watch_created()));
        exchange_bytes(piece);
    }
    std::string list_text() { // "a+b-": a is ready, b drains
        if (const auto listing = view.take_listing())
            for (const Member &member : listing->members)
                member.entry.status == HostStatus::gone
                    ? void(list.erase(member.entry.id))
                    : void(list[member.entry.id] = member.entry.status == HostStatus::ready ? '+' : '-');
        std::string text;
        for (const auto &[id, sign] : list) text += id + sign;
        return text;
    }

    Server server;
    View view{{}};
    etcd::Follower follower{view, read_value, "/h/", "reg", "", {20000, 10000, 25000, 100000}};
    std::map<std::string, char> list;
    Ticks now = 0;
};

void frames_may_be_split_anywhere() {
    for (const std::size_t piece : {1u, 2u, 3u, 7u, 64u}) {
        EtcdFixture fixture;
        fixture.read_and_watch(piece);
        assert(fixture.list_text() == "a+b+c+");
        fixture.server.send(fixture.server.calls[1], grpc_message(EtcdFixture::drain_event("/h/b", 11)));
        fixture.exchange_bytes(piece);
        assert(fixture.list_text() == "a+b-c+");
    }
}

// A frame may hold two messages, and a message may span several frames; part of a message has no effect.
void message_and_frame_boundaries_are_independent() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    const std::string two = grpc_message(EtcdFixture::drain_event("/h/a", 11)) +
                            grpc_message(EtcdFixture::drain_event("/h/b", 12));
    fixture.server.send(fixture.server.calls[1], two.substr(0, two.size() - 3));
    fixture.exchange_bytes();
    assert(fixture.list_text() == "a-b+c+");
    fixture.server.send(fixture.server.calls[1], two.substr(two.size() - 3));
    fixture.exchange_bytes();
    assert(fixture.list_text() == "a-b-c+");
}

// The connection is lost in the middle of a frame: the partial frame has no effect, and the next watch starts
// behind the last revision that was received whole.
void a_partial_frame_is_discarded() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    fixture.server.send(fixture.server.calls[1], grpc_message(EtcdFixture::drain_event("/h/a", 11)));
    const std::string bytes = fixture.server.output();
    fixture.follower.feed(bytes.substr(0, bytes.size() - 5), 1);
    assert(fixture.list_text() == "a+b+c+" && fixture.view.revision() == 10);
    fixture.follower.connection_closed();
    assert(fixture.follower.has_failed());
    etcd::Follower next{fixture.view, read_value, "/h/", "reg", "", {}};
    Server other;
    next.begin(2);
    other.feed(next.output());
    pb::WatchRequest expected; // resumes the watch at once, without another read
    expected.mutable_create_request()->set_key("/h/");
    expected.mutable_create_request()->set_range_end("/h0");
    expected.mutable_create_request()->set_start_revision(11);
    expected.mutable_create_request()->set_progress_notify(true);
    expected.mutable_create_request()->set_fragment(true);
    assert(other.calls.size() == 1 && other.received == grpc_message(expected));
}

// GOAWAY during a watch: events received before it count, and the connection fails at once.
void goaway_fails_the_connection() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    fixture.server.send(fixture.server.calls[1], grpc_message(EtcdFixture::drain_event("/h/a", 11)));
    fixture.exchange_bytes();
    nghttp2_submit_goaway(fixture.server.session, 0, 3, NGHTTP2_NO_ERROR, nullptr, 0);
    fixture.exchange_bytes();
    assert(fixture.list_text() == "a-b+c+" && fixture.follower.failure() == "registry member sent GOAWAY");
}

void a_reset_call_fails_the_connection() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    nghttp2_submit_rst_stream(fixture.server.session, 0, fixture.server.calls[1], NGHTTP2_REFUSED_STREAM);
    fixture.exchange_bytes();
    assert(fixture.follower.failure().find("watch ended: reset with code 7") == 0);
    EtcdFixture reading;
    nghttp2_submit_rst_stream(reading.server.session, 0, reading.server.calls[0], NGHTTP2_INTERNAL_ERROR);
    reading.exchange_bytes();
    assert(reading.follower.failure().find("range read failed") == 0);
}

// The flow control window never opens: no bytes of a call are sent, and the answer timeout fails the
// connection.
void a_window_that_never_opens_times_out() {
    EtcdFixture fixture(0);
    assert(fixture.server.calls.size() == 1 && fixture.server.received.empty());
    fixture.follower.set_time(19999);
    assert(!fixture.follower.has_failed());
    fixture.follower.set_time(20000);
    assert(fixture.follower.failure() == "range read not answered in time");
}

void invalid_lengths_fail_the_call_or_the_connection() {
    EtcdFixture frame;
    frame.read_and_watch();
    std::string head(9, '\0'); // a DATA frame of 16 MB, far beyond the allowed size
    head[0] = head[1] = head[2] = '\xff';
    head[8] = static_cast<char>(frame.server.calls[1]);
    frame.follower.feed(head, 1);
    frame.follower.output();
    assert(frame.follower.failure() == "the peer violated the HTTP/2 protocol");

    EtcdFixture large;
    large.read_and_watch();
    large.server.send(large.server.calls[1], std::string("\0\x7f\xff\xff\xff", 5) + "xx");
    large.exchange_bytes();
    // The watch is cancelled and the whole prefix is read again, on the same connection.
    assert(!large.follower.has_failed() && large.server.resets == 1 && large.server.calls.size() == 3);
    assert(large.view.take_log_lines().back().find("has missed a message of 2147483647 bytes") !=
           std::string::npos);

    EtcdFixture compressed;
    compressed.read_and_watch();
    compressed.server.send(compressed.server.calls[1], std::string("\1\0\0\0\2", 5) + "xx");
    compressed.exchange_bytes();
    assert(compressed.follower.failure().find("a compressed message") != std::string::npos);

    EtcdFixture noise;
    noise.follower.feed("HTTP/1.1 400 Bad Request\r\n\r\n", 1);
    noise.follower.output();
    assert(noise.follower.has_failed());
}

void malformed_messages_fail_the_connection() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    fixture.server.send(fixture.server.calls[1], std::string("\0\0\0\0\3\xff\xff\xff", 8));
    fixture.exchange_bytes();
    assert(fixture.follower.failure() == "malformed watch message" && fixture.list_text() == "a+b+c+");
    EtcdFixture page;
    page.server.send_answer_headers(page.server.calls[0]);
    page.server.send(page.server.calls[0], std::string("\0\0\0\0\3\xff\xff\xff", 8), 0);
    page.exchange_bytes();
    assert(page.follower.failure() == "malformed range response" && !page.view.synced());
}

// The size of a watch batch whose fragments never end is limited.
void endless_fragments_fail_the_connection() {
    EtcdFixture fixture;
    fixture.read_and_watch();
    pb::WatchResponse fragment;
    fragment.mutable_header()->set_revision(11);
    fragment.set_fragment(true);
    for (int i = 0; i < 5000; ++i) fragment.add_events()->mutable_kv()->set_key("/h/x");
    for (int i = 0; i < 25 && !fixture.follower.has_failed(); ++i) {
        fixture.server.send(fixture.server.calls[1], grpc_message(fragment));
        fixture.exchange_bytes();
    }
    assert(fixture.follower.failure() == "too many events in one watch batch" &&
           fixture.list_text() == "a+b+c+");
}

} // namespace

int main() {
    frames_may_be_split_anywhere();
    message_and_frame_boundaries_are_independent();
    a_partial_frame_is_discarded();
    goaway_fails_the_connection();
    a_reset_call_fails_the_connection();
    a_window_that_never_opens_times_out();
    invalid_lengths_fail_the_call_or_the_connection();
    malformed_messages_fail_the_connection();
    endless_fragments_fail_the_connection();
}
