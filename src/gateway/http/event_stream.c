#include "gateway/http/event_stream.h"
#include <string.h>

/* Reads the id of a complete event and counts it. Lines end in LF or CRLF. */
static void
parse_event(struct pgw_event_stream *stream, const char *event, size_t size)
{
    const char *end = event + size;

    while (event < end) {
        const char *line_end = memchr(event, '\n', (size_t)(end - event));
        size_t length = (size_t)((line_end == NULL ? end : line_end) - event);

        if (length > 3 && memcmp(event, "id:", 3) == 0) {
            uint64_t id = g_ascii_strtoull(event + 3, NULL, 10);

            if ((stream->has_id && id <= stream->last_id) ||
                (stream->next_id != 0 && id != stream->next_id)) {
                stream->out_of_order = true;
            }
            if (!stream->has_id) {
                stream->first_id = id;
            }
            stream->next_id = 0;
            stream->last_id = id;
            stream->has_id = true;
        }
        event += length + 1;
    }
    stream->events++;
}

/* Returns the offset after the blank line that ends the first event, or 0 if
 * no event is complete. */
static size_t
find_event_end(const char *data, size_t size, size_t from)
{
    for (size_t i = from; i + 1 < size; i++) {
        if (data[i] != '\n') {
            continue;
        }
        if (data[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < size && data[i + 1] == '\r' && data[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

size_t
pgw_event_stream_feed(struct pgw_event_stream *stream, const void *data,
                      size_t size)
{
    const char *head;
    size_t total;
    size_t complete_size = 0;

    pgw_buffer_append(&stream->pending, data, size);
    head = (const char *)pgw_buffer_head(&stream->pending);
    total = pgw_buffer_size(&stream->pending);
    for (;;) {
        size_t from = stream->scanned > complete_size
                          ? stream->scanned - complete_size
                          : 0;
        size_t end =
            find_event_end(head + complete_size, total - complete_size, from);

        if (end == 0) {
            break;
        }
        parse_event(stream, head + complete_size, end);
        complete_size += end;
    }
    /* The last two bytes may be the start of an event's end. */
    stream->scanned = MAX(complete_size, total > 2 ? total - 2 : 0);
    if (complete_size == 0 && total > PGW_EVENT_SIZE_MAX) {
        stream->out_of_order = true;
        return total;
    }
    return complete_size;
}

void
pgw_event_stream_consume(struct pgw_event_stream *stream, size_t size)
{
    pgw_buffer_consume(&stream->pending, size);
    stream->scanned = stream->scanned > size ? stream->scanned - size : 0;
}

void
pgw_event_stream_require_next(struct pgw_event_stream *stream)
{
    bool is_consecutive =
        stream->has_id &&
        stream->last_id - stream->first_id + 1 == stream->events;

    stream->next_id = is_consecutive ? stream->last_id + 1 : 0;
}

void
pgw_event_stream_discard_partial(struct pgw_event_stream *stream)
{
    pgw_buffer_consume(&stream->pending, pgw_buffer_size(&stream->pending));
    stream->scanned = 0;
}

void
pgw_event_stream_dispose(struct pgw_event_stream *stream)
{
    pgw_buffer_dispose(&stream->pending);
}
