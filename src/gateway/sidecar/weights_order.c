#include "gateway/sidecar/weights_order.h"
#include <glib.h>
#include <string.h>

/* Longest time for which a load stays announced without an order being sent.
 * After that the engine is announced as available. Otherwise it would receive
 * no requests while its order cannot be sent. */
#define ANNOUNCEMENT_MAX_US 6000000

void
pgw_weights_order_init(struct pgw_weights_order *order,
                       const struct pgw_weights_order_options *options)
{
    memset(order, 0, sizeof(*order));
    order->options = *options;
}

void
pgw_weights_order_set_target(struct pgw_weights_order *order, uint64_t version,
                             uint64_t start_in_us, uint64_t now_us)
{
    if (version < order->target_version) {
        return;
    }
    /* A newer target inherits the scheduled start of a rollout whose order
     * was not sent yet. Once the order is in flight, the newer target has a
     * start time of its own. */
    if (order->target_version <= order->running_version ||
        (order->in_flight && version > order->target_version)) {
        order->start_at_us = now_us + start_in_us;
    }
    else {
        order->start_at_us = MIN(order->start_at_us, now_us + start_in_us);
    }
    order->target_version = version;
}

void
pgw_weights_order_apply_report(struct pgw_weights_order *order,
                               uint64_t version, bool busy,
                               uint32_t queued_requests, uint64_t now_us)
{
    order->running_version = version;
    order->queued_requests = queued_requests;
    if (!order->in_flight || busy ||
        now_us - order->sent_us < order->options.report_lag_us) {
        return;
    }
    /* The engine is idle: an accepted order is done, and one without an
     * answer is given up once it can no longer arrive. */
    if (version >= order->target_version || order->accepted ||
        now_us - order->sent_us >= order->options.unknown_outcome_us) {
        order->in_flight = false;
        order->accepted = false;
    }
}

void
pgw_weights_order_handle_restart(struct pgw_weights_order *order)
{
    order->in_flight = false;
    order->accepted = false;
    order->queued_requests = 0;
}

void
pgw_weights_order_set_token(struct pgw_weights_order *order, uint64_t token,
                            uint64_t valid_us, uint64_t now_us)
{
    order->token_requested = false;
    if (token == 0) {
        order->token_retry_at_us =
            now_us + order->options.token_retry_delay_us;
        return;
    }
    order->token = MAX(order->token, token);
    order->token_until_us = now_us + valid_us;
}

void
pgw_weights_order_drop_token(struct pgw_weights_order *order)
{
    order->token = 0;
}

void
pgw_weights_order_mark_sent(struct pgw_weights_order *order, uint64_t now_us)
{
    order->in_flight = true;
    order->accepted = false;
    order->sent_us = now_us;
}

void
pgw_weights_order_handle_answer(struct pgw_weights_order *order,
                                enum pgw_order_answer answer, uint64_t now_us)
{
    switch (answer) {
    case PGW_ORDER_ACCEPTED:
        order->accepted = true;
        return;
    case PGW_ORDER_LOST:
        /* The engine may have accepted the order or may still get it; its
         * reports show which. */
        return;
    case PGW_ORDER_FENCED:
        order->token = 0;
        break;
    case PGW_ORDER_BUSY:
    case PGW_ORDER_WRONG_INSTANCE:
    case PGW_ORDER_REFUSED:
        break;
    }
    order->in_flight = false;
    order->retry_at_us = now_us + order->options.retry_delay_us;
}

static enum pgw_weights_order_step
wait_until(struct pgw_weights_order *order, uint64_t at_us)
{
    order->next_step_us = at_us;
    return PGW_WEIGHTS_WAIT;
}

static enum pgw_weights_order_step
announce_available(struct pgw_weights_order *order)
{
    order->announced = false;
    return PGW_WEIGHTS_ANNOUNCE_AVAILABLE;
}

static bool
has_token(const struct pgw_weights_order *order, uint64_t now_us)
{
    return order->token > 0 && now_us < order->token_until_us;
}

/* Waits for the start of the load; until then a token is requested again after
 * a failure. */
static enum pgw_weights_order_step
wait_for_start(struct pgw_weights_order *order, uint64_t now_us)
{
    return wait_until(order,
                      has_token(order, now_us) || order->token_requested
                          ? order->start_at_us
                          : MIN(order->start_at_us, order->token_retry_at_us));
}

enum pgw_weights_order_step
pgw_weights_order_next_step(struct pgw_weights_order *order, uint64_t now_us)
{
    if (order->in_flight) {
        return wait_until(order, now_us + order->options.retry_delay_us / 3);
    }
    if (order->target_version <= order->running_version) {
        return order->announced ? announce_available(order)
                                : wait_until(order, 0);
    }
    /* Already before the start: the store may be down by then. */
    if (!has_token(order, now_us) && !order->token_requested &&
        now_us >= order->token_retry_at_us) {
        order->token_requested = true;
        return PGW_WEIGHTS_REQUEST_TOKEN;
    }
    if (now_us < order->start_at_us) {
        return order->announced ? announce_available(order)
                                : wait_for_start(order, now_us);
    }
    if (now_us < order->retry_at_us) {
        return wait_until(order, order->retry_at_us);
    }
    if (!has_token(order, now_us)) {
        return order->announced
                   ? announce_available(order)
                   : wait_until(order, order->token_requested
                                           ? 0
                                           : order->token_retry_at_us);
    }
    if (!order->announced) {
        order->announced = true;
        order->announced_us = now_us;
        return PGW_WEIGHTS_ANNOUNCE_LOADING;
    }
    if (now_us < order->announced_us + order->options.announce_lead_us) {
        return wait_until(order, order->announced_us +
                                     order->options.announce_lead_us);
    }
    if (now_us > order->announced_us + ANNOUNCEMENT_MAX_US) {
        order->retry_at_us = now_us + order->options.retry_delay_us;
        return announce_available(order);
    }
    /*
     * Failure: an engine is ordered to load while requests are queued there.
     * Symptom: it refuses all of them at once, and callers whose requests have
     * no retry left get an error. Entries have stopped sending since the load
     * was announced, so the queue empties as runs end, and the engine would
     * not load before they end anyway. Each report is followed by a step, so
     * the order is sent as soon as the queue is empty.
     */
    if (order->queued_requests > 0 &&
        now_us < order->announced_us + order->options.drain_timeout_us) {
        return wait_until(order, order->announced_us +
                                     order->options.drain_timeout_us);
    }
    return PGW_WEIGHTS_SEND_ORDER;
}
