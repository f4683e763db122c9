#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "gateway/upstream/announced_prompts.h"
#include "gateway/upstream/upstream_notice.h"
#include "util/log.h"
#include "util/metric.h"

/* Most attempts of one request, including those that an upstream refuses. */
#define SENDS_MAX 5

static struct pgw_metric_counter retries = {
    .name = "pgw_gateway_repeats_total",
    .help = "Retries of requests",
};

uint32_t
pgw_attempt_prefilled_tokens(const struct pgw_exchange *exchange,
                             uint32_t pending_tokens, uint32_t missing_tokens)
{
    return g_strcmp0(exchange->fetch_source, "engine") == 0
               ? pending_tokens - MIN(missing_tokens, pending_tokens)
               : pending_tokens;
}

/* A sidecar cannot tell that a prompt was prefilled between two reports of its
 * engine, or that the request was cancelled. The entry announces both. */
static void
end_announcement(struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->prefill_is_announced && gateway->sidecars != NULL) {
        struct pgw_announcement prefill_end = {
            .request = pgw_announced_prompts_id(exchange->facts.id),
            .prefilled_tokens = exchange->began_us == 0
                                    ? 0
                                    : pgw_attempt_prefilled_tokens(
                                          exchange, exchange->prefill_tokens,
                                          exchange->missing_tokens),
        };

        gateway->sidecars->announce(gateway->sidecars_context,
                                    exchange->upstream, &prefill_end);
    }
    exchange->prefill_is_announced = false;
}

void
pgw_attempt_count_prefill_end(struct pgw_exchange *exchange)
{
    struct pgw_upstream *upstream = exchange->upstream;

    end_announcement(exchange);
    pgw_start_delay_end(&upstream->start_delay, &exchange->start_wait,
                        exchange->began_us != 0, pgw_now_us());
    upstream->prefill_tokens -= exchange->prefill_tokens;
    upstream->long_prefills -=
        exchange->prefill_tokens >= PGW_LONG_PREFILL_TOKENS;
    exchange->prefill_tokens = 0;
}

void
pgw_attempt_count_end(struct pgw_exchange *exchange)
{
    struct pgw_upstream *upstream = exchange->upstream;

    if (upstream == NULL) {
        return;
    }
    pgw_timer_stop(exchange->gateway->loop, &exchange->response_timer);
    pgw_attempt_record_abandoned(exchange);
    upstream->inflight--;
    upstream->inflight_tokens -= exchange->reserved_tokens;
    pgw_attempt_count_prefill_end(exchange);
    exchange->reserved_tokens = 0;
    exchange->upstream = NULL;
    pgw_upstream_unref(upstream);
}

void
pgw_attempt_count_start(struct pgw_exchange *exchange,
                        const struct pgw_choice *choice)
{
    struct pgw_upstream *upstream = pgw_upstream_ref(choice->upstream);
    const struct pgw_prompt *prompt = &exchange->facts.prompt;

    pgw_upstream_schedule_probe(upstream, pgw_now_us());
    pgw_upstream_notice_count_request(upstream, pgw_now_us());
    exchange->upstream = upstream;
    g_free(exchange->process);
    exchange->process = g_strdup(upstream->process);
    exchange->missing_tokens = choice->missing_tokens;
    exchange->forecast = choice->forecast;
    exchange->load_at_choice =
        pgw_upstream_load_estimate(upstream, pgw_now_us());
    exchange->load_report_age_us =
        upstream->load_reported_at_us == 0
            ? 0
            : pgw_now_us() - upstream->load_reported_at_us;
    upstream->inflight++;
    if (exchange->facts.model != NULL) {
        uint32_t unshared_tokens =
            prompt->part_count == 0
                ? prompt->tokens
                : prompt->parts[prompt->part_count - 1].tokens;

        exchange->reserved_tokens = prompt->tokens + prompt->output_tokens;
        exchange->prefill_tokens = unshared_tokens + choice->missing_tokens;
    }
    if (exchange->facts.model != NULL &&
        exchange->prefill_tokens < PGW_LONG_PREFILL_TOKENS) {
        pgw_start_delay_begin(&upstream->start_delay, &exchange->start_wait,
                              pgw_now_us());
    }
    upstream->inflight_tokens += exchange->reserved_tokens;
    upstream->prefill_tokens += exchange->prefill_tokens;
    upstream->long_prefills +=
        exchange->prefill_tokens >= PGW_LONG_PREFILL_TOKENS;
    if (exchange->tried_count < PGW_TRIED_MAX) {
        exchange->tried[exchange->tried_count++] = pgw_upstream_ref(upstream);
    }
}

void
pgw_attempt_record_result(struct pgw_exchange *exchange,
                          enum pgw_attempt_result result)
{
    pgw_upstream_record_attempt(exchange->upstream, result, pgw_now_us());
}

