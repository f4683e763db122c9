#include "libparsleygw/sync_copy.h"

void
pgw_sync_copy_enqueue(struct pgw_sync_copy *copy, void *link)
{
    if (g_queue_find(&copy->waiting, link) == NULL) {
        g_queue_push_tail(&copy->waiting, link);
    }
}

void
pgw_sync_copy_remove(struct pgw_sync_copy *copy, const void *link)
{
    g_queue_remove(&copy->waiting, link);
    if (copy->current == link) {
        copy->current = NULL;
    }
}

void *
pgw_sync_copy_next(struct pgw_sync_copy *copy, size_t pending, uint64_t now_us)
{
    if (copy->current != NULL && pending >= PGW_SYNC_COPY_MAX_PENDING_BYTES &&
        now_us - copy->started_us < PGW_SYNC_COPY_TIMEOUT_US) {
        return NULL;
    }
    copy->current = g_queue_pop_head(&copy->waiting);
    copy->started_us = now_us;
    return copy->current;
}
