#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* Interval of polls for reports; shorter while the engine loads, as requests
 * wait for the end of the load. */
#define REPORT_INTERVAL_US 100000
#define REPORT_INTERVAL_LOADING_US 40000
#define REPORT_TIMEOUT_US 400000
/* A report of an engine with 256 requests in flight has some 20 KB. */
#define REPORT_BYTES_MAX ((size_t)1024 * 1024)
/* How long the engine may hold a long poll for cache events; shorter ones
 * count as probes. */
#define EVENTS_LONG_POLL_MS 800
#define EVENTS_TIMEOUT_US 2000000
/* Some 40,000 events; an engine keeps a few thousand. */
#define EVENTS_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* Delay before the next poll after an answer with events, so that events in
 * quick succession are reported together. */
#define EVENTS_BATCH_DELAY_US 30000
#define EVENTS_RETRY_US 300000
/* Failed polls in a row after which the engine counts as unreachable. */
#define FAILED_POLLS_MAX 2

/* A change of the prefill rate by this share is logged, at most once in
 * PACE_LOG_INTERVAL_US. */
#define PACE_LOG_SHARE 0.25
#define PACE_LOG_INTERVAL_US 2000000

static struct pgw_metric_gauge prefill_rate = {
    .name = "pgw_engine_prefill_tokens_per_s",
    .help = "Prompt tokens that the engine prefills in a second, as measured",
};
static struct pgw_metric_counter reports_failed = {
    .name = "pgw_engine_reports_failed_total",
    .help = "Polls for an engine report that failed",
};

static void
start_report_timer(struct pgw_engine_sidecar *sidecar)
{
    pgw_timer_start(sidecar->loop, &sidecar->report_timer,
                    pgw_engine_sidecar_is_loading(sidecar)
                        ? REPORT_INTERVAL_LOADING_US
                        : REPORT_INTERVAL_US);
}

static void
handle_failed_poll(struct pgw_engine_sidecar *sidecar)
{
    pgw_metric_counter_add(&reports_failed, 1);
    sidecar->failed_polls++;
    if (sidecar->failed_polls == FAILED_POLLS_MAX) {
        sidecar->alive = false;
        pgw_log_warning("engine_lost", "engine=%s", sidecar->engine);
        pgw_engine_sidecar_report_to_entries(sidecar, true);
    }
    start_report_timer(sidecar);
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
publish_pace(struct pgw_engine_sidecar *sidecar, uint64_t now_us)
{
    const struct pgw_engine_pace *pace = &sidecar->prefill_meter.pace;
    double per_s = pace->prefill_rate * 1000;
    double before = sidecar->logged_prefill_per_s;

    pgw_metric_gauge_set(&prefill_rate, (int64_t)per_s);
    if (ABS(per_s - before) <= before * PACE_LOG_SHARE ||
        now_us - sidecar->pace_logged_us < PACE_LOG_INTERVAL_US) {
        return;
    }
    sidecar->logged_prefill_per_s = per_s;
    sidecar->pace_logged_us = now_us;
    pgw_log_info("engine_pace",
                 "engine=%s prefill_per_s=%.0f before=%.0f samples=%u",
                 sidecar->engine, per_s, before, pace->samples);
}

static void
handle_report(struct pgw_engine_sidecar *sidecar)
{
    uint64_t now = pgw_now_us();

    if (!sidecar->alive) {
        pgw_log_info("engine_found", "engine=%s", sidecar->engine);
    }
    sidecar->alive = true;
    sidecar->failed_polls = 0;
    sidecar->arrivals_before_poll = (struct pgw_announced_arrivals){0};
    pgw_announced_prompts_apply_report(
        &sidecar->announced_prompts,
        &(struct pgw_engine_work){
            .runs = sidecar->report.runs,
            .run_count = sidecar->report.run_count,
            .unlisted_runs = sidecar->report.unlisted_runs,
            .waiting = sidecar->report.load.waiting,
        },
        now);
    pgw_prefill_meter_expire(&sidecar->prefill_meter, now);
    publish_pace(sidecar, now);
    for (size_t i = 0; i < sidecar->model_count; i++) {
        struct pgw_sidecar_model *model = &sidecar->models[i];
        uint64_t version =
            pgw_engine_report_version(&sidecar->report, model->model);

        if (version != model->order.running_version) {
            pgw_log_info("weights_running",
                         "engine=%s model=%s version=%" G_GUINT64_FORMAT
                         " before=%" G_GUINT64_FORMAT,
                         sidecar->engine, model->model, version,
                         model->order.running_version);
        }
        pgw_weights_order_apply_report(&model->order, version,
                                       sidecar->report.busy,
                                       sidecar->report.load.waiting, now);
    }
    pgw_engine_sidecar_step_orders(sidecar);
    if (pgw_engine_sidecar_has_urgent_change(sidecar)) {
        pgw_engine_sidecar_report_to_entries(sidecar, true);
    }
    else if (pgw_engine_sidecar_has_reportable_change(sidecar)) {
        pgw_engine_sidecar_report_to_entries(sidecar, false);
    }
    start_report_timer(sidecar);
}

/*
 * Failure: the engine crashes and restarts under its id between two reports.
 * Symptom: an order that the previous process got counts as in flight, and
 * parts that it had cached are still reported as cached. The state of the
 * previous process is discarded with the first report of the new one. A long
 * poll for cache events that is still running is cancelled, as its answer
 * would be the previous process's.
 */
static void
detect_restart(struct pgw_engine_sidecar *sidecar, uint64_t started_ms)
{
    if (sidecar->report.started_ms == 0 || started_ms == 0 ||
        sidecar->report.started_ms == started_ms) {
        return;
    }
#ifndef PGW_DISABLE_GUARD_STARTS
    pgw_log_warning("engine_restarted",
                    "engine=%s started_ms=%" G_GUINT64_FORMAT
                    " before_ms=%" G_GUINT64_FORMAT,
                    sidecar->engine, started_ms, sidecar->report.started_ms);
    for (size_t i = 0; i < sidecar->model_count; i++) {
        pgw_weights_order_handle_restart(&sidecar->models[i].order);
    }
    /* The new process may have stated these before; the answer that shows its
     * start replaces what the former one stated in reports. Backoffs end by
     * themselves. */
    if (sidecar->events_started_ms != started_ms) {
        sidecar->notices[PGW_SIDECAR_CALL_EVENTS] =
            (struct pgw_upstream_notice){0};
    }
    pgw_cached_parts_clear(&sidecar->cached_parts);
    pgw_announced_prompts_clear(&sidecar->announced_prompts);
    pgw_prefill_meter_clear(&sidecar->prefill_meter);
    if (pgw_call_is_running(&sidecar->events_call)) {
        pgw_call_cancel(&sidecar->events_call);
        pgw_timer_start(sidecar->loop, &sidecar->events_timer, 0);
    }
#endif
}

static struct pgw_engine_sidecar *
report_call_sidecar(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_sidecar, report_call);
}

