#ifndef PGW_GATEWAY_EVENT_STREAM_H
#define PGW_GATEWAY_EVENT_STREAM_H

#include "util/buffer.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Whole events of a text/event-stream
 *
 * An upstream may break off in the middle of an event. What reaches the
 * caller is cut at the ends of events, so that a run that resumes elsewhere
 * goes on at an event's border and no event is made of two halves.
 */

/* An event larger than this is not one of a language model's answer; it is
 * passed on in pieces and the answer can no longer be resumed. */
#define PGW_EVENT_SIZE_MAX ((size_t)256 * 1024)

/**
 * struct pgw_event_stream - state of one answer
 * @pending: bytes of the event that is not complete
 * @scanned: bytes of @pending that hold no end of an event
 * @last_id: id of the last complete event
 * @has_id: some event had an id
 * @events: number of complete events
 * @out_of_order: an id did not grow
 */
struct pgw_event_stream {
    struct pgw_buffer pending;
    size_t scanned;
    uint64_t last_id;
    bool has_id;
    uint64_t events;
    bool out_of_order;
};

/**
 * pgw_event_stream_feed() - take bytes and say how much may be passed on
 * @stream: the state
 * @data: received bytes
 * @size: their number
 *
 * Return: bytes at the front of @stream->pending that are whole events; the
 * caller passes them on and consumes them with pgw_event_stream_consume().
 */
size_t pgw_event_stream_feed(struct pgw_event_stream *stream, const void *data,
                             size_t size);

/** pgw_event_stream_consume() - drop bytes that were passed on */
void pgw_event_stream_consume(struct pgw_event_stream *stream, size_t size);

/** pgw_event_stream_discard_partial() - drop the unfinished event of a lost
 * run */
void pgw_event_stream_discard_partial(struct pgw_event_stream *stream);

/** pgw_event_stream_dispose() - free the pending bytes */
void pgw_event_stream_dispose(struct pgw_event_stream *stream);

#endif
