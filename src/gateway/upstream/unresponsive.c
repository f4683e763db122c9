#include "gateway/upstream/unresponsive.h"
#include "gateway/request/exchange.h"
#include "gateway/upstream/upstream_notice.h"
#include "util/log.h"
#include "util/metric.h"

#define CHECK_INTERVAL_US 100000
/* An attempt younger than this is not moved to another upstream. */
#define MIN_ATTEMPT_AGE_US 1000000
/* An engine that decodes sends events many times a second. A longer gap in a
 * stream means that the engine has stopped, however seldom its sidecar
 * reports. Callers give up after two seconds or more without an event, and the
 * next engine must prefill the prompt in the rest of that time. */
#define STREAM_STALL_US 1000000
/* An entry whose checks are this far apart was stopped itself: a busy one is
 * late by less. */
#define OWN_PAUSE_US 500000

static struct pgw_metric_gauge unresponsive_upstreams = {
    .name = "pgw_gateway_silent_upstreams",
    .help = "Upstreams that, like their sidecars, have stopped sending",
};
static struct pgw_metric_counter failed_over = {
    .name = "pgw_gateway_moved_total",
    .help = "Requests moved to another upstream after theirs stopped sending",
};
static struct pgw_metric_counter process_ended = {
    .name = "pgw_gateway_orphaned_total",
    .help = "Requests whose upstream process ended without an answer",
};

/*
 * Failure: the entry's own machine is suspended. Symptom: what was sent to it
 * meanwhile is unread, so it takes all engines for lost, and runs go on at a
 * second engine while the first is well. Silence counts from the entry's own
 * return.
 */
static bool
hears_again(const struct pgw_gateway *gateway, uint64_t now_us)
{
    return gateway->resumed_us == 0 ||
           now_us - gateway->resumed_us >= STREAM_STALL_US;
}

static void
notice_own_pause(struct pgw_gateway *gateway, uint64_t now_us)
{
    if (gateway->liveness_checked_us > 0 &&
        now_us - gateway->liveness_checked_us >= OWN_PAUSE_US) {
        gateway->resumed_us = now_us;
    }
    gateway->liveness_checked_us = now_us;
}

/* Logs when an upstream stops responding and when it responds again. Returns
 * whether it is suspect or unresponsive. */
static bool
log_liveness_change(struct pgw_gateway *gateway, struct pgw_upstream *upstream,
                    uint64_t now_us)
{
    bool suspect = pgw_upstream_liveness(upstream, now_us) != PGW_RESPONSIVE;

    if (suspect != upstream->suspect_logged) {
        upstream->suspect_logged = suspect;
        pgw_log_info("upstream_silent",
                     "upstream=%s silent=%d heard_ms=%" G_GUINT64_FORMAT
                     " inflight=%u",
                     upstream->id, suspect,
                     pgw_upstream_since_seen_us(upstream, now_us) / 1000,
                     upstream->inflight);
        if (suspect && hears_again(gateway, now_us)) {
            pgw_run_cover_add_loss(gateway, upstream);
        }
    }
    return suspect;
}

static bool
is_stalled(const struct pgw_exchange *exchange, uint64_t now_us)
{
    const struct pgw_upstream *upstream = exchange->upstream;

    if (upstream == NULL || exchange->caller == NULL ||
        !pgw_call_is_running(&exchange->call) ||
        now_us - exchange->sent_us < MIN_ATTEMPT_AGE_US) {
        return false;
    }
    return exchange->phase == PGW_PHASE_RELAYING
               ? pgw_upstream_since_seen_us(upstream, now_us) >=
                     STREAM_STALL_US
               : pgw_upstream_liveness(upstream, now_us) != PGW_RESPONSIVE;
}

/* Reserves a retry for a request that can run elsewhere. Returns NULL, or the
 * reason why the request stays where it is. */
static const char *
reserve_retry(struct pgw_exchange *exchange)
{
    if (!pgw_attempt_may_retry(exchange)) {
        return "may_not_repeat";
    }
    if (exchange->trial != 0) {
        return "trial";
    }
    if (!pgw_exchange_has_free_upstream(exchange)) {
        return "no_place";
    }
    return pgw_attempt_take_retry(exchange) ? NULL : "no_repeat_left";
}

