#include "parsleygw/attempt.h"

#include <string.h>

/* Refusals after which another candidate may accept the request. */
static const bool retryable[PGW_REFUSAL_COUNT] = {
    [PGW_REFUSAL_OVERLOADED] = true,      [PGW_REFUSAL_LEAVING] = true,
    [PGW_REFUSAL_STALE] = true,           [PGW_REFUSAL_NO_UPSTREAM] = true,
    [PGW_REFUSAL_UPSTREAM_FAILED] = true, [PGW_REFUSAL_NOT_READY] = true,
    [PGW_REFUSAL_INTERNAL] = true,
};

/**
 * struct failure - how an attempt ended without a complete answer
 * @sent: a byte of it may have been sent
 */
struct failure {
    enum pgw_attempt_verdict verdict;
    enum pgw_ran ran;
    enum pgw_refusal refusal;
    uint32_t retry_after_ms;
    bool sent;
};

void
pgw_attempt_init(struct pgw_attempt *out,
                 const struct pgw_attempt_options *options)
{
    memset(out, 0, sizeof(*out));
    out->options = *options;
    out->options.attempts_max =
        CLAMP(options->attempts_max, 1, PGW_ATTEMPT_MAX);
    out->ran = PGW_RAN_NO;
    out->last_refusal = PGW_REFUSAL_NO_UPSTREAM;
}

uint32_t
pgw_attempt_start(struct pgw_attempt *attempt, uint64_t candidate)
{
    if (attempt->finished || attempt->in_flight ||
        attempt->count >= attempt->options.attempts_max) {
        return 0;
    }
    attempt->tried[attempt->count] = candidate;
    attempt->count++;
    attempt->verdict = PGW_ATTEMPT_OPEN;
    attempt->in_flight = true;
    attempt->started = false;
    attempt->next_sequence = 0;
    return attempt->count;
}

static enum pgw_attempt_drop
check_identity(const struct pgw_attempt *attempt,
               const struct pgw_attempt_event *event)
{
#ifndef PGW_DISABLE_ATTEMPT_IDENTITY
    /*
     * Failure: frames arrive late or on the wrong request, after the request
     * started another attempt. Symptom: a caller gets tokens of an abandoned
     * attempt or of another request. Every frame names its request and
     * attempt, so comparing both drops each frame that does not belong to the
     * current attempt.
     */
    if (memcmp(&event->id, &attempt->options.id, sizeof(event->id)) != 0) {
        return PGW_ATTEMPT_DROP_REQUEST;
    }
    if (event->attempt != attempt->count) {
        return PGW_ATTEMPT_DROP_ATTEMPT;
    }
#endif
    return attempt->in_flight ? PGW_ATTEMPT_NOT_DROPPED
                              : PGW_ATTEMPT_DROP_IDLE;
}

/* The value for the whole request is the worst over its attempts. */
static void
merge_ran(struct pgw_attempt *attempt, enum pgw_ran ran)
{
#ifdef PGW_DISABLE_ATTEMPT_HISTORY
    attempt->ran = ran;
#else
    /*
     * Failure: the first attempt ended unknown, the second is refused before
     * it ran. Symptom: the caller gets "not run" although the first attempt
     * may have run. The value is the worst of all attempts, so "no" requires
     * that none of them ran.
     */
    if (ran == PGW_RAN_YES ||
        (ran == PGW_RAN_UNKNOWN && attempt->ran == PGW_RAN_NO)) {
        attempt->ran = ran;
    }
#endif
}

static void
finish(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
       enum pgw_refusal refusal)
{
    attempt->finished = true;
    attempt->in_flight = false;
    out->action = PGW_ATTEMPT_REFUSE;
    out->refusal = refusal;
    out->ran = attempt->ran;
    out->retry_after_ms = attempt->last_retry_after_ms;
}

