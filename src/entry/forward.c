#include "entry/exchange.h"
#include "entry/levels_frame.h"
#include "entry/upstream.h"
#include "util/log.h"
#include "util/random.h"

/* What a sidecar may send before the caller has taken it. */
#define FORWARD_WINDOW ((size_t)64 << 10)

static void
leave_target(struct exchange *exchange)
{
    if (exchange->target == NULL) {
        return;
    }
    if (exchange->charge_tokens > 0) {
        pgw_place_charge_remove(&exchange->target->charge,
                                exchange->charge_tokens, exchange->charge_us);
        exchange->charge_tokens = 0;
    }
    pgw_list_remove(&exchange->at_target);
    exchange->target = NULL;
}

/* The caller has its final answer; what remains is bookkeeping. */
static void
exchange_end(struct exchange *exchange, const struct refusal *refusal)
{
    struct entry *entry = exchange->entry;

    exchange->ended = true;
    leave_target(exchange);
    place_cancel(exchange);
    pgw_timer_stop(entry->loop, &exchange->timer);
    g_hash_table_remove(entry->exchanges, &exchange->id);
    account_end(exchange, refusal);
    exchange_unref(exchange);
}

static void send_cancel(struct exchange *exchange, uint32_t attempt);

void
forward_refuse(struct exchange *exchange, const struct refusal *refusal)
{
    if (exchange->ended) {
        return;
    }
    if (exchange->attempt.in_flight) {
        send_cancel(exchange, exchange->attempt_number);
    }
    relay_refuse(exchange, refusal);
    exchange_end(exchange, refusal);
}

enum pgw_ran
forward_ran(const struct exchange *exchange)
{
    const struct pgw_attempt *attempt = &exchange->attempt;

    if (!attempt->in_flight || attempt->ran == PGW_RAN_YES) {
        return attempt->ran;
    }
    return attempt->next_sequence > 0 ? PGW_RAN_YES : PGW_RAN_UNKNOWN;
}

static void
refuse_late(struct exchange *exchange)
{
    struct refusal refusal = {0};

    refusal_set(&refusal, PGW_REFUSAL_LEAVING, forward_ran(exchange), 0,
                "the instance stops before the call would have ended: send to "
                "another one");
    forward_refuse(exchange, &refusal);
    refusal_dispose(&refusal);
}

static void
schedule_timer(struct exchange *exchange)
{
    uint64_t due = pgw_attempt_next_timer(&exchange->attempt);
    uint64_t now = pgw_now_us();

    if (due != UINT64_MAX) {
        pgw_timer_start(exchange->entry->loop, &exchange->timer,
                        due > now ? due - now : 0);
    }
}

static void
attempt_timer_due(struct pgw_timer *timer)
{
    struct exchange *exchange =
        pgw_container_of(timer, struct exchange, timer);
    struct pgw_attempt_event event = {.kind = PGW_ATTEMPT_TIMER};

    schedule_timer(exchange);
    forward_step(exchange, &event, NULL);
}

static void
attempt_begin(struct exchange *exchange)
{
    const struct exchange_request *request = &exchange->request;
    struct pgw_attempt_options options = PGW_ATTEMPT_OPTIONS_INIT;

    options.id = exchange->id;
    options.deadline_us =
        exchange->began_us + (uint64_t)request->deadline_ms * 1000;
    options.repeatable = request->repeatable;
    options.tokens = exchange->format != FORMAT_SERVICE;
    options.buffered = exchange->format == FORMAT_SERVICE || !request->stream;
    pgw_attempt_init(&exchange->attempt, &options);
}

/* Refuses a request that crashed engines before; at once and here, so that
 * its repeats cost no sidecar anything. */
