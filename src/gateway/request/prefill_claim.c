#include "gateway/request/exchange.h"
#include "gateway/upstream/announced_prompts.h"
#include "util/metric.h"

/* An engine that has refused a prompt is asked again after this time: a
 * long prompt takes a few times as long. */
#define REFUSED_RETRY_US 30000

static struct pgw_metric_counter claims = {
    .name = "pgw_prefill_claims_total",
    .help = "Long prompts that engines were asked to take",
};
static struct pgw_metric_counter refused = {
    .name = "pgw_prefill_claims_refused_total",
    .help = "Of these, refused because of the engine's backlog",
};
static struct pgw_metric_counter unanswered = {
    .name = "pgw_prefill_claims_unanswered_total",
    .help = "Of these, without an answer in time",
};

static void
stop_waiting(struct pgw_exchange *exchange)
{
    pgw_timer_stop(exchange->gateway->loop, &exchange->claim_timer);
    if (exchange->claim != 0) {
        g_hash_table_remove(exchange->gateway->claims, &exchange->claim);
        exchange->claim = 0;
    }
}

static void
release_engine(struct pgw_exchange *exchange)
{
    if (exchange->claimed != NULL) {
        pgw_upstream_unref(exchange->claimed);
    }
    exchange->claimed = NULL;
    exchange->claim_is_granted = false;
}

bool
pgw_prefill_claim_is_pending(const struct pgw_exchange *exchange)
{
    return exchange->claim != 0;
}

void
pgw_prefill_claim_take(struct pgw_exchange *exchange)
{
    stop_waiting(exchange);
    release_engine(exchange);
}

/* A claim without an answer may have been granted, too. */
void
pgw_prefill_claim_drop(struct pgw_exchange *exchange)
{
    const struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->claimed != NULL && gateway->sidecars != NULL &&
        (exchange->claim != 0 || exchange->claim_is_granted)) {
        struct pgw_announcement end = {
            .request = pgw_announced_prompts_id(exchange->facts.id),
        };

        gateway->sidecars->announce(gateway->sidecars_context,
                                    exchange->claimed, &end);
    }
    pgw_prefill_claim_take(exchange);
}

/* A sidecar that does not answer does not hold a prompt back. */
static void
on_claim_timeout(struct pgw_timer *timer)
{
    struct pgw_exchange *exchange =
        pgw_container_of(timer, struct pgw_exchange, claim_timer);

    pgw_metric_counter_add(&unanswered, 1);
    stop_waiting(exchange);
    exchange->claim_is_granted = true;
    pgw_exchange_dispatch(exchange);
}

void
pgw_gateway_prefill_answered(struct pgw_gateway *gateway, uint64_t claim,
                             bool granted, uint64_t pending_tokens)
{
    struct pgw_exchange *exchange =
        g_hash_table_lookup(gateway->claims, &claim);

    if (exchange == NULL) {
        return;
    }
    stop_waiting(exchange);
    pgw_upstream_set_pending_tokens(exchange->claimed, pending_tokens,
                                    pgw_now_us());
    if (granted) {
        exchange->claim_is_granted = true;
        exchange->claimed->claim_at_us = 0;
    }
    else {
        pgw_metric_counter_add(&refused, 1);
        exchange->claimed->claim_at_us = pgw_now_us() + REFUSED_RETRY_US;
        release_engine(exchange);
    }
    pgw_exchange_dispatch(exchange);
}

/*
 * Failure: an engine becomes free while long prompts wait at many entries.
 * Symptom: all of them are sent to it within the milliseconds until its next
 * report, and it prefills for seconds without a break. Its sidecar grants them
 * one after the other instead.
 */
bool
pgw_prefill_claim_begin(struct pgw_exchange *exchange,
                        const struct pgw_choice *choice)
{
    struct pgw_gateway *gateway = exchange->gateway;
    struct pgw_prefill_claim claim = {
        .request = pgw_announced_prompts_id(exchange->facts.id),
        .pending_tokens = choice->pending_tokens,
        .limit_tokens = choice->backlog_limit_tokens,
    };

    if (!choice->needs_claim || gateway->sidecars == NULL ||
        (exchange->claim_is_granted &&
         exchange->claimed == choice->upstream)) {
        return false;
    }
    pgw_prefill_claim_drop(exchange);
    claim.claim = ++gateway->last_claim;
    if (!gateway->sidecars->claim_prefill(gateway->sidecars_context,
                                          choice->upstream, &claim)) {
        return false;
    }
    pgw_metric_register_counter(&claims);
    pgw_metric_register_counter(&refused);
    pgw_metric_register_counter(&unanswered);
    pgw_metric_counter_add(&claims, 1);
    /* One claim at a time: many prompts may wait for the same engine. */
    choice->upstream->claim_at_us = pgw_now_us() + REFUSED_RETRY_US;
    exchange->claimed = pgw_upstream_ref(choice->upstream);
    exchange->claim = claim.claim;
    g_hash_table_insert(gateway->claims, &exchange->claim, exchange);
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_QUEUED;
    }
    exchange->claim_timer.on_due = on_claim_timeout;
    pgw_timer_start(gateway->loop, &exchange->claim_timer,
                    gateway->options.probe_wait_us);
    return true;
}
