#ifndef PGW_GATEWAY_HTTP_CALLER_H
#define PGW_GATEWAY_HTTP_CALLER_H

#include "gateway/http/http_reader.h"
#include "gateway/http/peer_progress.h"
#include "gateway/http/slow_callers.h"
#include "util/address.h"
#include "util/buffer.h"
#include "util/list.h"
#include "util/loop.h"

/**
 * DOC: Connections of callers
 *
 * Reads one request at a time with its complete body, hands it to the owner
 * and writes the owner's answer. The next request of a connection is parsed
 * after the answer to the previous one. Everything runs on one loop's thread.
 */

struct pgw_caller_server;

/* Longest name of a request that logs show, with its NUL: a UUID fits. */
#define PGW_CALLER_NAME_SIZE 40

/**
 * struct pgw_caller - one connection of a caller
 * @server: the server that accepted it
 * @head: head of the current request, valid until the answer ends; NULL until
 *   it has arrived
 * @body: its complete body
 * @owner: the owner's data for the current request
 * @received_at_us: when the first byte of the request was read
 * @gone_unnoticed_us: after a disconnect: how long it may have gone unnoticed
 * @name: of the last request, for logs; set by the owner, or empty
 * @request_is_active: a request is being read or answered
 * @request_is_complete: it was received and handed to the owner
 * @answer_is_begun: the head of the answer was written
 * @discards_input: received bytes are dropped: no further request is read
 */
struct pgw_caller {
    struct pgw_caller_server *server;
    const struct pgw_http_head *head;
    struct pgw_buffer body;
    void *owner;
    uint64_t received_at_us;
    uint64_t gone_unnoticed_us;
    char name[PGW_CALLER_NAME_SIZE];
    /* The members below are private to caller.c. */
    struct pgw_loop_fd watch;
    struct pgw_list in_server;
    struct pgw_task reap;
    struct pgw_task next;
    struct pgw_http_reader reader;
    struct pgw_buffer in;
    struct pgw_buffer out;
    struct pgw_slow_caller slow;
    struct pgw_timer timer;
    size_t body_limit;
    struct pgw_peer_progress progress; /* of its last answer */
    uint32_t events;
    bool request_is_active;
    bool request_is_complete;
    bool is_stream;
    bool chunked;
    bool close_after_answer;
    bool answer_is_begun;
    bool discards_input;
    bool is_used;           /* bytes of a request have arrived */
    bool is_rejected;       /* before its request was complete */
    bool is_half_closed;    /* after the last answer, or when idle */
    bool is_answer_checked; /* the timer samples the answer in progress */
    bool closed_idle;       /* the latter, and no bytes have come since */
    bool next_is_posted;
    bool closed;
};

/**
 * struct pgw_caller_ops - callbacks of the server's owner
 * @on_request: a complete request has arrived; answer it now or later
 * @on_gone: the caller has disconnected before the answer was complete; the
 *   &struct pgw_caller must not be used after this
 * @render_error: return the body of an error answer of the server itself, to
 *   be freed with g_free()
 */
struct pgw_caller_ops {
    void (*on_request)(struct pgw_caller *caller, void *context);
    void (*on_gone)(struct pgw_caller *caller, void *context);
    char *(*render_error)(const struct pgw_caller *caller, unsigned status,
                          void *context);
};

/**
 * struct pgw_caller_limits - limits for callers; may change at any time
 * @head_bytes: most bytes of a head
 * @body_bytes: most bytes of a body
 * @head_timeout_ms: longest time from the first byte to the end of the head
 * @body_timeout_ms: longest time from the end of the head to the end of the
 *   body
 * @idle_timeout_ms: longest time between the receipt of an answer and the next
 *   request, and longest time in which a caller receives nothing of an answer
 */
struct pgw_caller_limits {
    size_t head_bytes;
    size_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t body_timeout_ms;
    uint32_t idle_timeout_ms;
};

/* Limits until a configuration sets others: 16 KB of head and 4 MB of body are
 * common limits of browsers and engines. */
