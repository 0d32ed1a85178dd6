#include "net/http2/session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>

namespace pineridge::http2 {

namespace {

constexpr std::size_t kMaxEvents = 4096; // received and not taken yet
constexpr std::size_t kMaxUnsentBytes = 1 << 20; // of one call
constexpr std::int32_t kWindowBytes = 1 << 20; // flow control: the peer may send this much unacknowledged

struct Call {
    std::string unsent; // messages with their prefixes
    std::size_t sent = 0; // bytes of `unsent` already passed on
    bool half_close = false; // after the last message
    std::string received;
    int status = -1; // the gRPC status; below 0: none received
    std::string text;
    bool too_large = false;
};

} // namespace

struct Session::State {
    explicit State(std::size_t max_bytes) : max_message_bytes(max_bytes) {}
    ~State() { nghttp2_session_del(session); }

    void add_event(Event event) {
        if (events.size() >= kMaxEvents) {
            error = "more than 4096 events are pending";
            return;
        }
        events.push_back(std::move(event));
    }

    // Turns the complete messages received buffer events. Returns false for one that is compressed or too
    // large.
    bool parse_messages(std::int32_t id, Call &call) {
        while (call.received.size() >= 5) {
            const auto byte = [&](int i) {
                return static_cast<std::size_t>(static_cast<unsigned char>(call.received[i]));
            };
            const std::size_t size = byte(1) << 24 | byte(2) << 16 | byte(3) << 8 | byte(4);
            if (byte(0) != 0 || size > max_message_bytes) {
                call.too_large = byte(0) == 0;
                call.text =
                    byte(0) != 0 ? "a compressed message" : "a message of " + std::to_string(size) + " bytes";
                return false;
            }
            if (call.received.size() < 5 + size) return true;
            add_event({Event::Kind::message, id, call.received.substr(5, size)});
            call.received.erase(0, 5 + size);
        }
        return true;
    }

    static Call *find_call(nghttp2_session *, std::int32_t id, void *user) {
        auto *self = static_cast<State *>(user);
        const auto found = self->calls.find(id);
        return found == self->calls.end() ? nullptr : &found->second;
    }
    static int on_header(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                         std::size_t name_size, const std::uint8_t *value, std::size_t size, std::uint8_t,
                         void *user) {
        Call *call = find_call(session, frame->hd.stream_id, user);
        if (!call) return 0;
        const std::string_view key(reinterpret_cast<const char *>(name), name_size);
        const std::string text(reinterpret_cast<const char *>(value), std::min<std::size_t>(size, 256));
        if (key == "grpc-status") call->status = std::atoi(text.c_str());
        if (key == "grpc-message") call->text = text;
        if (key == ":status" && text != "200") call->text = "HTTP status " + text;
        return 0;
    }
    static int on_data(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *bytes,
                       std::size_t size, void *user) {
        Call *call = find_call(session, id, user);
        if (!call) return 0;
        call->received.append(reinterpret_cast<const char *>(bytes), size);
        if (!static_cast<State *>(user)->parse_messages(id, *call)) {
            call->received.clear();
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        }
        return 0;
    }
    static int on_close(nghttp2_session *session, std::int32_t id, std::uint32_t code, void *user) {
        Call *call = find_call(session, id, user);
        if (!call) return 0;
        auto *self = static_cast<State *>(user);
        if (code != 0 && call->text.empty()) call->text = "reset with code " + std::to_string(code);
        self->add_event({Event::Kind::ended, id, {}, call->status, call->text, call->too_large});
        self->calls.erase(id);
        return 0;
    }
    static int on_frame(nghttp2_session *, const nghttp2_frame *frame, void *user) {
        auto *self = static_cast<State *>(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) self->add_event({Event::Kind::going_away});
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK))
            self->add_event({Event::Kind::pong});
        return 0;
    }
    static ssize_t read_more(nghttp2_session *session, std::int32_t id, std::uint8_t *buffer,
                             std::size_t size, std::uint32_t *flags, nghttp2_data_source *, void *user) {
        Call *call = find_call(session, id, user);
        if (!call) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const std::size_t size_sent = std::min(size, call->unsent.size() - call->sent);
        if (size_sent == 0 && !call->half_close) return NGHTTP2_ERR_DEFERRED;
        std::memcpy(buffer, call->unsent.data() + call->sent, size_sent);
        call->sent += size_sent;
        if (call->sent == call->unsent.size()) {
            call->unsent.clear();
            call->sent = 0;
            if (call->half_close) *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size_sent);
    }

    const std::size_t max_message_bytes;
    nghttp2_session *session = nullptr;
    std::map<std::int32_t, Call> calls;
    std::deque<Event> events;
    std::string error;
};

