#include "gateway/quota/upstream_limits.h"
#include "gateway/request/answer_origin.h"
#include "gateway/request/exchange.h"
#include "gateway/request/unconfirmed_refusal.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An answer that is not a stream is buffered completely before it is relayed,
 * so that no caller gets a success status with a truncated body. A longer
 * answer than this ends the attempt. */
#define ANSWER_MAX ((size_t)8 * 1024 * 1024)
/* A million events of usual size. Relaying more would take the time of other
 * requests until the caller leaves. */
#define STREAM_MAX ((size_t)32 * 1024 * 1024)

static struct pgw_metric_counter foreign_answers = {
    .name = "pgw_gateway_foreign_answers_total",
    .help = "Answers that were dropped because they belong to another request",
};

static struct pgw_metric_gauge prefill_rate_gauge = {
    .name = "pgw_engine_read_tokens_per_ms",
    .help =
        "Prompt tokens that an engine prefills in a millisecond, as observed",
};

static struct pgw_metric_counter old_weights_starts = {
    .name = "pgw_gateway_old_weights_starts_total",
    .help = "Runs that began after a newer version of their weights was named",
};
static struct pgw_metric_counter late_old_weights_starts = {
    .name = "pgw_gateway_late_old_weights_starts_total",
    .help = "The same, later than old weights may be used",
};

static struct pgw_exchange *
exchange_of(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_exchange, call);
}

static void
append_fields(GString *out, const struct pgw_codec *codec,
              const struct pgw_http_head *head)
{
    for (unsigned i = 0; i < head->count; i++) {
        const char *name = pgw_http_head_name(head, i);

        if (!pgw_http_head_is_hop_by_hop(head, i) &&
            codec->keep_answer_field(name)) {
            g_string_append_printf(out, "%s: %s\r\n", name,
                                   pgw_http_head_value(head, i));
        }
    }
}

/* The statements concern the process that answered. It may be another one than
 * was asked, which then names itself. */
static bool
is_from_upstream(const struct pgw_exchange *exchange,
                 const struct pgw_answer_facts *facts)
{
    if (facts->instance != NULL) {
        return strcmp(facts->instance, exchange->upstream->id) == 0;
    }
    return facts->genuine || facts->not_run;
}

/* The record that the request was sent by may have been removed, and the
 * upstream listed again, since then. */
static struct pgw_upstream *
find_listed(const struct pgw_exchange *exchange)
{
    struct pgw_upstream *listed =
        exchange->upstream->removed
            ? pgw_upstream_table_find(exchange->gateway->upstreams,
                                      exchange->upstream->id)
            : NULL;

    return listed != NULL ? listed : exchange->upstream;
}

/* Also applies to answers that are dropped later, as they belong to another
 * request. */
static void
apply_notice(const struct pgw_exchange *exchange,
             const struct pgw_answer_facts *facts)
{
    struct pgw_upstream *upstream = find_listed(exchange);
    struct pgw_notice_origin origin = {
        .source = "answer",
        .asked_us = exchange->sent_us,
        .may_be_former =
            exchange->sent_us < upstream->replaced_at_us ||
            exchange->upstream->started_ms != upstream->started_ms,
    };
    bool was_limited = upstream->stated.limit.per_s > 0;
    bool was_recovering = upstream->stated.recovering;

    if (!is_from_upstream(exchange, facts)) {
        return;
    }
    pgw_upstream_notice_apply(upstream, &facts->notice, &origin, pgw_now_us());
    if (upstream->removed) {
        pgw_upstream_table_keep_statements(exchange->gateway->upstreams,
                                           upstream);
    }
    if (was_limited && upstream->stated.limit.per_s <= 0) {
        pgw_upstream_limits_report_end(exchange->gateway, upstream);
        pgw_gateway_dispatch_queued(exchange->gateway);
    }
    if (was_recovering && !upstream->stated.recovering) {
        pgw_gateway_dispatch_queued(exchange->gateway);
    }
}

static enum pgw_answer_origin
answer_origin(struct pgw_exchange *exchange,
              const struct pgw_answer_facts *facts, unsigned status)
{
    struct pgw_call *call = &exchange->call;
    struct pgw_named_refusals *named = &exchange->upstream->named_refusals;
    const struct pgw_answer_evidence evidence = {
        .id = facts->id,
        .awaited = exchange->facts.id,
        .genuine = facts->genuine,
        .not_run = facts->not_run,
        .may_run_again = pgw_route_may_run_again(exchange->route),
        .refusals_are_named = pgw_named_refusals_contains(named, status),
        .connection_is_shared =
            call->earlier_calls > 0 || call->foreign_answers > 0,
    };

    if (facts->id == NULL) {
        /* A second copy of this answer could not be distinguished from the
         * answer to a later request. */
        call->last_use = true;
    }
    if (facts->not_run && facts->id == NULL) {
        named->some_are_unnamed = true;
    }
    else if (facts->not_run) {
        pgw_named_refusals_add(named, status);
    }
    return pgw_answer_origin(&evidence);
}

