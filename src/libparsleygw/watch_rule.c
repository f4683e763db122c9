/* Selection of watchers, pauses and applying of batches; no I/O. */
#include <string.h>
#include <xxhash.h>

#include "parsleygw/watch.h"

#define FIRST_BACKOFF_US 200000
#define BACKOFF_DOUBLINGS 16

static uint64_t
rendezvous_weight(const char *id, const char *zone)
{
    return XXH3_64bits_withSeed(id, strlen(id),
                                XXH3_64bits(zone, strlen(zone)));
}

bool
pgw_watch_is_selected(const char *self, const char *const *peers, size_t n,
                      const char *zone, unsigned k)
{
    uint64_t own = rendezvous_weight(self, zone);
    unsigned n_higher = 0;
    bool is_candidate = n == 0;

    for (size_t i = 0; i < n && n_higher < k; i++) {
        uint64_t other = rendezvous_weight(peers[i], zone);
        int order = strcmp(peers[i], self);

        is_candidate |= order == 0;
        if (order != 0 && (other > own || (other == own && order > 0))) {
            n_higher++;
        }
    }
    return is_candidate && n_higher < k;
}

uint64_t
pgw_watch_poll_pause_us(size_t n, uint64_t interval_us, double random)
{
    double mean_us = (double)MAX(n, 1) * (double)interval_us;

    return (uint64_t)(mean_us * (0.5 + random));
}

uint64_t
pgw_watch_backoff_us(unsigned failures, uint64_t limit_us, double random)
{
    unsigned doublings = MIN(MAX(failures, 1u) - 1, BACKOFF_DOUBLINGS);
    uint64_t bound_us = MIN((uint64_t)FIRST_BACKOFF_US << doublings, limit_us);

    return (uint64_t)((double)bound_us * (0.5 + 0.5 * random));
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

/* Objects of the set that a full list lacks. They are collected first because
 * applying one changes the set during iteration. */
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
    bool is_newer = version > missing->batch->list.version;

    /* A stale list lacks objects that are newer than itself. Treating them as
     * deleted would drop a committed object. */
#ifdef PGW_DISABLE_WATCH_OLD_LIST
    is_newer = false;
#endif
    if (value != NULL && !is_newer &&
        strcmp(kind, missing->batch->kind) == 0 &&
        !g_hash_table_contains(missing->listed, name)) {
        g_ptr_array_add(missing->names, g_strdup(name));
    }
}

static void
delete_missing(const struct pgw_watch_batch *batch,
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
        uint64_t local_version =
            pgw_config_set_version(set, batch->kind, name);

        func(batch->kind, name, MAX(batch->list.version, local_version + 1),
             NULL, data);
    }
    g_ptr_array_unref(missing.names);
    g_hash_table_unref(missing.listed);
}

/* Whether the set contains every object of the list. An object that this
 * process refused keeps its older version. Marking the set as listed at the
 * list's version would turn that into a deletion. */
static bool
is_applied(const struct pgw_watch_batch *batch,
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
    if (batch->is_full_list) {
        delete_missing(batch, set, func, data);
    }
    for (size_t i = 0; i < batch->list.n; i++) {
        const struct pgw_store_object *object = &batch->list.objects[i];

        if (object->version >
            pgw_config_set_version(set, batch->kind, object->name)) {
            func(batch->kind, object->name, object->version, object->value,
                 data);
        }
    }
    if (batch->is_full_list && is_applied(batch, set)) {
        pgw_config_set_mark_listed(set, batch->kind, batch->list.version);
    }
}