static bool
report_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_sidecar *sidecar = report_call_sidecar(call);

    pgw_engine_sidecar_read_notice(sidecar, PGW_SIDECAR_CALL_REPORT, head);
    sidecar->report_status = head->status;
    g_string_truncate(sidecar->report_body, 0);
    return true;
}

static void
report_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(report_call_sidecar(call)->report_body, data,
                        (gssize)size);
}

static void
report_done(struct pgw_call *call)
{
    struct pgw_engine_sidecar *sidecar = report_call_sidecar(call);
    struct pgw_engine_report report = {0};

    if (sidecar->report_status != 200 ||
        !sidecar->options.codec->read_report(
            &report, sidecar->report_body->str, sidecar->report_body->len)) {
        handle_failed_poll(sidecar);
        return;
    }
    detect_restart(sidecar, report.started_ms);
    /* A restart after a report without a start time would go unnoticed. */
    if (report.started_ms == 0) {
        report.started_ms = sidecar->report.started_ms;
    }
    pgw_engine_report_clear(&sidecar->report);
    sidecar->report = report;
    handle_report(sidecar);
}

static void
report_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    (void)why;
    handle_failed_poll(report_call_sidecar(call));
}

static const struct pgw_call_ops report_ops = {
    .on_head = report_head,
    .on_body = report_body,
    .on_done = report_done,
    .on_failed = report_lost,
};

void
pgw_engine_sidecar_on_report_timer(struct pgw_timer *timer)
{
    struct pgw_engine_sidecar *sidecar =
        pgw_container_of(timer, struct pgw_engine_sidecar, report_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &sidecar->options.engine,
        .timeout_us = REPORT_TIMEOUT_US,
        .body_max = REPORT_BYTES_MAX,
    };
    uint64_t backoff_us =
        pgw_engine_sidecar_backoff_us(sidecar, PGW_SIDECAR_CALL_REPORT);

    if (backoff_us > 0) {
        pgw_timer_start(sidecar->loop, timer, backoff_us);
        goto done;
    }
    sidecar->arrivals_before_poll = sidecar->arrivals_since_poll;
    sidecar->arrivals_since_poll = (struct pgw_announced_arrivals){0};
    sidecar->options.codec->write_report_request(bytes);
    options.bytes = bytes->str;
    options.size = bytes->len;
    sidecar->report_call.ops = &report_ops;
    if (!pgw_call_start(&sidecar->report_call, sidecar->pool, &options)) {
        handle_failed_poll(sidecar);
    }
done:
    g_string_free(bytes, TRUE);
}

