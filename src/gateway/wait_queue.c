#include "gateway/wait_queue.h"
#include <glib.h>

void
pgw_wait_queue_init(struct pgw_wait_queue *waiting)
{
    waiting->count = 0;
    for (unsigned i = 0; i < PGW_WAIT_QUEUE_RANKS; i++) {
        pgw_list_init(&waiting->queues[i]);
    }
}

void
pgw_wait_queue_add(struct pgw_wait_queue *waiting,
                   struct pgw_wait_queue_item *item, unsigned rank)
{
    item->rank = MIN(rank, PGW_WAIT_QUEUE_RANKS - 1);
    pgw_list_append(&waiting->queues[item->rank], &item->link);
    waiting->count++;
}

void
pgw_wait_queue_remove(struct pgw_wait_queue *waiting,
                      struct pgw_wait_queue_item *item)
{
    if (pgw_list_is_linked(&item->link)) {
        pgw_list_remove(&item->link);
        waiting->count--;
    }
}
