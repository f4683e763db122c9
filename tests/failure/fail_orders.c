/*
 * A pool is moved to new weights while its processes die. What must hold:
 * never more engines load at once than declared; an order whose process died
 * after its start is gone on with by the next process, under a higher number;
 * the old process's order, sent late, is refused, by the engine if it checks
 * numbers, by the gate if it does not; at the end no permit is left taken.
 */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>

#include "harness_http.h"
#include "harness_process.h"
#include "libparsleygw/orders.h"
#include "libparsleygw/orders_engine.h"
#include "parsleygw/errors.h"

#define ENGINES 4
#define LOADS_MAX 2
#define LIMIT_S 60
#define POLL_US 20000
#define TERM_US 600000

struct fixture {
    struct harness *harness;
    struct harness_process *objects;
    struct harness_process *engines[ENGINES];
    const char *urls[ENGINES];
    struct pgw_store *store;
    struct pgw_orders *orders[ENGINES];
    atomic_uint held;
    unsigned most_loading;
};

static void
hold(void *context, bool hold)
{
    struct fixture *f = context;

    if (hold) {
        atomic_fetch_add(&f->held, 1);
    }
}

static bool
is_idle(void *context)
{
    (void)context;
    return true;
}

static void
set_up(struct fixture *f, const char *flag)
{
    struct pgw_store_options options = PGW_STORE_OPTIONS_INIT;

    memset(f, 0, sizeof(*f));
    f->harness = harness_new();
    f->objects = harness_spawn(f->harness, "standin-objects", NULL);
    for (unsigned i = 0; i < ENGINES; i++) {
        f->engines[i] = harness_spawn(f->harness, "standin-engine",
                                      "--load-ms", "300", flag, NULL);
        f->urls[i] = harness_process_url(f->engines[i], "");
    }
    options.url = harness_process_url(f->objects, "");
    g_assert_true(pgw_store_new(&f->store, &options, NULL));
}

static void
tear_down(struct fixture *f)
{
    for (unsigned i = 0; i < ENGINES; i++) {
        pgw_orders_free(f->orders[i]);
    }
    pgw_store_free(f->store);
    harness_free(f->harness);
}

/* The process @holder beside engine @i; its pool asks for weights w2. */
static void
start_orders(struct fixture *f, unsigned i, const char *holder)
{
    struct pgw_orders_options options = PGW_ORDERS_OPTIONS_INIT;
    struct pgw_rollout_desired wanted = {.model = "rulebook-7b",
                                         .version = "w2"};
    char *target = g_strdup_printf("u%u", i);

    options.store = f->store;
    options.engine_url = f->urls[i];
    options.scope = "guide";
    options.target = target;
    options.holder = holder;
    options.hold = hold;
    options.is_idle = is_idle;
    options.context = f;
    options.term_us = TERM_US;
    options.poll_us = POLL_US;
    f->orders[i] = pgw_orders_new(&options);
    pgw_orders_set_desired(f->orders[i], &wanted,
                           pgw_permit_limit(LOADS_MAX, ENGINES));
    g_free(target);
}

/* Looks at all engines; true when they run the new weights. */
static bool
all_moved(void *data)
{
    struct fixture *f = data;
    unsigned loading = 0;
    unsigned moved = 0;

    for (unsigned i = 0; i < ENGINES; i++) {
        struct pgw_rollout_engine engine;

        g_assert_true(
            pgw_orders__engine_status_get(&engine, f->urls[i], NULL));
        loading += engine.loading;
        moved += strcmp(engine.version, "w2") == 0;
        pgw_orders__engine_status_dispose(&engine);
    }
    f->most_loading = MAX(f->most_loading, loading);
    return moved == ENGINES;
}

static bool
no_permit_taken(void *data)
{
    struct fixture *f = data;
    struct pgw_store_object object;
    bool none;

    g_assert_true(pgw_store_get(
        f->store, &object, PGW_PERMIT_KIND, "guide",
        (uint64_t)g_get_monotonic_time() + 10 * G_USEC_PER_SEC, NULL));
    none = strstr(object.value, "\"slots\":[]") != NULL;
    pgw_store_object_dispose(&object);
    return none;
}