void
pgw_engine_sidecar_poll_now(struct pgw_engine_sidecar *sidecar)
{
    if (!pgw_call_is_running(&sidecar->report_call)) {
        pgw_timer_start(sidecar->loop, &sidecar->report_timer, 0);
    }
}

static struct pgw_engine_sidecar *
events_call_sidecar(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_engine_sidecar, events_call);
}

static bool
events_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_engine_sidecar *sidecar = events_call_sidecar(call);

    pgw_engine_sidecar_read_notice(sidecar, PGW_SIDECAR_CALL_EVENTS, head);
    sidecar->events_status = head->status;
    g_string_truncate(sidecar->events_body, 0);
    return true;
}

static void
events_body(struct pgw_call *call, const char *data, size_t size)
{
    g_string_append_len(events_call_sidecar(call)->events_body, data,
                        (gssize)size);
}

/* Events may come from a process that started after the last report, or from
 * the one before it. */
static bool
is_from_other_process(const struct pgw_engine_sidecar *sidecar,
                      const struct pgw_cache_events *events)
{
    return events->started_ms != 0 && sidecar->report.started_ms != 0 &&
           events->started_ms != sidecar->report.started_ms;
}

static void
events_done(struct pgw_call *call)
{
    struct pgw_engine_sidecar *sidecar = events_call_sidecar(call);
    struct pgw_cache_events events = {0};

    if (sidecar->events_status != 200 ||
        !sidecar->options.codec->read_events(
            &events, sidecar->events_body->str, sidecar->events_body->len)) {
        pgw_timer_start(sidecar->loop, &sidecar->events_timer,
                        EVENTS_RETRY_US);
        return;
    }
    sidecar->events_started_ms = events.started_ms;
    if (is_from_other_process(sidecar, &events)) {
        g_free(events.events);
        pgw_engine_sidecar_poll_now(sidecar);
        pgw_timer_start(sidecar->loop, &sidecar->events_timer,
                        EVENTS_RETRY_US);
        return;
    }
    pgw_cached_parts_apply_events(&sidecar->cached_parts, &events);
    g_free(events.events);
    if (pgw_cached_parts_has_changes(&sidecar->cached_parts, false)) {
        pgw_engine_sidecar_report_to_entries(sidecar, false);
    }
    pgw_timer_start(sidecar->loop, &sidecar->events_timer,
                    EVENTS_BATCH_DELAY_US);
}

static void
events_lost(struct pgw_call *call, enum pgw_call_failure why)
{
    struct pgw_engine_sidecar *sidecar = events_call_sidecar(call);

    (void)why;
    pgw_timer_start(sidecar->loop, &sidecar->events_timer, EVENTS_RETRY_US);
}

static const struct pgw_call_ops events_ops = {
    .on_head = events_head,
    .on_body = events_body,
    .on_done = events_done,
    .on_failed = events_lost,
};

void
pgw_engine_sidecar_on_events_timer(struct pgw_timer *timer)
{
    struct pgw_engine_sidecar *sidecar =
        pgw_container_of(timer, struct pgw_engine_sidecar, events_timer);
    GString *bytes = g_string_new(NULL);
    struct pgw_call_options options = {
        .address = &sidecar->options.engine,
        .timeout_us = EVENTS_TIMEOUT_US,
        .body_max = EVENTS_BYTES_MAX,
    };
    uint64_t backoff_us =
        pgw_engine_sidecar_backoff_us(sidecar, PGW_SIDECAR_CALL_EVENTS);

    if (backoff_us > 0) {
        pgw_timer_start(sidecar->loop, timer, backoff_us);
        goto done;
    }
    sidecar->options.codec->write_events_request(
        bytes, sidecar->cached_parts.next, EVENTS_LONG_POLL_MS);
    options.bytes = bytes->str;
    options.size = bytes->len;
    sidecar->events_call.ops = &events_ops;
    if (!pgw_call_start(&sidecar->events_call, sidecar->pool, &options)) {
        pgw_timer_start(sidecar->loop, &sidecar->events_timer,
                        EVENTS_RETRY_US);
    }
done:
    g_string_free(bytes, TRUE);
}

void
pgw_engine_sidecar_register_poll_metrics(void)
{
    pgw_metric_register_counter(&reports_failed);
    pgw_metric_register_gauge(&prefill_rate);
}
