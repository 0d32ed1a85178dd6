#include "net/http2/session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>

namespace pineridge::http2 {

namespace {

constexpr std::size_t kMostEvents = 4096;
constexpr std::size_t kMostUnsent = 1 << 20;
constexpr std::int32_t kWindow = 1 << 20; // bytes that the peer may send ahead

struct Call {
    std::string unsent; // bytes of messages, with their heads
    std::size_t sent = 0;
    bool last = false;
    std::string heard;
    int status = -1;
    std::string text;
    bool too_large = false;
};

} // namespace

struct Session::State {
    explicit State(std::size_t most) : most_message(most) {}
    ~State() { nghttp2_session_del(session); }

    void event(Event event) {
        if (events.size() >= kMostEvents) {
            fault = "more events than are taken";
            return;
        }
        events.push_back(std::move(event));
    }

    // Whole messages of what was heard.
    bool sort(std::int32_t id, Call &call) {
        while (call.heard.size() >= 5) {
            const auto byte = [&](int i) {
                return static_cast<std::size_t>(static_cast<unsigned char>(call.heard[i]));
            };
            const std::size_t size = byte(1) << 24 | byte(2) << 16 | byte(3) << 8 | byte(4);
            if (byte(0) != 0 || size > most_message) {
                call.too_large = byte(0) == 0;
                call.text =
                    byte(0) != 0 ? "a compressed message" : "a message of " + std::to_string(size) + " bytes";
                return false;
            }
            if (call.heard.size() < 5 + size) return true;
            event({Event::Kind::message, id, call.heard.substr(5, size)});
            call.heard.erase(0, 5 + size);
        }
        return true;
    }

    static Call *of(nghttp2_session *, std::int32_t id, void *user) {
        auto *self = static_cast<State *>(user);
        const auto at = self->calls.find(id);
        return at == self->calls.end() ? nullptr : &at->second;
    }
    static int on_header(nghttp2_session *session, const nghttp2_frame *frame, const std::uint8_t *name,
                         std::size_t name_size, const std::uint8_t *value, std::size_t size, std::uint8_t,
                         void *user) {
        Call *call = of(session, frame->hd.stream_id, user);
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
        Call *call = of(session, id, user);
        if (!call) return 0;
        call->heard.append(reinterpret_cast<const char *>(bytes), size);
        if (!static_cast<State *>(user)->sort(id, *call)) {
            call->heard.clear();
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        }
        return 0;
    }
    static int on_close(nghttp2_session *session, std::int32_t id, std::uint32_t code, void *user) {
        Call *call = of(session, id, user);
        if (!call) return 0;
        auto *self = static_cast<State *>(user);
        if (code != 0 && call->text.empty()) call->text = "reset with code " + std::to_string(code);
        self->event({Event::Kind::ended, id, {}, call->status, call->text, call->too_large});
        self->calls.erase(id);
        return 0;
    }
    static int on_frame(nghttp2_session *, const nghttp2_frame *frame, void *user) {
        auto *self = static_cast<State *>(user);
        if (frame->hd.type == NGHTTP2_GOAWAY) self->event({Event::Kind::going_away});
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK))
            self->event({Event::Kind::pong});
        return 0;
    }
    static ssize_t read_more(nghttp2_session *session, std::int32_t id, std::uint8_t *into, std::size_t size,
                             std::uint32_t *flags, nghttp2_data_source *, void *user) {
        Call *call = of(session, id, user);
        if (!call) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const std::size_t more = std::min(size, call->unsent.size() - call->sent);
        if (more == 0 && !call->last) return NGHTTP2_ERR_DEFERRED;
        std::memcpy(into, call->unsent.data() + call->sent, more);
        call->sent += more;
        if (call->sent == call->unsent.size()) {
            call->unsent.clear();
            call->sent = 0;
            if (call->last) *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(more);
    }

    const std::size_t most_message;
    nghttp2_session *session = nullptr;
    std::map<std::int32_t, Call> calls;
    std::deque<Event> events;
    std::string fault;
};

Session::Session(std::size_t most_message) : state_(std::make_unique<State>(most_message)) {
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, State::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, State::on_data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, State::on_close);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, State::on_frame);
    nghttp2_session_client_new(&state_->session, callbacks, state_.get());
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindow},
                                               {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
                                               {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, 16384}};
    nghttp2_submit_settings(state_->session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(state_->session, NGHTTP2_FLAG_NONE, 0, kWindow);
}

Session::~Session() = default;

std::int32_t Session::call(const std::string &path, const std::string &authority, const std::string &token) {
    std::vector<std::pair<std::string, std::string>> heads{
        {":method", "POST"},       {":scheme", "http"}, {":path", path},
        {":authority", authority}, {"te", "trailers"},  {"content-type", "application/grpc"}};
    if (!token.empty()) heads.emplace_back("authorization", token);
    std::vector<nghttp2_nv> list;
    for (auto &[name, value] : heads)
        list.push_back({reinterpret_cast<std::uint8_t *>(name.data()),
                        reinterpret_cast<std::uint8_t *>(value.data()), name.size(), value.size(),
                        NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider provider{};
    provider.read_callback = State::read_more;
    const std::int32_t id =
        nghttp2_submit_request(state_->session, nullptr, list.data(), list.size(), &provider, nullptr);
    if (id >= 0) state_->calls[id];
    return id;
}

void Session::send(std::int32_t id, std::string_view message, bool last) {
    const auto at = state_->calls.find(id);
    if (at == state_->calls.end()) return;
    Call &call = at->second;
    if (call.unsent.size() + message.size() > kMostUnsent) {
        state_->fault = "a window that does not open";
        return;
    }
    const std::size_t size = message.size();
    for (const int shift : {32, 24, 16, 8, 0})
        call.unsent += static_cast<char>(shift == 32 ? 0 : size >> shift & 255);
    call.unsent += message;
    call.last = last;
    nghttp2_session_resume_data(state_->session, id);
}

void Session::cancel(std::int32_t id) {
    nghttp2_submit_rst_stream(state_->session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
}

void Session::ping() { nghttp2_submit_ping(state_->session, NGHTTP2_FLAG_NONE, nullptr); }

bool Session::feed(std::string_view bytes) {
    const ssize_t read = nghttp2_session_mem_recv(
        state_->session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (read < 0) fault_ = nghttp2_strerror(static_cast<int>(read));
    if (fault_.empty()) fault_ = state_->fault;
    return fault_.empty();
}

std::string Session::output() {
    std::string bytes;
    const std::uint8_t *part = nullptr;
    ssize_t size = 0;
    while ((size = nghttp2_session_mem_send(state_->session, &part)) > 0)
        bytes.append(reinterpret_cast<const char *>(part), static_cast<std::size_t>(size));
    if (size < 0 && fault_.empty()) fault_ = nghttp2_strerror(static_cast<int>(size));
    // nghttp2 has said GOAWAY for a frame that may not be, and reads no more.
    if (fault_.empty() && !nghttp2_session_want_read(state_->session)) fault_ = "a frame that may not be";
    return bytes;
}

bool Session::take(Event &event) {
    if (state_->events.empty()) return false;
    event = std::move(state_->events.front());
    state_->events.pop_front();
    return true;
}

} // namespace pineridge::http2
