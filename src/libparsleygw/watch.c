/* The threads that list and watch the store, one a kind. */
#include "parsleygw/watch.h"

#include <pthread.h>
#include <string.h>

#include "parsleygw/errors.h"

#define MAX_KINDS 8

/* One kind's progress; used by its thread only, but for @held. */
struct watcher {
    struct pgw_watch *watch;
    const char *kind;
    pthread_t thread;
    uint64_t held; /* guarded by the watch's lock */
    bool listed;   /* all that is older than @cursor was read */
    bool too_old;  /* the store keeps no changes from @cursor on */
    uint64_t cursor;
    gint64 listed_at;
    gint64 extra_until; /* stands in for the chosen watchers until then */
    gint64 look_at;     /* 0: no look is planned */
    unsigned failures;
};

struct pgw_watch {
    struct pgw_watch_options options;
    char *self;
    char *zone;
    gint64 started_at;
    pthread_mutex_t lock; /* guards all below */
    pthread_cond_t wake;
    bool stopping;
    bool peers_known;
    bool mine;
    size_t n_peers;
    struct pgw_watch_state state;
    struct watcher watchers[MAX_KINDS];
    size_t n_watchers;
};

static const char *const config_kinds[] = {
    PGW_CONFIG_KIND_POOL, PGW_CONFIG_KIND_UPSTREAM, PGW_CONFIG_KIND_PROFILE,
    PGW_CONFIG_KIND_WORKSPACE, NULL};

/* Waits until a time, a wake-up that changes the role, or the stop. */
static bool
pause_until(struct pgw_watch *watch, gint64 until)
{
    struct timespec limit = {.tv_sec = until / G_USEC_PER_SEC,
                             .tv_nsec = until % G_USEC_PER_SEC * 1000};
    bool was_mine;
    bool go_on;

    pthread_mutex_lock(&watch->lock);
    was_mine = watch->mine;
    while (!watch->stopping && watch->mine == was_mine &&
           g_get_monotonic_time() < until) {
        pthread_cond_timedwait(&watch->wake, &watch->lock, &limit);
    }
    go_on = !watch->stopping;
    pthread_mutex_unlock(&watch->lock);
    return go_on;
}

static bool
pause_for(struct pgw_watch *watch, uint64_t us)
{
    return pause_until(watch, g_get_monotonic_time() + (gint64)us);
}

static void
note_result(struct watcher *watcher, const GError *error)
{
    struct pgw_watch *watch = watcher->watch;

    watcher->failures = error == NULL ? 0 : watcher->failures + 1;
    pthread_mutex_lock(&watch->lock);
    watch->state.calls++;
    watch->state.failures += error != NULL;
    watch->state.reachable = error == NULL;
    g_strlcpy(watch->state.last_error, error == NULL ? "" : error->message,
              sizeof(watch->state.last_error));
    pthread_mutex_unlock(&watch->lock);
}

static void
hand_over(struct watcher *watcher, struct pgw_store_list *list,
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
    note_result(watcher, error);
    g_clear_error(&error);
    if (!ok) {
        return false;
    }
    watcher->listed = true;
    watcher->too_old = false;
    watcher->listed_at = now;
    watcher->cursor = list.version;
    hand_over(watcher, &list, true);
    return true;
}

/* One watch call. @found receives whether it brought changes. */
static bool
watch_once(struct watcher *watcher, uint64_t after, uint32_t wait_ms,
           bool *found)
{
    struct pgw_watch *watch = watcher->watch;
    struct pgw_store_list changes;
    GError *error = NULL;
    uint64_t limit = watch->options.call_timeout_us + (uint64_t)wait_ms * 1000;
    bool too_old;
    bool ok;

    ok = pgw_store_watch(watch->options.store, &changes, watcher->kind, after,
                         wait_ms, (uint64_t)g_get_monotonic_time() + limit,
                         &error);
    too_old = g_error_matches(error, PGW_ERROR, PGW_ERROR_STALE);
    note_result(watcher, too_old ? NULL : error);
    g_clear_error(&error);
    *found = too_old || (ok && changes.n > 0);
    watcher->too_old = too_old;
    if (too_old) {
        return true;
    }
    if (ok) {
        /* A store that answers from the past names an older version: going
         * back with it would only fetch again what is already held. */
        watcher->cursor = MAX(after, changes.version);
        hand_over(watcher, &changes, false);
    }
    return ok;
}

struct role {
    bool chosen; /* by the rule, or nobody else is known */
    bool extra;
    size_t n_peers;
    uint64_t held;
};

