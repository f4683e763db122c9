#include "gateway/cover/run_cover.h"
#include "gateway/cover/cover_policy.h"
#include "gateway/request/exchange.h"
#include "parsleygw/place.h"
#include "util/log.h"
#include "util/metric.h"
#include "util/random.h"

/* 1 Mbit/s in bytes per millisecond. */
#define MBPS_BYTES_PER_MS 125.0

static struct pgw_metric_counter covered = {
    .name = "pgw_gateway_runs_covered_total",
    .help = "Runs whose KV cache is copied to a second engine",
};
static struct pgw_metric_counter covered_tokens = {
    .name = "pgw_gateway_covered_tokens_total",
    .help = "Prompt tokens of the runs that are copied",
};
static struct pgw_metric_counter continued = {
    .name = "pgw_gateway_runs_continued_total",
    .help = "Runs that went on from their copy after their engine had ended",
};
static struct pgw_metric_counter not_continued = {
    .name = "pgw_gateway_runs_not_continued_total",
    .help = "Runs with a copy that ended with their engine",
};
static struct pgw_metric_counter not_found = {
    .name = "pgw_gateway_copies_not_found_total",
    .help = "Runs that were to go on and whose holder had no copy",
};

void
pgw_run_cover_register_metrics(void)
{
    pgw_metric_register_counter(&covered);
    pgw_metric_register_counter(&covered_tokens);
    pgw_metric_register_counter(&continued);
    pgw_metric_register_counter(&not_continued);
    pgw_metric_register_counter(&not_found);
}

void
pgw_run_cover_add_loss(struct pgw_gateway *gateway,
                       const struct pgw_upstream *upstream)
{
    pgw_engine_losses_add(&gateway->losses, upstream->id_hash,
                          pgw_place_id_hash(upstream->service),
                          pgw_place_id_hash(upstream->zone), pgw_now_us());
}

/* Other routes may begin again elsewhere, which costs nothing beforehand. */
static const struct pgw_service *
covered_service(const struct pgw_exchange *exchange)
{
    const struct pgw_route *route = exchange->route;
    const struct pgw_service *service =
        pgw_route_table_service(exchange->table, exchange->service);

    return service != NULL && service->backups && route->stream &&
                   !route->resumable && !route->repeatable &&
                   pgw_policy_is_on(&exchange->gateway->options.policy,
                                    PGW_MECHANISM_RUN_COVER)
               ? service
               : NULL;
}

static void
decide(struct pgw_cover *out, const struct pgw_exchange *exchange,
       const struct pgw_upstream *engine, const struct pgw_service *service)
{
    const struct pgw_gateway *gateway = exchange->gateway;
    struct pgw_cover_options options = PGW_COVER_OPTIONS_INIT;
    struct pgw_cover_input input = {
        .pool = pgw_upstream_table_pool(gateway->upstreams, service->name),
        .engine = engine,
        .losses = &gateway->losses,
        .service = pgw_place_id_hash(service->name),
        .model = exchange->facts.model,
        .prompt_tokens = exchange->facts.prompt.tokens,
        .output_tokens = exchange->facts.prompt.output_tokens,
        .run_ms = gateway->ms_per_output_token.value *
                      exchange->facts.prompt.output_tokens +
                  exchange->facts.prompt.tokens /
                      MAX(gateway->prefill_rate.value, 1),
        .kv_tokens = service->kv_tokens,
        .kv_token_bytes = service->kv_token_bytes,
        .link_bytes_per_ms = service->link_mbps * MBPS_BYTES_PER_MS,
        .prefill_tokens_per_ms = gateway->prefill_rate.value,
        .now_us = pgw_now_us(),
        .random = pgw_random_u64(),
    };

    *out = (struct pgw_cover){0};
    if (input.pool != NULL && input.pool->all->len > 0) {
        pgw_cover_decide(out, &input, &options);
    }
}

static void
log_covered(const struct pgw_exchange *exchange,
            const struct pgw_upstream *engine, const struct pgw_cover *cover)
{
    pgw_log_some(true, "run_covered",
                 "request=%s workspace=%s upstream=%s holder=%s tokens=%u "
                 "reason=%s risk=%.3f",
                 exchange->facts.id,
                 exchange->workspace == NULL ? "-" : exchange->workspace->name,
                 engine->id, cover->holder->id, exchange->facts.prompt.tokens,
                 cover->reason, cover->risk);
}

void
pgw_run_cover_dispose(struct pgw_run_cover *cover)
{
    if (cover->holder != NULL) {
        pgw_upstream_unref(cover->holder);
        cover->holder = NULL;
    }
}

