#include "gateway/share/service_share.h"

/* Parts of the room that are promised to callers that return. The rest serves
 * new ones in time; were all promised, each request would be refused once
 * first. */
static const double promised_shares[PGW_FAIR_SHARE_LINES] = {
    [PGW_FAIR_SHARE_IN_TIME] = 0.5,
    [PGW_FAIR_SHARE_LATE] = 0.25,
};
#define PROMISED_SHARE 0.75
/* A caller that returns may still wait for its turn for so long: at another
 * entry others return at the same time. */
#define RETURN_WAIT_US 300000
/* Time until other entries know of a promise: the caller may return to any. */
#define TOLD_US 100000

void
pgw_service_share_init(struct pgw_service_share *share)
{
    *share = (struct pgw_service_share){0};
    pgw_queue_order_init(&share->order);
}

void
pgw_service_share_dispose(struct pgw_service_share *share)
{
    pgw_queue_order_dispose(&share->order);
}

static uint64_t
drain_us(double work, double room_per_s)
{
    double us = room_per_s > 0 ? work * 1e6 / room_per_s : 0;

    /* Longer than any deadline, and no overflow when a time is added. */
    return (uint64_t)MIN(us, 1e12);
}

static void
end_if_empty(struct pgw_service_share *share)
{
    if (pgw_queue_order_is_empty(&share->order)) {
        pgw_room_end(&share->room);
    }
}

static struct pgw_queue_order_item *
find_late(const struct pgw_service_share *share, uint64_t workspace,
          double room_per_s, uint64_t now_us)
{
    struct pgw_queue_place place;
    struct pgw_queue_order_item *last =
        pgw_queue_order_last(&place, &share->order, workspace, now_us);

    return last != NULL &&
                   now_us + drain_us(place.work, room_per_s) > last->turn_by_us
               ? last
               : NULL;
}

void
pgw_service_share_offer(struct pgw_share_verdict *out,
                        struct pgw_service_share *share,
                        const struct pgw_share_offer *offer)
{
    struct pgw_queue_order_item *item = offer->item;
    uint64_t now_us = offer->now_us;

    *out = (struct pgw_share_verdict){0};
    pgw_room_begin(&share->room, now_us);
    if (!offer->is_known) {
        pgw_fair_share_ask(&share->shares, item->admit.workspace,
                           offer->workspace, item->admit.share,
                           pgw_queue_order_cost(item), now_us);
    }
    pgw_queue_order_add(&share->order, item);
    pgw_queue_order_find(&out->place, &share->order, item, now_us);
    out->room_per_s = pgw_room_per_s(&share->room, now_us);
    out->wait_us = drain_us(out->place.work, out->room_per_s);
    out->ratio = pgw_fair_share_ratio(&share->shares, item->admit.workspace,
                                      out->room_per_s, now_us);
    if (out->room_per_s > 0 && out->ratio > 1) {
        out->refused =
            find_late(share, item->admit.workspace, out->room_per_s, now_us);
    }
    if (out->refused != NULL) {
        pgw_service_share_leave(share, out->refused);
    }
}

void
pgw_service_share_serve(struct pgw_service_share *share,
                        struct pgw_queue_order_item *item, double cost,
                        uint64_t now_us)
{
    double estimate = pgw_queue_order_cost(item);

    pgw_room_add(&share->room, estimate, now_us);
    pgw_fair_share_serve(&share->shares, item->admit.workspace, estimate,
                         now_us);
    if (pgw_queue_order_has(item)) {
        pgw_queue_order_serve(&share->order, item, cost);
        end_if_empty(share);
    }
}

void
pgw_service_share_leave(struct pgw_service_share *share,
                        struct pgw_queue_order_item *item)
{
    if (pgw_queue_order_has(item)) {
        pgw_queue_order_remove(&share->order, item);
        end_if_empty(share);
    }
}

void
pgw_service_share_return(struct pgw_return *out,
                         struct pgw_service_share *share,
                         const struct pgw_queue_order_item *item,
                         uint64_t heeded_us, uint64_t now_us, uint64_t random)
{
    double room_per_s = pgw_room_per_s(&share->room, now_us);
    bool is_late = item->in_time_start_us <= now_us;
    enum pgw_fair_share_line line =
        is_late ? PGW_FAIR_SHARE_LATE : PGW_FAIR_SHARE_IN_TIME;
    uint64_t workspace = item->admit.workspace;
    struct pgw_queue_order_item probe = *item;
    struct pgw_queue_place place;
    struct pgw_return_input input = {
        .tokens = pgw_queue_order_cost(item),
        .room_per_s = room_per_s * PROMISED_SHARE,
        .latest_us = now_us + heeded_us,
        .now_us = now_us,
        .random = random,
    };

    /* It returns before the new ones of its workspace: what is before it is
     * what other workspaces have queued. */
    probe.returned = true;
    probe.admit.link = (struct pgw_list){0};
    pgw_queue_order_add(&share->order, &probe);
    pgw_queue_order_find(&place, &share->order, &probe, now_us);
    pgw_queue_order_remove(&share->order, &probe);
    input.earliest_us =
        now_us + MAX(drain_us(place.work, room_per_s), TOLD_US);
    input.earliest_us = pgw_fair_share_next(&share->shares, workspace, line,
                                            input.earliest_us, now_us);
    input.promised_by_us =
        is_late
            ? item->late_start_us - MIN(item->late_start_us, RETURN_WAIT_US)
            : item->in_time_start_us;
    pgw_return_times_add(out, &share->returns, &input);
    if (out->is_promised) {
        pgw_fair_share_promise(&share->shares, workspace, line,
                               input.tokens / promised_shares[line],
                               room_per_s, input.earliest_us, now_us);
    }
}
