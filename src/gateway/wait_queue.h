#ifndef PGW_GATEWAY_WAIT_QUEUE_H
#define PGW_GATEWAY_WAIT_QUEUE_H

#include "util/list.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests that wait for a place
 *
 * One queue for each rank of priority, first come first served within it.
 */

#define PGW_WAIT_QUEUE_RANKS 16

/**
 * struct pgw_wait_queue_item - embedded in a request
 * @link: place in the queue; unlinked while it does not wait
 * @rank: its queue
 */
struct pgw_wait_queue_item {
    struct pgw_list link;
    unsigned rank;
};

/**
 * struct pgw_wait_queue - the queues
 * @queues: the most urgent first
 * @count: items in all of them
 */
struct pgw_wait_queue {
    struct pgw_list queues[PGW_WAIT_QUEUE_RANKS];
    unsigned count;
};

void pgw_wait_queue_init(struct pgw_wait_queue *waiting);

/** pgw_wait_queue_add() - queue an item; ranks beyond the last count as that
 */
void pgw_wait_queue_add(struct pgw_wait_queue *waiting,
                        struct pgw_wait_queue_item *item, unsigned rank);

/** pgw_wait_queue_remove() - take it out; does nothing when it does not wait
 */
void pgw_wait_queue_remove(struct pgw_wait_queue *waiting,
                           struct pgw_wait_queue_item *item);

#endif
