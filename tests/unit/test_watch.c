/* Watch threads with an in-memory store. */
#include <pthread.h>
#include <string.h>

#include "parsleygw/errors.h"
#include "parsleygw/watch.h"

#define POOL "{\"model\":\"m\",\"version\":\"w1\"}"
#define TIMEOUT_US (20 * G_USEC_PER_SEC)

/* A store with one object, "a", of kind pool. */
struct memory_store {
    struct pgw_store base;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint64_t version;
    uint64_t oldest; /* a watch from an older version is stale */
    bool down;
    unsigned list_calls;
    unsigned watch_calls;
    struct pgw_config_set *set; /* receives the batches; under @lock too */
    struct pgw_watch *watch;
};

static struct memory_store *
memory_store(struct pgw_store *store)
{
    return (struct memory_store *)store;
}

static void
add_newer_object(struct memory_store *memory, struct pgw_store_list *out,
                 uint64_t after)
{
    *out = (struct pgw_store_list){.version = memory->version};
    if (memory->version > after) {
        out->n = 1;
        out->objects = g_new0(struct pgw_store_object, 1);
        out->objects[0].name = g_strdup("a");
        out->objects[0].version = memory->version;
        out->objects[0].value = g_strdup(POOL);
    }
}

static bool
reply(struct memory_store *memory, struct pgw_store_list *out, uint64_t after,
      GError **error)
{
    bool down = memory->down;

    *out = (struct pgw_store_list){0};
    if (down) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_UNAVAILABLE, "down");
    }
    else {
        add_newer_object(memory, out, after);
    }
    return !down;
}

static bool
memory_list(struct pgw_store *store, struct pgw_store_list *out,
            const char *kind, uint64_t deadline_us, GError **error)
{
    struct memory_store *memory = memory_store(store);
    bool ok;

    (void)kind;
    (void)deadline_us;
    pthread_mutex_lock(&memory->lock);
    memory->list_calls++;
    ok = reply(memory, out, 0, error);
    pthread_mutex_unlock(&memory->lock);
    return ok;
}

static struct timespec
time_limit(gint64 us)
{
    gint64 end = g_get_real_time() + us;

    return (struct timespec){.tv_sec = end / G_USEC_PER_SEC,
                             .tv_nsec = end % G_USEC_PER_SEC * 1000};
}

static bool
memory_watch(struct pgw_store *store, struct pgw_store_list *out,
             const char *kind, uint64_t after, uint32_t wait_ms,
             uint64_t deadline_us, GError **error)
{
    struct memory_store *memory = memory_store(store);
    struct timespec end = time_limit((gint64)wait_ms * 1000);
    bool ok;

    (void)kind;
    (void)deadline_us;
    pthread_mutex_lock(&memory->lock);
    memory->watch_calls++;
    while (!memory->down && memory->version <= after &&
           pthread_cond_timedwait(&memory->changed, &memory->lock, &end) ==
               0) {
    }
    if (after < memory->oldest) {
        *out = (struct pgw_store_list){0};
        g_set_error(error, PGW_ERROR, PGW_ERROR_STALE, "too old");
        ok = false;
    }
    else {
        ok = reply(memory, out, after, error);
    }
    pthread_mutex_unlock(&memory->lock);
    return ok;
}

static const struct pgw_store_ops memory_ops = {.list = memory_list,
                                                .watch = memory_watch};

static void
apply(const char *kind, const char *name, uint64_t version, const char *value,
      void *data)
{
    struct memory_store *memory = data;
    GError *error = NULL;

    pgw_config_set_apply(memory->set, kind, name, version, value, NULL,
                         &error);
    g_assert_no_error(error);
}

static void
apply_batch(void *data, struct pgw_watch_batch *batch)
{
    struct memory_store *memory = data;

    pthread_mutex_lock(&memory->lock);
    pgw_watch_batch_apply(batch, memory->set, apply, memory);
    pthread_cond_broadcast(&memory->changed);
    pthread_mutex_unlock(&memory->lock);
    pgw_watch_batch_free(batch);
}

static void
memory_init(struct memory_store *memory, struct pgw_watch_options *options)
{
    static const char *const kinds[] = {"pool", NULL};

    *memory = (struct memory_store){.base.ops = &memory_ops, .version = 5};
    pthread_mutex_init(&memory->lock, NULL);
    pthread_cond_init(&memory->changed, NULL);
    memory->set = pgw_config_set_new();
    options->store = &memory->base;
    options->self = "self";
    options->zone = "z1";
    options->kinds = kinds;
    options->on_batch = apply_batch;
    options->data = memory;
    options->wait_ms = 20;
    options->peer_grace_us = 1000;
    options->poll_interval_us = 1000;
    options->max_backoff_us = 300000;
}

static void
memory_dispose(struct memory_store *memory)
{
    pgw_watch_free(memory->watch);
    pgw_config_set_free(memory->set);
    pthread_mutex_destroy(&memory->lock);
    pthread_cond_destroy(&memory->changed);
}

static void
set_store(struct memory_store *memory, uint64_t version, bool down)
{
    pthread_mutex_lock(&memory->lock);
    memory->version = version;
    memory->down = down;
    pthread_cond_broadcast(&memory->changed);
    pthread_mutex_unlock(&memory->lock);
}

