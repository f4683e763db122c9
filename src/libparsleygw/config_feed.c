#include "libparsleygw/config_feed.h"
#include "util/log.h"

static const char *const kinds[] = {
    PGW_CONFIG_KIND_PROFILE,  PGW_CONFIG_KIND_WORKSPACE, PGW_CONFIG_KIND_POOL,
    PGW_CONFIG_KIND_UPSTREAM, PGW_QUARANTINE_KIND,       NULL,
};
/* Number of kinds at the start of the list that make up the configuration. */
#define CONFIG_KINDS 4

struct pgw_config_feed {
    struct pgw_config_feed_options options;
    struct pgw_store *store;
    struct pgw_watch *watch;
    bool listed[CONFIG_KINDS]; /* a full list of the kind was applied */
    bool reported_down;
    uint64_t down_us;
};

struct batch_task {
    struct pgw_task task;
    struct pgw_config_feed *feed;
    struct pgw_watch_batch *batch;
};

static void
apply_object(const char *kind, const char *name, uint64_t version,
             const char *value, void *data)
{
    const struct batch_task *self = data;
    GError *error = NULL;

    /* Only single changes are pushed. A full list would be sent to four links,
     * object by object; anti-entropy repairs peers that lack part of it. */
    if (!pgw_sync_apply_object(self->feed->options.sync, kind, name, version,
                               value, !self->batch->is_full_list, &error)) {
        pgw_log_warning("config_refused", "kind=%s name=%s error=%s", kind,
                        name, error->message);
        g_clear_error(&error);
    }
}

static void
apply_quarantine_records(struct pgw_config_feed *feed,
                         const struct pgw_watch_batch *batch)
{
    struct pgw_suspects *suspects = feed->options.suspects;

    for (size_t i = 0; i < batch->list.n; i++) {
        const struct pgw_store_object *object = &batch->list.objects[i];
        const char *value = object->deleted ? NULL : object->value;

        pgw_suspects_apply(suspects, object->name, object->version, value,
                           value == NULL ? 0 : strlen(value));
    }
    if (batch->is_full_list) {
        pgw_suspects_apply_list(suspects, &batch->list);
    }
}

/* Each kind is listed separately; the configuration is complete only after all
 * of them, however many objects it has. */
static void
mark_kind_listed(struct pgw_config_feed *feed, const char *kind)
{
    bool all = true;

    for (size_t i = 0; i < CONFIG_KINDS; i++) {
        feed->listed[i] |= strcmp(kinds[i], kind) == 0;
        all &= feed->listed[i];
    }
    if (all) {
        pgw_sync_mark_listed(feed->options.sync);
    }
}

static void
run_batch(struct pgw_task *task)
{
    struct batch_task *self = pgw_container_of(task, struct batch_task, task);

    if (strcmp(self->batch->kind, PGW_QUARANTINE_KIND) == 0) {
        apply_quarantine_records(self->feed, self->batch);
    }
    else {
        pgw_watch_batch_apply(self->batch, self->feed->options.set,
                              apply_object, self);
        if (self->batch->is_full_list) {
            mark_kind_listed(self->feed, self->batch->kind);
        }
    }
    pgw_watch_batch_free(self->batch);
    g_free(self);
}

static void
on_batch(void *data, struct pgw_watch_batch *batch)
{
    struct pgw_config_feed *feed = data;
    struct batch_task *self = g_new0(struct batch_task, 1);

    self->task.run = run_batch;
    self->feed = feed;
    self->batch = batch;
    pgw_loop_post(feed->options.loop, &self->task);
}

struct pgw_config_feed *
pgw_config_feed_new(const struct pgw_config_feed_options *options,
                    GError **error)
{
    struct pgw_config_feed *feed = g_new0(struct pgw_config_feed, 1);
    struct pgw_store_options store = PGW_STORE_OPTIONS_INIT;
    struct pgw_watch_options watch = PGW_WATCH_OPTIONS_INIT;

    feed->options = *options;
    store.url = options->store_url;
    if (!pgw_store_new(&feed->store, &store, error)) {
        g_free(feed);
        return NULL;
    }
    watch.store = feed->store;
    watch.self = options->instance;
    watch.zone = options->zone;
    watch.kinds = kinds;
    watch.on_batch = on_batch;
    watch.data = feed;
    feed->watch = pgw_watch_new(&watch);
    return feed;
}

