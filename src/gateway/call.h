#ifndef PGW_GATEWAY_CALL_H
#define PGW_GATEWAY_CALL_H

#include "gateway/http_reader.h"
#include "util/address.h"
#include "util/buffer.h"
#include "util/list.h"
#include "util/loop.h"

/**
 * DOC: Outgoing HTTP calls over pooled connections
 *
 * A call sends bytes that the owner has made and reads one answer. Idle
 * connections are kept by address. Nothing is ever sent twice: a connection
 * that breaks fails its call, and the owner decides with @sent whether the
 * request may have run.
 */

/**
 * enum pgw_call_failure - why a call has no whole answer
 * @PGW_CALL_NO_CONNECTION: no connection was established; nothing was sent
 * @PGW_CALL_CLOSED: the peer closed or reset the connection
 * @PGW_CALL_MALFORMED: what came is no answer
 * @PGW_CALL_TIMEOUT: the owner's deadline of the call passed
 */
enum pgw_call_failure {
    PGW_CALL_NO_CONNECTION,
    PGW_CALL_CLOSED,
    PGW_CALL_MALFORMED,
    PGW_CALL_TIMEOUT,
};

struct pgw_call;

/**
 * struct pgw_call_ops - what the owner of a call hears
 * @on_head: the head of the answer; false skips an answer that belongs to
 *   another request and waits for the next one
 * @on_body: a piece of the body
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
 * @ops: the owner's callbacks; one of the last two ends the call
 * @connection: while the call runs, else NULL
 * @sent: some byte of the request was handed to the network
 * @reused: the connection had carried other calls before
 * @refused: the peer's machine said that nobody listens at its address
 * @answered: the head of the answer has come
 * @timer: the call's deadline
 */
struct pgw_call {
    const struct pgw_call_ops *ops;
    struct pgw_connection *connection;
    bool sent;
    bool reused;
    bool answered;
    bool refused;
    struct pgw_timer timer;
};

/**
 * struct pgw_call_options - how one call is made
 * @address: whom to call
 * @bytes: the whole request
 * @size: number of @bytes
 * @timeout_us: deadline of the whole call, 0 for none
 * @fresh: use a new connection: for calls whose loss on a connection that the
 *   peer has just closed cannot be made good
 * @no_body: the request is a HEAD
 */
struct pgw_call_options {
    const struct pgw_address *address;
    const void *bytes;
    size_t size;
    uint64_t timeout_us;
    bool fresh;
    bool no_body;
};

/**
 * struct pgw_call_pool_options - limits of a pool
 * @connect_timeout_us: longest wait for a connection
 * @idle_us: how long an idle connection is kept
 * @fresh_after_us: an idle time after which @fresh calls get a new connection
 * @max_idle: idle connections kept for each address
 * @head_limit: most bytes of an answer's head
 * @user_timeout_ms: unacknowledged data older than this breaks a connection
 */
struct pgw_call_pool_options {
    uint64_t connect_timeout_us;
    uint64_t idle_us;
    uint64_t fresh_after_us;
    unsigned max_idle;
    size_t head_limit;
    unsigned user_timeout_ms;
};

/*
 * 400 ms for a connection: a round trip is a few milliseconds at most, a lost
 * opening packet is sent again after a second, and by then another upstream
 * has long been asked. 4 s of idle time: upstreams announce keep-alive times
 * of 5 s and more. 250 ms for calls that may not be repeated: a server that
 * closes an idle connection does so after whole seconds.
 */
#define PGW_CALL_POOL_OPTIONS_INIT                                            \
    {                                                                         \
        .connect_timeout_us = 400000, .idle_us = 4000000,                     \
        .fresh_after_us = 250000, .max_idle = 64, .head_limit = 32768,        \
        .user_timeout_ms = 2500                                               \
    }

/** pgw_call_pool_new() - an empty pool on a loop */
struct pgw_call_pool *
pgw_call_pool_new(struct pgw_loop *loop,
                  const struct pgw_call_pool_options *options);

/** pgw_call_pool_free() - close all connections; no callbacks follow */
void pgw_call_pool_free(struct pgw_call_pool *pool);

/**
 * pgw_call_start() - send a request
 * @call: ops set, otherwise zeroed or ended
 * @pool: where connections come from
 * @options: read during the call only
 *
 * The answer comes through the ops, never before this returns.
 *
 * Return: false when no socket can be had; the call is not started then.
 */
bool pgw_call_start(struct pgw_call *call, struct pgw_call_pool *pool,
                    const struct pgw_call_options *options);

/** pgw_call_cancel() - close the call's connection; no callback follows, and
 * what has not reached the peer's machine never will */
void pgw_call_cancel(struct pgw_call *call);

/** pgw_call_is_running() - started and not over */
static inline bool
pgw_call_is_running(const struct pgw_call *call)
{
    return call->connection != NULL;
}

/**
 * struct pgw_call_socket_state - what the socket of a running call tells, for
 * logs
 * @port: local port, 0: not known
 * @unacked: bytes of the request that the peer's machine has not acknowledged,
 *   -1: not known
 */
struct pgw_call_socket_state {
    unsigned port;
    int unacked;
};

/** pgw_call_socket_state() - read it; the call must be running */
void pgw_call_socket_state(struct pgw_call_socket_state *out,
                           const struct pgw_call *call);

/** pgw_call_pause() - stop or go on reading the answer */
void pgw_call_pause(struct pgw_call *call, bool pause);

#endif
