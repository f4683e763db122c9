#ifndef PGW_LIBPARSLEYGW_FAIR_QUEUE_H
#define PGW_LIBPARSLEYGW_FAIR_QUEUE_H

#include <parsleygw/admit.h>

#include "libparsleygw/heap.h"

G_BEGIN_DECLS

/**
 * DOC: Start-time fair queueing between workspaces
 *
 * Goyal, Vin, Cheng, "Start-time fair queueing", SIGCOMM 1996. Each workspace
 * has a virtual start time, which grows by cost / share with each of its
 * requests served; the least is served next. A workspace that comes back
 * starts at the queue's virtual time, so idling saves up nothing. Over any
 * time in which two workspaces both wait, their services divided by share
 * differ by at most one request of each. Nothing is remembered beyond the
 * moment at which nothing waits.
 */

/**
 * struct pgw_admit_flow - one workspace's waiting requests
 * @workspace: pgw_level_workspace_hash(); first, as the hash table's key
 * @share: weight, from its latest request
 * @count: requests that wait
 * @tokens: their uncached tokens
 * @start: link in the heap while any waits; its key is the virtual start time
 *     of the next request, also while none does
 * @items: waiting, oldest first; with none the link among the idle flows
 */
struct pgw_admit_flow {
    gint64 workspace;
    uint32_t share;
    uint32_t count;
    uint64_t tokens;
    struct pgw_heap_node start;
    struct pgw_list items;
};

/**
 * struct pgw_fair_queue - the waiting requests of one priority
 * @flows: by workspace
 * @active: flows with items, by virtual start time
 * @idle: flows without items that are remembered for their start time, as
 *     long as others wait
 * @virtual_time: virtual start time of the request served last
 * @count: waiting requests
 * @tokens: their uncached tokens
 * @shares: sum over the active flows
 * @last_start: when one was served last, or when waiting began
 */
struct pgw_fair_queue {
    GHashTable *flows;
    struct pgw_heap active;
    struct pgw_list idle;
    double virtual_time;
    uint32_t count;
    uint64_t tokens;
    uint64_t shares;
    uint64_t last_start;
};

void pgw_fair_queue__init(struct pgw_fair_queue *queue);

void pgw_fair_queue__dispose(struct pgw_fair_queue *queue);

/* NULL for a workspace that neither waits nor is remembered. */
const struct pgw_admit_flow *
pgw_fair_queue__find(const struct pgw_fair_queue *queue, uint64_t workspace);

void pgw_fair_queue__push(struct pgw_fair_queue *queue,
                          struct pgw_admit_item *item);

/* Returns the item to serve next and leaves it there; NULL if none waits. */
struct pgw_admit_item *
pgw_fair_queue__first(const struct pgw_fair_queue *queue);

/* Takes out the first item, charged with @cost. */
void pgw_fair_queue__serve(struct pgw_fair_queue *queue,
                           struct pgw_admit_item *item, double cost);

/* Changes the uncached tokens of a waiting item. */
void pgw_fair_queue__correct(struct pgw_fair_queue *queue,
                             struct pgw_admit_item *item,
                             uint32_t uncached_tokens);

/* Takes out any item, uncharged. */
void pgw_fair_queue__remove(struct pgw_fair_queue *queue,
                            struct pgw_admit_item *item);

G_END_DECLS

#endif
