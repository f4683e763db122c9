#include "gateway/placement/wait_queue.h"
#include <glib.h>

void
pgw_wait_queue_init(struct pgw_wait_queue *queue)
{
    queue->count = 0;
    pgw_list_init(&queue->shared);
    for (unsigned i = 0; i < PGW_WAIT_QUEUE_RANKS; i++) {
        pgw_list_init(&queue->queues[i]);
    }
}

void
pgw_wait_queue_add(struct pgw_wait_queue *queue,
                   struct pgw_wait_queue_item *item, unsigned rank)
{
    item->rank = MIN(rank, PGW_WAIT_QUEUE_RANKS - 1);
    pgw_list_append(&queue->queues[item->rank], &item->link);
    queue->count++;
}

void
pgw_wait_queue_add_shared(struct pgw_wait_queue *queue,
                          struct pgw_wait_queue_item *item)
{
    item->rank = PGW_WAIT_QUEUE_RANKS;
    pgw_list_append(&queue->shared, &item->link);
    queue->count++;
}

void
pgw_wait_queue_remove(struct pgw_wait_queue *queue,
                      struct pgw_wait_queue_item *item)
{
    if (pgw_list_is_linked(&item->link)) {
        pgw_list_remove(&item->link);
        queue->count--;
    }
}
