#include "util/buffer.h"

/* Memory beyond this is given back as soon as the buffer runs empty, so that
 * thousands of idle links and streams do not keep their peaks. */
#define BUFFER_KEEP 4096

uint8_t *
pgw_buffer_reserve(struct pgw_buffer *buffer, size_t size)
{
    size_t used = pgw_buffer_size(buffer);

    if (buffer->end + size <= buffer->capacity) {
        return buffer->data + buffer->end;
    }
    if (used + size <= buffer->capacity / 2) {
        memmove(buffer->data, buffer->data + buffer->start, used);
    }
    else {
        size_t capacity = MAX(256, buffer->capacity);
        uint8_t *data;

        while (capacity < used + size) {
            capacity *= 2;
        }
        data = g_malloc(capacity);
        if (used > 0) {
            memcpy(data, buffer->data + buffer->start, used);
        }
        g_free(buffer->data);
        buffer->data = data;
        buffer->capacity = capacity;
    }
    buffer->start = 0;
    buffer->end = used;
    return buffer->data + buffer->end;
}

void
pgw_buffer_append(struct pgw_buffer *buffer, const void *data, size_t size)
{
    if (size == 0) {
        return;
    }
    memcpy(pgw_buffer_reserve(buffer, size), data, size);
    buffer->end += size;
}

void
pgw_buffer_consume(struct pgw_buffer *buffer, size_t size)
{
    g_assert(size <= pgw_buffer_size(buffer));
    buffer->start += size;
    if (buffer->start != buffer->end) {
        return;
    }
    buffer->start = 0;
    buffer->end = 0;
    if (buffer->capacity > BUFFER_KEEP) {
        pgw_buffer_dispose(buffer);
    }
}

void
pgw_buffer_dispose(struct pgw_buffer *buffer)
{
    g_free(buffer->data);
    *buffer = (struct pgw_buffer){0};
}
