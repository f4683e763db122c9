#ifndef PGW_GATEWAY_HTTP_EVENT_STREAM_H
#define PGW_GATEWAY_HTTP_EVENT_STREAM_H

#include "util/buffer.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Splits a text/event-stream into complete events
 *
 * A connection to an upstream may break within an event. The caller gets only
 * complete events, so that a run can resume at another upstream after the last
 * event and no event consists of parts from two runs.
 */

/* No event of a language model's answer is larger than this. A larger one is
 * returned in pieces, and the answer can no longer be resumed. */
#define PGW_EVENT_SIZE_MAX ((size_t)256 * 1024)

/**
 * struct pgw_event_stream - state of one answer
 * @pending: bytes that were not yet consumed
 * @scanned: bytes of @pending that were searched for the end of an event
 * @first_id: id of the first complete event
 * @last_id: id of the last complete event
 * @next_id: id that the next event must have, 0: any larger one
 * @has_id: some event had an id
 * @events: number of complete events
 * @out_of_order: an id is not larger than the one before it or not
 *   @next_id, or an event exceeds %PGW_EVENT_SIZE_MAX
 */
struct pgw_event_stream {
    struct pgw_buffer pending;
    size_t scanned;
    uint64_t first_id;
    uint64_t last_id;
    uint64_t next_id;
    bool has_id;
    uint64_t events;
    bool out_of_order;
};

/**
 * pgw_event_stream_feed() - add received bytes and find complete events
 * @stream: the state
 * @data: received bytes
 * @size: number of bytes
 *
 * Return: number of bytes at the front of @stream->pending that are complete
 * events; the caller relays them and calls pgw_event_stream_consume().
 */
size_t pgw_event_stream_feed(struct pgw_event_stream *stream, const void *data,
                             size_t size);

/** pgw_event_stream_consume() - remove bytes that were relayed */
void pgw_event_stream_consume(struct pgw_event_stream *stream, size_t size);

/** pgw_event_stream_require_next() - the next event comes from another
 * upstream: if each one so far had the id after that of the one before it, so
 * must this one */
void pgw_event_stream_require_next(struct pgw_event_stream *stream);

/** pgw_event_stream_discard_partial() - drop the incomplete event of a run
 * that has ended */
void pgw_event_stream_discard_partial(struct pgw_event_stream *stream);

/** pgw_event_stream_dispose() - free the pending bytes */
void pgw_event_stream_dispose(struct pgw_event_stream *stream);

#endif