static bool
is_quarantined(struct exchange *exchange)
{
    bool recorded;
    const struct pgw_quarantine_record *record = pgw_suspects_find(
        exchange->entry->suspects, &exchange->request.fingerprint, &recorded);
    struct refusal refusal = {0};

    exchange->suspect = record != NULL;
    /* What is not recorded goes on to a sidecar, which refuses it as well and
     * writes it down: an operator can lift only what stands in the store. */
    if (record == NULL || !recorded ||
        record->crash_count < PGW_QUARANTINE_CRASHES) {
        return false;
    }
    refusal_set(&refusal, PGW_REFUSAL_QUARANTINED, PGW_RAN_NO, 0,
                "the request crashed engines before: change it, or ask the "
                "operator to lift the quarantine");
    forward_refuse(exchange, &refusal);
    refusal_dispose(&refusal);
    return true;
}

void
forward_begin(struct pgw_task *task)
{
    struct exchange *exchange = pgw_container_of(task, struct exchange, begin);
    struct entry *entry = exchange->entry;

    exchange->timer.on_due = attempt_timer_due;
    exchange->place_timer.on_due = place_timer_due;
    exchange->text = g_string_new(NULL);
    attempt_begin(exchange);
    g_hash_table_insert(entry->exchanges, &exchange->id, exchange);
    pgw_retry_budget_deposit(entry->budget);
    schedule_timer(exchange);
    if (!is_quarantined(exchange)) {
        place_begin(exchange);
    }
}

static ProtobufCBinaryData
exchange_id(const struct exchange *exchange)
{
    return (ProtobufCBinaryData){
        .data = (uint8_t *)exchange->id.bytes,
        .len = PGW_REQUEST_ID_SIZE,
    };
}

static void
fill_open(Pgw__Open *open, const struct exchange *exchange)
{
    const struct exchange_request *request = &exchange->request;

    open->request = exchange_id(exchange);
    open->workspace = request->workspace;
    open->profile = request->profile;
    open->priority = request->priority;
    open->deadline_ms =
        pgw_attempt_deadline_ms(&exchange->attempt, pgw_now_us());
    open->share = request->share;
    open->model = request->model;
    open->adapter = request->adapter;
    open->version = request->version;
    open->prompt_tokens = request->chain.prompt_tokens;
    open->repeatable = request->repeatable;
    open->idempotency_key = request->idempotency_key;
    open->max_tokens = request->max_tokens;
    open->temperature = request->temperature;
    open->seed = request->seed;
    open->window = FORWARD_WINDOW;
    open->clock = pgw_hlc_now(pgw_hlc_process(), pgw_hlc_wall_us());
    if (exchange->format == FORMAT_SERVICE) {
        open->service = true;
        open->method = request->method;
        open->path = request->path;
        open->content_type = request->content_type;
        open->body.data = pgw_buffer_head(&request->body);
        open->body.len = pgw_buffer_size(&request->body);
        return;
    }
    open->fingerprint.data = (uint8_t *)request->fingerprint.bytes;
    open->fingerprint.len = PGW_FINGERPRINT_SIZE;
    open->suspect =
        exchange->suspect || pgw_attempt_ran(&exchange->attempt) != PGW_RAN_NO;
    open->body.data = (uint8_t *)request->prompt->str;
    open->body.len = request->prompt->len;
    open->resume_from = exchange->resume_from;
    if (exchange->resume_from > 0) {
        open->resume_text.data = (uint8_t *)exchange->text->str;
        open->resume_text.len = exchange->text->len;
    }
}

/* How long calls take is not known here, so only their deadline counts. */
static bool
fits_drain(const struct exchange *exchange)
{
    uint64_t now = pgw_now_us();
    const struct pgw_drain_request request = {
        .deadline_us =
            now +
            (uint64_t)pgw_attempt_deadline_ms(&exchange->attempt, now) * 1000,
    };

    return exchange->request.repeatable ||
           pgw_drain_window_fits(&exchange->entry->drain, &request, now);
}

void
forward_withdraw_late(struct exchange *exchange)
{
    if (exchange->ended || exchange->withdrawn ||
        !exchange->attempt.in_flight || fits_drain(exchange)) {
        return;
    }
    /* A sidecar does not cancel a call of this kind that has begun. */
    send_cancel(exchange, exchange->attempt_number);
    exchange->withdrawn = true;
}