static bool
may_run_again(const struct pgw_attempt *attempt, const struct failure *failure)
{
#ifndef PGW_DISABLE_ATTEMPT_REPEATABLE
    /*
     * Failure: the link breaks after a print request was sent. Symptom of a
     * retry: two labels are printed. Unless the profile allows more than one
     * run, only an attempt that did not run is retried.
     */
    if (failure->verdict != PGW_ATTEMPT_NOT_RUN &&
        !attempt->options.repeatable) {
        return false;
    }
#endif
#ifndef PGW_DISABLE_ATTEMPT_CRASHES
    /*
     * Failure: a request crashes each upstream that runs it, and the store,
     * which records suspects, is down. Symptom: its retries crash one upstream
     * after the other. A request under which two upstreams crashed is not sent
     * to a third.
     */
    if (attempt->crashes >= PGW_ATTEMPT_CRASHES_MAX) {
        return false;
    }
#endif
    return retryable[failure->refusal] &&
           attempt->count < attempt->options.attempts_max;
}

static void
choose_retry(struct pgw_attempt_decision *out, struct pgw_attempt *attempt)
{
    bool is_undelivered = attempt->delivered == 0;

    if (is_undelivered ||
        (attempt->options.buffered && !attempt->options.tokens)) {
        attempt->delivered = 0;
        attempt->tokens = 0;
        out->action = PGW_ATTEMPT_RETRY;
    }
    else if (attempt->options.tokens && attempt->has_version) {
        out->action = PGW_ATTEMPT_RESUME;
        out->resume_from = attempt->tokens;
    }
    else {
        finish(out, attempt, attempt->last_refusal);
    }
}

static void
end_failed(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
           const struct failure *failure, uint64_t now_us)
{
    attempt->in_flight = false;
    attempt->verdict = failure->verdict;
    attempt->last_refusal = failure->refusal;
    attempt->last_retry_after_ms = failure->retry_after_ms;
    merge_ran(attempt, failure->verdict == PGW_ATTEMPT_NOT_RUN ? PGW_RAN_NO
                                                               : failure->ran);
    if (attempt->closing || now_us >= attempt->options.deadline_us) {
        finish(out, attempt, PGW_REFUSAL_DEADLINE);
    }
    else if (!may_run_again(attempt, failure)) {
        finish(out, attempt, failure->refusal);
    }
    else {
        out->charged = failure->sent;
        choose_retry(out, attempt);
    }
}

/* An attempt that ran, or may have run, without a complete answer. */
static struct failure
unknown_failure(const struct pgw_attempt *attempt, enum pgw_refusal refusal)
{
    return (struct failure){
        .verdict = PGW_ATTEMPT_UNKNOWN,
        .ran = attempt->next_sequence > 0 ? PGW_RAN_YES : PGW_RAN_UNKNOWN,
        .refusal = refusal,
        .sent = true,
    };
}

static void
end_with_protocol_fault(struct pgw_attempt_decision *out,
                        struct pgw_attempt *attempt, enum pgw_refusal refusal,
                        uint64_t now_us)
{
    struct failure failure = unknown_failure(attempt, refusal);

    out->protocol_fault = true;
    out->cancel = true;
    out->cancel_attempt = attempt->count;
    end_failed(out, attempt, &failure, now_us);
}

static void
on_not_sent(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
            const struct pgw_attempt_event *event, uint64_t now_us)
{
    struct failure failure = {
        .verdict = PGW_ATTEMPT_NOT_RUN,
        .refusal = PGW_REFUSAL_NO_UPSTREAM,
    };

    (void)event;
    if (attempt->started) {
        end_with_protocol_fault(out, attempt, PGW_REFUSAL_UPSTREAM_FAILED,
                                now_us);
        return;
    }
    end_failed(out, attempt, &failure, now_us);
}

static void
on_link_lost(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
             const struct pgw_attempt_event *event, uint64_t now_us)
{
    struct failure failure =
        unknown_failure(attempt, PGW_REFUSAL_UPSTREAM_FAILED);

    (void)event;
#ifdef PGW_DISABLE_ATTEMPT_LINK_UNKNOWN
    failure.verdict = PGW_ATTEMPT_NOT_RUN;
#else
    /*
     * Failure: the link breaks after Open was written. Symptom of assuming
     * "not run": the sidecar had read Open, the print ran, and the caller
     * retries it. Without a Fail from the sidecar the verdict stays unknown.
     */
#endif
    end_failed(out, attempt, &failure, now_us);
}

