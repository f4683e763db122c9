#include "gateway/request/exchange.h"

/* An upstream that has served a check has room for so long. */
#define ROOM_FRESH_US 100000
/* When an upstream that was busy is asked again. */
#define ASK_AGAIN_US 200000

static void
forget_room(struct pgw_exchange *exchange)
{
    if (exchange->room_at != NULL) {
        pgw_upstream_unref(exchange->room_at);
        exchange->room_at = NULL;
    }
}

static void
on_ask_again(struct pgw_timer *timer)
{
    pgw_exchange_dispatch(
        pgw_container_of(timer, struct pgw_exchange, suspect_timer));
}

/* An upstream that has ended stays listed for a while, so that it may be
 * chosen again. */
static void
on_result(struct pgw_status_check *check, enum pgw_upstream_status status)
{
    struct pgw_exchange *exchange =
        pgw_container_of(check, struct pgw_exchange, room_check);
    uint64_t now_us = pgw_now_us();

    if (status == PGW_UPSTREAM_WELL) {
        exchange->room_known_us = now_us;
        pgw_exchange_dispatch(exchange);
        return;
    }
    if (status == PGW_UPSTREAM_ENDED) {
        pgw_upstream_record_attempt(exchange->room_at, PGW_RESULT_UNREACHABLE,
                                    now_us);
        pgw_gateway_handle_crash(exchange->gateway, exchange->room_at);
    }
    forget_room(exchange);
    exchange->room_ask_at_us = now_us + ASK_AGAIN_US;
    exchange->suspect_timer.on_due = on_ask_again;
    pgw_timer_start(exchange->gateway->loop, &exchange->suspect_timer,
                    ASK_AGAIN_US);
}

const struct pgw_upstream *
pgw_trial_room_at(const struct pgw_exchange *exchange)
{
    return pgw_now_us() < exchange->room_known_us + ROOM_FRESH_US
               ? exchange->room_at
               : NULL;
}

bool
pgw_trial_room_begin(struct pgw_exchange *exchange,
                     struct pgw_upstream *upstream)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_service *service =
        pgw_route_table_service(exchange->table, exchange->service);
    uint64_t now_us = pgw_now_us();

    if (exchange->trial == 0 || service == NULL ||
        service->status_path == NULL ||
        pgw_crash_quarantine_trials(gateway->crash_quarantine,
                                    &exchange->crash_keys) == 0) {
        return false;
    }
    if (pgw_status_check_is_running(&exchange->room_check) ||
        now_us < exchange->room_ask_at_us) {
        return true;
    }
    if (pgw_trial_room_at(exchange) == upstream) {
        return false;
    }
    if (exchange->room_until_us == 0) {
        exchange->room_until_us =
            now_us + pgw_exchange_queue_time_us(exchange, now_us);
    }
    if (now_us >= exchange->room_until_us) {
        pgw_exchange_refuse(exchange,
                            pgw_exchange_may_have_run(exchange) ? 502 : 503,
                            "no_place", pgw_exchange_retry_ms(exchange));
        return true;
    }
    forget_room(exchange);
    exchange->room_at = pgw_upstream_ref(upstream);
    exchange->room_known_us = 0;
    exchange->room_check.on_result = on_result;
    if (!pgw_status_check_start(&exchange->room_check, gateway->pool,
                                gateway->options.codec, upstream,
                                service->status_path)) {
        on_result(&exchange->room_check, PGW_UPSTREAM_BUSY);
    }
    return true;
}

void
pgw_trial_room_drop(struct pgw_exchange *exchange)
{
    pgw_status_check_cancel(&exchange->room_check);
    forget_room(exchange);
    exchange->room_until_us = 0;
}
