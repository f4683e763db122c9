#include "gateway/engine_sidecar_internal.h"
#include "util/metric.h"

/* An entry that asked for another owner's quota so lately cannot reach that
 * one: it asks again each time that a workspace is near its quota. */
#define STANDS_IN_US 2000000

/* Entries that run for less have just started. */
#define YOUNG_US 5000000

static struct pgw_metric_counter asks = {
    .name = "pgw_quota_owner_asks_total",
    .help = "Asks and reports on quotas that this process owns",
};
static struct pgw_metric_counter refused = {
    .name = "pgw_quota_owner_refused_total",
    .help = "Of these, requests that were beyond a quota",
};

void
pgw_engine_sidecar_register_quota_metrics(void)
{
    pgw_metric_register_counter(&asks);
    pgw_metric_register_counter(&refused);
}

/* The part of all entries that cannot reach the owner: what the others spend
 * is granted by that one. */
static double
stand_in_share(struct pgw_connected_entry *peer, uint64_t now_us)
{
    unsigned entries = 0;
    unsigned count = 0;

    peer->stood_in_at_us = now_us;
    pgw_list_foreach (link, &peer->guard->entries) {
        const struct pgw_connected_entry *entry =
            pgw_container_of(link, struct pgw_connected_entry, in_guard);

        entries++;
        count += entry->stood_in_at_us > 0 &&
                 now_us - entry->stood_in_at_us < STANDS_IN_US;
    }
    return (double)count / entries;
}

/* Most entries have started with this process: the whole deployment has, and
 * nobody else can be granting what this one grants. */
static bool
has_restarted(const struct pgw_engine_sidecar *guard, uint64_t now_us)
{
    unsigned entries = 0;
    unsigned young = 0;

    pgw_list_foreach (link, &guard->entries) {
        const struct pgw_connected_entry *entry =
            pgw_container_of(link, struct pgw_connected_entry, in_guard);

        entries++;
        young +=
            entry->started_us > 0 && now_us - entry->started_us < YOUNG_US;
    }
    return young * 2 > entries;
}

void
pgw_engine_sidecar_take_quota_ask(struct pgw_connected_entry *peer,
                                  const Pgw__QuotaAsk *ask)
{
    Pgw__QuotaAnswer message = PGW__QUOTA_ANSWER__INIT;
    uint64_t now = pgw_now_us();
    struct pgw_quota_answer answer;
    struct pgw_quota_request request = {
        .workspace = ask->workspace,
        .limits = {.rate = ask->rate,
                   .burst = ask->burst,
                   .version = ask->version},
        .spent = ask->spent,
        .refused = ask->refused,
        .cost = ask->cost,
        .share = ask->stands_in ? stand_in_share(peer, now) : 1,
        .restarted = has_restarted(peer->guard, now),
    };

    pgw_quota_buckets_handle_request(&answer, peer->guard->quotas, &request,
                                     now);
    pgw_metric_counter_add(&asks, 1);
    pgw_metric_counter_add(&refused, ask->cost > answer.granted);
    message.workspace = ask->workspace;
    message.ask = ask->ask;
    message.granted = answer.granted;
    message.level = answer.level;
    message.wait_ms = answer.wait_ms;
    message.retry_ms = answer.retry_ms;
    pgw_link_send(peer->link, PGW_FRAME_QUOTA_ANSWER, &message.base);
}
