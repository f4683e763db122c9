#include "sidecar/claims.h"
#include "sidecar/suspicion.h"
#include "util/decimal.h"
#include "util/log.h"

/* An engine that is away for longer is one that does not serve. */
#define RETRY_AFTER_MAX_S 3600

static ProtobufCBinaryData
run_id(const struct run *run)
{
    return (ProtobufCBinaryData){
        .data = (uint8_t *)run->key.request.bytes,
        .len = PGW_REQUEST_ID_SIZE,
    };
}

static void
run_send(struct run *run, enum pgw_frame_type type,
         const ProtobufCMessage *message)
{
    if (run->peer != NULL) {
        pgw_link_send(run->peer->connection, type, message);
    }
}

void
run_send_started(struct run *run, const char *content_type,
                 const char *version, uint64_t engine)
{
    Pgw__Started started = PGW__STARTED__INIT;

    if (run->state == RUN_STARTED) {
        return;
    }
    run->state = RUN_STARTED;
    started.request = run_id(run);
    started.attempt = run->key.attempt;
    started.status = (uint32_t)run->status;
    started.content_type = (char *)content_type;
    started.prompt_tokens = run->prompt_tokens;
    started.cached_tokens = run->cached_tokens;
    started.version = (char *)version;
    started.engine = engine;
    run_send(run, PGW_FRAME_STARTED, &started.base);
    pgw_trace_record(run->sidecar->trace, PGW_TRACE_FIRST_TOKEN,
                     &run->key.request, run->key.attempt, run->cached_tokens,
                     run->prompt_tokens, NULL);
}

void
run_send_data(struct run *run, const void *data, size_t size,
              uint32_t token_index, uint32_t token_count)
{
    Pgw__Data message = PGW__DATA__INIT;

    /* A call that may not be repeated runs on after its deadline, for its
     * record's sake; the entry has heard the end already. */
    if (run->ended) {
        return;
    }
    message.request = run_id(run);
    message.attempt = run->key.attempt;
    message.sequence = run->sequence++;
    message.data.data = (uint8_t *)data;
    message.data.len = size;
    message.token_index = token_index;
    message.token_count = token_count;
    run->window -= (int64_t)PGW_DATA_WINDOW_COST(size);
    run_send(run, PGW_FRAME_DATA, &message.base);
}

void
run_send_end(struct run *run)
{
    Pgw__End end = PGW__END__INIT;

    run->ended = true;
    end.request = run_id(run);
    end.attempt = run->key.attempt;
    end.sequence = run->sequence;
    end.finish_reason = run->finish_reason == NULL ? "" : run->finish_reason;
    end.prompt_tokens = run->prompt_tokens;
    end.cached_tokens = run->cached_tokens;
    end.completion_tokens = run->completion_tokens;
    end.replayed = run->replayed;
    /* First, so that it stands before the entry's word on the time line. */
    pgw_trace_record(run->sidecar->trace, PGW_TRACE_UPSTREAM_END,
                     &run->key.request, run->key.attempt, run->sequence,
                     run->completion_tokens, run->finish_reason);
    run_send(run, PGW_FRAME_END, &end.base);
}

void
run_send_fail(struct run *run, enum pgw_refusal refusal, enum pgw_ran ran,
              uint32_t retry_after_ms, const char *message)
{
    Pgw__Fail fail = PGW__FAIL__INIT;

    run->ended = true;
    fail.request = run_id(run);
    fail.attempt = run->key.attempt;
    fail.code = refusal;
    fail.ran = ran;
    fail.retry_after_ms = retry_after_ms;
    fail.message = (char *)message;
    run_send(run, PGW_FRAME_FAIL, &fail.base);
    pgw_trace_record(run->sidecar->trace, PGW_TRACE_SIDECAR_REFUSE,
                     &run->key.request, run->key.attempt, refusal, ran,
                     pgw_refusal_name(refusal));
}

static void
on_head(struct pgw_transfer *transfer, long status, void *context)
{
    struct run *run = context;

    (void)transfer;
    run->status = status;
    run->call->head(run, status);
}