/* The prompt's parts that may crash the upstream. The last one is the
 * request's own, as is its fingerprint. */
static char *
print_shared_parts(const struct pgw_prompt *prompt)
{
    GString *out = g_string_new(prompt->part_count > 1 ? NULL : "-");

    for (size_t i = 0; i + 1 < prompt->part_count; i++) {
        g_string_append_printf(out, "%s%016" G_GINT64_MODIFIER "x",
                               i == 0 ? "" : ",", prompt->parts[i].id);
    }
    return g_string_free(out, FALSE);
}

void
pgw_attempt_record_abandoned(struct pgw_exchange *exchange)
{
    char name[PGW_FINGERPRINT_HEX];
    char *parts;

    if (exchange->upstream == NULL || !exchange->call.sent ||
        exchange->run_is_over) {
        return;
    }
    exchange->run_is_over = true;
    parts = print_shared_parts(&exchange->facts.prompt);
    pgw_fingerprint_print(name, &exchange->crash_keys.items[0]);
    pgw_log_info("run_abandoned",
                 "request=%s upstream=%s fingerprint=%s parts=%s "
                 "events=%" G_GUINT64_FORMAT " sends=%u ms=%" G_GUINT64_FORMAT,
                 exchange->facts.id, exchange->upstream->id, name, parts,
                 exchange->events.events, exchange->sends,
                 (pgw_now_us() - exchange->sent_us) / 1000);
    g_free(parts);
    pgw_crash_quarantine_add_abandoned(exchange->gateway->crash_quarantine,
                                       &exchange->crash_keys,
                                       exchange->process, pgw_now_us());
    if (exchange->trial != 0) {
        pgw_abandoned_trials_add(exchange->gateway->abandoned_trials,
                                 &exchange->crash_keys, exchange->trial,
                                 exchange->upstream, exchange->process);
        exchange->trial = 0;
    }
}

void
pgw_attempt_record_interrupted(struct pgw_exchange *exchange)
{
    struct pgw_crash_quarantine *quarantine =
        exchange->gateway->crash_quarantine;
    char *parts = print_shared_parts(&exchange->facts.prompt);
    char name[PGW_FINGERPRINT_HEX];

    exchange->run_is_over = true;
    pgw_fingerprint_print(name, &exchange->crash_keys.items[0]);
    pgw_log_info("run_interrupted",
                 "request=%s upstream=%s fingerprint=%s parts=%s "
                 "events=%" G_GUINT64_FORMAT " sends=%u",
                 exchange->facts.id, exchange->upstream->id, name, parts,
                 exchange->events.events, exchange->sends);
    g_free(parts);
    pgw_crash_quarantine_add_interrupted(quarantine, &exchange->crash_keys,
                                         exchange->process, pgw_now_us());
    if (exchange->trial != 0) {
        const struct pgw_answered_run run = {
            .request = exchange->facts.id,
            .keys = &exchange->crash_keys,
            .upstream = exchange->upstream,
            .process = exchange->process,
            .sent_us = exchange->sent_us,
            .is_cut = true,
            .trial = exchange->trial,
        };

        pgw_answered_runs_add(exchange->gateway->answered_runs, &run);
        exchange->trial = 0;
    }
}

bool
pgw_attempt_may_retry(const struct pgw_exchange *exchange)
{
    const struct pgw_route *route = exchange->route;

    if (pgw_run_cover_is_used(&exchange->cover) ||
        exchange->runs >= MAX(route->max_attempts, 1) ||
        !pgw_exchange_fits_drain(exchange) ||
        pgw_crash_quarantine_is_active(exchange->gateway->crash_quarantine,
                                       &exchange->crash_keys, pgw_now_us())) {
        return false;
    }
#ifndef PGW_DISABLE_GATEWAY_ONCE
    /*
     * Failure: an upstream accepts a request and its connection breaks.
     * Symptom if the request is retried: a record is written twice. Only a
     * route that is marked repeatable allows a retry, and only a stream of a
     * resumable route is resumed at another upstream.
     */
    return pgw_route_may_run_again(route);
#else
    return true;
#endif
}

static bool
take_retry(struct pgw_exchange *exchange, bool reserved)
{
    if (exchange->sends >= SENDS_MAX || exchange->caller == NULL) {
        return false;
    }
    if (!pgw_retry_budgets_take(exchange->gateway->budgets, exchange->service,
                                reserved, pgw_now_us())) {
        return false;
    }
    pgw_metric_register_counter(&retries);
    pgw_metric_counter_add(&retries, 1);
    return true;
}

bool
pgw_attempt_take_retry(struct pgw_exchange *exchange)
{
    return take_retry(exchange, false);
}

