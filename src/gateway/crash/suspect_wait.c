#include "gateway/request/exchange.h"
#include "util/metric.h"
#include "util/random.h"

/* Interval at which a waiting request asks again. */
#define RECHECK_US 20000
/* A claim stands and its trial starts within this time. */
#define CLAIM_TIME_US 1000000
/* In less, entries do not learn of each other's claims. */
#define CLAIM_TIME_MIN_US 40000
/* Part of a request's time left that it waits for its claim; it runs in the
 * rest. */
#define CLAIM_SHARE 2
/* A trial's result arrives at the latest so long after its deadline. */
#define RESULT_MARGIN_US 1000000
/* A faulty prompt crashes its engine when that begins to answer. */
#define PASSED_US 1000000

static struct pgw_metric_counter waits = {
    .name = "pgw_gateway_poison_waits_total",
    .help = "Requests that waited for a trial of what they have",
};

static void
on_recheck(struct pgw_timer *timer)
{
    pgw_exchange_dispatch(
        pgw_container_of(timer, struct pgw_exchange, suspect_timer));
}

static void
start_wait(struct pgw_exchange *exchange, uint64_t now_us)
{
    struct pgw_gateway *gateway = exchange->gateway;

    if (exchange->suspect_until_us == 0) {
        exchange->suspect_until_us =
            now_us + pgw_exchange_queue_time_us(exchange, now_us);
        pgw_metric_register_counter(&waits);
        pgw_metric_counter_add(&waits, 1);
    }
    if (exchange->phase != PGW_PHASE_RELAYING) {
        exchange->phase = PGW_PHASE_QUEUED;
    }
    exchange->suspect_timer.on_due = on_recheck;
    pgw_timer_start(gateway->loop, &exchange->suspect_timer, RECHECK_US);
}

/* A request that has run, or whose stream has begun, has an unknown outcome.
 */
static void
refuse(struct pgw_exchange *exchange, uint32_t retry_after_ms)
{
    if (pgw_exchange_may_have_run(exchange)) {
        pgw_exchange_refuse(exchange, 502, "crashes_upstreams", 0);
    }
    else {
        pgw_exchange_refuse(exchange, 503, "crashes_upstreams",
                            retry_after_ms);
    }
}

/* How long a request can wait for its claim. A trial that ends well lets all
 * others run, so it may wait for longer than a slot is worth waiting for. */
static uint64_t
claim_time_us(const struct pgw_exchange *exchange, uint64_t now_us)
{
    uint64_t left_us =
        exchange->deadline_us > now_us ? exchange->deadline_us - now_us : 0;
    uint64_t claim_us = MIN(CLAIM_TIME_US, left_us / CLAIM_SHARE);

    return claim_us < CLAIM_TIME_MIN_US ? 0 : claim_us;
}

/* Refuses a request that could not wait for the next trial. */
static bool
refuse_early(struct pgw_exchange *exchange, uint64_t now_us)
{
    uint64_t wait_us = pgw_crash_quarantine_trial_wait_us(
        exchange->gateway->crash_quarantine, &exchange->crash_keys, now_us);

    if (wait_us <= pgw_exchange_queue_time_us(exchange, now_us)) {
        return false;
    }
    refuse(exchange,
           (uint32_t)MIN(wait_us / 1000 + 1, PGW_CRASH_QUARANTINE_RETRY_MS));
    return true;
}

bool
pgw_suspect_wait_begin(struct pgw_exchange *exchange)
{
    uint64_t now_us = pgw_now_us();
    uint64_t claim_us = claim_time_us(exchange, now_us);
    uint64_t claimed = exchange->trial;
    enum pgw_crash_verdict verdict = pgw_crash_quarantine_admit(
        exchange->gateway->crash_quarantine, &exchange->crash_keys,
        &exchange->trial, claim_us, pgw_random_u64(), now_us);

    if (verdict == PGW_CRASH_REFUSE) {
        refuse(exchange, PGW_CRASH_QUARANTINE_RETRY_MS);
        return true;
    }
    if (verdict != PGW_CRASH_WAIT) {
        return false;
    }
    if (refuse_early(exchange, now_us)) {
        return true;
    }
    if (exchange->suspect_until_us != 0 &&
        now_us >= exchange->suspect_until_us) {
        refuse(exchange, pgw_exchange_retry_ms(exchange));
        return true;
    }
    start_wait(exchange, now_us);
    if (exchange->trial != claimed && exchange->trial != 0) {
        exchange->suspect_until_us =
            MAX(exchange->suspect_until_us, now_us + claim_us + RECHECK_US);
    }
    return true;
}

bool
pgw_suspect_wait_is_apart(const struct pgw_exchange *exchange,
                          const struct pgw_upstream *upstream)
{
    return exchange->trial == 0 ||
           !pgw_crash_quarantine_has_trial_at(
               exchange->gateway->crash_quarantine, exchange->trial,
               upstream->process, pgw_now_us());
}

void
pgw_suspect_wait_end(struct pgw_exchange *exchange,
                     const struct pgw_upstream *upstream)
{
    struct pgw_gateway *gateway = exchange->gateway;

    pgw_timer_stop(gateway->loop, &exchange->suspect_timer);
    exchange->suspect_until_us = 0;
    if (exchange->trial != 0) {
        pgw_crash_quarantine_start_trial(
            gateway->crash_quarantine, &exchange->crash_keys, exchange->trial,
            upstream->process, exchange->deadline_us + RESULT_MARGIN_US,
            pgw_now_us());
    }
}

void
pgw_suspect_wait_pass(struct pgw_exchange *exchange)
{
    if (exchange->trial != 0 && exchange->began_us != 0 &&
        pgw_now_us() >= exchange->began_us + PASSED_US) {
        pgw_crash_quarantine_clear(exchange->gateway->crash_quarantine,
                                   &exchange->crash_keys);
        exchange->trial = 0;
    }
}

void
pgw_suspect_wait_end_trial(struct pgw_exchange *exchange,
                           enum pgw_trial_result result)
{
    if (exchange->trial != 0) {
        pgw_crash_quarantine_end_trial(exchange->gateway->crash_quarantine,
                                       &exchange->crash_keys, exchange->trial,
                                       result, pgw_now_us());
        exchange->trial = 0;
    }
}

void
pgw_suspect_wait_drop(struct pgw_exchange *exchange)
{
    pgw_timer_stop(exchange->gateway->loop, &exchange->suspect_timer);
    pgw_suspect_wait_end_trial(exchange, PGW_TRIAL_WITHDRAWN);
}
