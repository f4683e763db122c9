#ifndef PGW_SIDECAR_FETCH_H
#define PGW_SIDECAR_FETCH_H

#include "util/transfer.h"
#include <json-glib/json-glib.h>

/**
 * struct fetch - one small JSON request to the upstream, answered whole
 */
struct fetch;

/**
 * fetch_done - outcome of a fetch
 * @status: HTTP status, 0 when there was no answer
 * @body: the answer's JSON object, NULL when there is none
 * @asked_us: when the request was sent
 */
typedef void (*fetch_done)(void *context, long status, JsonObject *body,
                           uint64_t asked_us);

/**
 * fetch_start() - GET (or POST, with a body) a URL
 * @pool: transfers
 * @url: absolute URL
 * @body: JSON text to POST, or NULL
 * @timeout_ms: limit for the whole request
 * @done: called once, unless cancelled
 * @context: handed to @done
 */
struct fetch *fetch_start(struct pgw_transfer_pool *pool, const char *url,
                          const char *body, long timeout_ms, fetch_done done,
                          void *context);

/**
 * fetch_text_done - outcome of a fetch whose answer is read without a tree
 * @status: HTTP status, 0 when there was no answer
 * @text: the answer, not terminated; gone after the call
 * @size: its bytes
 * @asked_us: when the request was sent
 */
typedef void (*fetch_text_done)(void *context, long status, const char *text,
                                size_t size, uint64_t asked_us);

/** fetch_start_text() - GET a URL whose answer may be long; the rest as for
 * fetch_start() */
struct fetch *fetch_start_text(struct pgw_transfer_pool *pool, const char *url,
                               long timeout_ms, fetch_text_done done,
                               void *context);

/** fetch_cancel() - forget the request; NULL does nothing */
void fetch_cancel(struct fetch *fetch);

/** fetch_object_uint() - an unsigned member, 0 when it is missing */
uint64_t fetch_object_uint(JsonObject *object, const char *name);

/** fetch_object_hex() - a member of hexadecimal digits, 0 when missing */
uint64_t fetch_object_hex(JsonObject *object, const char *name);

/** fetch_object_bool() - a truth member, false when it is missing */
bool fetch_object_bool(JsonObject *object, const char *name);

/** fetch_object_string() - a text member, "" when it is missing */
const char *fetch_object_string(JsonObject *object, const char *name);

#endif
