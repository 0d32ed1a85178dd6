// Parses a client's command in place, and encodes it for a host with the time that remains of its timeout.
#pragma once

#include "admission/memory_budget.hpp"
#include "router/config.hpp"

#include <array>
#include <string_view>

namespace pineridge::router::clients {

// An RPC as its client sent it. The views point into the bytes of the command.
struct Request {
    std::string_view id, key;
    int method = 0;
    int tenant = 0;
    Ticks timeout = 0; // runs from when the client sent the command
    bool retry = false;
    Ticks size_hint = 0; // the client's estimate of its work; 0: none
    std::string_view fields; // the whole list of names and values
    std::string_view timeout_digits; // the digits of the timeout within `fields`
};

// A request that owns the bytes of its command. It lives as long as any of them may still be written.
struct OwnedRequest {
    // Copies the bytes of the command, into which the views of the request point.
    OwnedRequest(std::string_view bytes, const Request &parsed);
    // Takes the command over. The views point into a copy of it that begins at `begin`, or into itself.
    OwnedRequest(std::string bytes, const char *begin, const Request &parsed,
                 admission::MemoryReservation reserved);
    OwnedRequest(const OwnedRequest &) = delete;
    std::string command;
    Request request; // its views point into `command`
    admission::MemoryReservation memory; // of the request and of its RPC
};

// Parses the arguments of a Q.ASK or Q.DO command. Throws BadInput, which names the faulty field. `max_size`
// bounds the id and the key, in bytes.
Request parse_request(const std::vector<std::string_view> &arguments, const Names &names,
                      std::size_t max_size);

// Returns the reply for an RPC that is pushed back. It states the time to retry after in ms, unless that is
// 0.
std::string busy_reply(Ticks retry_after);
// Returns the retry-after time that may be sent to a client: 0 where the platform forbids sending one, else
// at most the platform's maximum.
Ticks permitted_retry_after(const DeploymentConfig &config, Ticks retry_after);

// A command encoded with another timeout. The parts are views into the original command and into the two
// arrays here, so both have to outlive them.
struct EncodedRequest {
    std::array<char, 48> length_header, timeout_digits;
    std::array<std::string_view, 5> parts;
};
void encode_with_timeout(const OwnedRequest &source, Ticks timeout, EncodedRequest &encoded);

} // namespace pineridge::router::clients
