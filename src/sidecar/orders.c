#include "sidecar/orders.h"
#include "parsleygw/errors.h"
#include "sidecar/gate.h"
#include "util/log.h"
#include <stdatomic.h>

#define TICK_US UINT64_C(100000)
#define TICK_CLOSED_US UINT64_C(10000)
#define STORE_TIMEOUT_US UINT64_C(2000000)
/* Requests that wait here when the gate closes may still run for so long;
 * the rest is sent elsewhere, so that a long queue does not hold a permit. */
#define QUEUE_LIMIT_US UINT64_C(1000000)
/* Waiting for a permit costs reads of the store: all sidecars together make
 * about a thousand a second at most, half of what it takes. */
#define POLL_MIN_US UINT64_C(500000)
#define POLL_UPSTREAM_US UINT64_C(1000)

/**
 * struct orders - state of the loop's side
 * @sidecar: owner
 * @thread: carries orders out; NULL before the pool is known
 * @hold: the thread wants the engine without requests
 * @idle: it is: the gate is closed and nothing runs
 * @timer: next look at the thread
 * @closed: the gate is closed
 * @closed_us: since when
 * @reopen_us: the thread let go; open once the engine was asked after that
 * @told: version of the pool's object that @thread knows
 * @adapters: that profiles of the pool name, with a NULL at the end
 * @adapters_changed: @thread may not know them all
 * @limit: orders at once, as the thread was told
 * @leaving: no further order
 * @seen: what the thread last reported
 */
struct orders {
    struct sidecar *sidecar;
    struct pgw_orders *thread;
    atomic_bool hold;
    atomic_bool idle;
    struct pgw_timer timer;
    bool closed;
    uint64_t closed_us;
    uint64_t reopen_us;
    _Atomic uint64_t told;
    GPtrArray *adapters;
    bool adapters_changed;
    unsigned limit;
    bool leaving;
    struct pgw_orders_state seen;
};

static const struct pgw_pool *
own_pool(const struct orders *orders)
{
    const struct sidecar *sidecar = orders->sidecar;
    const struct pgw_pool *pool =
        sidecar->config == NULL
            ? NULL
            : pgw_config_pool(sidecar->config, sidecar->settings->pool);

    return pool == NULL || pool->is_service ? NULL : pool;
}

static bool
runs(const struct engine *engine, const char *model, const char *version)
{
    return strcmp(engine->model, model) == 0 &&
           strcmp(engine->version, version) == 0;
}

/* On the thread. Clears the word of an earlier order in any case. */
static void
on_hold(void *context, bool hold)
{
    struct orders *orders = context;

    atomic_store(&orders->idle, false);
    atomic_store(&orders->hold, hold);
}

/* On the thread. */
static bool
is_idle(void *context)
{
    struct orders *orders = context;

    return atomic_load(&orders->idle);
}

/* The engine shows what was ordered. The thread may still hold it, because
 * the store does not take the permit back: that must not cost capacity. */
static bool
is_carried_out(const struct orders *orders)
{
    const struct engine *engine = &orders->sidecar->engine;
    const struct pgw_permit_order *order = &orders->seen.order;

    return orders->seen.phase == PGW_ORDERS_LOADING && !engine->loading &&
           runs(engine, order->model, order->version);
}

static bool
must_close(struct orders *orders)
{
    const struct engine *engine = &orders->sidecar->engine;
    const struct pgw_pool *pool = own_pool(orders);

    if (atomic_load(&orders->hold)) {
        orders->reopen_us = is_carried_out(orders) ? 0 : pgw_now_us();
        return orders->reopen_us != 0;
    }
    /* What the engine was asked before it changed over is out of date: its
     * old version would be told to the entries once more. */
    if (orders->reopen_us != 0 && engine->alive &&
        engine->told_us <= orders->reopen_us) {
        return true;
    }
    orders->reopen_us = 0;
    /* An order of an earlier process of this upstream is in progress. */
    return engine->loading && pool != NULL &&
           !runs(engine, pool->model, pool->version);
}

static void
update_gate(struct orders *orders)
{
    struct sidecar *sidecar = orders->sidecar;
    bool closed = must_close(orders);
    uint64_t now = pgw_now_us();

    if (closed != orders->closed) {
        orders->closed = closed;
        orders->closed_us = now;
        pgw_log_info(closed ? "gate_closed" : "gate_opened",
                     "runs=%u version=%s", sidecar->runs,
                     sidecar->engine.version);
        sidecar_push_state(sidecar);
    }
    if (closed && now - orders->closed_us >= QUEUE_LIMIT_US) {
        gate_refuse_waiting(sidecar, PGW_REFUSAL_STALE);
    }
    atomic_store(&orders->idle, closed && sidecar->runs == 0);
}

