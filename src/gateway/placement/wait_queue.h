#ifndef PGW_GATEWAY_PLACEMENT_WAIT_QUEUE_H
#define PGW_GATEWAY_PLACEMENT_WAIT_QUEUE_H

#include "util/list.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests that wait for a free slot
 *
 * One queue per rank of priority, first come, first served within it. Requests
 * that share a service fairly are apart: share/service_share.h orders them.
 */

#define PGW_WAIT_QUEUE_RANKS 16

/**
 * struct pgw_wait_queue_item - embedded in a request
 * @link: position in the queue; unlinked if the request is not queued
 * @rank: index of its queue; %PGW_WAIT_QUEUE_RANKS: its service is shared
 */
struct pgw_wait_queue_item {
    struct pgw_list link;
    unsigned rank;
};

/**
 * struct pgw_wait_queue - queues by rank
 * @queues: the most urgent first
 * @shared: requests of shared services, in the order of their arrival
 * @count: number of items in all queues
 */
struct pgw_wait_queue {
    struct pgw_list queues[PGW_WAIT_QUEUE_RANKS];
    struct pgw_list shared;
    unsigned count;
};

void pgw_wait_queue_init(struct pgw_wait_queue *queue);

/** pgw_wait_queue_add() - queue an item; too high ranks count as the last one
 */
void pgw_wait_queue_add(struct pgw_wait_queue *queue,
                        struct pgw_wait_queue_item *item, unsigned rank);

/** pgw_wait_queue_add_shared() - queue an item of a shared service */
void pgw_wait_queue_add_shared(struct pgw_wait_queue *queue,
                               struct pgw_wait_queue_item *item);

/** pgw_wait_queue_remove() - remove an item; does nothing if it is not queued
 */
void pgw_wait_queue_remove(struct pgw_wait_queue *queue,
                           struct pgw_wait_queue_item *item);

#endif