static struct role
current_role(struct watcher *watcher)
{
    struct pgw_watch *watch = watcher->watch;
    struct role role;

    pthread_mutex_lock(&watch->lock);
    role = (struct role){.chosen = watch->mine || !watch->peers_known,
                         .n_peers = watch->n_peers,
                         .held = watcher->held};
    pthread_mutex_unlock(&watch->lock);
    role.extra = !role.chosen && g_get_monotonic_time() < watcher->extra_until;
    return role;
}

/* A new watcher lists first, although it may hold a recent copy: its copy
 * came from peers in any order, so that its highest version does not say that
 * it misses none before. */
static bool
step_chosen(struct watcher *watcher)
{
    const struct pgw_watch_options *options = &watcher->watch->options;
    gint64 now = g_get_monotonic_time();
    bool found;

    if (!watcher->listed || watcher->too_old ||
        now - watcher->listed_at > (gint64)options->relist_interval_us) {
        return list_all(watcher);
    }
    return watch_once(watcher, watcher->cursor, options->wait_ms, &found);
}

/* One that stands in does without the list: it is there for what is new. */
static bool
step_extra(struct watcher *watcher, const struct role *role)
{
    bool found;

    watcher->listed = false;
    if (watcher->too_old) {
        return list_all(watcher);
    }
    return watch_once(watcher, MAX(watcher->cursor, role->held),
                      watcher->watch->options.wait_ms, &found);
}

/* The look of a process that does not watch. Should all chosen watchers be
 * dead, cut off or stuck, a change would reach nobody of the zone: here
 * somebody finds it and watches in their place for a while. */
static bool
look(struct watcher *watcher, const struct role *role)
{
    const struct pgw_watch_options *options = &watcher->watch->options;
    bool found = false;

    if (role->held == 0) {
        return list_all(watcher);
    }
#ifndef PGW_DISABLE_WATCH_FLOOR
    if (!watch_once(watcher, MAX(watcher->cursor, role->held), 0, &found)) {
        return false;
    }
#endif
    if (found) {
        watcher->extra_until =
            g_get_monotonic_time() + (gint64)options->fallback_watch_us;
    }
    return true;
}

/* Looks only after a pause, also at the start: a fleet that has its copy from
 * peers must not ask the store all at once to compare it. */
static bool
step_idle(struct watcher *watcher, const struct role *role)
{
    struct pgw_watch *watch = watcher->watch;
    gint64 now = g_get_monotonic_time();
    uint64_t pause = pgw_watch_poll_pause_us(
        role->n_peers, watch->options.poll_interval_us, g_random_double());

    watcher->listed = false;
    if (watcher->look_at == 0) {
        watcher->look_at = role->held == 0 ? now : now + (gint64)pause;
    }
    if (now < watcher->look_at) {
        pause_until(watch, watcher->look_at);
        return true;
    }
    watcher->look_at = now + (gint64)pause;
    return look(watcher, role);
}

static void
set_watching(struct pgw_watch *watch, bool watching)
{
    pthread_mutex_lock(&watch->lock);
    watch->state.watching = watching;
    pthread_mutex_unlock(&watch->lock);
}

/* Peers get time to bring a first copy: were the store asked at once, a fleet
 * that restarts together would ask it all at the same moment. */
static bool
wait_grace(struct watcher *watcher)
{
    struct pgw_watch *watch = watcher->watch;
    uint64_t grace = watch->options.peer_grace_us;
    gint64 until = watch->started_at + (gint64)grace +
                   (gint64)(g_random_double() * (double)grace);
    bool go_on = true;

#ifdef PGW_DISABLE_WATCH_GRACE
    until = 0;
#endif
    while (go_on && g_get_monotonic_time() < until) {
        go_on = pause_until(watch, until);
    }
    return go_on;
}

static void *
run(void *data)
{
    struct watcher *watcher = data;
    struct pgw_watch *watch = watcher->watch;
    const struct pgw_watch_options *options = &watch->options;
    bool go_on = wait_grace(watcher);

    while (go_on) {
        struct role role = current_role(watcher);
        uint64_t pause = 0;
        bool ok;

        set_watching(watch, role.chosen || role.extra);
        if (role.chosen) {
            ok = step_chosen(watcher);
        }
        else if (role.extra) {
            ok = step_extra(watcher, &role);
        }
        else {
            ok = step_idle(watcher, &role);
        }
        if (!ok) {
            pause = pgw_watch_backoff_us(
                watcher->failures, options->max_backoff_us, g_random_double());
        }
        go_on = pause_for(watch, pause);
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
    watch->started_at = g_get_monotonic_time();
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
    bool mine = pgw_watch_is_selected(watch->self, peers, n, watch->zone,
                                      PGW_WATCHERS_PER_ZONE);

    pthread_mutex_lock(&watch->lock);
    watch->peers_known = true;
    watch->n_peers = n;
    watch->mine = mine;
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
            watch->watchers[i].held = MAX(watch->watchers[i].held, version);
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
