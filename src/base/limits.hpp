// Sizes, counts and times that bound the router's I/O. Filled once at start, passed by reference and never
// changed afterwards. A share or a count of connections is in descriptors; every connection takes one.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pineridge {

using Milliseconds = std::chrono::milliseconds;
using TickDuration =
    std::chrono::duration<std::int64_t, std::ratio<1, 10000>>; // one tick of the decision module

struct Limits {
    // Values from the deployment's configuration.
    std::size_t descriptors; // file descriptors that the process may have open
    std::size_t memory_bytes;
    Milliseconds connect_timeout; // for a connection to a host
    Milliseconds idle_timeout; // the host closes a connection that has been idle for this long
    Milliseconds vote_timeout; // for the answer to a vote
    std::size_t max_streams; // picks that one connection to a host may carry at once
    Milliseconds shutdown_timeout; // after SIGTERM; the process may be killed soon after it

    // Shares of the descriptors.
    std::size_t client_connections;
    std::size_t idle_eviction_threshold; // idle client connections are closed above this many connections
    std::size_t host_connections;

    // Connection attempts to one host at once: a base number, because a connection that becomes free also
    // serves waiting picks, and one more for each group of waiting picks up to a maximum.
    std::size_t concurrent_connects = 1;
    std::size_t picks_per_extra_connect = 8;
    std::size_t max_concurrent_connects = 4;
    std::size_t warm_connections = 12; // opened to each host before the first client is accepted
    std::size_t eviction_candidates = 4; // idle clients examined to make room for a new one
    std::size_t proxy_header_connections = 8; // accepted beyond the clients' share, awaiting a PROXY header
    std::size_t drain_connections = 8; // opened to hosts beyond their share while a host drains
    std::size_t accepts_per_turn = 32; // connections accepted before the event loop runs other work
    std::size_t lateness_sample_interval = 16; // one read in this many is checked for its unread time, while
                                               // none is late

    // Bounds of one connection.
    std::size_t max_value_bytes = 64 * 1024;
    std::size_t max_command_bytes = 160 * 1024; // key, id, names and body together
    std::size_t max_arguments = 16;
    std::size_t max_argument_bytes = 256; // of an id or a key
    std::size_t max_nesting = 4;
    std::size_t max_resp_line_bytes = 1024;
    std::size_t first_read_bytes = 4096;
    std::size_t max_pipelined = 64; // commands of one client in progress at once
    std::size_t max_discarded_bytes = 256 * 1024; // read from a client after a protocol error
    std::size_t max_unsent_bytes = 256 * 1024; // of answers that a client has not read yet
    std::size_t max_http_head_bytes = 16 * 1024;
    std::size_t max_stream_line_bytes = 64 * 1024; // of the platform's and the release desk's streams
    std::size_t max_list_body_bytes = 4 * 1024 * 1024;
    std::size_t max_snapshot_bytes = 32 * 1024 * 1024; // of the release desk
    std::size_t max_pending_opinions = 1024; // not yet sent to the release desk
    std::size_t max_unreadable_answers = 4; // consecutive ones, before a list call counts as failed
    std::size_t max_silent_watch_retries = 4; // of a silent list watch, before the call counts as failed
    std::size_t read_chunk_bytes = 16 * 1024;

    // An idle connection to a host is closed where connections idle for as long failed more often than new
    // ones by at least this margin, over a minimum number of uses. The statistics decay by a factor per sweep
    // and are bounded to a maximum number of uses.
    double reuse_failure_margin = 0.2;
    double reuse_min_samples = 8;
    double reuse_decay = 0.85;
    double reuse_max_samples = 60;

    // Times.
    Milliseconds answer_lead{2}; // a final answer is sent this long before the client's deadline
    Milliseconds unread_answer_timeout{10000}; // a client that reads none of its answers is closed after this
    Milliseconds close_linger{300}; // between the last answer after a protocol error and the close
    Milliseconds unread_check_interval{100}; // between checks whether a client that is not read from has left
    Milliseconds command_timeout{10000}; // for a client to complete a command
    Milliseconds list_poll_wait{20000}; // longest wait of a list watch; the shortest is half of it
    Milliseconds list_poll_grace{500}; // past its wait, before a watch counts as silent
    Milliseconds list_watch_overrun{2000}; // past its wait, when a silent watch's changes count as delivered
    Milliseconds list_lease{
        6000}; // a change counts as delivered this long after discovery has it, however calls end
    Milliseconds list_partial_answer{150}; // after its first byte an answer's changes count as
                                           // delivered, even where it is incomplete
    Milliseconds list_transit{250}; // longest time from writing an answer to reading its first byte
    Milliseconds list_watch_accepted{5000}; // a watch still open after this was accepted by discovery
    Milliseconds list_outage{6000}; // discovery is presumed down this long after it ended a watch, or after
                                    // the first failed call was sent
    Milliseconds list_outage_extension{4000}; // and after each later failed call
    Milliseconds list_queue_full{100}; // a call refused within this time found discovery's queue full
    Milliseconds list_min_queue_wait{1500}; // discovery rejects no queued call sooner than this
    Milliseconds list_ready_timeout{8000}; // for the first answer, before clients are accepted
    Milliseconds list_move_delay{4000}; // after discovery moves, all its changes count as delivered
    Milliseconds list_full_timeout{2500}; // for the full list
    Milliseconds list_retry_pause{100}; // before repeating a call that returned nothing new, or one to a
                                        // local agent
    Milliseconds answer_rest_timeout{1000}; // for the rest of an answer of discovery or the platform, after
                                            // its first bytes
    Milliseconds platform_connect_timeout{1000};
    Milliseconds desk_answer_timeout{1000}; // for the release desk's answer to an opinion
    Milliseconds desk_snapshot_timeout{5000};
    Milliseconds plan_interval{100}; // between evaluations of the release plan
    Milliseconds stream_silence_timeout{3500};
    Milliseconds min_retry_pause{200}, max_retry_pause{3000}; // of a stream: doubles, with jitter
    Milliseconds reuse_delay{20}; // between a host's answer and the next use of its connection, so that stray
                                  // bytes are noticed first
    Milliseconds preferred_reuse_delay{50}; // a connection idle for this long is preferred over a fresher one
    Milliseconds warm_up_timeout{500}; // for connections to hosts, before the first client is accepted
    Milliseconds listen_retry_time{10000}; // a listen address still held by an ending router is retried
    Milliseconds min_idle_before_eviction{100}; // a client connection idle for less may have its next command
                                                // on the way
    Milliseconds accept_pause{5}; // after an accept that found no free descriptor
    Milliseconds drain_time{2000}; // after a host drains, others may need more connections at once
    Milliseconds low_memory_pause{20}; // before a client with pending answers is read again
    Milliseconds min_lateness{8}; // unread time below this counts as none: the kernel's clock has 4 ms steps
    Milliseconds lateness_watch_time{100}; // after a late read, every read is checked for this long
    Milliseconds sweep_interval{1000}; // between checks of idle connections
    int sweeps_per_rehearsal_report = 5; // between log lines with the rehearsal's counts
    Milliseconds shutdown_quiet_time{700}; // after SIGTERM, this long without an RPC ends accepting
    Milliseconds min_shutdown_time{1000}; // but not before this
    Milliseconds shutdown_grace{50}; // past the shutdown time-out, for clients still in the listen queue when
                                     // descriptors have run out
    Milliseconds shutdown_unused_timeout{500}; // a new connection may wait this long for its first command
};

} // namespace pineridge