static bool
on_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_exchange *exchange = exchange_of(call);
    const struct pgw_codec *codec = exchange->gateway->options.codec;
    struct pgw_answer_facts facts = {0};
    enum pgw_answer_origin origin;

    exchange->last_byte_us = pgw_now_us();
    pgw_upstream_mark_answering(exchange->upstream, exchange->last_byte_us);
    codec->read_answer(&facts, head);
    origin = answer_origin(exchange, &facts, head->status);
    apply_notice(exchange, &facts);
#ifdef PGW_DISABLE_GATEWAY_FOREIGN
    origin = PGW_ANSWER_OWN;
#endif
    switch (origin) {
    case PGW_ANSWER_OWN:
        break;
    case PGW_ANSWER_FOREIGN:
        pgw_metric_counter_add(&foreign_answers, 1);
        pgw_log_warning("foreign_answer",
                        "request=%s upstream=%s named=%d status=%u",
                        exchange->facts.id, exchange->upstream->id,
                        (int)(facts.id != NULL), head->status);
        return false;
    case PGW_ANSWER_UNCERTAIN:
        exchange->status = head->status;
        pgw_call_cancel(call);
        pgw_attempt_record_result(exchange, PGW_RESULT_REFUSED);
        pgw_attempt_handle_unknown(exchange, "unnamed_refusal");
        return true;
    }
    if (facts.has_load) {
        pgw_upstream_update_load(exchange->upstream, &facts.load,
                                 pgw_now_us());
    }
    exchange->status = head->status;
    exchange->is_named = facts.id != NULL;
    exchange->not_run = facts.not_run;
    exchange->is_stream = facts.is_stream && head->status < 300;
    exchange->is_unframed = !head->has_length && !head->chunked;
    exchange->answer_weights = facts.weights;
    if (facts.not_run) {
        /* The list of upstreams still names an incarnation that has ended. */
        if (facts.instance != NULL &&
            strcmp(facts.instance, exchange->upstream->id) != 0) {
            pgw_log_info("upstream_displaced", "upstream=%s by=%s",
                         exchange->upstream->id, facts.instance);
            exchange->upstream->displaced = true;
            exchange->upstream->replaced_at_us = pgw_now_us();
            pgw_gateway_handle_crash(exchange->gateway, exchange->upstream);
            if (exchange->gateway->options.on_incarnation_seen != NULL) {
                exchange->gateway->options.on_incarnation_seen(
                    facts.instance, exchange->gateway->options.context);
            }
        }
        return true;
    }
    if (!facts.genuine) {
        pgw_call_cancel(call);
        pgw_attempt_record_result(exchange, PGW_RESULT_BROKEN);
        pgw_attempt_handle_unknown(exchange, "not_genuine");
        return true;
    }
    exchange->upstream->answered_us = exchange->last_byte_us;
    if (facts.weights > 0 && exchange->facts.model != NULL) {
        pgw_upstream_set_version(exchange->upstream, exchange->facts.model,
                                 facts.weights);
    }
    if (exchange->answer_fields == NULL) {
        exchange->answer_fields = g_string_sized_new(256);
    }
    if (exchange->phase != PGW_PHASE_RELAYING) {
        g_string_truncate(exchange->answer_fields, 0);
        append_fields(exchange->answer_fields, codec, head);
    }
    return true;
}

/* Measures the prefill rate with a long prompt on an engine that had at most
 * one other request. Tokens that were fetched were not prefilled. */
static void
measure_prefill_rate(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;
    uint32_t fetched_tokens =
        exchange->fetch_source == NULL ? 0 : exchange->missing_tokens;
    uint32_t prefilled = exchange->prefill_tokens -
                         MIN(fetched_tokens, exchange->prefill_tokens);

    if (exchange->sends != 1 || exchange->load_at_choice > 1 ||
        prefilled < PGW_LONG_PREFILL_TOKENS) {
        return;
    }
    pgw_moving_average_add(
        &gateway->prefill_rate,
        prefilled * 1000.0 / (double)(now_us - exchange->sent_us + 1), now_us);
    pgw_metric_register_gauge(&prefill_rate_gauge);
    pgw_metric_gauge_set(&prefill_rate_gauge,
                         (int64_t)gateway->prefill_rate.value);
}

