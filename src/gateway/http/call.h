#ifndef PGW_GATEWAY_HTTP_CALL_H
#define PGW_GATEWAY_HTTP_CALL_H

#include "gateway/http/http_reader.h"
#include "util/address.h"
#include "util/buffer.h"
#include "util/list.h"
#include "util/loop.h"

/**
 * DOC: Outgoing HTTP calls over pooled connections
 *
 * A call sends a request that its owner has encoded and reads one answer. Idle
 * connections are pooled by address. The pool never resends a request: a
 * broken connection fails its call, and @sent tells the owner whether the
 * request may have run.
 */

/**
 * enum pgw_call_failure - why a call has no complete answer
 * @PGW_CALL_NO_CONNECTION: no connection was established; nothing was sent
 * @PGW_CALL_CLOSED: the peer closed or reset the connection
 * @PGW_CALL_MALFORMED: the received bytes are not an HTTP answer
 * @PGW_CALL_TIMEOUT: the timeout of the call expired
 */
enum pgw_call_failure {
    PGW_CALL_NO_CONNECTION,
    PGW_CALL_CLOSED,
    PGW_CALL_MALFORMED,
    PGW_CALL_TIMEOUT,
};

struct pgw_call;

/**
 * struct pgw_call_ops - callbacks of a call's owner
 * @on_head: the head of the answer has arrived; return false to skip an answer
 *   that belongs to another request and to wait for the next one. The
 *   connection is closed after the call then
 * @on_body: a piece of the body has arrived
 * @on_done: the answer is complete; the call is over
 * @on_failed: there will be no complete answer; the call is over
 */
struct pgw_call_ops {
    bool (*on_head)(struct pgw_call *call, const struct pgw_http_head *head);
    void (*on_body)(struct pgw_call *call, const char *data, size_t size);
    void (*on_done)(struct pgw_call *call);
    void (*on_failed)(struct pgw_call *call, enum pgw_call_failure why);
};

struct pgw_connection;
struct pgw_call_pool;

/**
 * struct pgw_call - one call, embedded in its owner
 * @ops: the owner's callbacks; @on_done or @on_failed ends the call
 * @connection: NULL unless the call is running
 * @sent: at least one byte of the request was handed to the kernel
 * @earlier_calls: calls that the connection has carried before
 * @foreign_answers: answers that were skipped for this call
 * @last_use: set by the owner: the connection is closed after the call
 * @refused: the peer's machine refused the connection: no process listens
 * @answered: the head of the answer has arrived
 * @timer: the call's timeout
 */
struct pgw_call {
    const struct pgw_call_ops *ops;
    struct pgw_connection *connection;
    bool sent;
    bool answered;
    bool refused;
    bool last_use;
    unsigned earlier_calls;
    unsigned foreign_answers;
    struct pgw_timer timer;
};

/**
 * struct pgw_call_options - options of one call
 * @address: address of the peer
 * @bytes: the encoded request
 * @size: number of @bytes
 * @timeout_us: timeout of the whole call, 0 for none
 * @fresh: use a new connection, or one that was idle only briefly: for
 *   requests that must not be retried if the peer closes an idle connection
 *   at the moment of the call
 * @alone: use a connection that carries no other call, so that no answer to
 *   another one can be taken for this one's
 * @no_body: the request is a HEAD, so its answer has no body
 * @body_max: an answer with a larger body is malformed, 0: no bound
 */
struct pgw_call_options {
    const struct pgw_address *address;
    const void *bytes;
    size_t size;
    uint64_t timeout_us;
    bool fresh;
    bool alone;
    bool no_body;
    size_t body_max;
};

/**
 * struct pgw_call_pool_options - limits of a pool
 * @connect_timeout_us: longest time to establish a connection
 * @idle_us: how long an idle connection is kept
 * @fresh_after_us: idle time after which a connection is not used for calls
 *   with &pgw_call_options.fresh
 * @max_idle: most idle connections for each address
 * @head_limit: most bytes of an answer's head
 * @silence_us: a peer that acknowledges nothing of a request for so long is
 *   gone, and the connection is closed
 */
struct pgw_call_pool_options {
    uint64_t connect_timeout_us;
    uint64_t idle_us;
    uint64_t fresh_after_us;
    unsigned max_idle;
    size_t head_limit;
    uint64_t silence_us;
};

/*
 * 400 ms to connect: a round trip takes a few milliseconds at most, and a lost
 * SYN is resent only after a second, too late compared to a retry at another
 * upstream. 4 s of idle time: upstreams announce keep-alive times of 5 s and
 * more. 250 ms for requests that must not be retried: servers close idle
 * connections after whole seconds. 2.5 s of silence: three retransmissions are
 * lost by then, and time is left for another upstream.
 */
#define PGW_CALL_POOL_OPTIONS_INIT                                            \
    {                                                                         \
        .connect_timeout_us = 400000, .idle_us = 4000000,                     \
        .fresh_after_us = 250000, .max_idle = 64, .head_limit = 32768,        \
        .silence_us = 2500000                                                 \
    }

/** pgw_call_pool_new() - create an empty pool on a loop */
struct pgw_call_pool *
pgw_call_pool_new(struct pgw_loop *loop,
                  const struct pgw_call_pool_options *options);

/** pgw_call_pool_free() - close all connections; no callbacks follow */
void pgw_call_pool_free(struct pgw_call_pool *pool);

/**
 * pgw_call_start() - send a request
 * @call: ops set, otherwise zeroed or ended
 * @pool: pool of connections
 * @options: need not outlive this function
 *
 * The ops are called from the loop, never before this returns.
 *
 * Return: false when no connection can be opened; the call is not started
 * then.
 */
bool pgw_call_start(struct pgw_call *call, struct pgw_call_pool *pool,
                    const struct pgw_call_options *options);

/** pgw_call_cancel() - close the call's connection; no callback follows, and
 * bytes that the peer has not acknowledged are not resent */
void pgw_call_cancel(struct pgw_call *call);

/** pgw_call_is_running() - whether the call has started and not ended */
static inline bool
pgw_call_is_running(const struct pgw_call *call)
{
    return call->connection != NULL;
}

/**
 * struct pgw_call_socket_state - state of a running call's socket, for logs
 * @port: local port, 0: not known
 * @unacked: bytes of the request that the peer's machine has not acknowledged,
 *   -1: not known
 */
struct pgw_call_socket_state {
    unsigned port;
    int unacked;
};

/** pgw_call_socket_state() - get the state; the call must be running */
void pgw_call_socket_state(struct pgw_call_socket_state *out,
                           const struct pgw_call *call);

/** pgw_call_pause() - stop or continue reading the answer */
void pgw_call_pause(struct pgw_call *call, bool pause);

#endif
