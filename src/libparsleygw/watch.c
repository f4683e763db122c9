/* Threads that list, watch and poll the store, one per kind. */
#include "parsleygw/watch.h"

#include <pthread.h>
#include <string.h>

#include "parsleygw/errors.h"

#define MAX_KINDS 8

/* State of one kind. Only its own thread uses it, except @local_version. */
struct watcher {
    struct pgw_watch *watch;
    const char *kind;
    pthread_t thread;
    uint64_t local_version; /* protected by the watch's lock */
    bool is_listed;         /* everything up to @cursor was read */
    bool cursor_expired;    /* the store lacks some changes after @cursor */
    uint64_t cursor;
    gint64 listed_at_us;
    gint64 fallback_until_us; /* watches in place of the selected watchers */
    gint64 poll_at_us;        /* 0: no poll is scheduled */
    unsigned consecutive_failures;
};

struct pgw_watch {
    struct pgw_watch_options options;
    char *self;
    char *zone;
    gint64 started_at_us;
    pthread_mutex_t lock; /* protects all members below */
    pthread_cond_t wake;
    bool stopping;
    bool peers_known;
    bool is_selected;
    size_t n_peers;
    struct pgw_watch_state state;
    struct watcher watchers[MAX_KINDS];
    size_t n_watchers;
};

static const char *const config_kinds[] = {
    PGW_CONFIG_KIND_POOL, PGW_CONFIG_KIND_UPSTREAM, PGW_CONFIG_KIND_PROFILE,
    PGW_CONFIG_KIND_WORKSPACE, NULL};

/* Waits until @until_us, or until the selection changes or the watch stops.
 * Returns false when the watch stops. */
static bool
wait_until(struct pgw_watch *watch, gint64 until_us)
{
    struct timespec limit = {.tv_sec = until_us / G_USEC_PER_SEC,
                             .tv_nsec = until_us % G_USEC_PER_SEC * 1000};
    bool was_selected;
    bool keep_running;

    pthread_mutex_lock(&watch->lock);
    was_selected = watch->is_selected;
    while (!watch->stopping && watch->is_selected == was_selected &&
           g_get_monotonic_time() < until_us) {
        pthread_cond_timedwait(&watch->wake, &watch->lock, &limit);
    }
    keep_running = !watch->stopping;
    pthread_mutex_unlock(&watch->lock);
    return keep_running;
}

static bool
wait_for(struct pgw_watch *watch, uint64_t us)
{
    return wait_until(watch, g_get_monotonic_time() + (gint64)us);
}

static void
record_result(struct watcher *watcher, const GError *error)
{
    struct pgw_watch *watch = watcher->watch;

    watcher->consecutive_failures =
        error == NULL ? 0 : watcher->consecutive_failures + 1;
    pthread_mutex_lock(&watch->lock);
    watch->state.calls++;
    watch->state.failures += error != NULL;
    watch->state.reachable = error == NULL;
    g_strlcpy(watch->state.last_error, error == NULL ? "" : error->message,
              sizeof(watch->state.last_error));
    pthread_mutex_unlock(&watch->lock);
}

static void
deliver_batch(struct watcher *watcher, struct pgw_store_list *list,
              bool is_full_list)
{
    struct pgw_watch_batch *batch;

    if (list->n == 0 && !is_full_list) {
        pgw_store_list_dispose(list);
        return;
    }
    batch = g_new0(struct pgw_watch_batch, 1);
    batch->kind = watcher->kind;
    batch->is_full_list = is_full_list;
    batch->list = *list;
    watcher->watch->options.on_batch(watcher->watch->options.data, batch);
}

static bool
list_all(struct watcher *watcher)
{
    struct pgw_watch *watch = watcher->watch;
    struct pgw_store_list list;
    GError *error = NULL;
    gint64 now = g_get_monotonic_time();
    bool ok;

    ok =
        pgw_store_list(watch->options.store, &list, watcher->kind,
                       (uint64_t)now + watch->options.call_timeout_us, &error);
    record_result(watcher, error);
    g_clear_error(&error);
    if (!ok) {
        return false;
    }
    watcher->is_listed = true;
    watcher->cursor_expired = false;
    watcher->listed_at_us = now;
    watcher->cursor = list.version;
    deliver_batch(watcher, &list, true);
    return true;
}

/* Makes one watch call. @found receives whether there were changes, including
 * changes that the store no longer has. */