void
forward_send(struct exchange *exchange, struct upstream *upstream,
             uint32_t uncached_tokens)
{
    Pgw__Open open = PGW__OPEN__INIT;
    struct levels_frame levels;
    bool recorded;

    if (!fits_drain(exchange)) {
        refuse_late(exchange);
        return;
    }
    exchange->attempt_number =
        pgw_attempt_start(&exchange->attempt, pgw_place_id_hash(upstream->id));
    if (exchange->attempt_number == 0) {
        struct pgw_attempt_event event = {.kind = PGW_ATTEMPT_EXHAUSTED};

        forward_step(exchange, &event, NULL);
        return;
    }
    exchange->target = upstream;
    exchange->ungranted = 0;
    upstream_begin(upstream);
    pgw_list_append(&upstream->attempts, &exchange->at_target);
    exchange->charge_tokens = uncached_tokens;
    exchange->charge_us = pgw_now_us();
    if (uncached_tokens > 0) {
        pgw_place_charge_add(&upstream->charge, uncached_tokens,
                             exchange->charge_us);
    }
    /*
     * Failure: a copy waits at an engine that another copy crashes, and is
     * sent on as "not run". Symptom: a third engine crashes, since the next
     * sidecar has not heard. The crash was told on the same link before that
     * word.
     */
    if (pgw_attempt_ran(&exchange->attempt) == PGW_RAN_NO) {
        exchange->suspect = pgw_suspects_find(exchange->entry->suspects,
                                              &exchange->request.fingerprint,
                                              &recorded) != NULL;
    }
    fill_open(&open, exchange);
    levels_frame_init(&levels, &exchange->request.chain);
    open.n_levels = exchange->request.chain.count;
    open.levels = levels.pointers;
    open.attempt = exchange->attempt_number;
    pgw_trace_record(exchange->entry->trace, PGW_TRACE_ATTEMPT_OPEN,
                     &exchange->id, exchange->attempt_number, uncached_tokens,
                     exchange->resume_from, upstream->id);
    /*
     * Only for requests that came when they were suspect: what ran beside a
     * crash goes on once as before, although the store may be down, and the
     * attempt's own limit holds for it.
     */
    if (exchange->suspect) {
        pgw_suspects_send_unrecorded(exchange->entry->suspects,
                                     &exchange->request.fingerprint,
                                     upstream->link);
    }
    pgw_link_send(upstream->link, PGW_FRAME_OPEN, &open.base);
}

static void
send_cancel(struct exchange *exchange, uint32_t attempt)
{
    Pgw__Cancel cancel = PGW__CANCEL__INIT;

    if (exchange->target == NULL || !upstream_can_talk(exchange->target)) {
        return;
    }
    cancel.request = exchange_id(exchange);
    cancel.attempt = attempt;
    pgw_link_send(exchange->target->link, PGW_FRAME_CANCEL, &cancel.base);
    pgw_trace_record(exchange->entry->trace, PGW_TRACE_CANCEL, &exchange->id,
                     attempt, 0, 0, exchange->target->id);
}

/* Every token that was asked for has been delivered, only the word that it was
 * the last one is missing: nothing is left that an engine could add. */
static void
finish_delivered(struct exchange *exchange)
{
    Pgw__End end = PGW__END__INIT;

    end.finish_reason = "length";
    relay_end(exchange, &end);
    exchange_end(exchange, NULL);
}

static void
start_again(struct exchange *exchange,
            const struct pgw_attempt_decision *decision)
{
    struct pgw_retry_backoff backoff = PGW_RETRY_BACKOFF_INIT;
    struct pgw_attempt_event event = {.kind = PGW_ATTEMPT_EXHAUSTED};
    bool resume = decision->action == PGW_ATTEMPT_RESUME;
    struct entry *entry = exchange->entry;

    leave_target(exchange);
    if (resume && decision->resume_from >= exchange->request.max_tokens) {
        finish_delivered(exchange);
        return;
    }
    exchange->failures++;
    if (decision->charged && !pgw_retry_budget_withdraw(entry->budget)) {
        forward_step(exchange, &event, NULL);
        return;
    }
    exchange->resume_from = decision->resume_from;
    if (!resume) {
        relay_restart(exchange);
    }
    account_retry(resume);
    pgw_trace_record(entry->trace, resume ? PGW_TRACE_RESUME : PGW_TRACE_RETRY,
                     &exchange->id, exchange->attempt_number,
                     decision->resume_from, exchange->failures, NULL);
    pgw_timer_start(
        entry->loop, &exchange->place_timer,
        pgw_retry_backoff_us(&backoff, exchange->failures, pgw_random_u64()));
}

