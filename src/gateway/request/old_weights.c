#include "gateway/request/old_weights.h"
#include "gateway/request/exchange.h"
#include "util/metric.h"
#include <string.h>

static struct pgw_metric_counter withdrawn = {
    .name = "pgw_gateway_old_weights_withdrawn_total",
    .help = "Requests withdrawn before they began on weights that are too old",
};

/* Whether the request waits at an engine for the begin of its run. A run that
 * goes on from its copy has begun before. */
static bool
is_waiting(const struct pgw_exchange *exchange)
{
    return exchange->upstream != NULL && exchange->began_us == 0 &&
           !exchange->not_run && pgw_call_is_running(&exchange->call) &&
           (exchange->is_stream || !exchange->call.answered) &&
           !pgw_run_cover_is_used(&exchange->cover);
}

static void
withdraw(struct pgw_exchange *exchange)
{
    bool sent = exchange->call.sent;

    pgw_metric_register_counter(&withdrawn);
    pgw_metric_counter_add(&withdrawn, 1);
    pgw_call_cancel(&exchange->call);
    if (sent) {
        pgw_attempt_handle_unknown(exchange, "weights_expired");
        return;
    }
    exchange->runs--;
    pgw_attempt_handle_not_run(exchange, "weights_expired", false);
}

static void
withdraw_expired(struct pgw_gateway *gateway, const char *model,
                 const struct pgw_target_weights *target, uint64_t now_us)
{
    uint64_t oldest = pgw_target_weights_oldest_usable(
        target, gateway->options.old_weights_end_us, now_us);

    pgw_list_foreach_safe (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (is_waiting(exchange) && exchange->weights < oldest &&
            g_strcmp0(exchange->facts.model, model) == 0) {
            withdraw(exchange);
        }
    }
}

static void
on_timer(struct pgw_timer *timer)
{
    struct pgw_gateway *gateway =
        pgw_container_of(timer, struct pgw_gateway, old_weights_timer);
    uint64_t now_us = pgw_now_us();
    GHashTableIter iter;
    void *model;
    void *target;

    g_hash_table_iter_init(&iter, gateway->target_weights);
    while (g_hash_table_iter_next(&iter, &model, &target)) {
        withdraw_expired(gateway, model, target, now_us);
    }
    pgw_old_weights_schedule(gateway);
}

void
pgw_old_weights_schedule(struct pgw_gateway *gateway)
{
    uint64_t now_us = pgw_now_us();
    uint64_t next_us = 0;
    GHashTableIter iter;
    void *target;

    if (gateway->options.old_weights_end_us == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, gateway->target_weights);
    while (g_hash_table_iter_next(&iter, NULL, &target)) {
        uint64_t end_us = pgw_target_weights_next_end_us(
            target, gateway->options.old_weights_end_us, now_us);

        if (end_us > 0 && (next_us == 0 || end_us < next_us)) {
            next_us = end_us;
        }
    }
    if (next_us > 0) {
        gateway->old_weights_timer.on_due = on_timer;
        pgw_timer_start(gateway->loop, &gateway->old_weights_timer,
                        next_us - now_us);
    }
}

void
pgw_old_weights_stop(struct pgw_gateway *gateway)
{
    pgw_timer_stop(gateway->loop, &gateway->old_weights_timer);
}