static bool
watch_once(struct watcher *watcher, uint64_t after, uint32_t wait_ms,
           bool *found)
{
    struct pgw_watch *watch = watcher->watch;
    struct pgw_store_list changes;
    GError *error = NULL;
    uint64_t timeout_us =
        watch->options.call_timeout_us + (uint64_t)wait_ms * 1000;
    bool expired;
    bool ok;

    ok = pgw_store_watch(
        watch->options.store, &changes, watcher->kind, after, wait_ms,
        (uint64_t)g_get_monotonic_time() + timeout_us, &error);
    expired = g_error_matches(error, PGW_ERROR, PGW_ERROR_STALE);
    record_result(watcher, expired ? NULL : error);
    g_clear_error(&error);
    *found = expired || (ok && changes.n > 0);
    watcher->cursor_expired = expired;
    if (expired) {
        return true;
    }
    if (ok) {
        /* A store that serves stale reads returns an older version. Moving
         * the cursor back would fetch known changes again. */
        watcher->cursor = MAX(after, changes.version);
        deliver_batch(watcher, &changes, false);
    }
    return ok;
}

struct role {
    bool is_selected; /* by rendezvous hashing, or no peers are known yet */
    bool is_fallback;
    size_t n_peers;
    uint64_t local_version;
};

static struct role
current_role(struct watcher *watcher)
{
    struct pgw_watch *watch = watcher->watch;
    struct role role;

    pthread_mutex_lock(&watch->lock);
    role =
        (struct role){.is_selected = watch->is_selected || !watch->peers_known,
                      .n_peers = watch->n_peers,
                      .local_version = watcher->local_version};
    pthread_mutex_unlock(&watch->lock);
    role.is_fallback = !role.is_selected &&
                       g_get_monotonic_time() < watcher->fallback_until_us;
    return role;
}

/* A new watcher lists first, even with a recent local copy. The copy came
 * from peers in any order, so its highest version does not prove that it
 * contains all earlier changes. */
static bool
step_selected(struct watcher *watcher)
{
    const struct pgw_watch_options *options = &watcher->watch->options;
    gint64 now = g_get_monotonic_time();
    bool found;

    if (!watcher->is_listed || watcher->cursor_expired ||
        now - watcher->listed_at_us > (gint64)options->relist_interval_us) {
        return list_all(watcher);
    }
    return watch_once(watcher, watcher->cursor, options->wait_ms, &found);
}

/* A fallback watcher does not list first: it serves new changes only. */
static bool
step_fallback(struct watcher *watcher, const struct role *role)
{
    bool found;

    watcher->is_listed = false;
    if (watcher->cursor_expired) {
        return list_all(watcher);
    }
    return watch_once(watcher, MAX(watcher->cursor, role->local_version),
                      watcher->watch->options.wait_ms, &found);
}

/* Polls the store for changes that peers did not send. If all selected
 * watchers have crashed, are partitioned or hang, no process of the zone
 * receives a change. The process whose poll finds one watches in their place
 * for a limited time. */
static bool
poll_store(struct watcher *watcher, const struct role *role)
{
    const struct pgw_watch_options *options = &watcher->watch->options;
    bool found = false;

    if (role->local_version == 0) {
        return list_all(watcher);
    }
#ifndef PGW_DISABLE_WATCH_FLOOR
    if (!watch_once(watcher, MAX(watcher->cursor, role->local_version), 0,
                    &found)) {
        return false;
    }
#endif
    if (found) {
        watcher->fallback_until_us =
            g_get_monotonic_time() + (gint64)options->fallback_watch_us;
    }
    return true;
}

/* Polls only after a pause, also at the start: processes that received their
 * copy from peers would otherwise all call the store at once to verify it. */
static bool
step_idle(struct watcher *watcher, const struct role *role)
{
    struct pgw_watch *watch = watcher->watch;
    gint64 now = g_get_monotonic_time();
    uint64_t pause_us = pgw_watch_poll_pause_us(
        role->n_peers, watch->options.poll_interval_us, g_random_double());

    watcher->is_listed = false;
    if (watcher->poll_at_us == 0) {
        watcher->poll_at_us =
            role->local_version == 0 ? now : now + (gint64)pause_us;
    }
    if (now < watcher->poll_at_us) {
        wait_until(watch, watcher->poll_at_us);
        return true;
    }
    watcher->poll_at_us = now + (gint64)pause_us;
    return poll_store(watcher, role);
}

static void
set_watching(struct pgw_watch *watch, bool watching)
{
    pthread_mutex_lock(&watch->lock);
    watch->state.watching = watching;
    pthread_mutex_unlock(&watch->lock);
}

