/* Who watches, and how long to pause: pure rules. */
#include <string.h>
#include <xxhash.h>

#include "parsleygw/watch.h"

#define FIRST_BACKOFF_US 200000
#define BACKOFF_DOUBLINGS 16

static uint64_t
weight(const char *id, const char *zone)
{
    return XXH3_64bits_withSeed(id, strlen(id),
                                XXH3_64bits(zone, strlen(zone)));
}

bool
pgw_watch_is_mine(const char *self, const char *const *peers, size_t n,
                  const char *zone, unsigned k)
{
    uint64_t own = weight(self, zone);
    unsigned better = 0;
    bool listed = n == 0;

    for (size_t i = 0; i < n && better < k; i++) {
        uint64_t other = weight(peers[i], zone);
        int order = strcmp(peers[i], self);

        listed |= order == 0;
        if (order != 0 && (other > own || (other == own && order > 0))) {
            better++;
        }
    }
    return listed && better < k;
}

uint64_t
pgw_watch_floor_us(size_t n, uint64_t interval_us, double random)
{
    double mean = (double)MAX(n, 1) * (double)interval_us;

    return (uint64_t)(mean * (0.5 + random));
}

uint64_t
pgw_watch_backoff_us(unsigned failures, uint64_t limit_us, double random)
{
    unsigned doublings = MIN(MAX(failures, 1u) - 1, BACKOFF_DOUBLINGS);
    uint64_t pause = MIN((uint64_t)FIRST_BACKOFF_US << doublings, limit_us);

    return (uint64_t)((double)pause * (0.5 + 0.5 * random));
}

void
pgw_watch_batch_free(struct pgw_watch_batch *batch)
{
    if (batch == NULL) {
        return;
    }
    pgw_store_list_dispose(&batch->list);
    g_free(batch);
}

/* Objects of the set that a whole list misses, collected before any is
 * applied: applying changes the set that is being walked. */
struct missing {
    const struct pgw_watch_batch *batch;
    GHashTable *listed;
    GPtrArray *names;
};

static void
collect_missing(const char *kind, const char *name, uint64_t version,
                const char *value, void *data)
{
    struct missing *missing = data;
    bool is_younger = version > missing->batch->list.version;

    /* A store that answers from the past misses objects younger than its
     * answer; taking those as deleted would drop an accepted object. */
#ifdef PGW_DISABLE_WATCH_OLD_LIST
    is_younger = false;
#endif
    if (value != NULL && !is_younger &&
        strcmp(kind, missing->batch->kind) == 0 &&
        !g_hash_table_contains(missing->listed, name)) {
        g_ptr_array_add(missing->names, g_strdup(name));
    }
}

static void
foreach_missing(const struct pgw_watch_batch *batch,
                const struct pgw_config_set *set, pgw_config_object_func func,
                void *data)
{
    struct missing missing = {.batch = batch,
                              .listed =
                                  g_hash_table_new(g_str_hash, g_str_equal),
                              .names = g_ptr_array_new_with_free_func(g_free)};

    for (size_t i = 0; i < batch->list.n; i++) {
        g_hash_table_add(missing.listed, batch->list.objects[i].name);
    }
    pgw_config_set_foreach(set, collect_missing, &missing);
    for (guint i = 0; i < missing.names->len; i++) {
        const char *name = missing.names->pdata[i];
        uint64_t held = pgw_config_set_version(set, batch->kind, name);

        func(batch->kind, name, MAX(batch->list.version, held + 1), NULL,
             data);
    }
    g_ptr_array_unref(missing.names);
    g_hash_table_unref(missing.listed);
}

/* A listed object that this program refused keeps its older form, which a
 * list's version must not turn into a deletion. */
static bool
is_complete(const struct pgw_watch_batch *batch,
            const struct pgw_config_set *set)
{
    for (size_t i = 0; i < batch->list.n; i++) {
        const struct pgw_store_object *object = &batch->list.objects[i];

        if (pgw_config_set_version(set, batch->kind, object->name) <
            object->version) {
            return false;
        }
    }
    return true;
}

void
pgw_watch_batch_apply(const struct pgw_watch_batch *batch,
                      struct pgw_config_set *set, pgw_config_object_func func,
                      void *data)
{
    if (batch->whole) {
        foreach_missing(batch, set, func, data);
    }
    for (size_t i = 0; i < batch->list.n; i++) {
        const struct pgw_store_object *object = &batch->list.objects[i];

        if (object->version >
            pgw_config_set_version(set, batch->kind, object->name)) {
            func(batch->kind, object->name, object->version, object->value,
                 data);
        }
    }
    if (batch->whole && is_complete(batch, set)) {
        pgw_config_set_mark_listed(set, batch->kind, batch->list.version);
    }
}
