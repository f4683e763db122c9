#ifndef STANDINS_HTTP_LIB_H
#define STANDINS_HTTP_LIB_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Small HTTP server that all stand-ins share
 *
 * A handler is called once for each request, after its whole body has come.
 * It answers at once or keeps a reference and answers later from any thread;
 * meanwhile the connection costs no thread.
 */

struct standin_server;
struct standin_call;

/**
 * struct standin_server_options - how to serve
 * @port: port on 127.0.0.1, 0 for a free one
 * @threads: threads that serve connections, at least 1
 * @handle: called for each request, concurrently
 * @data: passed to @handle
 */
struct standin_server_options {
    uint16_t port;
    unsigned threads;
    void (*handle)(struct standin_call *call, void *data);
    void *data;
};

/**
 * standin_process_init() - signals as every stand-in treats them
 *
 * SIGTERM and SIGINT end the process at once with status 0; a write to a
 * closed connection is an error and no signal.
 */
void standin_process_init(void);

/**
 * standin_server_run() - serve until a signal ends the process
 *
 * Prints "port=N" as the first line of standard output once connections are
 * accepted. Ends the process with status 1 when the port cannot be bound.
 */
void standin_server_run(const struct standin_server_options *options)
    G_GNUC_NORETURN;

const char *standin_call_method(const struct standin_call *call);
const char *standin_call_path(const struct standin_call *call);

/** standin_call_query() - value of a query argument, or NULL */
const char *standin_call_query(struct standin_call *call, const char *name);

/** standin_call_query_uint() - a query argument as a number, or @fallback */
uint64_t standin_call_query_uint(struct standin_call *call, const char *name,
                                 uint64_t fallback);

/** standin_call_header() - value of a request header, or NULL */
const char *standin_call_header(struct standin_call *call, const char *name);

/** standin_call_body() - the body, zero-terminated; @length may be NULL */
const char *standin_call_body(const struct standin_call *call, size_t *length);

/**
 * standin_call_json() - the body as a JSON object
 *
 * Return: a new reference, NULL after answering 400 when it is none.
 */
JsonObject *standin_call_json(struct standin_call *call);

struct standin_call *standin_call_ref(struct standin_call *call);
void standin_call_unref(struct standin_call *call);

/** standin_call_add_header() - add a header to the answer not yet given */
void standin_call_add_header(struct standin_call *call, const char *name,
                             const char *value);

/**
 * standin_call_reply() - give the whole answer
 * @status: HTTP status
 * @body: JSON text, taken over
 */
void standin_call_reply(struct standin_call *call, unsigned status,
                        GString *body);

void standin_call_replyf(struct standin_call *call, unsigned status,
                         const char *format, ...) G_GNUC_PRINTF(3, 4);

/** standin_call_error() - answer {"error":{"code":..,"message":..}} */
void standin_call_error(struct standin_call *call, unsigned status,
                        const char *code, const char *message);

/** standin_call_drop() - close the connection without an answer */
void standin_call_drop(struct standin_call *call);

/** standin_call_begin_stream() - answer 200 with an event stream */
void standin_call_begin_stream(struct standin_call *call);

/** standin_call_write() - add bytes to the stream */
void standin_call_write(struct standin_call *call, const char *data,
                        size_t length);

/**
 * standin_call_end_stream() - end the stream after the bytes written
 * @whole: false closes the connection so that the client sees a cut answer
 */
void standin_call_end_stream(struct standin_call *call, bool whole);

/**
 * standin_call_is_closed() - whether the connection is over
 *
 * Cheap; a peer that went away is only noticed here when something is
 * written to it.
 */
bool standin_call_is_closed(struct standin_call *call);

/** standin_call_peer_gone() - ask the system whether the peer has closed */
bool standin_call_peer_gone(struct standin_call *call);

#endif
