#include "gateway/quota_bucket.h"
#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Refused units count for so long, falling off evenly. */
#define REFUSED_US 1000000
/* Bounds of the time after which a refused caller comes back: sooner it only
 * comes to be refused again, later most callers have given up. */
#define RETRY_LEAST_MS 50
#define RETRY_MOST_MS 2000
/* A bucket that nobody asked for so long is full. */
#define IDLE_US 600000000ULL
/* Idle buckets are looked for when there are so many, 64 bytes each. */
#define SWEEP_COUNT 4096

struct bucket {
    uint64_t workspace;
    struct pgw_quota_limits limits;
    double level;
    double refused;
    uint64_t at_us;
    uint64_t refused_at_us;
    uint64_t made_us;
    bool slow;
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
drop_idle(struct pgw_quota_buckets *buckets, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, buckets->by_workspace);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - ((const struct bucket *)value)->at_us > IDLE_US) {
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

    if (g_hash_table_size(buckets->by_workspace) >= SWEEP_COUNT) {
        drop_idle(buckets, now_us);
    }
    bucket->workspace = request->workspace;
    bucket->limits = request->limits;
    bucket->level = request->limits.burst;
    if (now_us >= options->full_until_us) {
        double part =
            request->restarted ? options->restart_part : options->start_part;

        bucket->slow = !request->restarted;
        bucket->level =
            MIN(pgw_quota_overage(&options->bounds, &request->limits) * part *
                    request->share,
                request->limits.burst);
    }
    bucket->at_us = now_us;
    bucket->made_us = now_us;
    g_hash_table_insert(buckets->by_workspace, &bucket->workspace, bucket);
    return bucket;
}

static void
refill(struct bucket *bucket, const struct pgw_quota_buckets_options *options,
       double share, uint64_t now_us)
{
    double rate = bucket->limits.rate * share;

    if (bucket->slow && now_us - bucket->made_us < options->slow_us) {
        rate *= options->slow_share;
    }
    bucket->level =
        MIN(bucket->level + rate * (double)(now_us - bucket->at_us) / 1e6,
            bucket->limits.burst);
    bucket->at_us = now_us;
}

static void
note_refused(struct bucket *bucket, double units, uint64_t now_us)
{
    double age = (double)(now_us - bucket->refused_at_us) / REFUSED_US;

    bucket->refused = bucket->refused * MAX(1 - age, 0) + units;
    bucket->refused_at_us = now_us;
}

static uint32_t
time_ms(double units, double rate)
{
    double ms = units <= 0 || rate <= 0 ? 0 : units / rate * 1000;

    return (uint32_t)MIN(ms, RETRY_MOST_MS);
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
    /* Entries that have not read the newest configuration yet must not undo
     * it. */
    if (request->limits.version > bucket->limits.version) {
        bucket->limits = request->limits;
        bucket->level = MIN(bucket->level, bucket->limits.burst);
    }
    bucket->level = MIN(bucket->level - request->spent, bucket->limits.burst);
    /* One that is larger than a full bucket may empty it. */
    out->granted = bucket->level >= MIN(request->cost, bucket->limits.burst)
                       ? request->cost
                       : 0;
    bucket->level -= out->granted;
    note_refused(bucket, request->refused + request->cost - out->granted,
                 now_us);
    rate = bucket->limits.rate * request->share;
    out->level = bucket->level;
    out->wait_ms = time_ms(-bucket->level, rate);
    out->retry_ms =
        MAX(time_ms(bucket->refused - bucket->level, rate), RETRY_LEAST_MS);
}