static bool
accept_version(struct pgw_attempt *attempt, const char *version)
{
    size_t size = version != NULL ? strlen(version) : 0;

    if (attempt->tokens > 0) {
#ifndef PGW_DISABLE_ATTEMPT_VERSION
        /*
         * Failure: an engine crashes during an answer, and the next engine
         * runs other weights. Symptom: one answer mixes two models. A
         * resumption ends if its engine reports another version than the one
         * that generated the delivered tokens.
         */
        return attempt->has_version && version != NULL &&
               strcmp(attempt->version, version) == 0;
#else
        return true;
#endif
    }
    attempt->has_version = size > 0 && size < sizeof(attempt->version);
    if (attempt->has_version) {
        memcpy(attempt->version, version, size + 1);
    }
    return true;
}

static void
on_started(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
           const struct pgw_attempt_event *event, uint64_t now_us)
{
    if (attempt->started) {
        out->drop = PGW_ATTEMPT_DROP_DUPLICATE;
        return;
    }
    attempt->started = true;
    if (attempt->options.tokens && !accept_version(attempt, event->version)) {
        end_with_protocol_fault(out, attempt, PGW_REFUSAL_STALE, now_us);
    }
}

/* Whether Data or End is the next frame in the order of the sidecar. */
static bool
is_in_order(const struct pgw_attempt *attempt,
            const struct pgw_attempt_event *event)
{
#ifndef PGW_DISABLE_ATTEMPT_GAP
    /*
     * Failure: frames are lost or reordered in transit. Symptom: an answer
     * with missing data that looks complete. Sequence and token index must be
     * consecutive, so a gap ends the attempt instead of the answer.
     */
    if (!attempt->started || event->sequence != attempt->next_sequence) {
        return false;
    }
    return event->kind == PGW_ATTEMPT_END || !attempt->options.tokens ||
           event->token_index == attempt->tokens;
#else
    (void)attempt;
    (void)event;
    return true;
#endif
}

static void
on_data(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
        const struct pgw_attempt_event *event, uint64_t now_us)
{
#ifndef PGW_DISABLE_ATTEMPT_GAP
    if (event->sequence < attempt->next_sequence) {
        out->drop = PGW_ATTEMPT_DROP_DUPLICATE;
        return;
    }
#endif
    if (!is_in_order(attempt, event)) {
        end_with_protocol_fault(out, attempt, PGW_REFUSAL_UPSTREAM_FAILED,
                                now_us);
        return;
    }
    attempt->next_sequence++;
    attempt->tokens += event->token_count;
    attempt->delivered++;
    out->action = PGW_ATTEMPT_DELIVER;
}

static void
on_end(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
       const struct pgw_attempt_event *event, uint64_t now_us)
{
    if (!is_in_order(attempt, event)) {
        end_with_protocol_fault(out, attempt, PGW_REFUSAL_UPSTREAM_FAILED,
                                now_us);
        return;
    }
    attempt->verdict = PGW_ATTEMPT_DONE;
    attempt->finished = true;
    attempt->in_flight = false;
    out->action = PGW_ATTEMPT_FINISH;
}

static void
on_fail(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
        const struct pgw_attempt_event *event, uint64_t now_us)
{
    enum pgw_refusal refusal = event->refusal < PGW_REFUSAL_COUNT
                                   ? (enum pgw_refusal)event->refusal
                                   : PGW_REFUSAL_INTERNAL;
    struct failure failure = unknown_failure(attempt, refusal);
    bool not_run = event->ran == PGW_RAN_NO;

#ifndef PGW_DISABLE_ATTEMPT_STARTED
    /*
     * Failure: the sidecar sends Fail with "not run" after Started. Symptom: a
     * request that was sent to the upstream is reported as not run. Started is
     * final: "not run" after it is a fault of the sidecar and is ignored.
     */
    not_run = not_run && !attempt->started;
#endif
    if (not_run) {
        failure.verdict = PGW_ATTEMPT_NOT_RUN;
    }
    else if (event->ran == PGW_RAN_YES) {
        failure.ran = PGW_RAN_YES;
    }
    if (!not_run && refusal == PGW_REFUSAL_UPSTREAM_FAILED) {
        attempt->crashes++;
    }
    failure.retry_after_ms = event->retry_after_ms;
    end_failed(out, attempt, &failure, now_us);
}

static void
cancel_attempt_in_flight(struct pgw_attempt_decision *out,
                         const struct pgw_attempt *attempt)
{
    out->cancel = attempt->in_flight && !attempt->closing;
    out->cancel_attempt = attempt->count;
}

