#ifndef PGW_GATEWAY_SHARE_SERVICE_SHARE_H
#define PGW_GATEWAY_SHARE_SERVICE_SHARE_H

#include "gateway/share/fair_share.h"
#include "gateway/share/queue_order.h"
#include "gateway/share/return_times.h"
#include "gateway/share/room.h"

/**
 * DOC: Who waits for a service, who is refused, and when they come back
 *
 * A request that arrives while others wait takes its place in their order. If
 * its workspace asks for more than its share, its queue would only grow: the
 * last one of the workspace is refused as soon as the work before it will not
 * be done in time. A workspace that asks for no more than its share is never
 * refused so, nor is a caller that comes back at a promised time, nor one that
 * takes up a stream: half an answer is worth less than a late one.
 *
 * Load answered: more requests than room, for seconds.
 */

/**
 * struct pgw_service_share - state of one service at one entry; init with
 * pgw_service_share_init()
 */
struct pgw_service_share {
    struct pgw_queue_order order;
    struct pgw_room room;
    struct pgw_return_times returns;
    struct pgw_fair_share shares;
};

/**
 * struct pgw_share_offer - a request that arrives
 * @item: its item, with all public members set
 * @workspace: name of its workspace
 * @is_known: it was offered before and is tried again
 * @now_us: monotonic time
 */
struct pgw_share_offer {
    struct pgw_queue_order_item *item;
    const char *workspace;
    bool is_known;
    uint64_t now_us;
};

/**
 * struct pgw_share_verdict - whether it waits
 * @refused: the request to refuse, the offered one or another one of its
 *   workspace; it is not queued any more; NULL: none
 * @place: what is before it
 * @room_per_s: tokens per second that the entry gets, 0: not known
 * @wait_us: estimated time until its turn, 0: not known
 * @ratio: what its workspace asks for, in multiples of its share
 */
struct pgw_share_verdict {
    struct pgw_queue_order_item *refused;
    struct pgw_queue_place place;
    double room_per_s;
    uint64_t wait_us;
    double ratio;
};

void pgw_service_share_init(struct pgw_service_share *share);
void pgw_service_share_dispose(struct pgw_service_share *share);

/** pgw_service_share_offer() - queue a request, and see who is refused for it
 */
void pgw_service_share_offer(struct pgw_share_verdict *out,
                             struct pgw_service_share *share,
                             const struct pgw_share_offer *offer);

/**
 * pgw_service_share_serve() - a request is sent
 * @share: the service
 * @item: the request, queued or not
 * @cost: tokens that its workspace is charged for
 * @now_us: monotonic time
 */
void pgw_service_share_serve(struct pgw_service_share *share,
                             struct pgw_queue_order_item *item, double cost,
                             uint64_t now_us);

/** pgw_service_share_leave() - a request leaves the queue without being sent;
 * does nothing if it is not queued */
void pgw_service_share_leave(struct pgw_service_share *share,
                             struct pgw_queue_order_item *item);

/**
 * pgw_service_share_return() - when a refused caller comes back
 * @out: receives the time
 * @share: the service
 * @item: the request, queued or not
 * @heeded_us: for how long from now on its caller would stay away
 * @now_us: monotonic time
 * @random: spreads the callers
 */
void pgw_service_share_return(struct pgw_return *out,
                              struct pgw_service_share *share,
                              const struct pgw_queue_order_item *item,
                              uint64_t heeded_us, uint64_t now_us,
                              uint64_t random);

#endif
