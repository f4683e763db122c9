#ifndef PGW_UTIL_TRANSFER_H
#define PGW_UTIL_TRANSFER_H

#include "util/loop.h"
#include <curl/curl.h>

/**
 * DOC: HTTP requests by libcurl on an event loop
 *
 * Callbacks run on the loop's thread. @on_body may send on links and change
 * its owner's state, but neither start nor cancel another transfer.
 */

struct pgw_transfer_pool;
struct pgw_transfer;

/**
 * struct pgw_transfer_ops - what the owner of a transfer does
 * @on_head: the status line and all headers arrived; may be NULL
 * @on_body: a piece of the body arrived; return false to pause: the same
 *           piece comes again after pgw_transfer_resume()
 * @on_done: the transfer ended; @code is CURLE_OK for a whole answer. The
 *           transfer is freed afterwards
 */
struct pgw_transfer_ops {
    void (*on_head)(struct pgw_transfer *transfer, long status, void *context);
    bool (*on_body)(struct pgw_transfer *transfer, const uint8_t *data,
                    size_t size, void *context);
    void (*on_done)(struct pgw_transfer *transfer, CURLcode code, long status,
                    void *context);
};

/**
 * struct pgw_transfer_options - one request
 * @method: HTTP method
 * @url: absolute URL with a numeric address
 * @content_type: of @body; NULL for none
 * @headers: further header lines "Name: value", NULL-terminated, or NULL
 * @body: request body; copied
 * @body_size: its length in bytes
 * @timeout_ms: limit for the whole transfer; 0 for none
 */
struct pgw_transfer_options {
    const char *method;
    const char *url;
    const char *content_type;
    const char *const *headers;
    const void *body;
    size_t body_size;
    long timeout_ms;
};

/** pgw_transfer_pool_new() - make a pool on @loop */
struct pgw_transfer_pool *pgw_transfer_pool_new(struct pgw_loop *loop);

/** pgw_transfer_pool_free() - free a pool that has no transfer left */
void pgw_transfer_pool_free(struct pgw_transfer_pool *pool);

/** pgw_transfer_start() - start a request */
struct pgw_transfer *
pgw_transfer_start(struct pgw_transfer_pool *pool,
                   const struct pgw_transfer_options *options,
                   const struct pgw_transfer_ops *ops, void *context);

/** pgw_transfer_header() - value of an answer's header, NULL without one */
const char *pgw_transfer_header(struct pgw_transfer *transfer,
                                const char *name);

/**
 * pgw_transfer_was_sent() - whether any byte of the request may have left
 * @transfer: the transfer
 *
 * Return: false only when no connection was ever made: the request cannot
 * have run.
 */
bool pgw_transfer_was_sent(struct pgw_transfer *transfer);

/** pgw_transfer_resume() - go on after @on_body returned false */
void pgw_transfer_resume(struct pgw_transfer *transfer);

/** pgw_transfer_cancel() - close the connection; @on_done is not called */
void pgw_transfer_cancel(struct pgw_transfer *transfer);

#endif
