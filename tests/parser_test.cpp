// The incremental parsers of client commands, host answers and HTTP responses: a result must not depend on
// how the bytes are split into reads. Each input is parsed in one part, in two parts split at every
// position, and byte by byte. Malformed input must be rejected.
#undef NDEBUG
#include "net/http/response.hpp"
#include "router/clients/session.hpp"
#include "router/hosts/answer_parser.hpp"
#include "router/hosts/idle_reuse_policy.hpp"

#include <cassert>
#include <functional>

using namespace pineridge;
using namespace pineridge::router;

namespace {

Limits limits() {
    Limits limits{};
    limits.max_pipelined = 3;
    return limits;
}
const Limits kLimits = limits();
const std::vector<std::string> kFields{"recent_ms", "outstanding"};

// Checks that the result of `parse` does not depend on how the bytes are split.
void expect_same_result_however_split(const std::string &bytes,
                                      const std::function<std::string(std::vector<std::string>)> &parse) {
    const std::string expected = parse({bytes});
    for (std::size_t split = 1; split < bytes.size(); ++split)
        assert(parse({bytes.substr(0, split), bytes.substr(split)}) == expected);
    std::vector<std::string> single_bytes;
    for (const char byte : bytes) single_bytes.emplace_back(1, byte);
    assert(parse(single_bytes) == expected);
}

std::string parse_commands(const std::vector<std::string> &parts) {
    clients::Session session(kLimits);
    std::string result;
    for (const std::string &part : parts) {
        session.feed(part);
        for (auto next = session.next(); next != clients::Session::Next::none; next = session.next()) {
            if (next == clients::Session::Next::malformed) return result + "malformed";
            for (const std::string_view argument : session.arguments()) result.append(argument).append(" ");
            result += "; ";
        }
    }
    return result;
}

void commands_parse_however_split() {
    const std::string two_commands = "*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n$6\r\na\r\nb$c\r\n";
    expect_same_result_however_split(two_commands, parse_commands);
    assert(parse_commands({two_commands}) == "PING  ; a\r\nb$c ; ");
}

void malformed_commands_are_rejected() {
    for (const char *bytes : {"PING\r\n", "*1\r\n+PING\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*-1\r\n", "*0\r\n",
                              "*99\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999999\r\n", "*1\r\n$3\r\nabcd\r\n",
                              "*x\r\n", "*1\n", "$4\r\nPING\r\n"}) {
        expect_same_result_however_split(bytes, parse_commands);
        assert(parse_commands({bytes}) == "malformed");
    }
}

std::string concatenated(const std::vector<std::string_view> &parts) {
    std::string all;
    for (const std::string_view part : parts) all += part;
    return all;
}

void replies_keep_the_order_of_commands() {
    clients::Session session(kLimits);
    const auto first = session.add_reply_slot();
    const auto second = session.add_reply_slot();
    session.set_reply(second, "two");
    assert(session.ready_replies().empty());
    session.set_reply(first, "one");
    session.set_reply(first, "again");
    assert(concatenated(session.ready_replies()) == "onetwo");
    session.replies_written();
    assert(!session.has_pending_replies() && session.is_idle());
}

void input_is_paused_at_the_pipeline_limit() {
    clients::Session session(kLimits);
    session.feed("*1\r\n$1\r\na\r\n");
    for (int i = 0; i < 3; ++i) session.add_reply_slot();
    assert(!session.accepts_input() && session.next() == clients::Session::Next::none);
}

// Guards against the failure of picture (a) of issue 58: a buffer of 64 KiB whose reservation had been
// released was kept, as an assignment from a short string leaves the block of the string that is assigned to.
void a_long_command_returns_its_memory() {
    constexpr std::size_t kLongCommand = 66000;
    clients::Session dropped(kLimits);
    dropped.feed("*1\r\n$1\r\n");
    dropped.grow(kLongCommand);
    assert(dropped.capacity() >= kLongCommand);
    dropped.discard_input();
    assert(dropped.capacity() <= resp::ReceiveBuffer::kSmallBytes);
    // Bytes may follow a long command that has been consumed: none, few or many.
    for (const std::size_t left : {0, 1, 15, 16, 400}) {
        resp::ReceiveBuffer buffer;
        buffer.grow(kLongCommand);
        buffer.append(std::string(kLongCommand, 'x'));
        buffer.consume(kLongCommand - left);
        assert(buffer.size() == left && buffer.capacity() <= resp::ReceiveBuffer::kSmallBytes);
    }
}

std::string parse_host_answer(const std::vector<std::string> &parts) {
    hosts::AnswerParser parser(kLimits, kFields);
    for (std::size_t i = 0; i < parts.size(); ++i)
        if (const auto result = parser.feed(parts[i]))
            return std::to_string(static_cast<int>(result->outcome)) + result->value +
                   std::to_string(result->report.size()) + (result->reusable ? "kept" : "closed");
    return "nothing";
}

void host_answers_parse_however_split() {
    const std::string wrong_length = "*3\r\n$3\r\na\r\n\r\n$-1\r\n$24\r\nrecent_ms=7,outstanding=2\r\n";
    const std::string complete = "*3\r\n$3\r\na\r\n\r\n$-1\r\n$25\r\nrecent_ms=7,outstanding=2\r\n";
    assert(parse_host_answer({wrong_length}) == "1"
                                                "0closed");
    expect_same_result_however_split(complete, parse_host_answer);
    assert(parse_host_answer({complete}) == "0$3\r\na\r\n\r\n2kept");
    assert(parse_host_answer({complete + "+"}) == "0$3\r\na\r\n\r\n2closed");
    expect_same_result_however_split("-ERR failed recent_ms=7,outstanding=2\r\n", parse_host_answer);
    assert(parse_host_answer({"-ERR failed recent_ms=7,outstanding=2\r\n"}) == "12kept");
    assert(parse_host_answer({"-BUSY\r\n"}) == "20kept");
    const std::string value = "$3\r\nabc\r\n";
    const std::string null = "$-1\r\n";
    for (const std::string &invalid :
         {"*1\r\n" + value, "*2\r\n" + value + null, "*3\r\n" + value + value + null,
          "*3\r\n" + null + null + null, "*4\r\n" + value + null + null + null, std::string("-ERR\r\n"),
          std::string("-BUSYX\r\n"), std::string("-ERR failedly\r\n")})
        assert(parse_host_answer({invalid}) == "10closed");
    assert(parse_host_answer({"*3\r\n" + value + null + "$1\r\n?\r\n"}) == "0" + value + "0kept");
    assert(parse_host_answer({"*1\r\n$-1\r\n"}) == "10closed");
    assert(parse_host_answer({"$3\r\nabc\r\n"}) == "10closed");
    assert(parse_host_answer({"?\r\n"}) == "10closed");
}

void invalid_load_reports_are_ignored() {
    assert((hosts::read_report("outstanding=2,x=1,recent_ms=7.5", kFields) == std::vector<double>{7.5, 2}));
    for (const char *invalid : {"", "outstanding=2", "recent_ms=a,outstanding=2",
                                "recent_ms=inf,outstanding=2", "recent_ms=-1,outstanding=2", ",,=,"})
        assert(hosts::read_report(invalid, kFields).empty());
}

std::string parse_http_response(const std::vector<std::string> &parts) {
    http::Response response(256, 64);
    for (const std::string &part : parts) response.feed(part);
    return response.is_malformed()
               ? "bad"
               : std::to_string(response.status()) + response.body() +
                     (response.is_complete() ? "done" : "more") + (response.keep_alive() ? "open" : "shut");
}

void http_responses_parse_however_split() {
    const std::string sized = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    expect_same_result_however_split(sized, parse_http_response);
    assert(parse_http_response({sized}) == "200bodydoneopen");
    assert(parse_http_response({sized + "x"}) == "200bodydoneshut");
    const std::string chunked = "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                                "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX: y\r\n\r\n";
    expect_same_result_however_split(chunked, parse_http_response);
    assert(parse_http_response({chunked}) == "503bodydoneshut");
    assert(parse_http_response({"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n\r\n"}) == "204doneopen");
    for (const char *bytes :
         {"noise", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nbad\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5, 6\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 65\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc"})
        assert(parse_http_response({bytes}) == "bad");
}

void a_body_without_a_length_ends_with_the_connection() {
    http::Response response(256, 64);
    response.feed("HTTP/1.1 200 OK\r\n\r\nbo");
    assert(!response.is_complete());
    response.end_of_stream();
    assert(response.is_complete() && !response.keep_alive());
    http::Response truncated(256, 64);
    truncated.feed("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbo");
    truncated.end_of_stream();
    assert(truncated.is_malformed());
}

void connections_are_not_reused_after_idle_times_at_which_they_fail() {
    hosts::IdleReusePolicy policy(kLimits);
    for (int i = 0; i < 40; ++i) {
        policy.record_new(i % 10 == 0);
        policy.record_reused(Milliseconds(5), i % 10 == 0);
        policy.record_reused(Milliseconds(120), i % 2 == 0);
    }
    assert(policy.allows(Milliseconds(5)) && policy.allows(Milliseconds(60)) &&
           !policy.allows(Milliseconds(120)) && !policy.allows(Milliseconds(900)));
    for (int i = 0; i < 20; ++i) policy.decay();
    assert(policy.allows(Milliseconds(900)));
}

} // namespace

int main() {
    connections_are_not_reused_after_idle_times_at_which_they_fail();
    commands_parse_however_split();
    malformed_commands_are_rejected();
    replies_keep_the_order_of_commands();
    input_is_paused_at_the_pipeline_limit();
    a_long_command_returns_its_memory();
    host_answers_parse_however_split();
    invalid_load_reports_are_ignored();
    http_responses_parse_however_split();
    a_body_without_a_length_ends_with_the_connection();
}
