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
 * requests served; the lowest is served next. A workspace that becomes active
 * again starts at the queue's virtual time, so an idle time earns no credit.
 * Over any time in which two workspaces both wait, their service divided by
 * share differs by at most one request of each. An empty queue keeps no
 * state.
 */

/**
 * struct pgw_admit_flow - one workspace's waiting requests
 * @workspace: pgw_level_workspace_hash(); first, as the hash table's key
 * @share: weight, from its latest request
 * @count: waiting requests
 * @tokens: uncached tokens of the waiting requests
 * @start: link in the heap while a request waits; its key is the virtual start
 *     time of the next request, also while none waits
 * @items: waiting requests, oldest first; the link among the idle flows if
 *     there are none
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
 * @idle: flows without items, kept for their start time while other flows
 *     have items
 * @virtual_time: virtual start time of the request served last
 * @count: waiting requests
 * @tokens: uncached tokens of the waiting requests
 * @shares: sum over the active flows
 * @last_start_us: when a request was last started, or when the queue last
 *     became non-empty
 */
struct pgw_fair_queue {
    GHashTable *flows;
    struct pgw_heap active;
    struct pgw_list idle;
    double virtual_time;
    uint32_t count;
    uint64_t tokens;
    uint64_t shares;
    uint64_t last_start_us;
};

void pgw_fair_queue__init(struct pgw_fair_queue *queue);

void pgw_fair_queue__dispose(struct pgw_fair_queue *queue);

/* Returns NULL for a workspace without a flow. */
const struct pgw_admit_flow *
pgw_fair_queue__find(const struct pgw_fair_queue *queue, uint64_t workspace);

void pgw_fair_queue__push(struct pgw_fair_queue *queue,
                          struct pgw_admit_item *item);

/* Returns the next item without removing it; NULL if the queue is empty. */
struct pgw_admit_item *
pgw_fair_queue__first(const struct pgw_fair_queue *queue);

/* Removes the first item and charges @cost to its flow. */
void pgw_fair_queue__serve(struct pgw_fair_queue *queue,
                           struct pgw_admit_item *item, double cost);

/* Changes the uncached tokens of a waiting item. */
void pgw_fair_queue__set_uncached_tokens(struct pgw_fair_queue *queue,
                                         struct pgw_admit_item *item,
                                         uint32_t uncached_tokens);

/* Estimated tokens of an item: those of its prompt that must be prefilled and
 * those of its answer. */
double pgw_fair_queue__cost(const struct pgw_admit_item *item);

/* Order of two items of one workspace: negative if @a is served first. */
typedef int (*pgw_fair_queue_compare)(const struct pgw_admit_item *a,
                                      const struct pgw_admit_item *b,
                                      uint64_t now_us);

/* Appends all waiting items to @out in the order in which they would be served
 * at their estimated costs if no more arrived. Within a workspace @compare
 * decides instead of the time of arrival. */
void pgw_fair_queue__list(const struct pgw_fair_queue *queue, GPtrArray *out,
                          pgw_fair_queue_compare compare, uint64_t now_us);

/* Removes any item without a charge. */
void pgw_fair_queue__remove(struct pgw_fair_queue *queue,
                            struct pgw_admit_item *item);

G_END_DECLS

#endif
