#include "entry/exchange.h"
#include "util/hex.h"
#include "util/log.h"

static struct pgw_metric_counter accepted = {
    .name = "pgw_requests_total",
    .help = "Requests whose head was read",
};
static struct pgw_metric_counter answered = {
    .name = "pgw_answered_total",
    .help = "Requests answered whole",
};
static struct pgw_metric_counter refused[PGW_REFUSAL_COUNT];
static char refused_labels[PGW_REFUSAL_COUNT][48];
static const char *const drop_names[PGW_ATTEMPT_DROP_COUNT] = {
    [PGW_ATTEMPT_NOT_DROPPED] = "none",
    [PGW_ATTEMPT_DROP_REQUEST] = "request",
    [PGW_ATTEMPT_DROP_ATTEMPT] = "attempt",
    [PGW_ATTEMPT_DROP_FINISHED] = "finished",
    [PGW_ATTEMPT_DROP_IDLE] = "idle",
    [PGW_ATTEMPT_DROP_DUPLICATE] = "duplicate",
};
static struct pgw_metric_counter dropped[PGW_ATTEMPT_DROP_COUNT];
static char dropped_labels[PGW_ATTEMPT_DROP_COUNT][24];
static struct pgw_metric_counter retries = {
    .name = "pgw_retries_total",
    .help = "Attempts that began again from the first token",
};
static struct pgw_metric_counter resumes = {
    .name = "pgw_resumes_total",
    .help = "Attempts that went on after delivered tokens",
};
static struct pgw_metric_counter prompt_tokens = {
    .name = "pgw_prompt_tokens_total",
    .help = "Prompt tokens of answered requests",
};
static struct pgw_metric_counter cached_tokens = {
    .name = "pgw_cached_tokens_total",
    .help = "Prompt tokens that came from an engine's cache",
};
static struct pgw_metric_histogram first_token = {
    .name = "pgw_first_token_seconds",
    .help = "Time from accept to the first token",
};
static struct pgw_metric_histogram duration = {
    .name = "pgw_duration_seconds",
    .help = "Time from accept to the final answer",
};

void
account_init(void)
{
    pgw_metric_register_counter(&accepted);
    pgw_metric_register_counter(&answered);
    for (int i = 0; i < PGW_REFUSAL_COUNT; i++) {
        g_snprintf(refused_labels[i], sizeof(refused_labels[i]), "code=\"%s\"",
                   pgw_refusal_name(i));
        refused[i] = (struct pgw_metric_counter){
            .name = "pgw_refused_total",
            .help = "Requests refused, by code",
            .labels = refused_labels[i],
        };
        pgw_metric_register_counter(&refused[i]);
    }
    for (int i = 1; i < PGW_ATTEMPT_DROP_COUNT; i++) {
        g_snprintf(dropped_labels[i], sizeof(dropped_labels[i]),
                   "reason=\"%s\"", drop_names[i]);
        dropped[i] = (struct pgw_metric_counter){
            .name = "pgw_frames_dropped_total",
            .help = "Frames that belong to no current attempt, by reason",
            .labels = dropped_labels[i],
        };
        pgw_metric_register_counter(&dropped[i]);
    }
    pgw_metric_register_counter(&retries);
    pgw_metric_register_counter(&resumes);
    pgw_metric_register_counter(&prompt_tokens);
    pgw_metric_register_counter(&cached_tokens);
    pgw_metric_register_histogram(&first_token);
    pgw_metric_register_histogram(&duration);
}

void
account_accept(void)
{
    pgw_metric_counter_add(&accepted, 1);
}

void
account_drop(enum pgw_attempt_drop drop)
{
    if (drop != PGW_ATTEMPT_NOT_DROPPED) {
        pgw_metric_counter_add(&dropped[drop], 1);
    }
}

void
account_retry(bool resume)
{
    pgw_metric_counter_add(resume ? &resumes : &retries, 1);
}

void
account_refusal(const struct pgw_request_id *id, const struct refusal *refusal)
{
    char text[PGW_REQUEST_ID_TEXT_SIZE];

    pgw_request_id_format(text, id);
    pgw_metric_counter_add(&refused[refusal->code], 1);
    pgw_log_info("request_refused", "request=%s code=%s ran=%s reason=%s",
                 text, pgw_refusal_name(refusal->code),
                 pgw_ran_name(refusal->ran), refusal->message);
}

void
account_end(struct exchange *exchange, const struct refusal *refusal)
{
    uint64_t now = pgw_now_us();
    uint64_t took = now - exchange->began_us;

    pgw_metric_histogram_record_us(&duration, took);
    if (refusal != NULL) {
        account_refusal(&exchange->id, refusal);
        pgw_trace_record(exchange->entry->trace, PGW_TRACE_REQUEST_REFUSE,
                         &exchange->id, exchange->attempt_number,
                         refusal->code, refusal->ran,
                         pgw_refusal_name(refusal->code));
        return;
    }
    pgw_metric_counter_add(&answered, 1);
    pgw_metric_counter_add(&prompt_tokens, exchange->prompt_tokens);
    pgw_metric_counter_add(&cached_tokens, exchange->cached_tokens);
    pgw_metric_histogram_record_us(&first_token, exchange->first_token_us -
                                                     exchange->began_us);
    pgw_trace_record(exchange->entry->trace, PGW_TRACE_REQUEST_DONE,
                     &exchange->id, exchange->attempt_number, took,
                     exchange->cached_tokens, exchange->output.upstream);
}
