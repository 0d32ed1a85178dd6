#include "router/clients/request.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace pineridge::router::clients {

namespace {

double parse_number(std::string_view value, const char *name) {
    double number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != value.data() + value.size())
        throw_field_error(name, "not a number");
    if (!(number >= 0 && number <= 1e8)) throw_field_error(name, "out of range");
    return number;
}

// Requires a printable token: it is written elsewhere between blanks and commas. Its size is bounded because
// it is stored for the lifetime of its RPC.
void check_token(std::string_view token, const char *name, std::size_t max_size) {
    if (token.empty() || token.size() > max_size) throw_field_error(name, "empty or too long");
    const auto not_printable = [](unsigned char c) { return c <= ' ' || c >= 127; };
    if (std::any_of(token.begin(), token.end(), not_printable))
        throw_field_error(name, "holds odd characters");
}

void parse_field(std::string_view name, std::string_view value, const Names &names, Request &request) {
    if (name == "c") {
        request.method = index_of(names.methods, std::string(value), "c");
    } else if (name == "t") {
        if (!names.tenants.empty()) request.tenant = index_of(names.tenants, std::string(value), "t");
    } else if (name == "d") {
        request.timeout = ticks_from_seconds(parse_number(value, "d") / 1000);
        request.timeout_digits = value;
    } else if (name == "r") {
        if (value != "0" && value != "1") throw_field_error("r", "neither 0 nor 1");
        request.retry = value == "1";
    } else if (name == "h") {
        request.size_hint = ticks_from_seconds(parse_number(value, "h") / 1e6);
    } else if (name == "k") {
        check_token(value, "k", value.size());
    } else {
        throw_field_error("names", "one that no client sends");
    }
}

} // namespace

Request parse_request(const std::vector<std::string_view> &arguments, const Names &names,
                      std::size_t max_size) {
    if (arguments.size() < 4 || arguments.size() > 5)
        throw_field_error("command", "not a key, an id, names and a body");
    Request request{};
    request.key = arguments[1];
    request.id = arguments[2];
    request.fields = arguments[3];
    check_token(request.id, "id", max_size);
    if (!request.key.empty()) check_token(request.key, "key", max_size);
    std::vector<std::string_view> seen_names;
    for (std::string_view rest = request.fields; !rest.empty();) {
        const std::string_view field = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals == 0)
            throw_field_error("names", "not a list of names and values");
        const std::string_view name = field.substr(0, equals);
        if (std::find(seen_names.begin(), seen_names.end(), name) != seen_names.end())
            throw_field_error(std::string(name), "repeated");
        seen_names.push_back(name);
        parse_field(name, field.substr(equals + 1), names, request);
    }
    for (const std::string_view needed : {"c", "d"})
        if (std::find(seen_names.begin(), seen_names.end(), needed) == seen_names.end())
            throw_field_error(std::string(needed), "missing");
    if (!names.tenants.empty() && std::find(seen_names.begin(), seen_names.end(), "t") == seen_names.end())
        throw_field_error("t", "missing");
    // A host treats a command that does not suit the method, or a body that does not belong to the command,
    // as malformed input.
    const bool is_ask = arguments[0] == "Q.ASK";
    if (is_ask != names.idempotent.at(request.method)) throw_field_error("c", "not for this command");
    if (is_ask && arguments.size() > 4) throw_field_error("body", "not for this command");
    return request;
}

std::string busy_reply(Ticks retry_after) {
    return retry_after > 0 ? "-BUSY " + std::to_string((retry_after + 9) / 10) + "\r\n" : "-BUSY\r\n";
}

Ticks permitted_retry_after(const DeploymentConfig &config, Ticks retry_after) {
    return config.advise_retry_after ? std::min(retry_after, config.max_retry_after) : 0;
}

OwnedRequest::OwnedRequest(std::string_view bytes, const Request &parsed)
    : OwnedRequest(std::string(bytes), bytes.data(), parsed, {}) {}

OwnedRequest::OwnedRequest(std::string bytes, const char *begin, const Request &parsed,
                           admission::MemoryReservation reserved)
    : command(std::move(bytes)), request(parsed), memory(std::move(reserved)) {
    for (std::string_view *view : {&request.id, &request.key, &request.fields, &request.timeout_digits})
        *view = std::string_view(command).substr(view->data() - begin, view->size());
}

void encode_with_timeout(const OwnedRequest &source, Ticks timeout, EncodedRequest &encoded) {
    const std::string_view command = source.command;
    const Request &request = source.request;
    const long timeout_ms = std::max<long>(1, static_cast<long>((timeout + 9) / 10));
    const int digit_count =
        std::snprintf(encoded.timeout_digits.data(), encoded.timeout_digits.size(), "%ld", timeout_ms);
    const std::size_t fields_size = request.fields.size() - request.timeout_digits.size() + digit_count;
    const int header_size =
        std::snprintf(encoded.length_header.data(), encoded.length_header.size(), "$%zu\r\n", fields_size);
    const std::size_t fields_at = request.fields.data() - command.data();
    const std::size_t digits_at = request.timeout_digits.data() - command.data();
    const std::size_t header_at = command.rfind('$', fields_at - 1); // the length line of the fields
    const std::size_t digits_end = digits_at + request.timeout_digits.size();
    encoded.parts = {
        command.substr(0, header_at), std::string_view(encoded.length_header.data(), header_size),
        command.substr(fields_at, digits_at - fields_at),
        std::string_view(encoded.timeout_digits.data(), digit_count), command.substr(digits_end)};
}

} // namespace pineridge::router::clients
