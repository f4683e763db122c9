#include "gateway/sidecar/engine_sidecar_internal.h"
#include "util/metric.h"

/* An entry that asked for another owner's quota within this time cannot reach
 * that owner: it asks again each time that a workspace is near its quota. */
#define FALLBACK_WINDOW_US 2000000

/* Entries that have run for less time count as just started. */
#define RECENT_START_US 5000000

static struct pgw_metric_counter asks = {
    .name = "pgw_quota_owner_asks_total",
    .help = "Requests and usage reports for quotas that this process owns",
};
static struct pgw_metric_counter refused = {
    .name = "pgw_quota_owner_refused_total",
    .help = "Quota requests that exceeded the quota",
};

void
pgw_engine_sidecar_register_quota_metrics(void)
{
    pgw_metric_register_counter(&asks);
    pgw_metric_register_counter(&refused);
}

/* Share of the entries that cannot reach the quota's owner, for which this
 * sidecar is a fallback. The owner itself grants what the other entries spend.
 */
static double
fallback_share(struct pgw_connected_entry *entry, uint64_t now_us)
{
    unsigned entries = 0;
    unsigned count = 0;

    entry->last_fallback_us = now_us;
    pgw_list_foreach (link, &entry->sidecar->entries) {
        const struct pgw_connected_entry *other =
            pgw_container_of(link, struct pgw_connected_entry, in_entries);

        entries++;
        count += other->last_fallback_us > 0 &&
                 now_us - other->last_fallback_us < FALLBACK_WINDOW_US;
    }
    return (double)count / entries;
}

/* Most entries have just started: the whole deployment has, so no other
 * sidecar can be granting the same quota. */
static bool
deployment_has_restarted(const struct pgw_engine_sidecar *sidecar,
                         uint64_t now_us)
{
    unsigned entries = 0;
    unsigned recent = 0;

    pgw_list_foreach (link, &sidecar->entries) {
        const struct pgw_connected_entry *other =
            pgw_container_of(link, struct pgw_connected_entry, in_entries);

        entries++;
        recent += other->started_us > 0 &&
                  now_us - other->started_us < RECENT_START_US;
    }
    return recent * 2 > entries;
}

void
pgw_engine_sidecar_handle_quota_ask(struct pgw_connected_entry *entry,
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
        .share = ask->stands_in ? fallback_share(entry, now) : 1,
        .restarted = deployment_has_restarted(entry->sidecar, now),
    };

    pgw_quota_buckets_handle_request(&answer, entry->sidecar->quotas, &request,
                                     now);
    pgw_metric_counter_add(&asks, 1);
    pgw_metric_counter_add(&refused, ask->cost > answer.granted);
    message.workspace = ask->workspace;
    message.ask = ask->ask;
    message.granted = answer.granted;
    message.level = answer.level;
    message.wait_ms = answer.wait_ms;
    message.retry_ms = answer.retry_ms;
    pgw_link_send(entry->link, PGW_FRAME_QUOTA_ANSWER, &message.base);
}