static void
give_up(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
        enum pgw_refusal refusal)
{
    cancel_attempt_in_flight(out, attempt);
    if (attempt->in_flight) {
        attempt->verdict = PGW_ATTEMPT_UNKNOWN;
        merge_ran(attempt, unknown_failure(attempt, refusal).ran);
    }
    finish(out, attempt, refusal);
}

static void
on_timer(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
         uint64_t now_us)
{
    uint64_t deadline = attempt->options.deadline_us;

    if (now_us < deadline) {
        return;
    }
    if (attempt->in_flight && now_us < deadline + attempt->options.grace_us) {
        cancel_attempt_in_flight(out, attempt);
        attempt->closing = true;
        return;
    }
    give_up(out, attempt, PGW_REFUSAL_DEADLINE);
}

static void
on_exhausted(struct pgw_attempt_decision *out, struct pgw_attempt *attempt)
{
    if (attempt->in_flight) {
        out->drop = PGW_ATTEMPT_DROP_ATTEMPT;
        return;
    }
    finish(out, attempt, attempt->last_refusal);
}

typedef void (*frame_handler)(struct pgw_attempt_decision *out,
                              struct pgw_attempt *attempt,
                              const struct pgw_attempt_event *event,
                              uint64_t now_us);

static const frame_handler frame_handlers[] = {
    [PGW_ATTEMPT_NOT_SENT] = on_not_sent,
    [PGW_ATTEMPT_STARTED] = on_started,
    [PGW_ATTEMPT_DATA] = on_data,
    [PGW_ATTEMPT_END] = on_end,
    [PGW_ATTEMPT_FAIL] = on_fail,
    [PGW_ATTEMPT_LINK_LOST] = on_link_lost,
};

void
pgw_attempt_step(struct pgw_attempt_decision *out, struct pgw_attempt *attempt,
                 const struct pgw_attempt_event *event, uint64_t now_us)
{
    memset(out, 0, sizeof(*out));
    out->action = PGW_ATTEMPT_NOTHING;
    if (attempt->finished) {
        out->drop = PGW_ATTEMPT_DROP_FINISHED;
        return;
    }
    switch (event->kind) {
    case PGW_ATTEMPT_TIMER:
        on_timer(out, attempt, now_us);
        return;
    case PGW_ATTEMPT_CALLER_GONE:
        give_up(out, attempt, PGW_REFUSAL_CANCELLED);
        return;
    case PGW_ATTEMPT_EXHAUSTED:
        on_exhausted(out, attempt);
        return;
    default:
        break;
    }
    out->drop = check_identity(attempt, event);
    if (out->drop == PGW_ATTEMPT_NOT_DROPPED) {
        frame_handlers[event->kind](out, attempt, event, now_us);
    }
}

bool
pgw_attempt_was_tried(const struct pgw_attempt *attempt, uint64_t candidate)
{
    for (uint32_t i = 0; i < attempt->count; i++) {
        if (attempt->tried[i] == candidate) {
            return true;
        }
    }
    return false;
}

enum pgw_ran
pgw_attempt_ran(const struct pgw_attempt *attempt)
{
    return attempt->ran;
}

uint64_t
pgw_attempt_next_timer(const struct pgw_attempt *attempt)
{
    if (attempt->finished) {
        return UINT64_MAX;
    }
    return attempt->options.deadline_us +
           (attempt->closing ? attempt->options.grace_us : 0);
}

uint32_t
pgw_attempt_deadline_ms(const struct pgw_attempt *attempt, uint64_t now_us)
{
    uint64_t deadline = attempt->options.deadline_us;

    if (now_us >= deadline) {
        return 0;
    }
    return (uint32_t)MIN((deadline - now_us) / 1000, UINT32_MAX);
}

const char *
pgw_attempt_version(const struct pgw_attempt *attempt)
{
    return attempt->tokens > 0 && attempt->has_version ? attempt->version : "";
}

const char *
pgw_attempt_verdict_name(int verdict)
{
    switch (verdict) {
    case PGW_ATTEMPT_DONE:
        return "done";
    case PGW_ATTEMPT_NOT_RUN:
        return "not_run";
    case PGW_ATTEMPT_OPEN:
        return "open";
    default:
        return "unknown";
    }
}