#define PGW_CALLER_LIMITS_INIT                                                \
    {                                                                         \
        .head_bytes = 16384, .body_bytes = 4194304, .head_timeout_ms = 3000,  \
        .body_timeout_ms = 10000, .idle_timeout_ms = 15000                    \
    }

/**
 * pgw_caller_server_new() - listen and serve
 * @loop: loop on which the server runs
 * @address: the address; port 0 selects a free port
 * @ops: must outlive the server
 * @context: passed to the ops
 * @error: %PGW_ERROR_IO
 */
struct pgw_caller_server *
pgw_caller_server_new(struct pgw_loop *loop, const struct pgw_address *address,
                      const struct pgw_caller_ops *ops, void *context,
                      GError **error);

/** pgw_caller_server_port() - port on which the server listens */
uint16_t pgw_caller_server_port(const struct pgw_caller_server *server);

/** pgw_caller_server_set_limits() - set limits for all requests that begin
 * after this */
void pgw_caller_server_set_limits(struct pgw_caller_server *server,
                                  const struct pgw_caller_limits *limits);

/** pgw_caller_server_set_pending_bound() - most bytes of answers that are
 * buffered for all callers; beyond it the one that has been slow for longest
 * is closed; 0: no bound */
void pgw_caller_server_set_pending_bound(struct pgw_caller_server *server,
                                         size_t bytes);

/** pgw_caller_server_pause() - stop or continue accepting; meanwhile
 * connections wait in the listen backlog */
void pgw_caller_server_pause(struct pgw_caller_server *server, bool paused);

/**
 * pgw_caller_server_drain() - stop reusing connections
 *
 * From now on each connection is closed after its answer. Idle connections
 * stay open until pgw_caller_server_close().
 */
void pgw_caller_server_drain(struct pgw_caller_server *server);

/**
 * pgw_caller_server_close() - stop accepting and close all connections without
 * losing a request
 *
 * First no handshake begins any more, then established connections are
 * accepted. Every request that has arrived is answered, also the first one of
 * a connection that comes within a second. A connection is closed after its
 * last answer, or at once if it is idle. Requests in progress are not bounded
 * in time.
 */
void pgw_caller_server_close(struct pgw_caller_server *server);

/** pgw_caller_server_refuse_rest() - answer with status 503 what has arrived
 * in part only; to end pgw_caller_server_close() early */
void pgw_caller_server_refuse_rest(struct pgw_caller_server *server);

/** pgw_caller_server_is_closed() - pgw_caller_server_close() is complete: no
 * caller is owed an answer */
bool pgw_caller_server_is_closed(const struct pgw_caller_server *server);

/** pgw_caller_server_request_count() - number of requests being read or
 * answered, until all bytes of the answer are sent */
unsigned
pgw_caller_server_request_count(const struct pgw_caller_server *server);

/** pgw_caller_server_connection_count() - number of open connections */
unsigned
pgw_caller_server_connection_count(const struct pgw_caller_server *server);

/** pgw_caller_server_free() - close all connections; no callbacks follow */
void pgw_caller_server_free(struct pgw_caller_server *server);

/**
 * pgw_caller_begin() - write the head of an answer
 * @caller: the caller
 * @status: HTTP status
 * @fields: complete header lines, each with its CRLF, without the fields for
 *   framing and the connection, which the server adds
 * @length: bytes of the body, or -1: the body is sent in chunks
 */
void pgw_caller_begin(struct pgw_caller *caller, unsigned status,
                      const char *fields, int64_t length);

/** pgw_caller_write() - write a piece of the body */
void pgw_caller_write(struct pgw_caller *caller, const void *data,
                      size_t size);

/** pgw_caller_end() - complete the answer and read the next request */
void pgw_caller_end(struct pgw_caller *caller);

/** pgw_caller_abort() - close the connection such that the caller sees that
 * the answer is incomplete */
void pgw_caller_abort(struct pgw_caller *caller);

/** pgw_caller_pending() - bytes of the answer that are still buffered */
static inline size_t
pgw_caller_pending(const struct pgw_caller *caller)
{
    return pgw_buffer_size(&caller->out);
}

#endif