/* More than one engine may load only while those that go on serving keep up:
 * a queue here is as long as that of the others. One at a time always may,
 * or a busy pool would never change over. */
static unsigned
orders_limit(const struct orders *orders, const struct pgw_pool *pool)
{
    const struct sidecar *sidecar = orders->sidecar;
    struct pgw_admit_load load;
    size_t count;
    size_t serving = 0;
    const struct pgw_upstream *const *upstreams =
        pgw_config_upstreams(sidecar->config, pool->name, &count);

    if (orders->leaving) {
        return 0;
    }
    pgw_admit_load_get(&load, sidecar->admit);
    if (!orders->closed && load.waiting > load.running) {
        return 1;
    }
    for (size_t i = 0; i < count; i++) {
        serving += !upstreams[i]->leaving;
    }
    return MIN(pgw_permit_limit(pool->load_permits, serving),
               (unsigned)MAX(serving / 2, 1));
}

static void
collect_adapter(const char *kind, const char *name, uint64_t version,
                const char *value, void *data)
{
    struct orders *orders = data;
    const struct sidecar *sidecar = orders->sidecar;
    const struct pgw_profile *profile;

    (void)version;
    if (value == NULL || strcmp(kind, PGW_CONFIG_KIND_PROFILE) != 0) {
        return;
    }
    profile = pgw_config_profile(sidecar->config, name);
    if (profile != NULL && profile->adapter[0] != '\0' &&
        strcmp(profile->pool, sidecar->settings->pool) == 0 &&
        !g_ptr_array_find_with_equal_func(orders->adapters, profile->adapter,
                                          g_str_equal, NULL)) {
        g_ptr_array_add(orders->adapters, g_strdup(profile->adapter));
    }
}

static void
tell_thread(struct orders *orders, const struct pgw_pool *pool)
{
    struct pgw_rollout_desired wanted = {
        .model = pool->model,
        .version = pool->version,
        .adapters = (const char *const *)orders->adapters->pdata,
    };

    orders->limit = orders_limit(orders, pool);
    orders->adapters_changed = false;
    pgw_orders_set_desired(orders->thread, &wanted, orders->limit);
    /* After it: a version that is confirmed for what was wanted before would
     * let that pass. */
    atomic_store(&orders->told, pool->object_version);
}

/* On the thread: is the pool's object that it was told of still the store's?
 * A newer one is on its way here and will be told. */
static bool
confirm(void *context, GError **error)
{
    struct orders *orders = context;
    struct sidecar *sidecar = orders->sidecar;
    const char *name = sidecar->settings->pool;
    struct pgw_store_object object;
    bool current;

    if (!pgw_store_get(pgw_config_feed_store(sidecar->feed), &object,
                       PGW_CONFIG_KIND_POOL, name,
                       pgw_now_us() + STORE_TIMEOUT_US, error)) {
        return false;
    }
#ifndef PGW_DISABLE_ORDERS_CONFIG
    /*
     * Failure: a process wakes, or hears of nothing for some seconds, and
     * knows only yesterday's pool. Symptom: the engine is ordered to load
     * yesterday's weights, under a fresh number that no engine refuses. A copy
     * that the store confirms may be ordered; an edit after that replaces it.
     */
    current = object.version <= atomic_load(&orders->told);
#else
    current = true;
#endif
    pgw_store_object_dispose(&object);
    if (!current) {
        g_set_error(error, PGW_ERROR, PGW_ERROR_CONFLICT,
                    "pool %s: the store has a newer object than this "
                    "process: wait until it arrives",
                    name);
    }
    return current;
}

static void
start_thread(struct orders *orders)
{
    struct sidecar *sidecar = orders->sidecar;
    const struct pgw_sidecar_settings *settings = sidecar->settings;
    struct pgw_orders_options options = PGW_ORDERS_OPTIONS_INIT;
    char *holder = g_strdup_printf("%s:%" G_GINT64_MODIFIER "x",
                                   settings->instance, sidecar->incarnation);
    size_t count;

    pgw_config_upstreams(sidecar->config, NULL, &count);
    options.store = pgw_config_feed_store(sidecar->feed);
    options.engine_url = settings->upstream_url;
    options.scope = settings->pool;
    options.target = settings->instance;
    options.holder = holder;
    options.hold = on_hold;
    options.is_idle = is_idle;
    options.confirm = confirm;
    options.context = orders;
    options.poll_us = MAX(POLL_MIN_US, count * POLL_UPSTREAM_US);
    orders->thread = pgw_orders_new(&options);
    g_free(holder);
}

