#include "gateway/quota/quota_bucket.h"
#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Time in which the count of refused units decays linearly to 0. */
#define REFUSED_DECAY_US 1000000
/* Limits of the retry time: callers that retry sooner are refused again, and
 * later most have given up. */
#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 2000
/* A bucket that was not used for this long is full. */
#define IDLE_US 600000000ULL
/* Number of buckets, 64 bytes each, from which on idle ones are removed. */
#define IDLE_SWEEP_COUNT 4096

struct bucket {
    uint64_t workspace;
    struct pgw_quota_limits limits;
    double level;
    double refused;
    uint64_t refilled_at_us;
    uint64_t refused_at_us;
    uint64_t created_at_us;
    bool refills_slowly;
};

struct pgw_quota_buckets {
    struct pgw_quota_buckets_options options;
    GHashTable *by_workspace;
};

uint64_t
pgw_quota_key(const char *workspace)
{
    return XXH3_64bits(workspace, strlen(workspace));
}

double
pgw_quota_overage(const struct pgw_quota_bounds *bounds,
                  const struct pgw_quota_limits *limits)
{
    return (limits->rate * bounds->window_s + limits->burst) *
               bounds->overage +
           bounds->slack;
}

struct pgw_quota_buckets *
pgw_quota_buckets_new(const struct pgw_quota_buckets_options *options)
{
    struct pgw_quota_buckets *buckets = g_new0(struct pgw_quota_buckets, 1);

    buckets->options = *options;
    buckets->by_workspace =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return buckets;
}

void
pgw_quota_buckets_free(struct pgw_quota_buckets *buckets)
{
    if (buckets != NULL) {
        g_hash_table_destroy(buckets->by_workspace);
        g_free(buckets);
    }
}

static void
remove_idle(struct pgw_quota_buckets *buckets, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, buckets->by_workspace);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - ((const struct bucket *)value)->refilled_at_us >
            IDLE_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static struct bucket *
add_bucket(struct pgw_quota_buckets *buckets,
           const struct pgw_quota_request *request, uint64_t now_us)
{
    const struct pgw_quota_buckets_options *options = &buckets->options;
    struct bucket *bucket = g_new0(struct bucket, 1);

    if (g_hash_table_size(buckets->by_workspace) >= IDLE_SWEEP_COUNT) {
        remove_idle(buckets, now_us);
    }
    bucket->workspace = request->workspace;
    bucket->limits = request->limits;
    bucket->level = request->limits.burst;
    if (now_us >= options->full_until_us) {
        double share =
            request->restarted ? options->restart_share : options->start_share;

        bucket->refills_slowly = !request->restarted;
        bucket->level =
            MIN(pgw_quota_overage(&options->bounds, &request->limits) * share *
                    request->share,
                request->limits.burst);
    }
    bucket->refilled_at_us = now_us;
    bucket->created_at_us = now_us;
    g_hash_table_insert(buckets->by_workspace, &bucket->workspace, bucket);
    return bucket;
}

static void
refill(struct bucket *bucket, const struct pgw_quota_buckets_options *options,
       double share, uint64_t now_us)
{
    double rate = bucket->limits.rate * share;

    if (bucket->refills_slowly &&
        now_us - bucket->created_at_us < options->slow_refill_us) {
        rate *= options->slow_refill_share;
    }
    bucket->level = MIN(
        bucket->level + rate * (double)(now_us - bucket->refilled_at_us) / 1e6,
        bucket->limits.burst);
    bucket->refilled_at_us = now_us;
}

static void
add_refused(struct bucket *bucket, double units, uint64_t now_us)
{
    double decayed_share =
        (double)(now_us - bucket->refused_at_us) / REFUSED_DECAY_US;

    bucket->refused = bucket->refused * MAX(1 - decayed_share, 0) + units;
    bucket->refused_at_us = now_us;
}

static uint32_t
refill_time_ms(double units, double rate)
{
    double ms = units <= 0 || rate <= 0 ? 0 : units / rate * 1000;

    return (uint32_t)MIN(ms, MAX_RETRY_MS);
}

void
pgw_quota_buckets_handle_request(struct pgw_quota_answer *out,
                                 struct pgw_quota_buckets *buckets,
                                 const struct pgw_quota_request *request,
                                 uint64_t now_us)
{
    struct bucket *bucket =
        g_hash_table_lookup(buckets->by_workspace, &request->workspace);
    double rate;

    if (bucket == NULL) {
        bucket = add_bucket(buckets, request, now_us);
    }
    refill(bucket, &buckets->options, request->share, now_us);
    /* Requests of entries with an older configuration must not revert the
     * limits. */
    if (request->limits.version > bucket->limits.version) {
        bucket->limits = request->limits;
        bucket->level = MIN(bucket->level, bucket->limits.burst);
    }
    bucket->level = MIN(bucket->level - request->spent, bucket->limits.burst);
    /* A request that costs more than a full bucket is granted if the bucket is
     * full. */
    out->granted = bucket->level >= MIN(request->cost, bucket->limits.burst)
                       ? request->cost
                       : 0;
    bucket->level -= out->granted;
    add_refused(bucket, request->refused + request->cost - out->granted,
                now_us);
    rate = bucket->limits.rate * request->share;
    out->level = bucket->level;
    out->wait_ms = refill_time_ms(-bucket->level, rate);
    out->retry_ms = MAX(refill_time_ms(bucket->refused - bucket->level, rate),
                        MIN_RETRY_MS);
}