bool
pgw_attempt_take_reserved_retry(struct pgw_exchange *exchange)
{
    return take_retry(exchange, true);
}

static void
log_attempt(const struct pgw_exchange *exchange, const char *outcome)
{
    pgw_log_info("attempt_end",
                 "request=%s upstream=%s outcome=%s status=%u runs=%u "
                 "ms=%" G_GUINT64_FORMAT " named=%d earlier_calls=%u",
                 exchange->facts.id, exchange->upstream->id, outcome,
                 exchange->status, exchange->runs,
                 (pgw_now_us() - exchange->sent_us) / 1000,
                 (int)exchange->is_named, exchange->call.earlier_calls);
}

size_t
pgw_attempt_held_size(const struct pgw_exchange *exchange)
{
    return pgw_buffer_size(&exchange->answer) +
           pgw_buffer_size(&exchange->events.pending);
}

void
pgw_attempt_count_held(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    gateway->answers_size -= exchange->held_size;
    exchange->held_size = pgw_attempt_held_size(exchange);
    gateway->answers_size += exchange->held_size;
}

void
pgw_attempt_drop_answer(struct pgw_exchange *exchange)
{
    pgw_buffer_dispose(&exchange->answer);
    pgw_event_stream_discard_partial(&exchange->events);
    pgw_attempt_count_held(exchange);
}

static void
discard_answer(struct pgw_exchange *exchange)
{
    pgw_attempt_drop_answer(exchange);
    /* The next attempt begins the stream again: its caller has none of it. */
    if (exchange->phase != PGW_PHASE_RELAYING) {
        pgw_event_stream_dispose(&exchange->events);
        exchange->events = (struct pgw_event_stream){0};
        exchange->pace = (struct pgw_stream_pace){0};
    }
    exchange->status = 0;
    exchange->is_named = false;
    exchange->not_run = false;
    exchange->is_stream = false;
}

void
pgw_attempt_abandon(struct pgw_exchange *exchange, const char *why)
{
    log_attempt(exchange, why);
    pgw_attempt_count_end(exchange);
    exchange->may_have_run = true;
    pgw_exchange_refuse(exchange, 502, why, 0);
}

void
pgw_attempt_retry(struct pgw_exchange *exchange, const char *why)
{
    log_attempt(exchange, why);
    exchange->may_have_run = true;
    pgw_attempt_count_end(exchange);
    discard_answer(exchange);
    pgw_exchange_dispatch(exchange);
}

void
pgw_attempt_handle_not_run(struct pgw_exchange *exchange, const char *why,
                           bool arrived)
{
    log_attempt(exchange, why);
    pgw_attempt_count_end(exchange);
    pgw_run_cover_handle_not_run(exchange, arrived);
    if (arrived) {
        pgw_suspect_wait_end_trial(exchange, PGW_TRIAL_UNPROVEN);
    }
    if (exchange->caller == NULL) {
        pgw_exchange_finish(exchange, "caller_gone");
        return;
    }
    /* Its run has begun elsewhere, so it may not begin again. */
    if (pgw_run_cover_is_used(&exchange->cover)) {
        pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        return;
    }
    /* A request that reached no upstream costs none of them any work, so its
     * retry does not count against the budget. */
    if (arrived ? !pgw_attempt_take_retry(exchange)
                : exchange->sends >= SENDS_MAX) {
        if (exchange->phase == PGW_PHASE_RELAYING || exchange->may_have_run) {
            pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        }
        else {
            pgw_exchange_refuse(exchange, 503, "upstreams_refuse",
                                pgw_exchange_retry_ms(exchange));
        }
        return;
    }
    discard_answer(exchange);
    pgw_exchange_dispatch(exchange);
}

static void
end_attempt(struct pgw_exchange *exchange, const char *why)
{
    log_attempt(exchange, why);
    exchange->may_have_run = true;
    pgw_attempt_count_end(exchange);
}

static void
retry_unknown(struct pgw_exchange *exchange)
{
    if (exchange->caller == NULL) {
        pgw_exchange_finish(exchange, "caller_gone");
        return;
    }
    if (!pgw_attempt_may_retry(exchange) ||
        !pgw_attempt_take_retry(exchange)) {
        pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        return;
    }
    discard_answer(exchange);
    pgw_exchange_dispatch(exchange);
}

void
pgw_attempt_handle_unknown(struct pgw_exchange *exchange, const char *why)
{
    end_attempt(exchange, why);
    retry_unknown(exchange);
}

void
pgw_attempt_handle_lost(struct pgw_exchange *exchange, const char *why)
{
    end_attempt(exchange, why);
    if (pgw_run_cover_go_on(exchange)) {
        discard_answer(exchange);
        pgw_exchange_dispatch(exchange);
        return;
    }
    retry_unknown(exchange);
}
