#include "gateway/waiting.h"
#include <glib.h>

void
pgw_waiting_init(struct pgw_waiting *waiting)
{
    waiting->count = 0;
    for (unsigned i = 0; i < PGW_WAITING_RANKS; i++) {
        pgw_list_init(&waiting->queues[i]);
    }
}

void
pgw_waiting_add(struct pgw_waiting *waiting, struct pgw_waiting_item *item,
                unsigned rank)
{
    item->rank = MIN(rank, PGW_WAITING_RANKS - 1);
    pgw_list_append(&waiting->queues[item->rank], &item->link);
    waiting->count++;
}

void
pgw_waiting_remove(struct pgw_waiting *waiting, struct pgw_waiting_item *item)
{
    if (pgw_list_is_linked(&item->link)) {
        pgw_list_remove(&item->link);
        waiting->count--;
    }
}
