#ifndef PGW_GATEWAY_WAITING_H
#define PGW_GATEWAY_WAITING_H

#include "util/list.h"
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Requests that wait for a place
 *
 * One queue for each rank of priority, first come first served within it.
 */

#define PGW_WAITING_RANKS 16

/**
 * struct pgw_waiting_item - embedded in a request
 * @link: place in the queue; unlinked while it does not wait
 * @rank: its queue
 */
struct pgw_waiting_item {
    struct pgw_list link;
    unsigned rank;
};

/**
 * struct pgw_waiting - the queues
 * @queues: the most urgent first
 * @count: items in all of them
 */
struct pgw_waiting {
    struct pgw_list queues[PGW_WAITING_RANKS];
    unsigned count;
};

void pgw_waiting_init(struct pgw_waiting *waiting);

/** pgw_waiting_add() - queue an item; ranks beyond the last count as that */
void pgw_waiting_add(struct pgw_waiting *waiting,
                     struct pgw_waiting_item *item, unsigned rank);

/** pgw_waiting_remove() - take it out; does nothing when it does not wait */
void pgw_waiting_remove(struct pgw_waiting *waiting,
                        struct pgw_waiting_item *item);

#endif