static void
test_rollout(void)
{
    struct fixture f;

    set_up(&f, NULL);
    for (unsigned i = 0; i < ENGINES; i++) {
        start_orders(&f, i, "first");
    }
    g_assert_true(harness_wait_until(all_moved, &f, LIMIT_S));
    g_assert_cmpuint(f.most_loading, >, 0);
    g_assert_cmpuint(f.most_loading, <=, LOADS_MAX);
    g_assert_true(harness_wait_until(no_permit_taken, &f, LIMIT_S));
    g_assert_cmpuint(atomic_load(&f.held), >=, ENGINES);
    tear_down(&f);
}

static bool
is_loading(void *data)
{
    struct fixture *f = data;
    struct pgw_orders_state state;

    pgw_orders_get_state(f->orders[0], &state);
    return state.phase == PGW_ORDERS_LOADING;
}

static bool
is_done(void *data)
{
    struct fixture *f = data;
    struct pgw_orders_state state;

    pgw_orders_get_state(f->orders[0], &state);
    return state.done > 0;
}

/* The process ends while its engine loads. The engine reaches the new weights
 * alone; only the permit tells the next process that something is open. */
static void
test_resumed(void)
{
    struct fixture f;
    struct pgw_orders_state first;
    struct pgw_rollout_engine engine;

    set_up(&f, NULL);
    start_orders(&f, 0, "first");
    g_assert_true(harness_wait_until(is_loading, &f, LIMIT_S));
    pgw_orders_get_state(f.orders[0], &first);
    pgw_orders_free(f.orders[0]);
    g_assert_false(no_permit_taken(&f));
    start_orders(&f, 0, "second");
    g_assert_true(harness_wait_until(is_done, &f, LIMIT_S));
    g_assert_true(harness_wait_until(no_permit_taken, &f, LIMIT_S));
    g_assert_true(pgw_orders__engine_status_get(&engine, f.urls[0], NULL));
    g_assert_cmpstr(engine.version, ==, "w2");
    g_assert_cmpuint(engine.fence, >, first.fence);
    pgw_orders__engine_status_dispose(&engine);
    tear_down(&f);
}

/* A store for one process that is stopped right after its start was written,
 * until the test lets it go on. */
struct stopping_store {
    struct pgw_store base;
    struct pgw_store *inner;
    atomic_bool stopped;
    atomic_bool resumed;
};

static bool
stopping_get(struct pgw_store *store, struct pgw_store_object *out,
             const char *kind, const char *name, uint64_t deadline_us,
             GError **error)
{
    struct stopping_store *self = (struct stopping_store *)store;

    return pgw_store_get(self->inner, out, kind, name, deadline_us, error);
}

static bool
stopping_put_if(struct pgw_store *store, struct pgw_store_object *out,
                const char *kind, const char *name, uint64_t expected,
                const char *value, uint64_t deadline_us, GError **error)
{
    struct stopping_store *self = (struct stopping_store *)store;
    bool ok = pgw_store_put_if(self->inner, out, kind, name, expected, value,
                               deadline_us, error);

    if (ok && strstr(value, "\"started\"") != NULL &&
        !atomic_load(&self->resumed)) {
        atomic_store(&self->stopped, true);
        while (!atomic_load(&self->resumed)) {
            g_usleep(POLL_US);
        }
    }
    return ok;
}

static const struct pgw_store_ops stopping_ops = {.get = stopping_get,
                                                  .put_if = stopping_put_if};

static bool
is_stopped(void *data)
{
    return atomic_load(&((struct stopping_store *)data)->stopped);
}

static bool
is_refused(void *data)
{
    struct pgw_orders_state state;

    pgw_orders_get_state(data, &state);
    return state.refused > 0;
}

/* The engine ignores numbers and the first process's gate knows only its own:
 * that process must find out by itself that it was replaced. */
