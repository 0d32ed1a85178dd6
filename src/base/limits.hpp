// Limits holds the sizes, counts and times that bound the router's I/O. They are filled once at start, passed
// by reference and never changed afterwards. Every connection takes one file descriptor.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pineridge {

using Milliseconds = std::chrono::milliseconds;

// The decision module's unit of time; see Ticks in logic.hpp.
using TickDuration = std::chrono::duration<std::int64_t, std::ratio<1, 10000>>;

struct Limits {
    // --- values from the deployment's configuration ---

    // The process may have this many file descriptors open.
    std::size_t descriptors;
    std::size_t memory_bytes;
    // A connection to a host that is not established within this time never will be.
    Milliseconds connect_timeout;
    // A host closes a connection that has been idle for this long.
    Milliseconds idle_timeout;
    // The platform answers a vote within this time.
    Milliseconds vote_timeout;
    // One connection to a host may carry this many picks at once.
    std::size_t max_streams;
    // The process may be killed soon after this time has passed since SIGTERM.
    Milliseconds shutdown_timeout;

    // --- shares of the memory ---

    // Commands of clients, from their first byte beyond a small one until their RPCs have been answered.
    std::size_t request_memory_bytes;
    // Answers of hosts, until their clients have been sent them.
    std::size_t answer_memory_bytes;
    // This part of each of the two is kept for small commands and answers.
    double small_memory_share = 0.25;
    // So many ids of RPCs that may have been executed are remembered, each for this time at most.
    std::size_t max_executed_ids;
    Milliseconds executed_id_lifetime{60000};
    // What an open RPC counts for beside its command: its state, its picks and a small answer.
    std::size_t rpc_overhead_bytes = 6 * 1024;

    // --- shares of the descriptors ---

    std::size_t client_connections;
    // Idle client connections are closed while there are more client connections than this.
    std::size_t idle_eviction_threshold;
    std::size_t host_connections;

    // This many connections to one host are opened at once; a connection that becomes free serves waiting
    // picks as well. One more is opened for each group of waiting picks, up to the maximum.
    std::size_t concurrent_connects = 1;
    std::size_t picks_per_extra_connect = 8;
    std::size_t max_concurrent_connects = 4;
    // This many connections are opened to each host before the first client is accepted.
    std::size_t warm_connections = 12;
    // This many idle clients are examined to make room for a new one.
    std::size_t eviction_candidates = 4;
    // This many connections beyond the clients' share may wait for a PROXY header.
    std::size_t proxy_header_connections = 8;
    // This many connections beyond the hosts' share may be opened while a host drains.
    std::size_t drain_connections = 8;
    // This many connections are accepted before the event loop runs other work.
    std::size_t accepts_per_turn = 32;
    // While no read is late, one read in this many is checked for the time that its bytes lay unread.
    std::size_t lateness_sample_interval = 16;

    // --- bounds of one connection ---

    std::size_t max_value_bytes = 64 * 1024;
    std::size_t max_arguments = 16;
    std::size_t max_argument_bytes = 256; // applies to an id or a key
    std::size_t max_fields_bytes = 2048; // of the list of names and values
    std::size_t max_nesting = 4;
    std::size_t max_resp_line_bytes = 1024;
    std::size_t first_read_bytes = 4096;
    // A client may have this many commands in progress at once.
    std::size_t max_pipelined = 64;
    // After a protocol error this much more is read from the client, and discarded.
    std::size_t max_discarded_bytes = 256 * 1024;
    // A client is not read from while it has more unread answers than this.
    std::size_t max_unsent_bytes = 256 * 1024;
    std::size_t max_http_head_bytes = 16 * 1024;
    std::size_t max_stream_line_bytes = 64 * 1024;
    std::size_t max_list_body_bytes = 4 * 1024 * 1024;
    std::size_t max_snapshot_bytes = 32 * 1024 * 1024; // applies to the release desk's snapshot
    // This many opinions may wait to be sent to the release desk.
    std::size_t max_pending_opinions = 1024;
    // A call for the list fails after this many consecutive answers that cannot be read.
    std::size_t max_unreadable_answers = 4;
    // A silent watch is reopened this often before it counts as a failed call.
    std::size_t max_silent_watch_retries = 4;
    std::size_t read_chunk_bytes = 16 * 1024;

    // An idle connection to a host is closed where connections idle for as long failed more often than new
    // ones by at least this margin, over a minimum number of uses. The statistics decay by a factor per sweep
    // and are bounded to a maximum number of uses.
    double reuse_failure_margin = 0.2;
    double reuse_min_samples = 8;
    double reuse_decay = 0.85;
    double reuse_max_samples = 60;

    // --- times of client connections ---

