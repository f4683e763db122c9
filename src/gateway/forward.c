#include "gateway/exchange.h"
#include "gateway/silence.h"
#include "util/log.h"
#include "util/metric.h"
#include <string.h>

/* An answer that is not a stream is collected whole, so that none is cut short
 * under a success; a longer one than this is refused. */
#define ANSWER_MAX ((size_t)8 * 1024 * 1024)
/* How often one request is offered in all, refusals by upstreams included. */
#define SENDS_MAX 5
/* Shared parts from this size on are fetched from wherever they may be, also
 * where the engine should hold them: an eviction that was not heard of costs
 * reading them again, a needless fetch a millisecond. The store keeps only
 * such parts. */
#define FETCH_LONG_TOKENS 1024

/*
 * Engines are told the route's priority alone, in steps of two. With the
 * workspace's before it, long prompts of one workspace went before short ones
 * of another: 4.5 instead of 3.6 in 100 requests failed, mean of six days of
 * the label deployment, one run of each.
 */
#define ROUTE_PRIORITY_STEP 2

static struct pgw_metric_counter sends = {
    .name = "pgw_gateway_sends_total",
    .help = "Requests sent to upstreams, repeats included",
};
static struct pgw_metric_counter repeats = {
    .name = "pgw_gateway_repeats_total",
    .help = "Requests sent once more",
};
static struct pgw_metric_counter skipped = {
    .name = "pgw_gateway_foreign_answers_total",
    .help = "Answers that belonged to another request",
};

static struct pgw_exchange *
exchange_of(struct pgw_call *call)
{
    return pgw_container_of(call, struct pgw_exchange, call);
}

static void
end_prefill(struct pgw_exchange *exchange)
{
    struct pgw_upstream *upstream = exchange->upstream;

    upstream->prefill_tokens -= exchange->prefill_tokens;
    upstream->long_prefills -= exchange->prefill_tokens >= PGW_LONG_PREFILL;
    exchange->prefill_tokens = 0;
}

void
pgw_exchange_leave(struct pgw_exchange *exchange)
{
    struct pgw_upstream *upstream = exchange->upstream;

    if (upstream == NULL) {
        return;
    }
    upstream->inflight--;
    upstream->inflight_tokens -= exchange->counted_tokens;
    end_prefill(exchange);
    exchange->counted_tokens = 0;
    exchange->upstream = NULL;
    pgw_upstream_unref(upstream);
}

static void
enter(struct pgw_exchange *exchange, const struct pgw_choice *choice)
{
    struct pgw_upstream *upstream = pgw_upstream_ref(choice->upstream);
    const struct pgw_prompt *prompt = &exchange->facts.prompt;

    exchange->upstream = upstream;
    exchange->missing_tokens = choice->missing_tokens;
    exchange->load_seen = pgw_upstream_load_estimate(upstream, pgw_now_us());
    exchange->load_age_us =
        upstream->load_at_us == 0 ? 0 : pgw_now_us() - upstream->load_at_us;
    upstream->inflight++;
    if (exchange->facts.model != NULL) {
        uint32_t own = prompt->part_count == 0
                           ? prompt->tokens
                           : prompt->parts[prompt->part_count - 1].tokens;

        exchange->counted_tokens = prompt->tokens + prompt->output_tokens;
        exchange->prefill_tokens = own + choice->missing_tokens;
    }
    upstream->inflight_tokens += exchange->counted_tokens;
    upstream->prefill_tokens += exchange->prefill_tokens;
    upstream->long_prefills += exchange->prefill_tokens >= PGW_LONG_PREFILL;
    if (exchange->tried_count < PGW_TRIED_MAX) {
        exchange->tried[exchange->tried_count++] = pgw_upstream_ref(upstream);
    }
}

static void
note(struct pgw_exchange *exchange, enum pgw_attempt_result result)
{
    pgw_upstream_note(exchange->upstream, result, pgw_now_us());
}

/* Whether the request may be sent to another upstream although this one may
 * have run it. */
static bool
may_run_again(const struct pgw_exchange *exchange)
{
    const struct pgw_route *route = exchange->route;

    if (exchange->runs >= MAX(route->max_attempts, 1) ||
        pgw_poison_holds(exchange->gateway->poison, &exchange->fingerprint,
                         pgw_now_us())) {
        return false;
    }
#ifndef PGW_DISABLE_GATEWAY_ONCE
    /*
     * Failure: an upstream takes a request and breaks off. Symptom when it is
     * sent again: a record is written twice. Only the route says what may be
     * repeated, and only streams that may be resumed go on elsewhere.
     */
    return route->stream ? route->resumable : route->repeatable;
#else
    return true;
#endif
}

