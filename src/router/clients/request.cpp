#include "router/clients/request.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace pineridge::router::clients {

namespace {

double number_of(std::string_view value, const char *name) {
    double read = 0;
    const auto got = std::from_chars(value.data(), value.data() + value.size(), read);
    if (got.ec != std::errc{} || got.ptr != value.data() + value.size()) wrong(name, "not a number");
    if (!(read >= 0 && read <= 1e8)) wrong(name, "out of range");
    return read;
}

// A word that stands between blanks and commas elsewhere, and is kept for as long as its RPC.
void check_word(std::string_view word, const char *name, std::size_t most) {
    if (word.empty() || word.size() > most) wrong(name, "empty or too long");
    const auto odd = [](unsigned char c) { return c <= ' ' || c >= 127; };
    if (std::any_of(word.begin(), word.end(), odd)) wrong(name, "holds odd characters");
}

void take_field(std::string_view name, std::string_view value, const Names &names, Request &request) {
    if (name == "c") {
        request.method = place_of(names.methods, std::string(value), "c");
    } else if (name == "t") {
        if (!names.tenants.empty()) request.tenant = place_of(names.tenants, std::string(value), "t");
    } else if (name == "d") {
        request.timeout = ticks_down(number_of(value, "d") / 1000);
        request.timeout_digits = value;
    } else if (name == "r") {
        if (value != "0" && value != "1") wrong("r", "neither 0 nor 1");
        request.retry = value == "1";
    } else if (name == "h") {
        request.work_estimate = ticks_down(number_of(value, "h") / 1e6);
    } else if (name == "k") {
        check_word(value, "k", value.size());
    } else {
        wrong("names", "one that no client sends");
    }
}

} // namespace

Request parse_request(const std::vector<std::string_view> &arguments, const Names &names, std::size_t most) {
    if (arguments.size() < 4 || arguments.size() > 5) wrong("command", "not a key, an id, names and a body");
    Request request{};
    request.key = arguments[1];
    request.id = arguments[2];
    request.fields = arguments[3];
    check_word(request.id, "id", most);
    if (!request.key.empty()) check_word(request.key, "key", most);
    std::vector<std::string_view> seen;
    for (std::string_view rest = request.fields; !rest.empty();) {
        const std::string_view field = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals == 0) wrong("names", "not a list of names and values");
        const std::string_view name = field.substr(0, equals);
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) wrong(std::string(name), "repeated");
        seen.push_back(name);
        take_field(name, field.substr(equals + 1), names, request);
    }
    for (const std::string_view needed : {"c", "d"})
        if (std::find(seen.begin(), seen.end(), needed) == seen.end()) wrong(std::string(needed), "missing");
    if (!names.tenants.empty() && std::find(seen.begin(), seen.end(), "t") == seen.end())
        wrong("t", "missing");
    // A host takes the other command, or a body that does not belong, for bytes that it cannot read.
    const bool asks = arguments[0] == "Q.ASK";
    if (asks != names.idempotent.at(request.method)) wrong("c", "not for this command");
    if (asks && arguments.size() > 4) wrong("body", "not for this command");
    return request;
}

std::string busy_reply(Ticks back) {
    return back > 0 ? "-BUSY " + std::to_string((back + 9) / 10) + "\r\n" : "-BUSY\r\n";
}

Ticks permitted_retry_after(const DeploymentConfig &terms, Ticks back) {
    return terms.advise_retry_after ? std::min(back, terms.max_retry_after) : 0;
}

OwnedRequest::OwnedRequest(std::string_view bytes, const Request &read) : command(bytes), request(read) {
    for (std::string_view *view : {&request.id, &request.key, &request.fields, &request.timeout_digits})
        *view = std::string_view(command).substr(view->data() - bytes.data(), view->size());
}

void encode_with_timeout(const OwnedRequest &held, Ticks timeout, EncodedRequest &into) {
    const std::string_view command = held.command;
    const Request &request = held.request;
    const long whole = std::max<long>(1, static_cast<long>((timeout + 9) / 10));
    const int digits = std::snprintf(into.timeout_digits.data(), into.timeout_digits.size(), "%ld", whole);
    const std::size_t length = request.fields.size() - request.timeout_digits.size() + digits;
    const int size = std::snprintf(into.length_header.data(), into.length_header.size(), "$%zu\r\n", length);
    const std::size_t names_at = request.fields.data() - command.data();
    const std::size_t time_at = request.timeout_digits.data() - command.data();
    const std::size_t head_at = command.rfind('$', names_at - 1); // the size of the list of names
    const std::size_t time_end = time_at + request.timeout_digits.size();
    into.parts = {command.substr(0, head_at), std::string_view(into.length_header.data(), size),
                  command.substr(names_at, time_at - names_at),
                  std::string_view(into.timeout_digits.data(), digits), command.substr(time_end)};
}

} // namespace pineridge::router::clients