static void
refuse_decided(struct exchange *exchange,
               const struct pgw_attempt_decision *decision,
               const ProtobufCMessage *message)
{
    struct refusal refusal = {0};
    const char *text = "";

    if (message != NULL && message->descriptor == &pgw__fail__descriptor) {
        text = ((const Pgw__Fail *)message)->message;
    }
    refusal_set(&refusal, decision->refusal, decision->ran,
                decision->retry_after_ms, "%s",
                text[0] != '\0' ? text : refusal_advice(decision->refusal));
    forward_refuse(exchange, &refusal);
    refusal_dispose(&refusal);
}

static void
act(struct exchange *exchange, const struct pgw_attempt_decision *decision,
    const ProtobufCMessage *message)
{
    switch (decision->action) {
    case PGW_ATTEMPT_NOTHING:
        account_drop(decision->drop);
        break;
    case PGW_ATTEMPT_DELIVER:
        relay_data(exchange, (const Pgw__Data *)message);
        break;
    case PGW_ATTEMPT_FINISH:
        relay_end(exchange, (const Pgw__End *)message);
        exchange_end(exchange, NULL);
        break;
    case PGW_ATTEMPT_RETRY:
    case PGW_ATTEMPT_RESUME:
        start_again(exchange, decision);
        break;
    case PGW_ATTEMPT_REFUSE:
        if (exchange->withdrawn &&
            decision->refusal == PGW_REFUSAL_CANCELLED) {
            refuse_late(exchange);
            break;
        }
        refuse_decided(exchange, decision, message);
        break;
    }
}

void
forward_step(struct exchange *exchange, const struct pgw_attempt_event *event,
             const ProtobufCMessage *message)
{
    struct pgw_attempt_decision decision;

    if (exchange->ended) {
        return;
    }
    pgw_attempt_step(&decision, &exchange->attempt, event, pgw_now_us());
    if (event->kind == PGW_ATTEMPT_FAIL) {
        pgw_trace_record(exchange->entry->trace, PGW_TRACE_ATTEMPT_FAIL,
                         &exchange->id, event->attempt, event->refusal,
                         event->ran, pgw_refusal_name((int)event->refusal));
    }
    if (decision.protocol_fault) {
        pgw_log_warning("protocol_fault", "upstream=%s",
                        exchange->target == NULL ? "-" : exchange->target->id);
    }
    if (decision.cancel) {
        send_cancel(exchange, decision.cancel_attempt);
    }
    if (event->kind == PGW_ATTEMPT_STARTED &&
        decision.drop == PGW_ATTEMPT_NOT_DROPPED &&
        decision.action == PGW_ATTEMPT_NOTHING) {
        relay_start(exchange, (const Pgw__Started *)message);
    }
    else {
        act(exchange, &decision, message);
    }
}

