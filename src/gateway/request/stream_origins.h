#ifndef PGW_GATEWAY_REQUEST_STREAM_ORIGINS_H
#define PGW_GATEWAY_REQUEST_STREAM_ORIGINS_H

#include "gateway/upstream/upstream_table.h"

/**
 * DOC: The software versions at which streams began
 *
 * What two software versions write does not fit together, so a stream goes on
 * only at the version that began it. Within one answer the entry knows it. A
 * caller that takes a stream up names the attempt that began it, perhaps at
 * another entry, which may have ended. While several versions of a service are
 * listed, each entry therefore sends the versions of its attempts to the
 * sidecars of some engines, found by rendezvous hashing of the attempt's id.
 * An entry that does not know an attempt asks them. While all streams that may
 * be taken up began at one version (software_records.h), nothing is sent.
 */

/* Sidecars that keep the versions of an attempt. */
#define PGW_STREAM_OWNERS 2

/**
 * struct pgw_stream_origin - an attempt, as entries send it to sidecars
 * @id: hash of its id
 * @software: interned version
 */
struct pgw_stream_origin {
    uint32_t id;
    const char *software;
};

/**
 * struct pgw_stream_origin_answer - what a sidecar knows of an attempt
 * @software: interned version, NULL: it does not know the attempt
 */
struct pgw_stream_origin_answer {
    const char *software;
};

struct pgw_exchange;
struct pgw_gateway;
struct pgw_stream_origins;

struct pgw_stream_origins *pgw_stream_origins_new(struct pgw_gateway *gateway);
void pgw_stream_origins_free(struct pgw_stream_origins *origins);

/** pgw_stream_origins_upstreams_changed() - select the sidecars again, and
 * check the records of versions */
void pgw_stream_origins_upstreams_changed(struct pgw_stream_origins *origins);

/** pgw_stream_origins_sidecar_connected() - a sidecar that has just started
 * has no attempts: what it owns is sent again */
void pgw_stream_origins_sidecar_connected(struct pgw_stream_origins *origins);

/** pgw_stream_origin_is_resumed() - the caller takes up a stream of which it
 * has events, or of an attempt that it names */
bool pgw_stream_origin_is_resumed(const struct pgw_exchange *exchange);

/**
 * pgw_stream_origin_begin() - find the version at which a stream goes on
 * @exchange: a request that is about to be dispatched
 *
 * Return: true if an answer is awaited, and pgw_exchange_dispatch() is called
 * again, or if the stream cannot go on, and the request was refused and is
 * freed.
 */
bool pgw_stream_origin_begin(struct pgw_exchange *exchange);

/** pgw_stream_origin_set_sent() - the request is sent to an upstream */
void pgw_stream_origin_set_sent(struct pgw_exchange *exchange,
                                const struct pgw_upstream *upstream);

/** pgw_stream_origin_set_begun() - an event is passed on to the caller: from
 * now on the stream goes on only at its version */
void pgw_stream_origin_set_begun(struct pgw_exchange *exchange);

/** pgw_stream_origin_set_complete() - nothing of the stream can be taken up:
 * its caller has all of it, or none */
void pgw_stream_origin_set_complete(struct pgw_exchange *exchange);

/** pgw_stream_origin_drop() - stop waiting for answers; the request ends */
void pgw_stream_origin_drop(struct pgw_exchange *exchange);

/** pgw_stream_origins_handle_answer() - apply a sidecar's answer */
void pgw_stream_origins_handle_answer(
    struct pgw_stream_origins *origins, uint64_t ask,
    const struct pgw_stream_origin_answer *answer);

#endif