Session::Session(std::size_t max_message_bytes) : state_(std::make_unique<State>(max_message_bytes)) {
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, State::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, State::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, State::on_close);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, State::on_frame);
    nghttp2_session_client_new(&state_->session, callbacks, state_.get());
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
                                               {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
                                               {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, 16384}};
    nghttp2_submit_settings(state_->session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(state_->session, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
}

Session::~Session() = default;

std::int32_t Session::start_call(const std::string &path, const std::string &authority,
                                 const std::string &token) {
    std::vector<std::pair<std::string, std::string>> fields{
        {":method", "POST"},       {":scheme", "http"}, {":path", path},
        {":authority", authority}, {"te", "trailers"},  {"content-type", "application/grpc"}};
    if (!token.empty()) fields.emplace_back("authorization", token);
    std::vector<nghttp2_nv> field_views;
    for (auto &[name, value] : fields)
        field_views.push_back({reinterpret_cast<std::uint8_t *>(name.data()),
                               reinterpret_cast<std::uint8_t *>(value.data()), name.size(), value.size(),
                               NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider provider{};
    provider.read_callback = State::read_more;
    const std::int32_t id = nghttp2_submit_request(state_->session, nullptr, field_views.data(),
                                                   field_views.size(), &provider, nullptr);
    if (id >= 0) state_->calls[id];
    return id;
}

void Session::send(std::int32_t id, std::string_view message, bool last) {
    const auto found = state_->calls.find(id);
    if (found == state_->calls.end()) return;
    Call &call = found->second;
    if (call.unsent.size() + message.size() > kMaxUnsentBytes) {
        state_->error = "more than 1 MiB waits to be sent: the peer opens no flow-control window";
        return;
    }
    const std::size_t size = message.size();
    for (const int shift : {32, 24, 16, 8, 0})
        call.unsent += static_cast<char>(shift == 32 ? 0 : size >> shift & 255);
    call.unsent += message;
    call.half_close = last;
    nghttp2_session_resume_data(state_->session, id);
}

void Session::cancel(std::int32_t id) {
    nghttp2_submit_rst_stream(state_->session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

void Session::ping() { nghttp2_submit_ping(state_->session, NGHTTP2_FLAG_NONE, nullptr); }

bool Session::feed(std::string_view bytes) {
    const ssize_t consumed = nghttp2_session_mem_recv(
        state_->session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (consumed < 0) error_ = nghttp2_strerror(static_cast<int>(consumed));
    if (error_.empty()) error_ = state_->error;
    return error_.empty();
}

std::string Session::take_output() {
    std::string bytes;
    const std::uint8_t *chunk = nullptr;
    ssize_t size = 0;
    while ((size = nghttp2_session_mem_send(state_->session, &chunk)) > 0)
        bytes.append(reinterpret_cast<const char *>(chunk), static_cast<std::size_t>(size));
    if (size < 0 && error_.empty()) error_ = nghttp2_strerror(static_cast<int>(size));
    // After a protocol violation nghttp2 queues a GOAWAY frame and reads no more.
    if (error_.empty() && !nghttp2_session_want_read(state_->session))
        error_ = "the peer violated the HTTP/2 protocol";
    return bytes;
}

bool Session::next_event(Event &event) {
    if (state_->events.empty()) return false;
    event = std::move(state_->events.front());
    state_->events.pop_front();
    return true;
}

} // namespace pineridge::http2
