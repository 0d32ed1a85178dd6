// A client's command, read in place.
#pragma once

#include "router/start.hpp"

#include <array>
#include <string_view>

namespace pineridge::router::clients {

// An RPC as its client put it. The views lie in the command's own bytes.
struct Request {
    std::string_view id, key;
    int method = 0;
    int tenant = 0;
    Ticks timeout = 0; // counted from when the client sent it
    bool retry = false;
    Ticks work_estimate = 0; // its work as the client guesses it; 0: no guess
    std::string_view fields; // the list of names and values, whole
    std::string_view timeout_digits; // the digits of its time, within the list
};

// A command kept for as long as anything may still be written of it.
struct OwnedRequest {
    OwnedRequest(std::string_view bytes, const Request &read);
    OwnedRequest(const OwnedRequest &) = delete;
    std::string command;
    Request request; // its views lie in the command
};

// Throws BadInput for what no client should send; `most` bounds its id and its key.
Request parse_request(const std::vector<std::string_view> &arguments, const Names &names, std::size_t most);

// The answer to what is pushed back; `back`: when to come again, 0 where nothing is told of it.
std::string busy_reply(Ticks back);
// What may be told of a time to come back: nothing where the platform does not allow it, and no longer time
// than it allows.
Ticks permitted_retry_after(const DeploymentConfig &terms, Ticks back);

// The command once more with another time, as views into it and into the scratch.
struct EncodedRequest {
    std::array<char, 48> length_header, timeout_digits;
    std::array<std::string_view, 5> parts;
};
void encode_with_timeout(const OwnedRequest &held, Ticks timeout, EncodedRequest &into);

} // namespace pineridge::router::clients
