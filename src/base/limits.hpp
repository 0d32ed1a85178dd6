// Sizes, counts and times of the router's mechanics: filled once at start, handed down, never changed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pineridge {

using Span = std::chrono::milliseconds;
using Tick = std::chrono::duration<std::int64_t, std::ratio<1, 10000>>; // the module's unit of time

struct Limits {
    // What the deployment tells.
    std::size_t descriptors;
    std::size_t memory;
    Span connect; // a host's connection not up by then never comes up
    Span idle; // an idle connection to a host is closed by then
    Span vote_wait; // for the answer to a vote
    std::size_t streams; // picks that one connection to a host may carry
    Span leave_by; // after SIGTERM: the process may be killed soon after

    // Shares of the descriptors.
    std::size_t clients;
    std::size_t kept; // connections of clients up to which idle ones are kept
    std::size_t hosts;

    std::size_t dials = 1; // to one host at once: what comes free serves the rest;
    std::size_t dial_more = 8, most_dials = 4; // one more for so many picks that wait for it, up to so many
    std::size_t warm = 12; // to one host, before the first clients
    std::size_t looked_at = 4; // idle clients looked at to make room for a new one
    std::size_t at_door = 8; // connections beyond the clients' share that wait for a front's header
    std::size_t drains = 8; // connections to hosts beyond their share, while a host drains
    std::size_t accepts = 32; // connections taken in one turn
    std::size_t late_looks = 16; // one read in so many is asked how long it has lain, while none has

    // One connection's bytes and counts.
    std::size_t value = 64 * 1024;
    std::size_t command = 160 * 1024; // key, names and body together
    std::size_t words = 16;
    std::size_t word = 256; // an id or a key
    std::size_t depth = 4;
    std::size_t line = 1024; // RESP lines
    std::size_t first_read = 4096;
    std::size_t pipelined = 64; // commands of one client under way at once
    std::size_t discarded = 256 * 1024; // bytes read of a client after those that could not be
    std::size_t unsent = 256 * 1024; // bytes of answers a client has yet to read
    std::size_t head = 16 * 1024; // HTTP
    std::size_t news_line = 64 * 1024;
    std::size_t list_body = 4 * 1024 * 1024;
    std::size_t snapshot = 32 * 1024 * 1024; // of the release desk
    std::size_t opinions = 1024; // that wait to be given
    std::size_t spoilt = 4; // answers in a row that cannot be read, before a call counts as failed
    std::size_t list_tries = 4; // to open a silent watch anew, before it is a failed call like any other
    std::size_t read_step = 16 * 1024;

    // Idle connections to hosts are closed early where they break more often than new ones by this share,
    // over so many uses; what was seen fades by this part a sweep, and counts for so many uses at most.
    double trust_share = 0.2, trust_least = 8, trust_fade = 0.85, trust_most = 60;

    // Times.
    Span answer_lead{2}; // a final answer leaves so long before the client stops waiting
    Span unread_answers{10000}; // a client that takes none of its answer for so long is closed
    Span linger{300}; // between the last answer of a connection that could not be read and its close
    Span unread_look{100}; // while a client is not read from, before it is seen whether it has left
    Span half_command{10000}; // and one that does not finish a command
    Span list_hold{20000}; // a watch's wait at the most, half of it at the least
    Span list_grace{500}; // over its wait, before a watch is silent
    Span list_told{2000}; // over its wait, what a silent watch has missed counts as told
    Span list_lease{6000}; // after discovery had it, a change counts as told, whatever calls come to
    Span list_partial_told{150}; // after an answer's first byte what it holds counts, read whole or not
    Span list_transit{250}; // from an answer's writing until its first byte is read, at most
    Span list_stands{5000}; // a watch that has not ended by then was accepted by discovery
    Span list_outage{6000}; // discovery is presumed down so long after it ended a watch, or a first call left
    Span list_outage_on{4000}; // and after each later one
    Span list_line_full{100}; // a call that discovery refuses so soon found its line full
    Span list_line{1500}; // discovery turns no call away after a wait shorter than this
    Span list_ready{8000}; // the first answer is waited for before clients are taken
    Span list_moved_told{4000}; // after discovery has moved, whatever it has to tell does
    Span list_whole{2500}; // for the whole list
    Span list_again{
        100}; // before the same is asked again of one that has nothing new, or of an agent at hand
    Span answer_rest{1000}; // for the rest of an answer of discovery or the platform, after its first bytes
    Span platform_connect{1000};
    Span desk_answer{1000}; // for the release desk's answer to an opinion
    Span desk_whole{5000}; // for its snapshot
    Span plan_beat{100}; // between looks at the release plan
    Span stream_silence{3500};
    Span retry_least{200}, retry_most{3000}; // pauses of the stream, doubling, spread
    Span settle{20}; // between a host's answer and the next use of its connection: what is stray shows then;
    Span settle_long{50}; // and where another one stands that has been quiet for so long, that is used
    Span warm_for{500}; // connections to hosts are waited for before the first clients
    Span listen_for{10000}; // an address in use, by a router that has yet to end, is tried again for so long
    Span rested{100}; // a client's connection idle for less is not closed for room: it is in use, and its
                      // next command may be under way
    Span accept_pause{5}; // after an accept that found no descriptor
    Span drain_for{2000}; // so long after a host's drain the others may need connections at once
    Span crammed_pause{20}; // until a client that is owed answers is read again where memory is short
    Span late_least{
        8}; // what has lain unread for less is as good as fresh: the kernel's clock has steps of 4
    Span late_for{100}; // after one that has lain, each read is asked
    Span sweep{1000}; // how often idle connections are looked at
    int rehearsal_sweeps = 5; // between lines on what a rehearsal has counted
    Span leave_quiet{700}; // after SIGTERM: so long without an RPC ends accepting
    Span leave_least{1000}; // and not before
    Span leave_last{50}; // beyond the end told, for those in the queue where descriptors have run out
    Span leave_unused{500}; // a fresh connection waits so long for its first command then
};

} // namespace pineridge