static bool
event_from_frame(struct pgw_attempt_event *out, ProtobufCBinaryData *request,
                 enum pgw_frame_type type, const ProtobufCMessage *message)
{
    *out = (struct pgw_attempt_event){0};
    switch (type) {
    case PGW_FRAME_STARTED: {
        const Pgw__Started *started = (const Pgw__Started *)message;

        out->kind = PGW_ATTEMPT_STARTED;
        out->attempt = started->attempt;
        out->version = started->version;
        *request = started->request;
        break;
    }
    case PGW_FRAME_DATA: {
        const Pgw__Data *data = (const Pgw__Data *)message;

        out->kind = PGW_ATTEMPT_DATA;
        out->attempt = data->attempt;
        out->sequence = data->sequence;
        out->token_index = data->token_index;
        out->token_count = data->token_count;
        *request = data->request;
        break;
    }
    case PGW_FRAME_END: {
        const Pgw__End *end = (const Pgw__End *)message;

        out->kind = PGW_ATTEMPT_END;
        out->attempt = end->attempt;
        out->sequence = end->sequence;
        *request = end->request;
        break;
    }
    default: {
        const Pgw__Fail *fail = (const Pgw__Fail *)message;

        out->kind = PGW_ATTEMPT_FAIL;
        out->attempt = fail->attempt;
        out->refusal = MIN(fail->code, PGW_REFUSAL_INTERNAL);
        out->ran = MIN(fail->ran, PGW_RAN_UNKNOWN);
        out->retry_after_ms = fail->retry_after_ms;
        *request = fail->request;
        break;
    }
    }
    if (request->len != PGW_REQUEST_ID_SIZE) {
        return false;
    }
    memcpy(out->id.bytes, request->data, PGW_REQUEST_ID_SIZE);
    return true;
}

void
forward_take_frame(struct entry *entry, struct upstream *upstream,
                   enum pgw_frame_type type, const ProtobufCMessage *message)
{
    struct pgw_attempt_event event;
    ProtobufCBinaryData request;
    struct exchange *exchange;

    if (!event_from_frame(&event, &request, type, message)) {
        account_drop(PGW_ATTEMPT_DROP_REQUEST);
        return;
    }
    exchange = g_hash_table_lookup(entry->exchanges, &event.id);
    if (exchange == NULL) {
        account_drop(PGW_ATTEMPT_DROP_FINISHED);
        return;
    }
    /* A frame from a sidecar that the current attempt was not sent to is late
     * or crossed: it must reach nobody, whatever numbers it carries. */
    if (exchange->target != upstream) {
        account_drop(PGW_ATTEMPT_DROP_ATTEMPT);
        return;
    }
    forward_step(exchange, &event, message);
}

void
forward_link_lost(struct exchange *exchange)
{
    struct pgw_attempt_event event = {
        .kind = PGW_ATTEMPT_LINK_LOST,
        .id = exchange->id,
        .attempt = exchange->attempt_number,
    };

    leave_target(exchange);
    forward_step(exchange, &event, NULL);
}

void
forward_not_run(struct exchange *exchange)
{
    struct pgw_attempt_event event = {
        .kind = PGW_ATTEMPT_FAIL,
        .id = exchange->id,
        .attempt = exchange->attempt_number,
        .refusal = PGW_REFUSAL_LEAVING,
        .ran = PGW_RAN_NO,
    };

    leave_target(exchange);
    forward_step(exchange, &event, NULL);
}

void
forward_caller_gone(struct exchange *exchange)
{
    struct pgw_attempt_event event = {.kind = PGW_ATTEMPT_CALLER_GONE};

    forward_step(exchange, &event, NULL);
}

static void
grant(struct exchange *exchange)
{
    Pgw__Window window = PGW__WINDOW__INIT;

    if (exchange->ended || exchange->target == NULL ||
        exchange->ungranted == 0 || !upstream_can_talk(exchange->target)) {
        return;
    }
    window.request = exchange_id(exchange);
    window.attempt = exchange->attempt_number;
    window.bytes = (uint32_t)exchange->ungranted;
    exchange->ungranted = 0;
    pgw_link_send(exchange->target->link, PGW_FRAME_WINDOW, &window.base);
}

void
forward_grant(struct pgw_task *task)
{
    struct exchange *exchange = pgw_container_of(task, struct exchange, grant);

    pthread_mutex_lock(&exchange->output.lock);
    exchange->output.grant_queued = false;
    pthread_mutex_unlock(&exchange->output.lock);
    grant(exchange);
    exchange_unref(exchange);
}

void
forward_received(struct exchange *exchange, size_t cost)
{
    exchange->ungranted += cost;
    if (exchange->ungranted < FORWARD_WINDOW / 2) {
        return;
    }
    /* A slow caller: the HTTP side grants when it has caught up, so that the
     * window bounds what waits here. */
    if (!exchange_is_behind(exchange, FORWARD_WINDOW / 2)) {
        grant(exchange);
    }
}