static bool
on_body(struct pgw_transfer *transfer, const uint8_t *data, size_t size,
        void *context)
{
    struct run *run = context;

    (void)transfer;
    run->heard_us = pgw_now_us();
    if (run->broken || run->refused) {
        return true;
    }
    /* A slow caller leaves its window shut; holding the upstream's answer
     * back here bounds the memory of every process between them. One whose
     * end was told is read to its end, or it would keep its place for ever. */
    if (run->window <= 0 && run->peer != NULL && !run->ended) {
        run->paused = true;
        return false;
    }
    if (!run->call->body(run, data, size)) {
        run->broken = true;
    }
    return true;
}

/* Returns whether the run goes on until it is known why it broke off. */
static bool
run_fail_broken(struct run *run, bool was_sent, bool cut)
{
    /* One that was not sent waits as well: it may be a copy of what crashed
     * the engine, and is sent elsewhere only after the crash was told. */
    if (run->sidecar->is_model) {
        run->unsent = !was_sent;
        gate_run_broke(run, was_sent && cut);
        return true;
    }
    if (!run->ended) {
        run_send_fail(run, PGW_REFUSAL_UPSTREAM_FAILED,
                      was_sent ? PGW_RAN_UNKNOWN : PGW_RAN_NO, 0,
                      was_sent ? "the upstream broke off its answer"
                               : "the upstream took no connection");
    }
    engine_suspect(&run->sidecar->engine, pgw_now_us());
    return false;
}

static void
run_settle_claim(struct run *run, bool was_sent)
{
    if (run->failed) {
        claims_fail(run->sidecar->claims, run, was_sent);
    }
    else {
        claims_finish(run->sidecar->claims, run);
    }
}

static enum pgw_refusal
refusal_from_status(long status)
{
    switch (status) {
    case 409:
        return PGW_REFUSAL_STALE;
    case 429:
    case 503:
        return PGW_REFUSAL_OVERLOADED;
    default:
        return PGW_REFUSAL_BAD_REQUEST;
    }
}

/*
 * Failure: an engine refuses requests and asks for a time without any.
 * Symptom: it is sent all that comes, and refuses it. Seconds, with a
 * fraction; any other text is not used.
 */
static uint32_t
read_retry_after_ms(struct run *run, struct pgw_transfer *transfer)
{
    const char *text = pgw_transfer_header(transfer, "Retry-After");
    struct sidecar *sidecar = run->sidecar;
    double seconds;

    if (text == NULL || (run->status != 503 && run->status != 429)) {
        return 0;
    }
    if (!pgw_decimal_parse(&seconds, text, RETRY_AFTER_MAX_S)) {
        pgw_log_warning("retry_after_invalid", "retry_after=%s", text);
        return 0;
    }
    sidecar->backoff_until_us = MAX(sidecar->backoff_until_us,
                                    pgw_now_us() + (uint64_t)(seconds * 1e6));
    pgw_log_info("engine_backoff", "backoff_ms=%u",
                 (uint32_t)(seconds * 1000));
    return (uint32_t)(seconds * 1000);
}

static void
on_done(struct pgw_transfer *transfer, CURLcode code, long status,
        void *context)
{
    struct run *run = context;
    bool was_sent = pgw_transfer_was_sent(transfer);

    (void)status;
    run->transfer = NULL;
    run->failed = code != CURLE_OK || run->broken || !run->call->complete(run);
    if (run->claim != NULL) {
        run_settle_claim(run, was_sent);
    }
    if (run->refused && !run->ended) {
        run_send_fail(run, refusal_from_status(run->status), PGW_RAN_NO,
                      read_retry_after_ms(run, transfer),
                      "the upstream refused the request");
    }
    else if (run->failed && !run->refused) {
        pgw_log_warning("upstream_broke", "code=%s status=%ld",
                        curl_easy_strerror(code), run->status);
        if (run_fail_broken(run, was_sent, code != CURLE_OK)) {
            return;
        }
    }
    else if (!run->ended) {
        run_send_end(run);
        gate_keep_answered(run);
        return;
    }
    gate_finish(run);
}

const struct pgw_transfer_ops run_transfer_ops = {
    .on_head = on_head,
    .on_body = on_body,
    .on_done = on_done,
};
