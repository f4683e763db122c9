#ifndef PGW_GATEWAY_SHARE_QUEUE_ORDER_H
#define PGW_GATEWAY_SHARE_QUEUE_ORDER_H

#include "libparsleygw/fair_queue.h"
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * DOC: Order of the requests that wait for one service
 *
 * Start-time fair queueing by tokens between workspaces. Within a workspace:
 * streams that have begun and broken off, then callers that come back at a
 * promised time, then requests that may still begin in time, by their latest
 * start, then the late ones by the latest start for their deadline, then
 * callers that were refused and come back too early. What cannot be placed is
 * passed over, so that room which the first one cannot use goes to the next.
 *
 * Load answered: one workspace at many times its usual beside small ones, and
 * long prompts beside short ones.
 */

/**
 * struct pgw_queue_order_item - a waiting request; zero before use
 * @admit: its workspace, share and tokens
 * @is_resumed: the caller has events of the stream already
 * @returned: the caller comes back at a time that it was promised
 * @is_early: the caller was refused and comes back before its time
 * @in_time_start_us: latest start for an answer within the objective, 0: the
 *   request has no objective
 * @late_start_us: latest start for an answer before the deadline
 * @turn_by_us: if its workspace asks for more than its share, it is refused
 *   when its turn is estimated to come later, 0: it never is
 */
struct pgw_queue_order_item {
    struct pgw_admit_item admit;
    bool is_resumed;
    bool returned;
    bool is_early;
    uint64_t in_time_start_us;
    uint64_t late_start_us;
    uint64_t turn_by_us;
};

/**
 * struct pgw_queue_order - the waiting requests of a service
 * @fair: queues of the workspaces
 */
struct pgw_queue_order {
    struct pgw_fair_queue fair;
};

/**
 * struct pgw_queue_place - position of one request
 * @before: requests that are served before it
 * @work: tokens of these
 */
struct pgw_queue_place {
    unsigned before;
    double work;
};

void pgw_queue_order_init(struct pgw_queue_order *order);
void pgw_queue_order_dispose(struct pgw_queue_order *order);

/** pgw_queue_order_share() - a workspace's weight by its priority, 0 is the
 * most urgent: the least urgent one gets a quarter of the most urgent one's */
uint32_t pgw_queue_order_share(uint32_t priority);

/** pgw_queue_order_cost() - estimated tokens of a request */
double pgw_queue_order_cost(const struct pgw_queue_order_item *item);

/** pgw_queue_order_is_empty() - whether nothing waits */
bool pgw_queue_order_is_empty(const struct pgw_queue_order *order);

/** pgw_queue_order_has() - whether an item waits */
bool pgw_queue_order_has(const struct pgw_queue_order_item *item);

void pgw_queue_order_add(struct pgw_queue_order *order,
                         struct pgw_queue_order_item *item);

/** pgw_queue_order_remove() - remove an item without a charge; does nothing
 * if it does not wait */
void pgw_queue_order_remove(struct pgw_queue_order *order,
                            struct pgw_queue_order_item *item);

/** pgw_queue_order_serve() - remove an item and charge its workspace for
 * @cost tokens */
void pgw_queue_order_serve(struct pgw_queue_order *order,
                           struct pgw_queue_order_item *item, double cost);

/**
 * pgw_queue_order_list() - link the waiting requests in their order
 * @order: the queue
 * @out: receives the link of &struct pgw_admit_item of each; the items are
 *   unlinked by the caller, and when they leave the queue
 * @now_us: monotonic time
 */
void pgw_queue_order_list(struct pgw_queue_order *order, struct pgw_list *out,
                          uint64_t now_us);

/** pgw_queue_order_find() - position of a waiting request */
void pgw_queue_order_find(struct pgw_queue_place *out,
                          const struct pgw_queue_order *order,
                          const struct pgw_queue_order_item *item,
                          uint64_t now_us);

/**
 * pgw_queue_order_last() - the last request of a workspace that may be refused
 * @out: receives its position
 * @order: the queue
 * @workspace: the workspace
 * @now_us: monotonic time
 *
 * Return: the request, or NULL.
 */
struct pgw_queue_order_item *
pgw_queue_order_last(struct pgw_queue_place *out,
                     const struct pgw_queue_order *order, uint64_t workspace,
                     uint64_t now_us);

G_END_DECLS

#endif
