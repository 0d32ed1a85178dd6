// Bytes fed whole, in two parts at every place, and one by one come out alike.
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

// What `read` makes of the parts must not depend on where they are cut.
void fed_alike(const std::string &bytes, const std::function<std::string(std::vector<std::string>)> &read) {
    const std::string whole = read({bytes});
    for (std::size_t at = 1; at < bytes.size(); ++at)
        assert(read({bytes.substr(0, at), bytes.substr(at)}) == whole);
    std::vector<std::string> ones;
    for (const char byte : bytes) ones.emplace_back(1, byte);
    assert(read(ones) == whole);
}

std::string commands(const std::vector<std::string> &parts) {
    clients::Session session(kLimits);
    std::string seen;
    for (const std::string &part : parts) {
        session.feed(part);
        for (auto got = session.next(); got != clients::Session::Next::none; got = session.next()) {
            if (got == clients::Session::Next::malformed) return seen + "broken";
            for (const std::string_view word : session.arguments()) seen.append(word).append(" ");
            seen += "; ";
        }
    }
    return seen;
}

void commands_are_read_however_split() {
    const std::string two = "*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n$6\r\na\r\nb$c\r\n";
    fed_alike(two, commands);
    assert(commands({two}) == "PING  ; a\r\nb$c ; ");
}

void bad_commands_break_the_connection() {
    for (const char *bytes : {"PING\r\n", "*1\r\n+PING\r\n", "*1\r\n*1\r\n$1\r\na\r\n", "*-1\r\n", "*0\r\n",
                              "*99\r\n", "*1\r\n$-1\r\n", "*1\r\n$99999999\r\n", "*1\r\n$3\r\nabcd\r\n",
                              "*x\r\n", "*1\n", "$4\r\nPING\r\n"}) {
        fed_alike(bytes, commands);
        assert(commands({bytes}) == "broken");
    }
}

std::string text_of(const std::vector<std::string_view> &parts) {
    std::string all;
    for (const std::string_view part : parts) all += part;
    return all;
}

void answers_keep_the_order_of_commands() {
    clients::Session session(kLimits);
    const auto first = session.add_reply_slot(), second = session.add_reply_slot();
    session.set_reply(second, "two");
    assert(session.ready_replies().empty());
    session.set_reply(first, "one");
    session.set_reply(first, "again");
    assert(text_of(session.ready_replies()) == "onetwo");
    session.replies_written();
    assert(!session.has_pending_replies() && session.is_idle());
}

void a_client_that_pipelines_too_much_is_held_back() {
    clients::Session session(kLimits);
    session.feed("*1\r\n$1\r\na\r\n");
    for (int i = 0; i < 3; ++i) session.add_reply_slot();
    assert(!session.accepts_input() && session.next() == clients::Session::Next::none);
}

std::string answered(const std::vector<std::string> &parts) {
    hosts::AnswerParser parser(kLimits, kFields);
    for (std::size_t i = 0; i < parts.size(); ++i)
        if (const auto result = parser.feed(parts[i]))
            return std::to_string(static_cast<int>(result->outcome)) + result->value +
                   std::to_string(result->report.size()) + (result->reusable ? "kept" : "closed");
    return "nothing";
}

void a_hosts_answer_is_read_however_split() {
    const std::string ok = "*3\r\n$3\r\na\r\n\r\n$-1\r\n$24\r\nrecent_ms=7,outstanding=2\r\n";
    const std::string whole = "*3\r\n$3\r\na\r\n\r\n$-1\r\n$25\r\nrecent_ms=7,outstanding=2\r\n";
    assert(answered({ok}) == "1"
                             "0closed");
    fed_alike(whole, answered);
    assert(answered({whole}) == "0$3\r\na\r\n\r\n2kept");
    assert(answered({whole + "+"}) == "0$3\r\na\r\n\r\n2closed");
    fed_alike("-ERR failed recent_ms=7,outstanding=2\r\n", answered);
    assert(answered({"-ERR failed recent_ms=7,outstanding=2\r\n"}) == "12kept");
    assert(answered({"-BUSY\r\n"}) == "20kept");
    const std::string value = "$3\r\nabc\r\n", null = "$-1\r\n";
    for (const std::string &odd :
         {"*1\r\n" + value, "*2\r\n" + value + null, "*3\r\n" + value + value + null,
          "*3\r\n" + null + null + null, "*4\r\n" + value + null + null + null, std::string("-ERR\r\n"),
          std::string("-BUSYX\r\n"), std::string("-ERR failedly\r\n")})
        assert(answered({odd}) == "10closed");
    assert(answered({"*3\r\n" + value + null + "$1\r\n?\r\n"}) == "0" + value + "0kept");
    assert(answered({"*1\r\n$-1\r\n"}) == "10closed");
    assert(answered({"$3\r\nabc\r\n"}) == "10closed");
    assert(answered({"?\r\n"}) == "10closed");
}

void odd_reports_are_left_out() {
    assert((hosts::read_report("outstanding=2,x=1,recent_ms=7.5", kFields) == std::vector<double>{7.5, 2}));
    for (const char *odd : {"", "outstanding=2", "recent_ms=a,outstanding=2", "recent_ms=inf,outstanding=2",
                            "recent_ms=-1,outstanding=2", ",,=,"})
        assert(hosts::read_report(odd, kFields).empty());
}

std::string http_answer(const std::vector<std::string> &parts) {
    http::Response answer(256, 64);
    for (const std::string &part : parts) answer.feed(part);
    return answer.is_malformed()
               ? "bad"
               : std::to_string(answer.status()) + answer.body() + (answer.is_complete() ? "done" : "more") +
                     (answer.keep_alive() ? "open" : "shut");
}

void http_answers_are_read_however_split() {
    const std::string sized = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    fed_alike(sized, http_answer);
    assert(http_answer({sized}) == "200bodydoneopen");
    assert(http_answer({sized + "x"}) == "200bodydoneshut");
    const std::string chunked = "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                                "2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX: y\r\n\r\n";
    fed_alike(chunked, http_answer);
    assert(http_answer({chunked}) == "503bodydoneshut");
    assert(http_answer({"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n\r\n"}) == "204doneopen");
    for (const char *bytes :
         {"noise", "HTTP/2 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nbad\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5, 6\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 65\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc"})
        assert(http_answer({bytes}) == "bad");
}

void a_body_without_a_size_ends_with_the_connection() {
    http::Response answer(256, 64);
    answer.feed("HTTP/1.1 200 OK\r\n\r\nbo");
    assert(!answer.is_complete());
    answer.end_of_stream();
    assert(answer.is_complete() && !answer.keep_alive());
    http::Response cut(256, 64);
    cut.feed("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbo");
    cut.end_of_stream();
    assert(cut.is_malformed());
}

void idle_connections_that_break_are_no_longer_trusted() {
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
    idle_connections_that_break_are_no_longer_trusted();
    commands_are_read_however_split();
    bad_commands_break_the_connection();
    answers_keep_the_order_of_commands();
    a_client_that_pipelines_too_much_is_held_back();
    a_hosts_answer_is_read_however_split();
    odd_reports_are_left_out();
    http_answers_are_read_however_split();
    a_body_without_a_size_ends_with_the_connection();
}