/* Shows how late a run began after a newer version was named, and why: it was
 * sent late, or waited at the engine. */
static void
log_old_weights(const struct pgw_exchange *exchange, uint64_t now_us)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_target_weights *target =
        exchange->facts.model == NULL
            ? NULL
            : g_hash_table_lookup(gateway->target_weights,
                                  exchange->facts.model);
    const struct pgw_target_version *newer =
        target == NULL ? NULL
                       : pgw_target_weights_next(target, exchange->weights);
    uint64_t age_us;
    bool late;

    if (newer == NULL) {
        return;
    }
    age_us = now_us - newer->announced_at_us;
    late = age_us > gateway->options.old_weights_usable_us;
    pgw_metric_register_counter(&old_weights_starts);
    pgw_metric_register_counter(&late_old_weights_starts);
    pgw_metric_counter_add(&old_weights_starts, 1);
    pgw_metric_counter_add(&late_old_weights_starts, late);
    pgw_log_some(!late, "old_weights_start",
                 "request=%s upstream=%s expected=%" G_GUINT64_FORMAT
                 " weights=%" G_GUINT64_FORMAT " newer=%" G_GUINT64_FORMAT
                 " newer_age_ms=%" G_GUINT64_FORMAT
                 " sent_ms=%" G_GUINT64_FORMAT
                 " load=%u load_age_ms=%" G_GUINT64_FORMAT
                 " slots=%u forecast_first_ms=%.0f",
                 exchange->facts.id, exchange->upstream->id, exchange->weights,
                 exchange->answer_weights, newer->version, age_us / 1000,
                 (now_us - exchange->sent_us) / 1000, exchange->load_at_choice,
                 exchange->load_report_age_us / 1000,
                 exchange->upstream->slots, exchange->forecast.first_ms);
}

/* The first event shows that the prompt has been prefilled. */
static void
handle_first_event(struct pgw_exchange *exchange)
{
    measure_prefill_rate(exchange, pgw_now_us());
    log_old_weights(exchange, pgw_now_us());
    exchange->began_us = pgw_now_us();
    if (exchange->first_event_us == 0) {
        exchange->first_event_us = pgw_now_us();
    }
    pgw_timer_stop(exchange->gateway->loop, &exchange->response_timer);
    pgw_attempt_count_prefill_end(exchange);
}

static void
give_up_answer(struct pgw_exchange *exchange)
{
    pgw_call_cancel(&exchange->call);
    pgw_attempt_handle_unknown(exchange, "answer_too_large");
}

/*
 * Failure: many upstreams send answers or events without end at once, each of
 * which is within its own bound. Symptom: the entry is out of memory and ends
 * with all its requests. Of all answers the largest one is given up.
 */
static void
bound_answers(struct pgw_gateway *gateway)
{
    struct pgw_exchange *largest = NULL;

    if (gateway->options.answers_bound == 0 ||
        gateway->answers_size <= gateway->options.answers_bound) {
        return;
    }
    pgw_list_foreach (link, &gateway->exchanges) {
        struct pgw_exchange *exchange =
            pgw_container_of(link, struct pgw_exchange, in_gateway);

        if (largest == NULL ||
            pgw_attempt_held_size(exchange) > pgw_attempt_held_size(largest)) {
            largest = exchange;
        }
    }
    if (largest != NULL) {
        give_up_answer(largest);
    }
}

/* Relays the complete events that are held, and after them those at the front
 * of the stream. */
static void
pass_events(struct pgw_exchange *exchange, size_t complete_size)
{
    exchange->forecast_end_us = 0;
    pgw_stream_origin_set_begun(exchange);
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_RELAYING;
        pgw_caller_begin(exchange->caller, exchange->status,
                         exchange->answer_fields->str, -1);
    }
    pgw_caller_write(exchange->caller, pgw_buffer_head(&exchange->answer),
                     pgw_buffer_size(&exchange->answer));
    pgw_buffer_dispose(&exchange->answer);
    pgw_caller_write(exchange->caller,
                     pgw_buffer_head(&exchange->events.pending),
                     complete_size);
}