static void
log_stalled(struct pgw_exchange *exchange, const char *reason, uint64_t now_us)
{
    if (exchange->stuck_is_logged) {
        return;
    }
    exchange->stuck_is_logged = true;
    pgw_log_info(
        "request_stuck",
        "request=%s upstream=%s silent_ms=%" G_GUINT64_FORMAT " stays=%s",
        exchange->facts.id, exchange->upstream->id,
        pgw_upstream_since_seen_us(exchange->upstream, now_us) / 1000, reason);
}

/*
 * Failure: the machine of an engine is suspended in the middle of its streams.
 * Symptom: callers wait until they give up, seconds later, and the engine
 * is not notified and, once resumed, continues to decode for callers that have
 * disconnected. A request that may be resumed continues at another engine
 * before its caller gives up. Closing the connection stops the first engine as
 * soon as it receives anything. Without a free slot elsewhere the request
 * stays, since its engine may still continue.
 */
static void
fail_over(struct pgw_exchange *exchange, uint64_t now_us)
{
    const char *reason_to_stay =
        hears_again(exchange->gateway, now_us) && pgw_run_cover_go_on(exchange)
            ? NULL
            : reserve_retry(exchange);

    if (reason_to_stay != NULL) {
        log_stalled(exchange, reason_to_stay, now_us);
        return;
    }
    pgw_metric_counter_add(&failed_over, 1);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_record_result(exchange, PGW_RESULT_TIMEOUT);
    pgw_attempt_retry(exchange, "silent");
}

/* Whether the request was sent to a process that another one has replaced, and
 * no byte has arrived within the grace period for late bytes. */
static bool
has_process_ended(const struct pgw_exchange *exchange, uint64_t now_us)
{
    uint64_t replaced_at_us =
        exchange->upstream == NULL ? 0 : exchange->upstream->replaced_at_us;

    return exchange->sent_us < replaced_at_us &&
           pgw_call_is_running(&exchange->call) &&
           now_us >= MAX(replaced_at_us, exchange->last_byte_us) +
                         exchange->gateway->options.final_answer_grace_us;
}

/*
 * Failure: the machine of an upstream loses power, so nothing closes its
 * connections, and a new process is listed in its place. Symptom: callers wait
 * for the ended process until their deadlines. Its requests end once their
 * last bytes can no longer be in flight.
 */
static void
end_for_ended_process(struct pgw_exchange *exchange)
{
    pgw_metric_counter_add(&process_ended, 1);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_handle_lost(exchange, "process_ended");
}

void
pgw_unresponsive_check(struct pgw_gateway *gateway)
{
    uint64_t now_us = pgw_now_us();
    unsigned suspects = 0;

    notice_own_pause(gateway, now_us);
    pgw_list_foreach (link, pgw_upstream_table_all(gateway->upstreams)) {
        suspects += log_liveness_change(
            gateway, pgw_container_of(link, struct pgw_upstream, in_table),
            now_us);
    }
    pgw_metric_gauge_set(&unresponsive_upstreams, suspects);
    pgw_upstream_notice_update_metrics(gateway->upstreams, now_us);
    /* Includes requests at upstreams that are no longer in the table. */
    pgw_list_foreach_safe (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (has_process_ended(exchange, now_us)) {
            end_for_ended_process(exchange);
        }
        else if (is_stalled(exchange, now_us)) {
            fail_over(exchange, now_us);
        }
    }
}

static void
check_due(struct pgw_timer *timer)
{
    struct pgw_gateway *gateway =
        pgw_container_of(timer, struct pgw_gateway, unresponsive_timer);

    pgw_unresponsive_check(gateway);
    pgw_timer_start(gateway->loop, timer, CHECK_INTERVAL_US);
}

void
pgw_unresponsive_start(struct pgw_gateway *gateway)
{
    pgw_metric_register_gauge(&unresponsive_upstreams);
    pgw_upstream_notice_register_metrics();
    pgw_metric_register_counter(&failed_over);
    pgw_metric_register_counter(&process_ended);
    gateway->unresponsive_timer.on_due = check_due;
    pgw_timer_start(gateway->loop, &gateway->unresponsive_timer,
                    CHECK_INTERVAL_US);
}

void
pgw_unresponsive_stop(struct pgw_gateway *gateway)
{
    pgw_timer_stop(gateway->loop, &gateway->unresponsive_timer);
}
