#include "gateway/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Reports are asked for this often; while an order is on its way more often,
 * since requests wait for its end. */
#define REPORT_US 100000
#define REPORT_LOADING_US 40000
#define REPORT_TIMEOUT_US 400000
/* Cache events are waited for so long; shorter waits count as probes. */
#define EVENTS_WAIT_MS 800
#define EVENTS_TIMEOUT_US 2000000
/* After an answer with events: what follows at once is told together. */
#define EVENTS_PAUSE_US 30000
#define EVENTS_AGAIN_US 300000
/* Failed reports in a row before the engine counts as gone. */
#define DEAD_AFTER 2

static struct pgw_metric_counter reports_failed = {
    .name = "pgw_engine_reports_failed_total",
    .help = "Reports that the engine did not give",
};

static void
start_report_timer(struct pgw_engine_sidecar *guard)
{
    pgw_timer_start(guard->loop, &guard->report_timer,
                    pgw_engine_sidecar_is_loading(guard) ? REPORT_LOADING_US
                                                         : REPORT_US);
}

static void
report_failed(struct pgw_engine_sidecar *guard)
{
    pgw_metric_counter_add(&reports_failed, 1);
    guard->failures++;
    if (guard->failures == DEAD_AFTER) {
        guard->alive = false;
        pgw_log_warning("engine_lost", "engine=%s", guard->engine);
        pgw_engine_sidecar_report_to_all(guard, true);
    }
    start_report_timer(guard);
}

uint64_t
pgw_engine_report_version(const struct pgw_engine_report *report,
                          const char *model)
{
    for (size_t i = 0; i < report->model_count; i++) {
        if (strcmp(report->models[i].model, model) == 0) {
            return report->models[i].version;
        }
    }
    return 0;
}

static void
take_report(struct pgw_engine_sidecar *guard)
{
    uint64_t now = pgw_now_us();

    if (!guard->alive) {
        pgw_log_info("engine_found", "engine=%s", guard->engine);
    }
    guard->alive = true;
    guard->failures = 0;
    guard->arrivals_before = (struct pgw_announced_arrivals){0};
    pgw_announced_prompts_apply_report(
        &guard->announced,
        &(struct pgw_engine_work){
            .runs = guard->report.runs,
            .run_count = guard->report.run_count,
            .reading = guard->report.reading,
            .waiting = guard->report.load.waiting,
        },
        now);
    for (size_t i = 0; i < guard->model_count; i++) {
        struct pgw_sidecar_model *model = &guard->models[i];
        uint64_t version =
            pgw_engine_report_version(&guard->report, model->model);

        if (version != model->order.running) {
            pgw_log_info("weights_running",
                         "engine=%s model=%s version=%" G_GUINT64_FORMAT
                         " before=%" G_GUINT64_FORMAT,
                         guard->engine, model->model, version,
                         model->order.running);
        }
        pgw_weights_order_apply_report(&model->order, version,
                                       guard->report.busy,
                                       guard->report.load.waiting, now);
    }
    pgw_engine_sidecar_step_orders(guard);
    if (pgw_engine_sidecar_has_urgent_change(guard)) {
        pgw_engine_sidecar_report_to_all(guard, true);
    }
    else if (pgw_engine_sidecar_has_reportable_change(guard)) {
        pgw_engine_sidecar_report_to_all(guard, false);
    }
    start_report_timer(guard);
}

/*
 * Failure: the engine crashes and starts again under its id between two
 * reports. Symptom: an order that the former process was given counts as under
 * way, parts that it held are told as held. What is known of the former
 * process ends with the first report of the new one; an answer to the question
 * for cache events that is still under way would be the former's.
 */
static void
note_start(struct pgw_engine_sidecar *guard, uint64_t started_ms)
{
    if (guard->report.started_ms == 0 || started_ms == 0 ||
        guard->report.started_ms == started_ms) {
        return;
    }
#ifndef PGW_DISABLE_GUARD_STARTS
    pgw_log_warning("engine_restarted",
                    "engine=%s started_ms=%" G_GUINT64_FORMAT
                    " before_ms=%" G_GUINT64_FORMAT,
                    guard->engine, started_ms, guard->report.started_ms);
    for (size_t i = 0; i < guard->model_count; i++) {
        pgw_weights_order_handle_restart(&guard->models[i].order);
    }
    pgw_cached_parts_clear(&guard->parts);
    pgw_announced_prompts_clear(&guard->announced);
    if (pgw_call_is_running(&guard->events_call)) {
        pgw_call_cancel(&guard->events_call);
        pgw_timer_start(guard->loop, &guard->events_timer, 0);
    }
#endif
}

