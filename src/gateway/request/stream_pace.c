#include "gateway/request/exchange.h"
#include "util/metric.h"
#include <math.h>

static struct pgw_metric_histogram pause_time = {
    .name = "pgw_gateway_stream_pause_seconds",
    .help = "Longest pause between two events of a stream",
};
static struct pgw_metric_histogram first_error = {
    .name = "pgw_gateway_forecast_first_error_seconds",
    .help = "Difference between the forecast of the first event and its time",
};
static struct pgw_metric_histogram end_error = {
    .name = "pgw_gateway_forecast_end_error_seconds",
    .help = "Difference between the forecast of an answer's end and its time",
};
static struct pgw_metric_counter late_first = {
    .name = "pgw_gateway_late_first_total",
    .help = "Answers that began after the objective of their route",
};
static struct pgw_metric_counter late_pace = {
    .name = "pgw_gateway_late_pace_total",
    .help = "Streams with a pause above the objective of their route",
};

static void
register_metrics(void)
{
    pgw_metric_register_histogram(&pause_time);
    pgw_metric_register_histogram(&first_error);
    pgw_metric_register_histogram(&end_error);
    pgw_metric_register_counter(&late_first);
    pgw_metric_register_counter(&late_pace);
}

void
pgw_stream_pace_add_event(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_stream_pace *pace = &exchange->pace;
    const struct pgw_upstream *upstream = exchange->upstream;

    if (pace->last_event_us > 0 &&
        now_us - pace->last_event_us > pace->longest_pause_us) {
        pace->longest_pause_us = now_us - pace->last_event_us;
        pace->long_prefills =
            MAX(upstream->long_prefills, upstream->load.long_prefills);
    }
    pace->last_event_us = now_us;
}

bool
pgw_stream_pace_is_late(const struct pgw_exchange *exchange)
{
    return exchange->route->pause_objective_ms > 0 &&
           exchange->pace.longest_pause_us >
               exchange->route->pause_objective_ms * 1000ULL;
}

static void
record_error(struct pgw_metric_histogram *histogram, double forecast_ms,
             uint64_t took_us)
{
    pgw_metric_histogram_record_us(
        histogram, (uint64_t)fabs(forecast_ms * 1000.0 - (double)took_us));
}

void
pgw_stream_pace_record(const struct pgw_exchange *exchange, bool is_answered,
                       uint64_t now_us)
{
    const struct pgw_forecast *forecast = &exchange->forecast;

    register_metrics();
    if (exchange->pace.last_event_us > 0) {
        pgw_metric_histogram_record_us(&pause_time,
                                       exchange->pace.longest_pause_us);
    }
    pgw_metric_counter_add(&late_pace, pgw_stream_pace_is_late(exchange));
    pgw_metric_counter_add(
        &late_first, exchange->first_event_us > 0 &&
                         exchange->route->objective_ms > 0 &&
                         exchange->first_event_us - exchange->received_us >
                             exchange->route->objective_ms * 1000ULL);
    if (is_answered && exchange->sends == 1 && exchange->began_us > 0 &&
        forecast->first_ms > 0) {
        record_error(&first_error, forecast->first_ms,
                     exchange->began_us - exchange->sent_us);
        record_error(&end_error, forecast->end_ms, now_us - exchange->sent_us);
    }
}
