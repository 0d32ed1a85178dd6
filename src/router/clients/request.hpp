// A client's command, read in place.
#pragma once

#include "router/start.hpp"

#include <array>
#include <string_view>

namespace pineridge::router::clients {

// An RPC as its client put it. The views lie in the command's own bytes.
struct Asked {
    std::string_view id, key;
    int method = 0;
    int tenant = 0;
    Ticks patience = 0; // counted from when the client sent it
    bool retry = false;
    Ticks size = 0; // its work as the client guesses it; 0: no guess
    std::string_view names; // the list of names and values, whole
    std::string_view patience_at; // the digits of its time, within the list
};

// A command kept for as long as anything may still be written of it.
struct Held {
    Held(std::string_view bytes, const Asked &read);
    Held(const Held &) = delete;
    std::string command;
    Asked asked; // its views lie in the command
};

// Throws BadInput for what no client should send; `most` bounds its id and its key.
Asked read_rpc(const std::vector<std::string_view> &words, const Names &names, std::size_t most);

// The answer to what is pushed back; `back`: when to come again, 0 where nothing is told of it.
std::string busy(Ticks back);
// What may be told of a time to come back: nothing where the platform does not allow it, and no longer time
// than it allows.
Ticks allowed(const DeploymentConfig &terms, Ticks back);

// The command once more with another time, as views into it and into the scratch.
struct Reworded {
    std::array<char, 48> size, digits;
    std::array<std::string_view, 5> parts;
};
void reword(const Held &held, Ticks patience, Reworded &into);

} // namespace pineridge::router::clients