static void
update_wanted(struct orders *orders)
{
    const struct pgw_pool *pool = own_pool(orders);

    if (pool == NULL || !orders->sidecar->engine.alive) {
        return;
    }
    if (orders->thread == NULL) {
        start_thread(orders);
    }
    if (atomic_load(&orders->told) != pool->object_version ||
        orders->adapters_changed ||
        orders->limit != orders_limit(orders, pool)) {
        tell_thread(orders, pool);
    }
}

static void
trace_progress(struct orders *orders, const struct pgw_orders_state *now)
{
    struct pgw_trace *trace = orders->sidecar->trace;
    const struct pgw_orders_state *before = &orders->seen;
    bool had = before->fence != 0;

    if (now->fence != 0 && now->fence != before->fence) {
        pgw_trace_record(trace, PGW_TRACE_PERMIT_TAKE, NULL, 0, now->fence, 0,
                         now->order.version);
        pgw_log_info("permit_take", "fence=%" G_GUINT64_FORMAT " kind=%s",
                     now->fence, now->order.kind);
    }
    if (now->phase == PGW_ORDERS_LOADING &&
        (before->phase != PGW_ORDERS_LOADING || now->fence != before->fence)) {
        pgw_trace_record(trace, PGW_TRACE_ORDER, NULL, 0, now->fence, 0,
                         now->order.kind);
    }
    if (now->done != before->done || now->refused != before->refused) {
        pgw_trace_record(trace, PGW_TRACE_ORDER_DONE, NULL, 0, before->fence,
                         now->done != before->done ? 200 : 409,
                         now->order.version);
        pgw_log_info("order_end", "fence=%" G_GUINT64_FORMAT " done=%d",
                     before->fence, now->done != before->done);
    }
    if (had && now->fence != before->fence) {
        pgw_trace_record(trace, PGW_TRACE_PERMIT_RELEASE, NULL, 0,
                         before->fence, 0, NULL);
    }
}

static void
tick(struct pgw_timer *timer)
{
    struct orders *orders = pgw_container_of(timer, struct orders, timer);
    struct pgw_orders_state state = {0};

    if (orders->thread != NULL) {
        pgw_orders_get_state(orders->thread, &state);
        trace_progress(orders, &state);
        orders->seen = state;
    }
    update_gate(orders);
    update_wanted(orders);
    pgw_timer_start(orders->sidecar->loop, timer,
                    orders->closed || atomic_load(&orders->hold)
                        ? TICK_CLOSED_US
                        : TICK_US);
}

struct orders *
orders_new(struct sidecar *sidecar)
{
    struct orders *orders = g_new0(struct orders, 1);

    orders->sidecar = sidecar;
    orders->adapters = g_ptr_array_new_with_free_func(g_free);
    orders->timer.on_due = tick;
    orders_config_changed(orders);
    pgw_timer_start(sidecar->loop, &orders->timer, TICK_US);
    return orders;
}

void
orders_free(struct orders *orders)
{
    if (orders == NULL) {
        return;
    }
    pgw_timer_stop(orders->sidecar->loop, &orders->timer);
    pgw_orders_free(orders->thread);
    g_ptr_array_unref(orders->adapters);
    g_free(orders);
}

void
orders_config_changed(struct orders *orders)
{
    if (orders == NULL) {
        return;
    }
    g_ptr_array_set_size(orders->adapters, 0);
    pgw_config_set_foreach(orders->sidecar->set, collect_adapter, orders);
    g_ptr_array_add(orders->adapters, NULL);
    orders->adapters_changed = true;
    update_wanted(orders);
}

void
orders_engine_told(struct orders *orders)
{
    if (orders != NULL) {
        update_gate(orders);
    }
}

void
orders_close(struct orders *orders)
{
    if (orders != NULL) {
        orders->leaving = true;
    }
}

bool
orders_is_closed(const struct orders *orders)
{
    return orders != NULL && orders->closed;
}

void
orders_get_state(const struct orders *orders, struct pgw_orders_state *out)
{
    *out = (struct pgw_orders_state){0};
    if (orders != NULL) {
        *out = orders->seen;
    }
}