static void
test_stopped_process(void)
{
    struct fixture f;
    struct stopping_store stopping = {.base.ops = &stopping_ops};
    struct pgw_orders *stopped;
    struct pgw_store *store;
    struct pgw_rollout_engine engine;
    uint64_t fence;

    set_up(&f, "--ignore-fence");
    store = f.store;
    stopping.inner = store;
    f.store = &stopping.base;
    start_orders(&f, 0, "first");
    stopped = f.orders[0];
    f.store = store;
    g_assert_true(harness_wait_until(is_stopped, &stopping, LIMIT_S));
    start_orders(&f, 0, "second");
    g_assert_true(harness_wait_until(is_done, &f, LIMIT_S));
    g_assert_true(pgw_orders__engine_status_get(&engine, f.urls[0], NULL));
    fence = engine.fence;
    pgw_orders__engine_status_dispose(&engine);
    atomic_store(&stopping.resumed, true);
    g_assert_true(harness_wait_until(is_refused, stopped, LIMIT_S));
    g_assert_true(pgw_orders__engine_status_get(&engine, f.urls[0], NULL));
    g_assert_cmpuint(engine.fence, ==, fence);
    pgw_orders__engine_status_dispose(&engine);
    pgw_orders_free(stopped);
    tear_down(&f);
}

static void
permit(struct fixture *f, struct pgw_permit_slot *slot, const char *holder,
       enum pgw_permit_step step)
{
    struct pgw_permit_order order = {.kind = "load_version", .version = "w3"};
    struct pgw_permit_request request = {.step = step,
                                         .holder = holder,
                                         .target = "u0",
                                         .fence = slot->fence,
                                         .order = &order,
                                         .limit = 1};
    struct pgw_permit_observer observer = {.n = 0};
    GError *error = NULL;

    pgw_permit_run_step(slot, f->store, "guide", &request, &observer, TERM_US,
                        (uint64_t)g_get_monotonic_time() + 20 * G_USEC_PER_SEC,
                        &error);
    g_assert_no_error(error);
}

/* The first holder is paused between its start's write and its order; the
 * second one takes over and finishes; then the first one wakes up and sends.
 */
static void
check_paused_holder(const char *flag, bool engine_checks)
{
    struct fixture f;
    struct pgw_permit_slot paused = {.fence = 0};
    struct pgw_permit_fencing gate = {.high_water = 0};
    struct pgw_rollout_engine engine;
    GError *error = NULL;
    bool sent;

    set_up(&f, flag);
    permit(&f, &paused, "first", PGW_PERMIT_ACQUIRE);
    permit(&f, &paused, "first", PGW_PERMIT_START);
    start_orders(&f, 0, "second");
    g_assert_true(harness_wait_until(is_done, &f, LIMIT_S));
    pgw_orders_free(f.orders[0]);
    f.orders[0] = NULL;
    /* What stood open was gone on with: first w3, whose order was written. */
    g_assert_true(pgw_orders__engine_status_get(&engine, f.urls[0], NULL));
    g_assert_cmpuint(engine.fence, >, paused.fence);
    gate.high_water = engine.fence;
    pgw_orders__engine_status_dispose(&engine);
    sent =
        (engine_checks ||
         pgw_permit_fencing_admit(&gate, paused.fence, &error)) &&
        pgw_orders__send_order(f.urls[0], &paused.order, paused.fence, &error);
    g_assert_false(sent);
    g_assert_error(error, PGW_ERROR, PGW_ERROR_STALE);
    g_clear_error(&error);
    tear_down(&f);
}

static void
test_paused_holder(void)
{
    check_paused_holder(NULL, true);
    check_paused_holder("--ignore-fence", false);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    g_test_add_func("/orders/rollout", test_rollout);
    g_test_add_func("/orders/resumed", test_resumed);
    g_test_add_func("/orders/stopped_process", test_stopped_process);
    g_test_add_func("/orders/paused_holder", test_paused_holder);
    return g_test_run();
}
