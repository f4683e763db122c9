#include "gateway/quota/upstream_limits.h"
#include "gateway/request/exchange.h"
#include "gateway/upstream/upstream_notice.h"
#include "util/metric.h"
#include "util/random.h"

/* An owner that has not answered for this long is not available. Far above a
 * round trip and a turn of a busy process's loop. */
#define ANSWER_TIMEOUT_US 300000
/* How long an owner that is not available is not asked. */
#define UNAVAILABLE_US 1000000
/* Number of entries that is assumed until a sidecar has reported it. Too high
 * a number leaves part of a limit unused, too low a one exceeds it. */
#define ENTRIES_ASSUMED 8
/* Most requests of one ask: grants that are not used within a second are lost
 * to the other entries. */
#define ASK_REQUESTS_MAX 16

static struct pgw_metric_counter held_back = {
    .name = "pgw_gateway_limit_throttled_total",
    .help = "Choices that passed over the best upstream because of its limit",
};
static struct pgw_metric_counter asks = {
    .name = "pgw_gateway_limit_asks_total",
    .help = "Asks for requests to upstreams at their limits",
};
static struct pgw_metric_counter granted = {
    .name = "pgw_gateway_limit_granted_total",
    .help = "Requests that owners of limits have granted",
};
static struct pgw_metric_counter fallbacks = {
    .name = "pgw_gateway_limit_fallbacks_total",
    .help = "Asks that no owner of a limit could answer",
};

void
pgw_upstream_limits_register_metrics(void)
{
    pgw_metric_register_counter(&held_back);
    pgw_metric_register_counter(&asks);
    pgw_metric_register_counter(&granted);
    pgw_metric_register_counter(&fallbacks);
}

static uint32_t
entry_count(const struct pgw_gateway *gateway)
{
    return gateway->entries > 0 ? gateway->entries : ENTRIES_ASSUMED;
}

static double
random_share(void)
{
    return (double)(pgw_random_u64() % 1024) / 1024;
}

static bool
send_ask(struct pgw_gateway *gateway, const struct pgw_upstream *upstream,
         uint32_t wanted)
{
    uint64_t now_us = pgw_now_us();
    struct pgw_limit_ask ask = {
        .upstream = upstream->id,
        .per_s = upstream->stated.limit.per_s,
        .age_us = now_us - upstream->stated.limit.stated_at_us,
        .wanted = wanted,
    };
    const struct pgw_upstream *owner =
        upstream->model_count > 0
            ? upstream
            : pgw_quota_owner(gateway->quota, pgw_quota_key(upstream->id));

    return owner != NULL && gateway->sidecars != NULL &&
           gateway->sidecars->ask_limit != NULL &&
           gateway->sidecars->ask_limit(gateway->sidecars_context, owner,
                                        &ask);
}

static void
fall_back(const struct pgw_gateway *gateway, struct pgw_limit_share *share,
          uint64_t now_us)
{
    pgw_metric_counter_add(&fallbacks, 1);
    pgw_limit_share_fall_back(share, entry_count(gateway), random_share(),
                              now_us);
}

/* Requests that have come since the last ask, and those that are queued. */
static uint32_t
count_wanted(const struct pgw_gateway *gateway,
             const struct pgw_limit_share *share)
{
    return CLAMP(MAX(share->wanted, gateway->waiting.count), 1,
                 ASK_REQUESTS_MAX);
}

/* Sends an ask unless the last one is unanswered, too recent, or has shown
 * that the owner is not available. */
static void
ask_or_fall_back(struct pgw_gateway *gateway, struct pgw_upstream *upstream,
                 uint64_t now_us)
{
    struct pgw_limit_share *share = &upstream->stated.limit;

    if (share->asked_us > 0 && now_us - share->asked_us < ANSWER_TIMEOUT_US) {
        return;
    }
    if (share->asked_us > 0) {
        share->asked_us = 0;
        share->ask_at_us = now_us + UNAVAILABLE_US;
        fall_back(gateway, share, now_us);
    }
    if (now_us < share->ask_at_us) {
        if (share->fallback_per_s > 0) {
            fall_back(gateway, share, now_us);
        }
        return;
    }
    if (!send_ask(gateway, upstream, count_wanted(gateway, share))) {
        fall_back(gateway, share, now_us);
        return;
    }
    pgw_metric_counter_add(&asks, 1);
    share->wanted = 0;
    share->asked_us = now_us;
}

void
pgw_upstream_limits_want(struct pgw_gateway *gateway,
                         struct pgw_upstream *upstream, bool is_new)
{
    struct pgw_limit_share *share = &upstream->stated.limit;
    uint64_t now_us = pgw_now_us();

    pgw_metric_counter_add(&held_back, is_new);
    share->wanted += is_new;
    ask_or_fall_back(gateway, upstream, now_us);
    pgw_gateway_dispatch_queued_at(
        gateway, share->asked_us > 0 ? share->asked_us + ANSWER_TIMEOUT_US
                                     : pgw_limit_share_next_us(share, now_us));
}

void
pgw_upstream_limits_report_end(struct pgw_gateway *gateway,
                               const struct pgw_upstream *upstream)
{
    send_ask(gateway, upstream, 0);
}

void
pgw_upstream_limits_handle_answer(struct pgw_gateway *gateway,
                                  const char *upstream_id,
                                  const struct pgw_limit_answer *answer)
{
    struct pgw_upstream *upstream =
        pgw_upstream_table_find(gateway->upstreams, upstream_id);
    struct pgw_limit_share *share;
    uint64_t now_us = pgw_now_us();
    uint64_t stated_at_us = now_us - MIN(answer->age_us, now_us);

    if (upstream == NULL) {
        return;
    }
    share = &upstream->stated.limit;
    share->asked_us = 0;
    if (stated_at_us > share->stated_at_us) {
        pgw_upstream_notice_set_limit(upstream, answer->per_s, "owner",
                                      stated_at_us);
    }
    if (share->per_s <= 0) {
        pgw_gateway_dispatch_queued(gateway);
        return;
    }
    pgw_metric_counter_add(&granted, answer->granted);
    pgw_limit_share_grant(share, answer->granted, now_us);
    /* A random delay, so that the same entry is not always the first. */
    share->ask_at_us =
        now_us + (uint64_t)(answer->retry_ms * 1000.0 * (1 + random_share()));
    if (answer->granted > 0) {
        pgw_gateway_dispatch_queued(gateway);
    }
    else {
        pgw_gateway_dispatch_queued_at(gateway, share->ask_at_us);
    }
}

uint64_t
pgw_upstream_limits_wait_us(const struct pgw_gateway *gateway, double per_s,
                            unsigned requests)
{
    double wait_s = per_s > 0 ? requests * entry_count(gateway) / per_s
                              : (double)UINT32_MAX;

    return (uint64_t)(MIN(wait_s, (double)UINT32_MAX) * 1e6);
}
