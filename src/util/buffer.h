#ifndef PGW_UTIL_BUFFER_H
#define PGW_UTIL_BUFFER_H

#include <glib.h>
#include <stdint.h>
#include <string.h>

/**
 * struct pgw_buffer - bytes appended at the end and consumed from the front
 * @data: allocated memory
 * @start: offset of the first unread byte
 * @end: offset after the last byte
 * @capacity: size of @data
 *
 * A zeroed buffer is empty and valid.
 */
struct pgw_buffer {
    uint8_t *data;
    size_t start;
    size_t end;
    size_t capacity;
};

static inline size_t
pgw_buffer_size(const struct pgw_buffer *buffer)
{
    return buffer->end - buffer->start;
}

static inline uint8_t *
pgw_buffer_head(const struct pgw_buffer *buffer)
{
    return buffer->data == NULL ? NULL : buffer->data + buffer->start;
}

/** pgw_buffer_reserve() - room for @size bytes at the end; returns it */
uint8_t *pgw_buffer_reserve(struct pgw_buffer *buffer, size_t size);

/** pgw_buffer_append() - copy @size bytes to the end */
void pgw_buffer_append(struct pgw_buffer *buffer, const void *data,
                       size_t size);

/** pgw_buffer_consume() - drop @size bytes from the front */
void pgw_buffer_consume(struct pgw_buffer *buffer, size_t size);

/** pgw_buffer_dispose() - free the memory; the buffer is empty and valid */
void pgw_buffer_dispose(struct pgw_buffer *buffer);

#endif