static void
relay_events(struct pgw_exchange *exchange, const char *data, size_t size)
{
    size_t complete_size =
        pgw_event_stream_feed(&exchange->events, data, size);

    exchange->stream_size += size;
    if (exchange->events.out_of_order || exchange->stream_size > STREAM_MAX) {
        pgw_call_cancel(&exchange->call);
        pgw_attempt_record_result(exchange, PGW_RESULT_BROKEN);
        pgw_attempt_abandon(exchange, exchange->events.out_of_order
                                          ? "out_of_order"
                                          : "answer_too_large");
        return;
    }
    if (complete_size == 0) {
        pgw_attempt_count_held(exchange);
        bound_answers(exchange->gateway);
        return;
    }
    if (exchange->began_us == 0) {
        handle_first_event(exchange);
    }
    pgw_stream_pace_add_event(exchange, pgw_now_us());
    pgw_suspect_wait_pass(exchange);
    switch (pgw_drain_hold_judge(exchange)) {
    case PGW_DRAIN_GIVE_UP:
        pgw_drain_hold_give_up(exchange);
        return;
    case PGW_DRAIN_HOLD:
        pgw_buffer_append(&exchange->answer,
                          pgw_buffer_head(&exchange->events.pending),
                          complete_size);
        break;
    case PGW_DRAIN_RELAY:
        pass_events(exchange, complete_size);
        break;
    }
    pgw_event_stream_consume(&exchange->events, complete_size);
    pgw_attempt_count_held(exchange);
    bound_answers(exchange->gateway);
}

static void
on_body(struct pgw_call *call, const char *data, size_t size)
{
    struct pgw_exchange *exchange = exchange_of(call);

    exchange->last_byte_us = pgw_now_us();
    pgw_upstream_mark_answering(exchange->upstream, exchange->last_byte_us);
    if (!exchange->not_run) {
        exchange->upstream->answered_us = exchange->last_byte_us;
    }
    if (exchange->not_run || exchange->caller == NULL) {
        return;
    }
    if (exchange->is_stream) {
        relay_events(exchange, data, size);
        return;
    }
    if (pgw_buffer_size(&exchange->answer) + size > ANSWER_MAX) {
        give_up_answer(exchange);
        return;
    }
    pgw_buffer_append(&exchange->answer, data, size);
    pgw_attempt_count_held(exchange);
    bound_answers(exchange->gateway);
}

/* Measures the time from the first event to the end of a run. */
static void
measure_decode_time(const struct pgw_exchange *exchange)
{
    uint64_t now_us = pgw_now_us();

    if (exchange->is_stream && exchange->sends == 1 &&
        exchange->facts.prompt.output_tokens > 0) {
        pgw_moving_average_add(&exchange->gateway->ms_per_output_token,
                               (double)(now_us - exchange->first_event_us) /
                                   1000.0 /
                                   exchange->facts.prompt.output_tokens,
                               now_us);
    }
}

static void
deliver(struct pgw_exchange *exchange)
{
    struct pgw_caller *caller = exchange->caller;

    if (exchange->first_event_us == 0) {
        exchange->first_event_us = pgw_now_us();
    }
    exchange->caller = NULL;
    if (caller == NULL) {
        pgw_exchange_finish(exchange, "caller_gone");
        return;
    }
    caller->owner = NULL;
    if (exchange->phase != PGW_PHASE_RELAYING) {
        pgw_caller_begin(caller, exchange->status,
                         exchange->answer_fields->str,
                         (int64_t)pgw_buffer_size(&exchange->answer));
        pgw_caller_write(caller, pgw_buffer_head(&exchange->answer),
                         pgw_buffer_size(&exchange->answer));
    }
    pgw_caller_end(caller);
    pgw_stream_origin_set_complete(exchange);
    measure_decode_time(exchange);
    pgw_exchange_finish(exchange, "answered");
}

/* The end of an attempt that did not crash its upstream shows in the logs if
 * the request has crashed others. */
static void
log_suspect(const struct pgw_exchange *exchange)
{
    struct pgw_crash_quarantine *quarantine =
        exchange->gateway->crash_quarantine;
    uint32_t crashes = pgw_crash_quarantine_crashes(
        quarantine, &exchange->crash_keys, pgw_now_us());
    char name[PGW_FINGERPRINT_HEX];

    if (crashes < exchange->gateway->options.crash_quarantine.crashes) {
        return;
    }
    pgw_fingerprint_print(name, &exchange->crash_keys.items[0]);
    pgw_log_info("suspect_answered",
                 "request=%s upstream=%s fingerprint=%s crashes=%u "
                 "trial=%016" G_GINT64_MODIFIER "x status=%u not_run=%d "
                 "ms=%" G_GUINT64_FORMAT,
                 exchange->facts.id, exchange->upstream->id, name, crashes,
                 exchange->trial, exchange->status, (int)exchange->not_run,
                 (pgw_now_us() - exchange->sent_us) / 1000);
}