static struct pgw_engine_sidecar *
of_report(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_sidecar, report_call);
}

static bool
report_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_sidecar *guard = of_report(call);

    guard->report_status = head->status;
    g_string_truncate(guard->report_body, 0);
    return true;
}

static void
report_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(of_report(call)->report_body, data, (gssize)size);
}

static void
report_done(struct pgw_call *call)
{
    struct pgw_engine_sidecar *guard = of_report(call);
    struct pgw_engine_report report = {0};

    if (guard->report_status != 200 ||
        !guard->options.codec->read_report(&report, guard->report_body->str,
                                           guard->report_body->len)) {
        report_failed(guard);
        return;
    }
    note_start(guard, report.started_ms);
    pgw_engine_report_clear(&guard->report);
    guard->report = report;
    take_report(guard);
}

static void
report_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    (void)why;
    report_failed(of_report(call));
}

static const struct pgw_call_ops report_ops = {
    .on_head = report_head,
    .on_body = report_body,
    .on_done = report_done,
    .on_failed = report_lost,
};

void
pgw_engine_sidecar_report_due(struct pgw_timer *timer)
{
    struct pgw_engine_sidecar *guard =
        pgw_container_of(timer, struct pgw_engine_sidecar, report_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &guard->options.engine,
        .timeout_us = REPORT_TIMEOUT_US,
    };

    guard->arrivals_before = guard->arrivals;
    guard->arrivals = (struct pgw_announced_arrivals){0};
    guard->options.codec->write_report_request(bytes);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->report_call.ops = &report_ops;
    if (!pgw_call_start(&guard->report_call, guard->pool, &options)) {
        report_failed(guard);
    }
    g_string_free(bytes, TRUE);
}

/* A report at once: something is about to have changed. */
void
pgw_engine_sidecar_poll_now(struct pgw_engine_sidecar *guard)
{
    if (!pgw_call_is_running(&guard->report_call)) {
        pgw_timer_start(guard->loop, &guard->report_timer, 0);
    }
}

static struct pgw_engine_sidecar *
of_events(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_sidecar, events_call);
}

static bool
events_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_sidecar *guard = of_events(call);

    guard->events_status = head->status;
    g_string_truncate(guard->events_body, 0);
    return true;
}

static void
events_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(of_events(call)->events_body, data, (gssize)size);
}

/* The reports have not told of its start yet, or no longer tell of it. */
static bool
is_of_other_process(const struct pgw_engine_sidecar *guard,
                    const struct pgw_cache_events *events)
{
    return events->started_ms != 0 && guard->report.started_ms != 0 &&
           events->started_ms != guard->report.started_ms;
}

static void
events_done(struct pgw_call *call)
{
    struct pgw_engine_sidecar *guard = of_events(call);
    struct pgw_cache_events events = {0};

    if (guard->events_status != 200 ||
        !guard->options.codec->read_events(&events, guard->events_body->str,
                                           guard->events_body->len)) {
        pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
        return;
    }
    if (is_of_other_process(guard, &events)) {
        g_free(events.events);
        pgw_engine_sidecar_poll_now(guard);
        pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
        return;
    }
    pgw_cached_parts_apply_events(&guard->parts, &events);
    g_free(events.events);
    if (pgw_cached_parts_has_changes(&guard->parts, false)) {
        pgw_engine_sidecar_report_to_all(guard, false);
    }
    pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_PAUSE_US);
}

static void
events_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_sidecar *guard = of_events(call);

    (void)why;
    pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
}

static const struct pgw_call_ops events_ops = {
    .on_head = events_head,
    .on_body = events_body,
    .on_done = events_done,
    .on_failed = events_lost,
};

void
pgw_engine_sidecar_events_due(struct pgw_timer *timer)
{
    struct pgw_engine_sidecar *guard =
        pgw_container_of(timer, struct pgw_engine_sidecar, events_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &guard->options.engine,
        .timeout_us = EVENTS_TIMEOUT_US,
    };

    guard->options.codec->write_events_request(bytes, guard->parts.next,
                                               EVENTS_WAIT_MS);
    options.bytes = bytes->str;
    options.size = bytes->len;
    guard->events_call.ops = &events_ops;
    if (!pgw_call_start(&guard->events_call, guard->pool, &options)) {
        pgw_timer_start(guard->loop, &guard->events_timer, EVENTS_AGAIN_US);
    }
    g_string_free(bytes, TRUE);
}

void
pgw_engine_sidecar_register_poll_metrics(void)
{
    pgw_metric_register_counter(&reports_failed);
}
