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

void take_field(std::string_view name, std::string_view value, const Names &names, Asked &asked) {
    if (name == "c") {
        asked.method = place_of(names.methods, std::string(value), "c");
    } else if (name == "t") {
        if (!names.tenants.empty()) asked.tenant = place_of(names.tenants, std::string(value), "t");
    } else if (name == "d") {
        asked.patience = ticks_down(number_of(value, "d") / 1000);
        asked.patience_at = value;
    } else if (name == "r") {
        if (value != "0" && value != "1") wrong("r", "neither 0 nor 1");
        asked.retry = value == "1";
    } else if (name == "h") {
        asked.size = ticks_down(number_of(value, "h") / 1e6);
    } else if (name == "k") {
        check_word(value, "k", value.size());
    } else {
        wrong("names", "one that no client sends");
    }
}

} // namespace

Asked read_rpc(const std::vector<std::string_view> &words, const Names &names, std::size_t most) {
    if (words.size() < 4 || words.size() > 5) wrong("command", "not a key, an id, names and a body");
    Asked asked{};
    asked.key = words[1];
    asked.id = words[2];
    asked.names = words[3];
    check_word(asked.id, "id", most);
    if (!asked.key.empty()) check_word(asked.key, "key", most);
    std::vector<std::string_view> seen;
    for (std::string_view rest = asked.names; !rest.empty();) {
        const std::string_view field = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals == 0) wrong("names", "not a list of names and values");
        const std::string_view name = field.substr(0, equals);
        if (std::find(seen.begin(), seen.end(), name) != seen.end()) wrong(std::string(name), "repeated");
        seen.push_back(name);
        take_field(name, field.substr(equals + 1), names, asked);
    }
    for (const std::string_view needed : {"c", "d"})
        if (std::find(seen.begin(), seen.end(), needed) == seen.end()) wrong(std::string(needed), "missing");
    if (!names.tenants.empty() && std::find(seen.begin(), seen.end(), "t") == seen.end())
        wrong("t", "missing");
    // A host takes the other command, or a body that does not belong, for bytes that it cannot read.
    const bool asks = words[0] == "Q.ASK";
    if (asks != names.idempotent.at(asked.method)) wrong("c", "not for this command");
    if (asks && words.size() > 4) wrong("body", "not for this command");
    return asked;
}

std::string busy(Ticks back) {
    return back > 0 ? "-BUSY " + std::to_string((back + 9) / 10) + "\r\n" : "-BUSY\r\n";
}

Ticks allowed(const DeploymentConfig &terms, Ticks back) {
    return terms.advise_retry_after ? std::min(back, terms.max_retry_after) : 0;
}

Held::Held(std::string_view bytes, const Asked &read) : command(bytes), asked(read) {
    for (std::string_view *view : {&asked.id, &asked.key, &asked.names, &asked.patience_at})
        *view = std::string_view(command).substr(view->data() - bytes.data(), view->size());
}

void reword(const Held &held, Ticks patience, Reworded &into) {
    const std::string_view command = held.command;
    const Asked &asked = held.asked;
    const long whole = std::max<long>(1, static_cast<long>((patience + 9) / 10));
    const int digits = std::snprintf(into.digits.data(), into.digits.size(), "%ld", whole);
    const std::size_t length = asked.names.size() - asked.patience_at.size() + digits;
    const int size = std::snprintf(into.size.data(), into.size.size(), "$%zu\r\n", length);
    const std::size_t names_at = asked.names.data() - command.data();
    const std::size_t time_at = asked.patience_at.data() - command.data();
    const std::size_t head_at = command.rfind('$', names_at - 1); // the size of the list of names
    const std::size_t time_end = time_at + asked.patience_at.size();
    into.parts = {command.substr(0, head_at), std::string_view(into.size.data(), size),
                  command.substr(names_at, time_at - names_at), std::string_view(into.digits.data(), digits),
                  command.substr(time_end)};
}

} // namespace pineridge::router::clients