/* The answer proves nothing until its upstream is known to have survived it;
 * neither does it end the trial that the run may be. */
static void
keep_answered_run(struct pgw_exchange *exchange)
{
    const struct pgw_answered_run run = {
        .request = exchange->facts.id,
        .keys = &exchange->crash_keys,
        .upstream = exchange->upstream,
        .process = exchange->process,
        .sent_us = exchange->sent_us,
        .status = exchange->status,
        .is_cut = exchange->is_unframed,
        .trial = exchange->trial,
    };

    pgw_answered_runs_add(exchange->gateway->answered_runs, &run);
    exchange->trial = 0;
}

static void
on_done(struct pgw_call *call)
{
    struct pgw_exchange *exchange = exchange_of(call);
    bool is_trial;

    exchange->run_is_over = true;
    log_suspect(exchange);
    if (exchange->not_run) {
        pgw_attempt_record_result(exchange, PGW_RESULT_REFUSED);
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        pgw_attempt_handle_not_run(exchange, "not_run", true);
        return;
    }
    /* An answer that ends within an event is incomplete. A resumed stream is
     * not complete either if its upstream answers with another kind of body.
     */
    if (pgw_buffer_size(&exchange->events.pending) > 0 ||
        (exchange->phase == PGW_PHASE_RELAYING && !exchange->is_stream)) {
        pgw_attempt_record_result(exchange, PGW_RESULT_BROKEN);
        pgw_attempt_record_interrupted(exchange);
        /* A body that was framed to its end does not show that the engine has
         * ended. */
        if (exchange->is_unframed) {
            pgw_attempt_handle_lost(exchange, "cut_event");
        }
        else {
            pgw_attempt_handle_unknown(exchange, "cut_event");
        }
        return;
    }
    is_trial = exchange->trial != 0;
    pgw_exchange_record_run(exchange);
    keep_answered_run(exchange);
    if (exchange->status >= 500) {
        pgw_attempt_record_result(exchange, PGW_RESULT_ERROR);
        /* The next trial would come too late for this caller. */
        if (!is_trial && exchange->caller != NULL &&
            pgw_attempt_may_retry(exchange) &&
            pgw_attempt_take_retry(exchange)) {
            pgw_attempt_retry(exchange, "error");
            return;
        }
    }
    else {
        pgw_attempt_record_result(exchange, PGW_RESULT_COMPLETED);
    }
    /*
     * Failure: an upstream answers with 503 or 429 and does not state that it
     * did not run the request. Symptom if the answer is relayed: the caller
     * sends a request again that must not run twice, and that may have run.
     */
    if (pgw_refusal_is_unconfirmed(exchange->route, exchange->status)) {
        pgw_attempt_handle_unknown(exchange, "unconfirmed_refusal");
        return;
    }
    if (exchange->is_stream && exchange->caller != NULL &&
        pgw_buffer_size(&exchange->answer) > 0) {
        pass_events(exchange, 0);
    }
    deliver(exchange);
}

static void
on_failed(struct pgw_call *call, enum pgw_call_failure why)
{
    static const char *const names[] = {
        [PGW_CALL_NO_CONNECTION] = "no_connection",
        [PGW_CALL_CLOSED] = "closed",
        [PGW_CALL_MALFORMED] = "garbled",
        [PGW_CALL_TIMEOUT] = "timeout",
    };
    struct pgw_exchange *exchange = exchange_of(call);

    /* A reused connection that is closed before an answer was probably closed
     * for being idle, which says nothing about the upstream's health. */
    if (why != PGW_CALL_CLOSED || call->earlier_calls == 0 || call->answered) {
        pgw_attempt_record_result(
            exchange, call->sent ? PGW_RESULT_BROKEN : PGW_RESULT_UNREACHABLE);
    }
    if (!call->sent) {
        /* A refused connection means that the upstream's process has ended, so
         * runs that were interrupted there may have crashed it. A connection
         * attempt without an answer may only mean that the network is down. */
        if (call->refused) {
            pgw_gateway_handle_crash(exchange->gateway, exchange->upstream);
        }
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        pgw_attempt_handle_not_run(exchange, names[why], false);
        return;
    }
    pgw_attempt_record_interrupted(exchange);
    if (why == PGW_CALL_CLOSED) {
        pgw_attempt_handle_lost(exchange, names[why]);
        return;
    }
    pgw_attempt_handle_unknown(exchange, names[why]);
}

const struct pgw_call_ops pgw_relay_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
    .on_failed = on_failed,
};
