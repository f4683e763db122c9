#include "gateway/unresponsive.h"
#include "gateway/exchange.h"
#include "util/log.h"
#include "util/metric.h"

#define LOOK_US 100000
/* A request is not taken back from an upstream that it has just reached. */
#define LEAST_AGE_US 1000000
/* An engine that generates sends something many times in a second, so that one
 * which does not stands still, however seldom its sidecar speaks. Callers wait
 * two seconds and more for an event, and the next engine has to read the
 * prompt in what is left of that. */
#define STILL_US 1000000

static struct pgw_metric_gauge silent_now = {
    .name = "pgw_gateway_silent_upstreams",
    .help = "Upstreams of which, and of whose sidecar, nothing is heard",
};
static struct pgw_metric_counter moved = {
    .name = "pgw_gateway_moved_total",
    .help = "Requests sent on since their upstream had fallen silent",
};
static struct pgw_metric_counter orphaned = {
    .name = "pgw_gateway_orphaned_total",
    .help = "Requests whose upstream's process was over without an answer",
};

/* Says once that an upstream has fallen silent, and once that it has not. */
static bool
note_liveness(struct pgw_upstream *upstream, uint64_t now_us)
{
    bool silent = pgw_upstream_liveness(upstream, now_us) != PGW_RESPONSIVE;

    if (silent != upstream->suspect_logged) {
        upstream->suspect_logged = silent;
        pgw_log_info("upstream_silent",
                     "upstream=%s silent=%d heard_ms=%" G_GUINT64_FORMAT
                     " inflight=%u",
                     upstream->id, silent,
                     pgw_upstream_since_seen_us(upstream, now_us) / 1000,
                     upstream->inflight);
    }
    return silent;
}

static bool
is_stuck(const struct pgw_exchange *exchange, uint64_t now_us)
{
    const struct pgw_upstream *upstream = exchange->upstream;

    if (upstream == NULL || exchange->caller == NULL ||
        !pgw_call_is_running(&exchange->call) ||
        now_us - exchange->sent_us < LEAST_AGE_US) {
        return false;
    }
    return exchange->phase == PGW_PHASE_RELAYING
               ? pgw_upstream_since_seen_us(upstream, now_us) >= STILL_US
               : pgw_upstream_liveness(upstream, now_us) != PGW_RESPONSIVE;
}

/* NULL: it goes on elsewhere, and a repeat was taken for it. */
static const char *
why_it_stays(struct pgw_exchange *exchange)
{
    if (!pgw_attempt_may_retry(exchange)) {
        return "may_not_repeat";
    }
    if (!pgw_exchange_has_free_upstream(exchange)) {
        return "no_place";
    }
    return pgw_attempt_take_retry(exchange) ? NULL : "no_repeat_left";
}

static void
note_stuck(struct pgw_exchange *exchange, const char *stays, uint64_t now_us)
{
    if (exchange->stuck_is_logged) {
        return;
    }
    exchange->stuck_is_logged = true;
    pgw_log_info(
        "request_stuck",
        "request=%s upstream=%s silent_ms=%" G_GUINT64_FORMAT " stays=%s",
        exchange->facts.id, exchange->upstream->id,
        pgw_upstream_since_seen_us(exchange->upstream, now_us) / 1000, stays);
}

/*
 * Failure: the machine of an engine is suspended in the middle of its streams.
 * Symptom: their callers wait until they give up, seconds later, and the
 * engine, which cannot hear of that, goes on for callers that have left. One
 * that may be resumed goes on at another engine before its caller leaves; the
 * connection is closed, so that the first engine ends as soon as it hears
 * anything. Only where there is a place: here it may still go on.
 */
static void
move(struct pgw_exchange *exchange, uint64_t now_us)
{
    const char *stays = why_it_stays(exchange);

    if (stays != NULL) {
        note_stuck(exchange, stays, now_us);
        return;
    }
    pgw_metric_counter_add(&moved, 1);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_record_result(exchange, PGW_RESULT_TIMEOUT);
    pgw_attempt_retry(exchange, "silent");
}

/* Sent to a process whose place another one has taken, and nothing has come
 * since. */
static bool
is_orphaned(const struct pgw_exchange *exchange, uint64_t now_us)
{
    uint64_t ended =
        exchange->upstream == NULL ? 0 : exchange->upstream->replaced_at_us;

    return exchange->sent_us < ended && pgw_call_is_running(&exchange->call) &&
           now_us >= MAX(ended, exchange->last_byte_us) +
                         exchange->gateway->options.final_answer_grace_us;
}

/*
 * Failure: the machine of an upstream loses its power, so that nothing closes
 * its connections, and its successor is listed. Symptom: callers wait for the
 * dead process until their deadlines.
 */
static void
end_orphaned(struct pgw_exchange *exchange)
{
    pgw_metric_counter_add(&orphaned, 1);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_handle_unknown(exchange, "process_ended");
}

void
pgw_unresponsive_check(struct pgw_gateway *gateway)
{
    uint64_t now = pgw_now_us();
    unsigned silent = 0;

    pgw_list_foreach (link, pgw_upstream_table_all(gateway->upstreams)) {
        silent += note_liveness(
            pgw_container_of(link, struct pgw_upstream, in_table), now);
    }
    pgw_metric_gauge_set(&silent_now, silent);
    /* Requests at an upstream that has left the list are looked at, too. */
    pgw_list_foreach_safe (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (is_orphaned(exchange, now)) {
            end_orphaned(exchange);
        }
        else if (is_stuck(exchange, now)) {
            move(exchange, now);
        }
    }
}

static void
look_due(struct pgw_timer *timer)
{
    struct pgw_gateway *gateway =
        pgw_container_of(timer, struct pgw_gateway, unresponsive_timer);

    pgw_unresponsive_check(gateway);
    pgw_timer_start(gateway->loop, timer, LOOK_US);
}

void
pgw_unresponsive_start(struct pgw_gateway *gateway)
{
    pgw_metric_register_gauge(&silent_now);
    pgw_metric_register_counter(&moved);
    pgw_metric_register_counter(&orphaned);
    gateway->unresponsive_timer.on_due = look_due;
    pgw_timer_start(gateway->loop, &gateway->unresponsive_timer, LOOK_US);
}

void
pgw_unresponsive_stop(struct pgw_gateway *gateway)
{
    pgw_timer_stop(gateway->loop, &gateway->unresponsive_timer);
}