static bool
take_repeat(struct pgw_exchange *exchange)
{
    if (exchange->sends >= SENDS_MAX || exchange->caller == NULL ||
        !pgw_budgets_withdraw(exchange->gateway->budgets, exchange->service)) {
        return false;
    }
    pgw_metric_counter_add(&repeats, 1);
    return true;
}

static void
log_attempt(const struct pgw_exchange *exchange, const char *outcome)
{
    pgw_log_info("attempt_end",
                 "request=%s upstream=%s outcome=%s status=%u runs=%u "
                 "ms=%" G_GUINT64_FORMAT,
                 exchange->facts.id, exchange->upstream->id, outcome,
                 exchange->status, exchange->runs,
                 (pgw_now_us() - exchange->sent_us) / 1000);
}

static void
reset_answer(struct pgw_exchange *exchange)
{
    pgw_buffer_dispose(&exchange->answer);
    exchange->status = 0;
    exchange->not_run = false;
    exchange->is_stream = false;
    pgw_event_stream_restart(&exchange->events);
}

/* Nobody ran it: another upstream may, within the budget. */
static void
after_not_run(struct pgw_exchange *exchange, const char *why, bool arrived)
{
    log_attempt(exchange, why);
    pgw_timer_stop(exchange->gateway->loop, &exchange->attempt_timer);
    pgw_exchange_leave(exchange);
    if (exchange->caller == NULL) {
        pgw_exchange_finish(exchange, "caller_gone");
        return;
    }
    /* What did not arrive anywhere costs no upstream anything. */
    if (arrived ? !take_repeat(exchange) : exchange->sends >= SENDS_MAX) {
        if (exchange->phase == PGW_PHASE_RELAYING || exchange->may_have_run) {
            pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        }
        else {
            pgw_exchange_refuse(exchange, 503, "upstreams_refuse", 250);
        }
        return;
    }
    reset_answer(exchange);
    pgw_exchange_place(exchange);
}

/* The outcome at this upstream is not known. */
static void
after_unknown(struct pgw_exchange *exchange, const char *why)
{
    log_attempt(exchange, why);
    pgw_timer_stop(exchange->gateway->loop, &exchange->attempt_timer);
    exchange->may_have_run = true;
    pgw_exchange_leave(exchange);
    if (exchange->caller == NULL) {
        pgw_exchange_finish(exchange, "caller_gone");
        return;
    }
    if (!may_run_again(exchange) || !take_repeat(exchange)) {
        pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        return;
    }
    reset_answer(exchange);
    pgw_exchange_place(exchange);
}

