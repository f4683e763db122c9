#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "util/log.h"
#include "util/metric.h"

static struct pgw_metric_counter held = {
    .name = "pgw_gateway_streams_held_total",
    .help = "Streams that began late in a planned stop",
};
static struct pgw_metric_counter given_up = {
    .name = "pgw_gateway_streams_given_up_total",
    .help = "Streams that were given up as the stop would have cut them",
};

void
pgw_drain_hold_begin(struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_drain_request request =
        pgw_exchange_drain_request(exchange);

    exchange->forecast_end_us = 0;
    /* Part of a stream that is being relayed has reached its caller. */
    if (!gateway->is_draining || !exchange->route->stream ||
        !pgw_route_may_run_again(exchange->route) ||
        exchange->phase == PGW_PHASE_RELAYING) {
        return;
    }
    exchange->forecast_end_us = pgw_drain_window_forecast_end_us(
        &gateway->drain, &request, pgw_now_us());
    if (exchange->forecast_end_us > 0) {
        pgw_metric_register_counter(&held);
        pgw_metric_register_counter(&given_up);
        pgw_metric_counter_add(&held, 1);
    }
}

/* Each event has one token at least, and a resumed stream those before it. */
static uint64_t
events_left(const struct pgw_exchange *exchange)
{
    uint64_t tokens = exchange->facts.prompt.output_tokens;
    uint64_t passed = exchange->events.events;

    if (tokens == 0) {
        return PGW_DRAIN_EVENTS_UNKNOWN;
    }
    if (exchange->facts.has_resume) {
        passed += exchange->facts.resume_after;
    }
    return tokens > passed ? tokens - passed : 0;
}

static struct pgw_drain_stream
stream_progress(const struct pgw_exchange *exchange)
{
    const struct pgw_route *route = exchange->route;

    return (struct pgw_drain_stream){
        .events_left = events_left(exchange),
        .promised_pause_us = route->pause_objective_ms * 1000ULL,
        .longest_pause_us = exchange->pace.longest_pause_us,
        .answer_due_us = exchange->received_us + route->objective_ms * 1000ULL,
        .forecast_end_us = exchange->forecast_end_us,
    };
}

enum pgw_drain_verdict
pgw_drain_hold_judge(const struct pgw_exchange *exchange)
{
    struct pgw_drain_stream stream;

    if (exchange->forecast_end_us == 0) {
        return PGW_DRAIN_RELAY;
    }
    stream = stream_progress(exchange);
    return pgw_drain_window_judge(&exchange->gateway->drain, &stream,
                                  pgw_now_us());
}

bool
pgw_drain_hold_is_hopeless(const struct pgw_exchange *exchange)
{
    uint64_t now_us = pgw_now_us();
    struct pgw_drain_stream stream;

    if (exchange->forecast_end_us == 0) {
        return false;
    }
    stream = stream_progress(exchange);
    if (exchange->pace.last_event_us > 0) {
        stream.longest_pause_us = MAX(stream.longest_pause_us,
                                      now_us - exchange->pace.last_event_us);
    }
    return pgw_drain_window_judge(&exchange->gateway->drain, &stream,
                                  now_us) == PGW_DRAIN_GIVE_UP;
}

void
pgw_drain_hold_give_up(struct pgw_exchange *exchange)
{
    pgw_log_info(
        "stream_given_up",
        "request=%s upstream=%s events=%" G_GUINT64_FORMAT
        " longest_pause_ms=%" G_GUINT64_FORMAT " drain_ms=%" G_GUINT64_FORMAT,
        exchange->facts.id, exchange->upstream->id, exchange->events.events,
        exchange->pace.longest_pause_us / 1000,
        (pgw_now_us() - exchange->gateway->drain.begun_us) / 1000);
    pgw_metric_counter_add(&given_up, 1);
    pgw_call_cancel(&exchange->call);
    pgw_attempt_abandon(exchange, "stopping");
}