/* Gives peers time to send a first copy. Without it, processes that restart
 * together would all call the store at the same moment. */
static bool
wait_for_peers(struct watcher *watcher)
{
    struct pgw_watch *watch = watcher->watch;
    uint64_t peer_grace_us = watch->options.peer_grace_us;
    gint64 until_us = watch->started_at_us + (gint64)peer_grace_us +
                      (gint64)(g_random_double() * (double)peer_grace_us);
    bool keep_running = true;

#ifdef PGW_DISABLE_WATCH_GRACE
    until_us = 0;
#endif
    while (keep_running && g_get_monotonic_time() < until_us) {
        keep_running = wait_until(watch, until_us);
    }
    return keep_running;
}

static void *
run(void *data)
{
    struct watcher *watcher = data;
    struct pgw_watch *watch = watcher->watch;
    const struct pgw_watch_options *options = &watch->options;
    bool keep_running = wait_for_peers(watcher);

    while (keep_running) {
        struct role role = current_role(watcher);
        uint64_t pause_us = 0;
        bool ok;

        set_watching(watch, role.is_selected || role.is_fallback);
        if (role.is_selected) {
            ok = step_selected(watcher);
        }
        else if (role.is_fallback) {
            ok = step_fallback(watcher, &role);
        }
        else {
            ok = step_idle(watcher, &role);
        }
        if (!ok) {
            pause_us = pgw_watch_backoff_us(watcher->consecutive_failures,
                                            options->max_backoff_us,
                                            g_random_double());
        }
        keep_running = wait_for(watch, pause_us);
    }
    return NULL;
}

struct pgw_watch *
pgw_watch_new(const struct pgw_watch_options *options)
{
    struct pgw_watch *watch = g_new0(struct pgw_watch, 1);
    const char *const *kinds =
        options->kinds == NULL ? config_kinds : options->kinds;
    pthread_condattr_t clock;

    watch->options = *options;
    watch->self = g_strdup(options->self);
    watch->zone = g_strdup(options->zone);
    watch->started_at_us = g_get_monotonic_time();
    pthread_mutex_init(&watch->lock, NULL);
    pthread_condattr_init(&clock);
    pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
    pthread_cond_init(&watch->wake, &clock);
    pthread_condattr_destroy(&clock);
    for (size_t i = 0; i < MAX_KINDS && kinds[i] != NULL; i++) {
        watch->watchers[i].watch = watch;
        watch->watchers[i].kind = kinds[i];
        watch->n_watchers++;
    }
    for (size_t i = 0; i < watch->n_watchers; i++) {
        pthread_create(&watch->watchers[i].thread, NULL, run,
                       &watch->watchers[i]);
    }
    return watch;
}

void
pgw_watch_free(struct pgw_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    pthread_mutex_lock(&watch->lock);
    watch->stopping = true;
    pthread_cond_broadcast(&watch->wake);
    pthread_mutex_unlock(&watch->lock);
    for (size_t i = 0; i < watch->n_watchers; i++) {
        pthread_join(watch->watchers[i].thread, NULL);
    }
    pthread_mutex_destroy(&watch->lock);
    pthread_cond_destroy(&watch->wake);
    g_free(watch->self);
    g_free(watch->zone);
    g_free(watch);
}

void
pgw_watch_set_peers(struct pgw_watch *watch, const char *const *peers,
                    size_t n)
{
    bool is_selected = pgw_watch_is_selected(
        watch->self, peers, n, watch->zone, PGW_WATCHERS_PER_ZONE);

    pthread_mutex_lock(&watch->lock);
    watch->peers_known = true;
    watch->n_peers = n;
    watch->is_selected = is_selected;
    pthread_cond_broadcast(&watch->wake);
    pthread_mutex_unlock(&watch->lock);
}

void
pgw_watch_set_local_version(struct pgw_watch *watch, const char *kind,
                            uint64_t version)
{
    pthread_mutex_lock(&watch->lock);
    for (size_t i = 0; i < watch->n_watchers; i++) {
        if (strcmp(watch->watchers[i].kind, kind) == 0) {
            watch->watchers[i].local_version =
                MAX(watch->watchers[i].local_version, version);
        }
    }
    pthread_mutex_unlock(&watch->lock);
}

void
pgw_watch_get_state(struct pgw_watch *watch, struct pgw_watch_state *out)
{
    pthread_mutex_lock(&watch->lock);
    *out = watch->state;
    pthread_mutex_unlock(&watch->lock);
}
