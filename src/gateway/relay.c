#include "gateway/exchange.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An answer that is not a stream is collected whole, so that none is cut short
 * under a success; a longer one than this is refused. */
#define ANSWER_MAX ((size_t)8 * 1024 * 1024)

static struct pgw_metric_counter skipped = {
    .name = "pgw_gateway_foreign_answers_total",
    .help = "Answers that belonged to another request",
};

static struct pgw_metric_gauge read_rate = {
    .name = "pgw_engine_read_tokens_per_ms",
    .help = "Tokens that an engine reads in a millisecond, as observed",
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

static bool
on_head(struct pgw_call *call, const struct pgw_http_head *head)
{
    struct pgw_exchange *exchange = exchange_of(call);
    const struct pgw_codec *codec = exchange->gateway->options.codec;
    struct pgw_answer_facts facts = {0};

    exchange->last_byte_us = pgw_now_us();
    pgw_upstream_mark_answering(exchange->upstream, exchange->last_byte_us);
    codec->read_answer(&facts, head);
    /*
     * Failure: the answer to an earlier request on this connection comes late,
     * or twice. Symptom: a caller gets another caller's answer. The name of
     * the attempt is echoed, so an answer of another name is passed over.
     */
#ifndef PGW_DISABLE_GATEWAY_FOREIGN
    if (facts.id != NULL && strcmp(facts.id, exchange->facts.id) != 0) {
        pgw_metric_counter_add(&skipped, 1);
        pgw_log_warning("foreign_answer", "request=%s upstream=%s",
                        exchange->facts.id, exchange->upstream->id);
        return false;
    }
#endif
    if (facts.has_load) {
        pgw_upstream_update_load(exchange->upstream, &facts.load,
                                 pgw_now_us());
    }
    exchange->status = head->status;
    exchange->not_run = facts.not_run;
    exchange->is_stream = facts.is_stream && head->status < 300;
    if (facts.not_run) {
        /* The list still names an incarnation that is no more. */
        if (facts.instance != NULL &&
            strcmp(facts.instance, exchange->upstream->id) != 0) {
            pgw_log_info("upstream_displaced", "upstream=%s by=%s",
                         exchange->upstream->id, facts.instance);
            exchange->upstream->displaced = true;
            exchange->upstream->replaced_at_us = pgw_now_us();
            pgw_crash_quarantine_add_crash(exchange->gateway->poison,
                                           exchange->upstream->id,
                                           pgw_now_us());
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

/* How fast the engine read a long prompt that had it almost to itself. What
 * was fetched was not read. */
static void
note_reading(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;
    uint32_t fetched =
        exchange->fetched == NULL ? 0 : exchange->missing_tokens;
    uint32_t read =
        exchange->prefill_tokens - MIN(fetched, exchange->prefill_tokens);

    if (exchange->sends != 1 || exchange->load_at_choice > 1 ||
        read < PGW_LONG_PREFILL_TOKENS) {
        return;
    }
    pgw_moving_average_add(
        &gateway->read_rate,
        read * 1000.0 / (double)(now_us - exchange->sent_us + 1), now_us);
    pgw_metric_register_gauge(&read_rate);
    pgw_metric_gauge_set(&read_rate, (int64_t)gateway->read_rate.value);
}

/* The prompt has been read: it is in the engine's memory now. */
static void
note_first_event(struct pgw_exchange *exchange)
{
    note_reading(exchange, pgw_now_us());
    if (exchange->first_event_us == 0) {
        exchange->first_event_us = pgw_now_us();
    }
    pgw_timer_stop(exchange->gateway->loop, &exchange->attempt_timer);
    pgw_attempt_count_prefill_end(exchange);
}

static void
relay_events(struct pgw_exchange *exchange, const char *data, size_t size)
{
    size_t whole = pgw_event_stream_feed(&exchange->events, data, size);

    if (exchange->events.out_of_order) {
        pgw_call_cancel(&exchange->call);
        pgw_attempt_record_result(exchange, PGW_RESULT_BROKEN);
        pgw_attempt_abandon(exchange, "out_of_order");
        return;
    }
    if (whole == 0) {
        return;
    }
    if (exchange->prefill_tokens > 0 || exchange->first_event_us == 0) {
        note_first_event(exchange);
    }
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_RELAYING;
        pgw_caller_begin(exchange->caller, exchange->status,
                         exchange->answer_fields->str, -1);
    }
    pgw_caller_write(exchange->caller,
                     pgw_buffer_head(&exchange->events.pending), whole);
    pgw_event_stream_consume(&exchange->events, whole);
}

static void
on_body(struct pgw_call *call, const char *data, size_t size)
{
    struct pgw_exchange *exchange = exchange_of(call);

    exchange->last_byte_us = pgw_now_us();
    pgw_upstream_mark_answering(exchange->upstream, exchange->last_byte_us);
    if (exchange->not_run || exchange->caller == NULL) {
        return;
    }
    if (exchange->is_stream) {
        relay_events(exchange, data, size);
        return;
    }
    if (pgw_buffer_size(&exchange->answer) + size > ANSWER_MAX) {
        pgw_call_cancel(call);
        pgw_attempt_handle_unknown(exchange, "answer_too_large");
        return;
    }
    pgw_buffer_append(&exchange->answer, data, size);
}

/* How long a whole run took behind its first event. */
static void
note_run(const struct pgw_exchange *exchange)
{
    uint64_t now = pgw_now_us();

    if (exchange->is_stream && exchange->sends == 1 &&
        exchange->facts.prompt.output_tokens > 0) {
        pgw_moving_average_add(&exchange->gateway->token_ms,
                               (double)(now - exchange->first_event_us) /
                                   1000.0 /
                                   exchange->facts.prompt.output_tokens,
                               now);
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
    note_run(exchange);
    pgw_exchange_finish(exchange, "answered");
}

static void
on_done(struct pgw_call *call)
{
    struct pgw_exchange *exchange = exchange_of(call);

    if (exchange->not_run) {
        pgw_attempt_record_result(exchange, PGW_RESULT_REFUSED);
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        pgw_attempt_handle_not_run(exchange, "not_run", true);
        return;
    }
    /* An end in the middle of an event is none, and neither is an answer of
     * another kind to a stream that goes on. */
    if (pgw_buffer_size(&exchange->events.pending) > 0 ||
        (exchange->phase == PGW_PHASE_RELAYING && !exchange->is_stream)) {
        pgw_attempt_record_result(exchange, PGW_RESULT_BROKEN);
        pgw_crash_quarantine_add_interrupted(
            exchange->gateway->poison, &exchange->fingerprint,
            exchange->upstream->id, pgw_now_us());
        pgw_attempt_handle_unknown(exchange, "cut_event");
        return;
    }
    if (exchange->status >= 500) {
        pgw_attempt_record_result(exchange, PGW_RESULT_ERROR);
        if (exchange->caller != NULL && pgw_attempt_may_retry(exchange) &&
            pgw_attempt_take_retry(exchange)) {
            pgw_attempt_retry(exchange, "error");
            return;
        }
    }
    else {
        pgw_attempt_record_result(exchange, PGW_RESULT_COMPLETED);
        pgw_crash_quarantine_clear(exchange->gateway->poison,
                                   &exchange->fingerprint);
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

    /* A reused connection may just have been closed for being idle. */
    if (why != PGW_CALL_CLOSED || !call->reused || call->answered) {
        pgw_attempt_record_result(
            exchange, call->sent ? PGW_RESULT_BROKEN : PGW_RESULT_UNREACHABLE);
    }
    if (!call->sent) {
        /* Nobody listens at its address any more: what broke off there a
         * moment ago may have crashed it. One that does not answer may only
         * be cut off from this entry. */
        if (call->refused) {
            pgw_crash_quarantine_add_crash(exchange->gateway->poison,
                                           exchange->upstream->id,
                                           pgw_now_us());
        }
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        pgw_attempt_handle_not_run(exchange, names[why], false);
        return;
    }
    pgw_crash_quarantine_add_interrupted(exchange->gateway->poison,
                                         &exchange->fingerprint,
                                         exchange->upstream->id, pgw_now_us());
    pgw_attempt_handle_unknown(exchange, names[why]);
}

const struct pgw_call_ops pgw_relay_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
    .on_failed = on_failed,
};
