#include "gateway/departed_upstreams.h"

/* An id names one process for ever; the store lists entries again within
 * seconds. */
#define KEPT_US 60000000ULL

/**
 * struct statements - what a removed upstream has stated about itself
 * @id: its name in the list
 * @started_ms: start time of the process that stated it
 * @removed_at_us: when it was removed
 * @limit: its limit
 * @said_leaving: it has stated that it is draining
 * @backoff_until_us: when it takes requests again
 */
struct statements {
    char *id;
    uint64_t started_ms;
    uint64_t removed_at_us;
    struct pgw_limit_share limit;
    bool said_leaving;
    uint64_t backoff_until_us;
};

struct pgw_departed_upstreams {
    GHashTable *by_id;
};

static void
statements_free(void *data)
{
    struct statements *statements = data;

    g_free(statements->id);
    g_free(statements);
}

struct pgw_departed_upstreams *
pgw_departed_upstreams_new(void)
{
    struct pgw_departed_upstreams *departed =
        g_new0(struct pgw_departed_upstreams, 1);

    departed->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, statements_free);
    return departed;
}

void
pgw_departed_upstreams_free(struct pgw_departed_upstreams *departed)
{
    g_hash_table_destroy(departed->by_id);
    g_free(departed);
}

static gboolean
has_expired(void *key, void *value, void *now_us)
{
    const struct statements *statements = value;

    (void)key;
    return *(const uint64_t *)now_us - statements->removed_at_us > KEPT_US;
}

void
pgw_departed_upstreams_add(struct pgw_departed_upstreams *departed,
                           const struct pgw_upstream *upstream,
                           uint64_t now_us)
{
    struct statements *statements;

    if (upstream->limit.per_s <= 0 && !upstream->said_leaving &&
        upstream->backoff_until_us <= now_us) {
        return;
    }
    g_hash_table_foreach_remove(departed->by_id, has_expired, &now_us);
    statements = g_new0(struct statements, 1);
    statements->id = g_strdup(upstream->id);
    statements->started_ms = upstream->started_ms;
    statements->removed_at_us = now_us;
    statements->limit = upstream->limit;
    statements->said_leaving = upstream->said_leaving;
    statements->backoff_until_us = upstream->backoff_until_us;
    g_hash_table_replace(departed->by_id, statements->id, statements);
}

void
pgw_departed_upstreams_restore(struct pgw_departed_upstreams *departed,
                               struct pgw_upstream *upstream,
                               uint64_t started_ms)
{
    const struct statements *statements =
        g_hash_table_lookup(departed->by_id, upstream->id);

    if (statements != NULL && statements->started_ms == started_ms) {
        upstream->limit = statements->limit;
        upstream->said_leaving = statements->said_leaving;
        upstream->backoff_until_us = statements->backoff_until_us;
    }
    g_hash_table_remove(departed->by_id, upstream->id);
}
