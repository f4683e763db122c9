#include "gateway/quota/limit_ledger.h"
#include <glib.h>

/* Time for which unused requests add up. Grants are valid for another second,
 * so what arrives within four seconds stays below the limit for six. */
#define BURST_S 0.25
/* Entries that ask more often would only be refused more often. */
#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 10000
/* Asks a second for one limit, at 150 bytes with their answers: half of what
 * control messages of a process may take. */
#define ASKS_PER_S 60
/* Times over which asks are counted: at the start of a limit all entries ask
 * at once, which shows their number early. */
#define ASKS_SPAN_MIN_US 100000
#define ASKS_SPAN_MAX_US 1000000
/* A limit that nobody asked for in this time has ended, or its upstream has.
 */
#define IDLE_US 60000000ULL
/* Number of buckets from which on idle ones are removed. */
#define IDLE_SWEEP_COUNT 1024

struct bucket {
    char *upstream;
    double per_s;
    uint64_t stated_at_us;
    double level;
    uint64_t refilled_at_us;
    uint64_t asks_since_us;
    uint32_t asks;
    uint32_t retry_ms;
};

struct pgw_limit_ledger {
    GHashTable *by_upstream;
};

static void
bucket_free(void *data)
{
    struct bucket *bucket = data;

    g_free(bucket->upstream);
    g_free(bucket);
}

struct pgw_limit_ledger *
pgw_limit_ledger_new(void)
{
    struct pgw_limit_ledger *ledger = g_new0(struct pgw_limit_ledger, 1);

    ledger->by_upstream =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, bucket_free);
    return ledger;
}

void
pgw_limit_ledger_free(struct pgw_limit_ledger *ledger)
{
    if (ledger != NULL) {
        g_hash_table_destroy(ledger->by_upstream);
        g_free(ledger);
    }
}

static void
remove_idle(struct pgw_limit_ledger *ledger, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, ledger->by_upstream);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_us - ((const struct bucket *)value)->refilled_at_us >
            IDLE_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static struct bucket *
get_bucket(struct pgw_limit_ledger *ledger, const struct pgw_limit_ask *ask,
           uint64_t now_us)
{
    struct bucket *bucket =
        g_hash_table_lookup(ledger->by_upstream, ask->upstream);

    if (bucket == NULL) {
        if (g_hash_table_size(ledger->by_upstream) >= IDLE_SWEEP_COUNT) {
            remove_idle(ledger, now_us);
        }
        bucket = g_new0(struct bucket, 1);
        bucket->upstream = g_strdup(ask->upstream);
        bucket->refilled_at_us = now_us;
        bucket->asks_since_us = now_us;
        bucket->retry_ms = MIN_RETRY_MS;
        g_hash_table_insert(ledger->by_upstream, bucket->upstream, bucket);
    }
    return bucket;
}

static void
refill(struct bucket *bucket, double share, uint64_t now_us)
{
    double per_s = bucket->per_s * share;

    bucket->level =
        MIN(bucket->level +
                per_s * (double)(now_us - bucket->refilled_at_us) / 1e6,
            MAX(bucket->per_s * BURST_S, 1));
    bucket->refilled_at_us = now_us;
}

/* Adapts the retry time of refused asks to their number: entries that ask
 * every retry time make ASKS_PER_S asks together. */
static void
count_ask(struct bucket *bucket, uint64_t now_us)
{
    uint64_t span_us = MAX(now_us - bucket->asks_since_us, ASKS_SPAN_MIN_US);
    double asks_per_s = ++bucket->asks * 1e6 / (double)span_us;

    if (span_us < ASKS_SPAN_MAX_US && bucket->asks < ASKS_PER_S) {
        return;
    }
    bucket->retry_ms =
        (uint32_t)CLAMP(bucket->retry_ms * asks_per_s / ASKS_PER_S,
                        MIN_RETRY_MS, MAX_RETRY_MS);
    bucket->asks_since_us = now_us;
    bucket->asks = 0;
}

static uint32_t
retry_ms(const struct bucket *bucket, double share)
{
    double per_s = bucket->per_s * share;
    double ms = per_s > 0 ? (1 - bucket->level) / per_s * 1000 : MAX_RETRY_MS;

    return (uint32_t)CLAMP(ms, bucket->retry_ms, MAX_RETRY_MS);
}

void
pgw_limit_ledger_ask(struct pgw_limit_answer *out,
                     struct pgw_limit_ledger *ledger,
                     const struct pgw_limit_ask *ask, uint64_t now_us)
{
    struct bucket *bucket = get_bucket(ledger, ask, now_us);
    double share = CLAMP(ask->share, 0, 1);
    uint64_t stated_at_us = now_us - MIN(ask->age_us, now_us);

    count_ask(bucket, now_us);
    refill(bucket, share, now_us);
    if (stated_at_us > bucket->stated_at_us) {
        bucket->per_s = ask->per_s;
        bucket->stated_at_us = stated_at_us;
    }
    *out = (struct pgw_limit_answer){
        .per_s = bucket->per_s,
        .age_us = now_us - bucket->stated_at_us,
    };
    if (bucket->per_s <= 0) {
        return;
    }
    out->granted = (uint32_t)MIN((double)ask->wanted, bucket->level);
    bucket->level -= out->granted;
    if (out->granted < ask->wanted) {
        out->retry_ms = retry_ms(bucket, share);
    }
}
