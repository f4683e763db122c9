#ifndef PGW_GATEWAY_HTTP_PEER_PROGRESS_H
#define PGW_GATEWAY_HTTP_PEER_PROGRESS_H

#include "util/socket.h"

/**
 * DOC: Whether a peer still receives what was sent to it
 *
 * The kernel's TCP_USER_TIMEOUT counts from the first moment at which the
 * peer's window was closed, and resets connections whose peer reads on slowly.
 * The decision is made here, from samples of the connection: a peer that
 * acknowledges anything, a window probe too, is alive.
 */

/**
 * enum pgw_peer_state - what the samples show
 * @PGW_PEER_DONE: it has received everything
 * @PGW_PEER_RECEIVES: it has not, and has made progress lately
 * @PGW_PEER_STALLED: it is alive and has received nothing for the stall time
 * @PGW_PEER_GONE: it has answered nothing for the silence time
 */
enum pgw_peer_state {
    PGW_PEER_DONE,
    PGW_PEER_RECEIVES,
    PGW_PEER_STALLED,
    PGW_PEER_GONE,
};

/**
 * struct pgw_peer_bounds - how long a peer may take
 * @stall_us: longest time without progress; 0: not bounded
 * @silence_us: longest time in which nothing is acknowledged
 */
struct pgw_peer_bounds {
    uint64_t stall_us;
    uint64_t silence_us;
};

/**
 * struct pgw_peer_progress - what the last samples showed
 * @unacked: bytes that the peer had not acknowledged
 * @acked: bytes that it had acknowledged
 * @progress_at_us: when it had last acknowledged some
 * @sampled_at_us: when the last sample was taken, at first when it began
 * @silent_since_us: since when its probes and retransmissions are unanswered,
 *   0: they are not
 */
struct pgw_peer_progress {
    size_t unacked;
    uint64_t acked;
    uint64_t progress_at_us;
    uint64_t sampled_at_us;
    uint64_t silent_since_us;
};

/** pgw_peer_progress_begin() - bytes are sent to a peer from @now_us on */
void pgw_peer_progress_begin(struct pgw_peer_progress *progress,
                             uint64_t now_us);

/**
 * pgw_peer_progress_update() - add a sample
 * @progress: of the connection
 * @sample: its state now; @unacked includes what is not written yet
 * @bounds: how long the peer may take
 * @now_us: monotonic time
 */
enum pgw_peer_state pgw_peer_progress_update(
    struct pgw_peer_progress *progress, const struct pgw_socket_sample *sample,
    const struct pgw_peer_bounds *bounds, uint64_t now_us);

#endif