static bool
wait_for_version(struct memory_store *memory, uint64_t version)
{
    struct timespec end = time_limit(TIMEOUT_US);
    bool reached;

    pthread_mutex_lock(&memory->lock);
    while (pgw_config_set_version(memory->set, "pool", "a") < version &&
           pthread_cond_timedwait(&memory->changed, &memory->lock, &end) ==
               0) {
    }
    reached = pgw_config_set_version(memory->set, "pool", "a") >= version;
    pthread_mutex_unlock(&memory->lock);
    return reached;
}

static void
test_watcher(void)
{
    struct memory_store memory;
    struct pgw_watch_options options = PGW_WATCH_OPTIONS_INIT;
    struct pgw_watch_state state;

    memory_init(&memory, &options);
    set_store(&memory, 5, true);
    memory.watch = pgw_watch_new(&options);
    do {
        g_usleep(1000);
        pgw_watch_get_state(memory.watch, &state);
    } while (state.failures == 0);
    g_assert_false(state.reachable);
    g_assert_cmpstr(state.last_error, ==, "down");
    set_store(&memory, 5, false);
    g_assert_true(wait_for_version(&memory, 5));
    set_store(&memory, 6, false);
    g_assert_true(wait_for_version(&memory, 6));
    set_store(&memory, 7, true);
    set_store(&memory, 7, false);
    g_assert_true(wait_for_version(&memory, 7));
    g_assert_cmpuint(memory.list_calls, <, 20);
    memory_dispose(&memory);
}

/* The selected watchers of the zone have crashed, so no peer sends version 6.
 * The process finds it by polling. */
static void
test_crashed_watchers(void)
{
    static const char *const peers[] = {"p1", "p2", "p3", "p4", "p5",
                                        "p6", "p7", "p8", "p9"};
    struct memory_store memory;
    struct pgw_watch_options options = PGW_WATCH_OPTIONS_INIT;

    g_assert_false(pgw_watch_is_selected("self", peers, G_N_ELEMENTS(peers),
                                         "z1", PGW_WATCHERS_PER_ZONE));
    memory_init(&memory, &options);
    apply("pool", "a", 5, POOL, &memory);
    options.peer_grace_us = 100000;
    memory.watch = pgw_watch_new(&options);
    pgw_watch_set_peers(memory.watch, peers, G_N_ELEMENTS(peers));
    pgw_watch_set_local_version(memory.watch, "pool", 5);
    set_store(&memory, 6, false);
    g_assert_true(wait_for_version(&memory, 6));
    /* The store no longer has the changes after version 6. */
    pthread_mutex_lock(&memory.lock);
    memory.oldest = 8;
    pthread_mutex_unlock(&memory.lock);
    set_store(&memory, 9, false);
    g_assert_true(wait_for_version(&memory, 9));
    memory_dispose(&memory);
}

/* Processes that restart together must not all call the store at once: no
 * call is made before the grace period has passed. */
static void
test_grace_period(void)
{
    static const char *const peers[] = {"self"};
    struct memory_store memory;
    struct pgw_watch_options options = PGW_WATCH_OPTIONS_INIT;
    struct pgw_watch_state state;

    memory_init(&memory, &options);
    options.peer_grace_us = (uint64_t)3600 * G_USEC_PER_SEC;
    memory.watch = pgw_watch_new(&options);
    pgw_watch_set_peers(memory.watch, peers, G_N_ELEMENTS(peers));
    g_usleep(50000);
    pgw_watch_get_state(memory.watch, &state);
    g_assert_cmpuint(state.calls, ==, 0);
    memory_dispose(&memory);
}

/* An object that an empty list lacks is deleted, unless the list is older than
 * the object. */
static void
test_missing_objects(void)
{
    struct memory_store memory;
    struct pgw_watch_options options = PGW_WATCH_OPTIONS_INIT;
    struct pgw_watch_batch batch = {
        .kind = "pool", .is_full_list = true, .list.version = 4};

    memory_init(&memory, &options);
    apply("pool", "a", 5, POOL, &memory);
    pgw_watch_batch_apply(&batch, memory.set, apply, &memory);
    g_assert_cmpuint(pgw_config_set_count(memory.set), ==, 1);
    batch.list.version = 6;
    pgw_watch_batch_apply(&batch, memory.set, apply, &memory);
    g_assert_cmpuint(pgw_config_set_count(memory.set), ==, 0);
    g_assert_cmpuint(pgw_config_set_version(memory.set, "pool", "a"), ==, 6);
    memory_dispose(&memory);
}

static void
test_rules(void)
{
    static const char *const peers[] = {"p1", "p2", "p3", "p4", "p5"};
    unsigned watchers = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(peers); i++) {
        watchers += pgw_watch_is_selected(peers[i], peers, G_N_ELEMENTS(peers),
                                          "z1", 2);
    }
    g_assert_cmpuint(watchers, ==, 2);
    g_assert_true(pgw_watch_is_selected("self", NULL, 0, "z1", 2));
    g_assert_false(pgw_watch_is_selected("self", peers, 1, "z1", 2));
    g_assert_cmpuint(pgw_watch_backoff_us(1, 10000000, 0), ==, 100000);
    g_assert_cmpuint(pgw_watch_backoff_us(1000, 10000000, 1), ==, 10000000);
    g_assert_cmpuint(pgw_watch_poll_pause_us(3000, 2000000, 0.5), ==,
                     6000000000);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/watch/watcher", test_watcher);
    g_test_add_func("/watch/crashed_watchers", test_crashed_watchers);
    g_test_add_func("/watch/grace_period", test_grace_period);
    g_test_add_func("/watch/missing_objects", test_missing_objects);
    g_test_add_func("/watch/rules", test_rules);
    return g_test_run();
}
