#ifndef PGW_GATEWAY_CALLER_H
#define PGW_GATEWAY_CALLER_H

#include "gateway/http_reader.h"
#include "util/address.h"
#include "util/buffer.h"
#include "util/list.h"
#include "util/loop.h"

/**
 * DOC: Connections of callers
 *
 * Reads one request at a time, with its whole body, hands it to the owner and
 * writes what the owner answers. The next request of a connection is read
 * after the answer to the one before. All on one loop's thread.
 */

struct pgw_caller_server;

/**
 * struct pgw_caller - one connection of a caller
 * @server: the server that accepted it
 * @head: head of the current request, valid until the answer ends
 * @body: its whole body
 * @owner: the owner's data for the current request
 * @received_at_us: when the first byte of the request was read
 * @gone_unnoticed_us: once it is gone: for how long that may have gone
 * unnoticed
 */
struct pgw_caller {
    struct pgw_caller_server *server;
    const struct pgw_http_head *head;
    struct pgw_buffer body;
    void *owner;
    uint64_t received_at_us;
    uint64_t gone_unnoticed_us;
    /* the rest belongs to caller.c */
    struct pgw_loop_fd watch;
    struct pgw_list in_server;
    struct pgw_task reap;
    struct pgw_task next;
    struct pgw_http_reader reader;
    struct pgw_buffer in;
    struct pgw_buffer out;
    struct pgw_timer timer;
    size_t body_limit;
    uint32_t events;
    bool started;
    bool busy;
    bool chunked;
    bool close_after;
    bool answering;
    bool refused;
    bool half_closed;
    bool next_posted;
    bool closed;
};

/**
 * struct pgw_caller_ops - what the owner of the server does
 * @on_request: a whole request; answer it now or later
 * @on_gone: the caller went away before the answer was complete; the caller
 *   must not be used after this
 * @render_error: makes the body of an error that the server itself answers
 */
struct pgw_caller_ops {
    void (*on_request)(struct pgw_caller *caller, void *context);
    void (*on_gone)(struct pgw_caller *caller, void *context);
    char *(*render_error)(unsigned status, void *context);
};

/**
 * struct pgw_caller_limits - what callers may do; may change at any time
 * @head_bytes: most bytes of a head
 * @body_bytes: most bytes of a body
 * @head_timeout_ms: longest time from the first byte to the end of the head
 * @body_timeout_ms: longest time from there to the end of the body
 * @idle_timeout_ms: longest time between two requests
 */
struct pgw_caller_limits {
    size_t head_bytes;
    size_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t body_timeout_ms;
    uint32_t idle_timeout_ms;
};

/* What holds before a configuration says otherwise: 16 KB of head and 4 MB of
 * body are what browsers and engines commonly take. */
#define PGW_CALLER_LIMITS_INIT                                                \
    {                                                                         \
        .head_bytes = 16384, .body_bytes = 4194304, .head_timeout_ms = 3000,  \
        .body_timeout_ms = 10000, .idle_timeout_ms = 15000                    \
    }

/**
 * pgw_caller_server_new() - listen and serve
 * @loop: serves it
 * @address: the address; port 0 picks a free one
 * @ops: must outlive the server
 * @context: handed to the ops
 * @error: %PGW_ERROR_IO
 */
struct pgw_caller_server *
pgw_caller_server_new(struct pgw_loop *loop, const struct pgw_address *address,
                      const struct pgw_caller_ops *ops, void *context,
                      GError **error);

/** pgw_caller_server_port() - the port that it listens on */
uint16_t pgw_caller_server_port(const struct pgw_caller_server *server);

/** pgw_caller_server_set_limits() - for requests that begin from now on */
void pgw_caller_server_set_limits(struct pgw_caller_server *server,
                                  const struct pgw_caller_limits *limits);

/** pgw_caller_server_pause() - connections wait in the kernel meanwhile */
void pgw_caller_server_pause(struct pgw_caller_server *server, bool paused);

/**
 * pgw_caller_server_drain() - end kept connections as they become idle
 *
 * From now on each answer ends its connection. Connections that are idle stay
 * open until pgw_caller_server_close_idle().
 */
void pgw_caller_server_drain(struct pgw_caller_server *server);

/** pgw_caller_server_close_idle() - accept no more and close idle ones */
void pgw_caller_server_close_idle(struct pgw_caller_server *server);

/** pgw_caller_server_request_count() - number of requests being read or
 * answered */
unsigned
pgw_caller_server_request_count(const struct pgw_caller_server *server);

/** pgw_caller_server_free() - close everything; no callbacks follow */
void pgw_caller_server_free(struct pgw_caller_server *server);

/**
 * pgw_caller_begin() - write the head of an answer
 * @caller: the caller
 * @status: HTTP status
 * @fields: whole header lines, each with its CRLF; neither framing nor
 *   Connection, which the server adds
 * @length: bytes of the body, or -1: the body is written in chunks
 */
void pgw_caller_begin(struct pgw_caller *caller, unsigned status,
                      const char *fields, int64_t length);

/** pgw_caller_write() - a piece of the body */
void pgw_caller_write(struct pgw_caller *caller, const void *data,
                      size_t size);

/** pgw_caller_end() - the answer is complete; reads the next request */
void pgw_caller_end(struct pgw_caller *caller);

/** pgw_caller_abort() - the answer ends early: close so that it shows */
void pgw_caller_abort(struct pgw_caller *caller);

/** pgw_caller_pending() - bytes written and not yet taken by the caller */
static inline size_t
pgw_caller_pending(const struct pgw_caller *caller)
{
    return pgw_buffer_size(&caller->out);
}

#endif