    // A final answer is sent this long before the client's deadline.
    Milliseconds answer_lead{2};
    // A client that reads none of its answers for this long is closed.
    Milliseconds unread_answer_timeout{10000};
    // After a protocol error the connection is closed this long after the last answer.
    Milliseconds close_linger{300};
    // While a client is not read from, this is the time between checks whether it has disconnected.
    Milliseconds unread_check_interval{100};
    // The kernel keeps a connection whose client sends nothing from the router for this long.
    Milliseconds accept_deferral{1000};
    // A client that does not begin its first command within this time of being accepted is closed. With
    // accept_deferral and expiry_check_interval this is within 3 s of its connecting.
    Milliseconds first_byte_timeout{1500};
    // A client that does not complete a command within this time is closed.
    Milliseconds command_timeout{1750};
    // Connections are checked this often for the end of these times.
    Milliseconds expiry_check_interval{100};

    // --- times of calls to discovery and the platform ---

    // A watch of the list waits between half of this time and this time.
    Milliseconds list_poll_wait{20000};
    // A watch is silent when this time has passed since the end of its wait.
    Milliseconds list_poll_grace{500};
    // The changes that a silent watch missed count as delivered this long after the end of its wait.
    Milliseconds list_watch_overrun{2000};
    // A change counts as delivered this long after discovery has it, however the calls end.
    Milliseconds list_lease{6000};
    // The changes in an answer count as delivered this long after its first byte, even if it is incomplete.
    Milliseconds list_partial_answer{150};
    // An answer's first byte is read at most this long after the answer was written.
    Milliseconds list_transit{250};
    // A watch that is still open after this time was accepted by discovery.
    Milliseconds list_watch_accepted{5000};
    // Discovery that goes down stays down for at least this long.
    Milliseconds list_min_outage{5000};
    // While connections to discovery are refused, the next attempt is made after at most this time.
    Milliseconds list_reconnect_pause{1000};
    // A call that is refused within this time found discovery's queue full.
    Milliseconds list_queue_full{100};
    // Discovery rejects no queued call sooner than this.
    Milliseconds list_min_queue_wait{1500};
    // The router waits this long for the first list before it accepts clients.
    Milliseconds list_ready_timeout{8000};
    // All changes of a discovery that has moved count as delivered this long after the move.
    Milliseconds list_move_delay{4000};
    // A call for the full list is answered within this time.
    Milliseconds list_full_timeout{2500};
    // A call that returned nothing new, or one to a local agent, is repeated after this pause.
    Milliseconds list_retry_pause{100};
    // The rest of an answer of discovery or the platform arrives within this time after its first bytes.
    Milliseconds answer_rest_timeout{1000};
    Milliseconds platform_connect_timeout{1000};
    // The release desk answers an opinion within this time.
    Milliseconds desk_answer_timeout{1000};
    Milliseconds desk_snapshot_timeout{5000};
    // The release plan is evaluated this often.
    Milliseconds plan_interval{100};
    Milliseconds stream_silence_timeout{3500};
    // A stream that ended is reopened after a pause that doubles within these bounds and is jittered.
    Milliseconds min_retry_pause{200};
    Milliseconds max_retry_pause{3000};

    // --- times of connections to hosts ---

    // A connection is reused this long after the host's answer, so that stray bytes are noticed first.
    Milliseconds reuse_delay{20};
    // A connection that has been idle for this long is preferred over a fresher one.
    Milliseconds preferred_reuse_delay{50};
    // The router waits this long for connections to hosts before it accepts clients.
    Milliseconds warm_up_timeout{500};

    // --- times of accepting, eviction and shutdown ---

    // A listen address that an ending router still holds is retried for this long.
    Milliseconds listen_retry_time{10000};
    // A client connection that has waited for a command for less is not evicted, because the command may be
    // on the way.
    Milliseconds min_idle_before_eviction{100};
    // A client that has left its replies unread for less is not evicted.
    Milliseconds min_unread_before_eviction{1000};
    // Accepting pauses for this long after it found no free descriptor.
    Milliseconds accept_pause{5};
    // The other hosts may need more connections at once for this long after a host drains.
    Milliseconds drain_time{2000};
    // While memory is short, a connection is read again after this pause.
    Milliseconds low_memory_pause{20};
    // A command for which there was no memory for this long is pushed back.
    Milliseconds low_memory_timeout{1000};
    // A shorter unread time counts as none, because the kernel's clock has steps of 4 ms.
    Milliseconds min_lateness{8};
    // Every read is checked for this long after a late one.
    Milliseconds lateness_watch_time{100};
    // Idle connections are checked this often.
    Milliseconds sweep_interval{1000};
    // The rehearsal's counts are logged after this many sweeps.
    int sweeps_per_rehearsal_report = 5;
    // After SIGTERM, accepting ends when there was no RPC for this long, but not before the minimum. That is
    // longer than accept_deferral: a connection that the kernel still keeps back when the listener closes
    // would never be closed.
    Milliseconds shutdown_quiet_time{700};
    Milliseconds min_shutdown_time{1200};
    // If descriptors have run out, clients in the listen queue are accepted for this long past the shutdown
    // time-out.
    Milliseconds shutdown_grace{50};
    // During shutdown a new connection may wait this long for its first command.
    Milliseconds shutdown_unused_timeout{500};
};

} // namespace pineridge