void
pgw_config_feed_stop(struct pgw_config_feed *feed)
{
    if (feed != NULL && feed->watch != NULL) {
        pgw_watch_free(feed->watch);
        feed->watch = NULL;
        pgw_loop_run_tasks(feed->options.loop);
    }
}

void
pgw_config_feed_free(struct pgw_config_feed *feed)
{
    if (feed == NULL) {
        return;
    }
    pgw_config_feed_stop(feed);
    pgw_store_free(feed->store);
    g_free(feed);
}

static void
record_highest_version(const char *kind, const char *name, uint64_t version,
                       const char *value, void *data)
{
    GHashTable *highest = data;
    uint64_t *highest_version = g_hash_table_lookup(highest, kind);

    (void)name;
    (void)value;
    if (highest_version == NULL) {
        highest_version = g_new0(uint64_t, 1);
        g_hash_table_insert(highest, (gpointer)kind, highest_version);
    }
    *highest_version = MAX(*highest_version, version);
}

static void
update_local_versions(struct pgw_config_feed *feed)
{
    GHashTable *highest =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    GHashTableIter iter;
    gpointer kind;
    gpointer highest_version;

    pgw_config_set_foreach(feed->options.set, record_highest_version, highest);
    g_hash_table_iter_init(&iter, highest);
    while (g_hash_table_iter_next(&iter, &kind, &highest_version)) {
        pgw_watch_set_local_version(feed->watch, kind,
                                    *(uint64_t *)highest_version);
    }
    /* Sidecars send all quarantine records when an entry connects, and usually
     * there are none: a process without records need not read the store. */
    pgw_watch_set_local_version(
        feed->watch, PGW_QUARANTINE_KIND,
        MAX(1, pgw_suspects_version(feed->options.suspects)));
    g_hash_table_unref(highest);
}

void
pgw_config_feed_update(struct pgw_config_feed *feed,
                       const struct pgw_config *config)
{
    size_t count = 0;
    const struct pgw_upstream *const *upstreams =
        pgw_config_upstreams(config, NULL, &count);
    GPtrArray *peers;

    if (feed->watch == NULL) {
        return;
    }
    peers = g_ptr_array_new();
    for (size_t i = 0; i < count; i++) {
        if (!upstreams[i]->leaving &&
            strcmp(upstreams[i]->zone, feed->options.zone) == 0) {
            g_ptr_array_add(peers, (gpointer)upstreams[i]->id);
        }
    }
    /* The declared sidecars of the zone share the watch. An entry has no
     * declaration and watches only if its zone has no sidecar. */
    if (peers->len == 0) {
        g_ptr_array_add(peers, (gpointer)feed->options.instance);
    }
    pgw_watch_set_peers(feed->watch, (const char *const *)peers->pdata,
                        peers->len);
    g_ptr_array_unref(peers);
    update_local_versions(feed);
}

struct pgw_store *
pgw_config_feed_store(struct pgw_config_feed *feed)
{
    return feed->store;
}

void
pgw_config_feed_report_store_state(struct pgw_config_feed *feed,
                                   struct pgw_trace *trace)
{
    struct pgw_watch_state state;
    bool down;

    pgw_watch_get_state(feed->watch, &state);
    down = state.failures > 0 && !state.reachable;
    if (down == feed->reported_down) {
        return;
    }
    feed->reported_down = down;
    if (down) {
        feed->down_us = pgw_now_us();
        pgw_log_warning("store_down", "error=%s", state.last_error);
        pgw_trace_record(trace, PGW_TRACE_STORE_DOWN, NULL, 0, 0, 0,
                         state.last_error);
        return;
    }
    pgw_log_info("store_up", "down_ms=%" G_GUINT64_FORMAT,
                 (pgw_now_us() - feed->down_us) / 1000);
    pgw_trace_record(trace, PGW_TRACE_STORE_UP, NULL, 0,
                     pgw_now_us() - feed->down_us, 0, NULL);
}

void
pgw_config_feed_get_watch_state(struct pgw_config_feed *feed,
                                struct pgw_watch_state *out)
{
    pgw_watch_get_state(feed->watch, out);
}
