#include "gateway/weights_order.h"
#include <glib.h>
#include <string.h>

/* An engine that stays announced for so long without loading is given back to
 * the entries: it would serve nobody for an order that does not come through.
 */
#define ANNOUNCED_MAX_US 6000000

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
    if (version < order->wanted) {
        return;
    }
    /* The turn of a rollout that is under way counts on: a version that is
     * named meanwhile takes the place of the one before. Once the order for
     * that one is out, the next version has a turn of its own. */
    if (order->wanted <= order->running ||
        (order->sent && version > order->wanted)) {
        order->due_us = now_us + start_in_us;
    }
    else {
        order->due_us = MIN(order->due_us, now_us + start_in_us);
    }
    order->wanted = version;
}

void
pgw_weights_order_apply_report(struct pgw_weights_order *order,
                               uint64_t version, bool busy, uint32_t queued,
                               uint64_t now_us)
{
    order->running = version;
    order->queued = queued;
    if (!order->sent || busy ||
        now_us - order->sent_us < order->options.report_lag_us) {
        return;
    }
    /* Not busy any more: an accepted order is done; one without an answer is
     * settled once it cannot be on its way any longer. */
    if (version >= order->wanted || order->accepted ||
        now_us - order->sent_us >= order->options.settle_us) {
        order->sent = false;
        order->accepted = false;
    }
}

void
pgw_weights_order_handle_restart(struct pgw_weights_order *order)
{
    order->sent = false;
    order->accepted = false;
    order->queued = 0;
}

void
pgw_weights_order_set_token(struct pgw_weights_order *order, uint64_t token,
                            uint64_t now_us)
{
    order->asked_token = false;
    order->token = MAX(order->token, token);
    if (token == 0) {
        order->not_before_us = now_us + order->options.token_again_us;
    }
}

void
pgw_weights_order_mark_sent(struct pgw_weights_order *order, uint64_t now_us)
{
    order->sent = true;
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
        /* May have been taken or may be later: the reports will tell. */
        return;
    case PGW_ORDER_FENCED:
        order->token = 0;
        break;
    case PGW_ORDER_BUSY:
    case PGW_ORDER_WRONG_INSTANCE:
    case PGW_ORDER_REFUSED:
        break;
    }
    order->sent = false;
    order->not_before_us = now_us + order->options.again_us;
}

static enum pgw_weights_order_step
rest_until(struct pgw_weights_order *order, uint64_t us)
{
    order->next_us = us;
    return PGW_WEIGHTS_WAIT;
}

static enum pgw_weights_order_step
open_again(struct pgw_weights_order *order)
{
    order->announced = false;
    return PGW_WEIGHTS_ANNOUNCE_AVAILABLE;
}

enum pgw_weights_order_step
pgw_weights_order_step(struct pgw_weights_order *order, uint64_t now_us)
{
    if (order->sent) {
        return rest_until(order, now_us + order->options.again_us / 3);
    }
    if (order->wanted <= order->running) {
        return order->announced ? open_again(order) : rest_until(order, 0);
    }
    if (now_us < order->due_us) {
        return order->announced ? open_again(order)
                                : rest_until(order, order->due_us);
    }
    if (now_us < order->not_before_us) {
        return rest_until(order, order->not_before_us);
    }
    if (order->token == 0) {
        if (order->asked_token) {
            return rest_until(order, 0);
        }
        order->asked_token = true;
        return PGW_WEIGHTS_REQUEST_TOKEN;
    }
    if (!order->announced) {
        order->announced = true;
        order->announced_us = now_us;
        return PGW_WEIGHTS_ANNOUNCE_LOADING;
    }
    if (now_us < order->announced_us + order->options.announce_us) {
        return rest_until(order,
                          order->announced_us + order->options.announce_us);
    }
    if (now_us > order->announced_us + ANNOUNCED_MAX_US) {
        order->not_before_us = now_us + order->options.again_us;
        return open_again(order);
    }
    /*
     * Failure: an engine is told to load while requests wait there. Symptom:
     * it refuses all of them at once, and those that have no repeat left are
     * refused to their callers. Nothing new comes since it was announced, so
     * the queue empties as runs end, before which it would not load anyway;
     * each report that says so is followed by a step.
     */
    if (order->queued > 0 &&
        now_us < order->announced_us + order->options.drain_us) {
        return rest_until(order,
                          order->announced_us + order->options.drain_us);
    }
    return PGW_WEIGHTS_SEND_ORDER;
}