static void
append_fields(GString *out, const struct pgw_codec *codec,
              const struct pgw_http_head *head)
{
    for (unsigned i = 0; i < head->count; i++) {
        const char *name = pgw_http_head_name(head, i);

        if (!pgw_http_head_is_hop(head, i) && codec->keep_answer_field(name)) {
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
        pgw_upstream_take_load(exchange->upstream, &facts.load, pgw_now_us());
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
            pgw_poison_crashed(exchange->gateway->poison,
                               exchange->upstream->id, pgw_now_us());
        }
        return true;
    }
    if (!facts.genuine) {
        pgw_call_cancel(call);
        note(exchange, PGW_RESULT_BROKEN);
        after_unknown(exchange, "not_genuine");
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

/* The prompt has been read: it is in the engine's memory now. */
static void
note_first_event(struct pgw_exchange *exchange)
{
    if (exchange->first_event_us == 0) {
        exchange->first_event_us = pgw_now_us();
    }
    pgw_timer_stop(exchange->gateway->loop, &exchange->attempt_timer);
    end_prefill(exchange);
}

static void
relay_events(struct pgw_exchange *exchange, const char *data, size_t size)
{
    size_t whole = pgw_event_stream_feed(&exchange->events, data, size);

    if (exchange->events.out_of_order) {
        pgw_call_cancel(&exchange->call);
        note(exchange, PGW_RESULT_BROKEN);
        log_attempt(exchange, "out_of_order");
        pgw_exchange_leave(exchange);
        exchange->may_have_run = true;
        pgw_exchange_refuse(exchange, 502, "out_of_order", 0);
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

    if (exchange->not_run || exchange->caller == NULL) {
        return;
    }
    if (exchange->is_stream) {
        relay_events(exchange, data, size);
        return;
    }
    if (pgw_buffer_size(&exchange->answer) + size > ANSWER_MAX) {
        pgw_call_cancel(call);
        after_unknown(exchange, "answer_too_large");
        return;
    }
    pgw_buffer_append(&exchange->answer, data, size);
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
    pgw_exchange_finish(exchange, "answered");
}

static void
on_done(struct pgw_call *call)
{
    struct pgw_exchange *exchange = exchange_of(call);

    if (exchange->not_run) {
        note(exchange, PGW_RESULT_REFUSED);
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        after_not_run(exchange, "not_run", true);
        return;
    }
    /* An end in the middle of an event is none, and neither is an answer of
     * another kind to a stream that goes on. */
    if (pgw_buffer_size(&exchange->events.pending) > 0 ||
        (exchange->phase == PGW_PHASE_RELAYING && !exchange->is_stream)) {
        note(exchange, PGW_RESULT_BROKEN);
        pgw_poison_broke(exchange->gateway->poison, &exchange->fingerprint,
                         exchange->upstream->id, pgw_now_us());
        after_unknown(exchange, "cut_event");
        return;
    }
    if (exchange->status >= 500) {
        note(exchange, PGW_RESULT_ERROR);
        if (exchange->caller != NULL && may_run_again(exchange) &&
            take_repeat(exchange)) {
            log_attempt(exchange, "error");
            exchange->may_have_run = true;
            pgw_exchange_leave(exchange);
            reset_answer(exchange);
            pgw_exchange_place(exchange);
            return;
        }
    }
    else {
        note(exchange, PGW_RESULT_GOOD);
        pgw_poison_ended_well(exchange->gateway->poison,
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
        [PGW_CALL_GARBLED] = "garbled",
        [PGW_CALL_TIMEOUT] = "timeout",
    };
    struct pgw_exchange *exchange = exchange_of(call);

    /* A reused connection may just have been closed for being idle. */
    if (why != PGW_CALL_CLOSED || !call->reused || call->answered) {
        note(exchange,
             call->sent ? PGW_RESULT_BROKEN : PGW_RESULT_UNREACHABLE);
    }
    if (!call->sent) {
        /* No listener at its address any more: what broke off there a moment
         * ago may have crashed it. */
        pgw_poison_crashed(exchange->gateway->poison, exchange->upstream->id,
                           pgw_now_us());
        if (exchange->runs > 0) {
            exchange->runs--;
        }
        after_not_run(exchange, names[why], false);
        return;
    }
    pgw_poison_broke(exchange->gateway->poison, &exchange->fingerprint,
                     exchange->upstream->id, pgw_now_us());
    after_unknown(exchange, names[why]);
}

static const struct pgw_call_ops call_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
    .on_failed = on_failed,
};

/* Nothing has come for most of the objective: another upstream may still be
 * in time. The connection is closed, which ends the run here. */
static void
silent_due(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, attempt_timer);

    if (exchange->call.answered || !may_run_again(exchange) ||
        !take_repeat(exchange)) {
        return;
    }
    pgw_call_cancel(&exchange->call);
    note(exchange, PGW_RESULT_SILENT);
    log_attempt(exchange, "silent");
    exchange->may_have_run = true;
    pgw_exchange_leave(exchange);
    reset_answer(exchange);
    pgw_exchange_place(exchange);
}

static void
start_silence_timer(struct pgw_exchange *exchange)
{
    struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->route->objective_ms == 0 || !may_run_again(exchange) ||
        exchange->phase == PGW_PHASE_RELAYING) {
        return;
    }
    exchange->attempt_timer.on_due = silent_due;
    pgw_timer_start(
        gateway->loop, &exchange->attempt_timer,
        pgw_silence_limit_us((uint64_t)exchange->route->objective_ms * 1000,
                             gateway->options.hedge_share,
                             exchange->facts.model == NULL
                                 ? 0
                                 : MAX(exchange->facts.prompt.tokens, 1)));
}

static uint32_t
time_left_ms(const struct pgw_exchange *exchange)
{
    uint64_t now = pgw_now_us();

    return exchange->deadline_us <= now
               ? 1
               : (uint32_t)((exchange->deadline_us - now) / 1000);
}

/* From now on the prompt's shared parts are expected there: requests for the
 * same parts that come meanwhile find them, and need not read them elsewhere.
 */
static void
note_parts(const struct pgw_exchange *exchange, struct pgw_upstream *upstream,
           uint64_t version)
{
    const struct pgw_prompt *prompt = &exchange->facts.prompt;
    uint64_t now = pgw_now_us();
    char salt[PGW_CACHE_SALT_SIZE];

    pgw_cache_salt(salt, version, prompt->isolated_to);
    for (size_t i = 0; version > 0 && i + 1 < prompt->part_count; i++) {
        pgw_prefix_memory_note(
            &upstream->expected,
            pgw_part_key(exchange->facts.model, salt, prompt->parts[i].id),
            now);
    }
}

static void
fill_engine(struct pgw_forward *forward, struct pgw_exchange *exchange,
            const struct pgw_choice *choice, char salt[PGW_CACHE_SALT_SIZE])
{
    const struct pgw_service *store = pgw_route_table_kv_store(
        exchange->table, exchange->facts.prompt.parts[0].id);
    uint64_t version =
        pgw_upstream_version(choice->upstream, exchange->facts.model);

    exchange->weights = version;
    exchange->fetched = NULL;
    forward->weights = version;
    note_parts(exchange, choice->upstream, version);
    if (version > 0) {
        pgw_cache_salt(salt, version, exchange->facts.prompt.isolated_to);
    }
    else {
        /* Not known under which weights it will run: share nothing. */
        g_snprintf(salt, PGW_CACHE_SALT_SIZE, "once-%s", exchange->facts.id);
    }
    forward->cache_salt = salt;
    if (version == 0 ||
        (choice->missing_tokens <
             exchange->gateway->options.choose.fetch_min_tokens &&
         choice->shared_tokens < FETCH_LONG_TOKENS)) {
        return;
    }
    if (choice->holder != NULL) {
        exchange->fetched = "engine";
        forward->fetch_from = choice->holder->address_text;
    }
    else if (store != NULL && choice->shared_tokens >= FETCH_LONG_TOKENS) {
        exchange->fetched = "store";
        forward->fetch_from = store->store_address;
    }
    if (store != NULL && choice->holder == NULL &&
        choice->missing_tokens >= FETCH_LONG_TOKENS) {
        forward->save_to = store->store_address;
    }
}

static void
fill_forward(struct pgw_forward *out, struct pgw_exchange *exchange,
             const struct pgw_choice *choice, char salt[PGW_CACHE_SALT_SIZE])
{
    struct pgw_caller *caller = exchange->caller;

    *out = (struct pgw_forward){
        .head = caller->head,
        .body = pgw_buffer_head(&caller->body),
        .body_size = pgw_buffer_size(&caller->body),
        .instance = choice->upstream->id,
        .workspace =
            exchange->workspace == NULL ? NULL : exchange->workspace->name,
        .deadline_ms = time_left_ms(exchange),
        .priority = -1,
        .resume_after = exchange->facts.resume_after,
        .has_resume = exchange->facts.has_resume,
    };
    if (exchange->events.has_id) {
        out->resume_after = exchange->events.last_id;
        out->has_resume = true;
    }
    if (exchange->facts.model != NULL) {
        out->priority =
            (int)MIN(exchange->route->priority * ROUTE_PRIORITY_STEP,
                     PGW_PRIORITIES - 1);
        fill_engine(out, exchange, choice, salt);
    }
}

static void
register_metrics(void)
{
    pgw_metric_register_counter(&sends);
    pgw_metric_register_counter(&repeats);
    pgw_metric_register_counter(&skipped);
}

void
pgw_exchange_send(struct pgw_exchange *exchange,
                  const struct pgw_choice *choice)
{
    struct pgw_gateway *gateway = exchange->gateway;
    const struct pgw_route *route = exchange->route;
    struct pgw_forward forward;
    char salt[PGW_CACHE_SALT_SIZE];
    GString *bytes = g_string_sized_new(1024);
    struct pgw_call_options options = {
        .address = &choice->upstream->address,
        .fresh = !route->repeatable && !route->resumable,
        .no_body = strcmp(exchange->caller->head->method, "HEAD") == 0,
    };

    register_metrics();
    pgw_metric_counter_add(&sends, 1);
    fill_forward(&forward, exchange, choice, salt);
    gateway->options.codec->write_request(bytes, &forward);
    options.bytes = bytes->str;
    options.size = bytes->len;
    enter(exchange, choice);
    exchange->phase = exchange->phase == PGW_PHASE_RELAYING
                          ? PGW_PHASE_RELAYING
                          : PGW_PHASE_SENT;
    exchange->sends++;
    exchange->runs++;
    exchange->sent_us = pgw_now_us();
    exchange->call.ops = &call_ops;
    if (!pgw_call_start(&exchange->call, gateway->pool, &options)) {
        exchange->runs--;
        note(exchange, PGW_RESULT_UNREACHABLE);
        after_not_run(exchange, "no_socket", false);
    }
    else {
        start_silence_timer(exchange);
    }
    g_string_free(bytes, TRUE);
}
