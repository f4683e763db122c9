#include "gateway/upstream/departed_upstreams.h"

/* An id names one process for ever; the store lists entries again within
 * seconds. */
#define KEPT_US 60000000ULL

/**
 * struct departed - a removed upstream that has stated something about itself
 * @id: its name in the list
 * @started_ms: start time of the process that stated it
 * @removed_at_us: when it was removed
 * @stated: what it has stated
 */
struct departed {
    char *id;
    uint64_t started_ms;
    uint64_t removed_at_us;
    struct pgw_upstream_statements stated;
};

struct pgw_departed_upstreams {
    GHashTable *by_id;
};

static void
departed_free(void *data)
{
    struct departed *departed = data;

    g_free(departed->id);
    g_free(departed);
}

struct pgw_departed_upstreams *
pgw_departed_upstreams_new(void)
{
    struct pgw_departed_upstreams *departed =
        g_new0(struct pgw_departed_upstreams, 1);

    departed->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, departed_free);
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
    const struct departed *departed = value;

    (void)key;
    return *(const uint64_t *)now_us - departed->removed_at_us > KEPT_US;
}

void
pgw_departed_upstreams_add(struct pgw_departed_upstreams *departed,
                           const struct pgw_upstream *upstream,
                           uint64_t now_us)
{
    struct departed *added;

    g_hash_table_remove(departed->by_id, upstream->id);
    if (upstream->stated.limit.per_s <= 0 && !upstream->stated.leaving &&
        upstream->stated.leaving_until_us <= now_us &&
        upstream->stated.backoff_until_us <= now_us) {
        return;
    }
    g_hash_table_foreach_remove(departed->by_id, has_expired, &now_us);
    added = g_new0(struct departed, 1);
    added->id = g_strdup(upstream->id);
    added->started_ms = upstream->started_ms;
    added->removed_at_us = now_us;
    added->stated = upstream->stated;
    g_hash_table_insert(departed->by_id, added->id, added);
}

void
pgw_departed_upstreams_restore(struct pgw_departed_upstreams *departed,
                               struct pgw_upstream *upstream,
                               uint64_t started_ms)
{
    const struct departed *found =
        g_hash_table_lookup(departed->by_id, upstream->id);

    if (found != NULL) {
        upstream->stated = found->stated;
        if (found->started_ms != started_ms) {
            pgw_upstream_statements_expire(&upstream->stated,
                                           (uint64_t)g_get_monotonic_time());
        }
    }
    g_hash_table_remove(departed->by_id, upstream->id);
}