void
pgw_run_cover_fill(struct pgw_forward *forward, struct pgw_exchange *exchange,
                   const struct pgw_choice *choice)
{
    struct pgw_run_cover *cover = &exchange->cover;
    const struct pgw_service *service = covered_service(exchange);
    struct pgw_cover decided = {0};

    if (cover->state == PGW_COPY_DUE) {
        forward->backup_at = cover->holder->address_text;
        pgw_event_stream_require_next(&exchange->events);
        pgw_copy_step(&cover->state, PGW_COPY_CONTINUED);
        return;
    }
    pgw_run_cover_dispose(cover);
    if (service != NULL) {
        decide(&decided, exchange, choice->upstream, service);
    }
    if (decided.holder == NULL) {
        pgw_copy_step(&cover->state, PGW_COPY_SENT_BARE);
        return;
    }
    pgw_copy_step(&cover->state, PGW_COPY_SENT_COVERED);
    cover->holder = pgw_upstream_ref(decided.holder);
    cover->since_us = pgw_now_us();
    cover->weights = forward->weights;
    cover->software = choice->upstream->software;
    cover->end_is_logged = false;
    forward->backup_to = cover->holder->address_text;
    pgw_metric_counter_add(&covered, 1);
    pgw_metric_counter_add(&covered_tokens, exchange->facts.prompt.tokens);
    log_covered(exchange, choice->upstream, &decided);
}

/* The copy is lost with the process that received it, and of no use to other
 * weights or another software version. */
static bool
is_holder_fit(const struct pgw_exchange *exchange)
{
    const struct pgw_run_cover *cover = &exchange->cover;
    const struct pgw_upstream *holder = cover->holder;
    uint64_t now_us = pgw_now_us();

    return pgw_upstream_is_usable(holder, now_us) &&
           holder->replaced_at_us < cover->since_us &&
           pgw_upstream_liveness(holder, now_us) != PGW_UNRESPONSIVE &&
           pgw_upstream_version(holder, exchange->facts.model) ==
               cover->weights &&
           holder->software == cover->software;
}

/* A stalled run is examined several times a second. */
static void
log_not_continued(struct pgw_exchange *exchange, const char *reason)
{
    if (exchange->cover.end_is_logged) {
        return;
    }
    exchange->cover.end_is_logged = true;
    pgw_metric_counter_add(&not_continued, 1);
    pgw_log_info("run_not_continued",
                 "request=%s holder=%s events=%" G_GUINT64_FORMAT " reason=%s",
                 exchange->facts.id, exchange->cover.holder->id,
                 exchange->events.events, reason);
}

/* Returns NULL, or the reason why a covered run ends with its engine. */
static const char *
reserve_continuation(struct pgw_exchange *exchange)
{
    /* The first event that the holder sends must be the one after the last
     * that was relayed. A run without any is still being prefilled, and its
     * holder has nothing to go on from. */
    if (!exchange->events.has_id) {
        return "no_event";
    }
    if (pgw_crash_quarantine_is_active(exchange->gateway->crash_quarantine,
                                       &exchange->crash_keys, pgw_now_us())) {
        return "crashes_upstreams";
    }
    if (!is_holder_fit(exchange)) {
        return "holder_unfit";
    }
    return pgw_attempt_take_reserved_retry(exchange) ? NULL : "no_repeat_left";
}

bool
pgw_run_cover_go_on(struct pgw_exchange *exchange)
{
    struct pgw_run_cover *cover = &exchange->cover;
    const char *reason;

    if (cover->state != PGW_COPY_GROWING || exchange->caller == NULL) {
        return false;
    }
    reason = reserve_continuation(exchange);
    if (reason != NULL) {
        log_not_continued(exchange, reason);
        return false;
    }
    return pgw_copy_step(&cover->state, PGW_COPY_LOST) == PGW_COPY_GO_ON;
}

static void
log_continued(const struct pgw_exchange *exchange)
{
    pgw_log_info("run_continued",
                 "request=%s from=%s at=%s after=%" G_GUINT64_FORMAT
                 " events=%" G_GUINT64_FORMAT,
                 exchange->facts.id,
                 exchange->tried_count == 0
                     ? "-"
                     : exchange->tried[exchange->tried_count - 1]->id,
                 exchange->cover.holder->id, exchange->events.last_id,
                 exchange->events.events);
}

/*
 * Failure: an engine ends in the middle of runs that must not run twice.
 * Symptom: their callers' streams break off, and the prompts were read for
 * nothing. A run that was copied goes on at the copy's holder as the same run.
 * If that fails, the caller gets what it would have got without a copy.
 */
bool
pgw_run_cover_dispatch(struct pgw_exchange *exchange)
{
    struct pgw_run_cover *cover = &exchange->cover;
    struct pgw_choice choice = {
        .upstream = cover->holder,
        .shared_tokens = pgw_prompt_shared(&exchange->facts.prompt),
    };

    if (cover->state != PGW_COPY_DUE) {
        return false;
    }
    if (!is_holder_fit(exchange) ||
        !pgw_suspect_wait_is_apart(exchange, cover->holder)) {
        pgw_copy_step(&cover->state, PGW_COPY_UNFIT);
        log_not_continued(exchange, "holder_unfit");
        pgw_exchange_refuse(exchange, 502, "upstream_lost", 0);
        return true;
    }
    pgw_suspect_wait_end(exchange, cover->holder);
    log_continued(exchange);
    pgw_metric_counter_add(&continued, 1);
    pgw_exchange_send(exchange, &choice);
    return true;
}

void
pgw_run_cover_handle_not_run(struct pgw_exchange *exchange, bool arrived)
{
    if (pgw_copy_step(&exchange->cover.state, PGW_COPY_NOT_RUN) ==
            PGW_COPY_FAIL &&
        arrived) {
        pgw_metric_counter_add(&not_found, 1);
    }
}
